#pragma once

#include <utility>

#include "routing/load_book.h"

namespace dandelion::routing {

/// Keeps a request's load in the book for as long as it lives.
class LoadTicket {
 public:
  LoadTicket() = default;
  LoadTicket(LoadBook& book, base::UpstreamId upstream, const Load& load)
      : book_(&book), upstream_(std::move(upstream)), load_(load) {
    book_->Add(upstream_, load_);
  }
  ~LoadTicket() { Release(); }
  LoadTicket(LoadTicket&& other) noexcept { *this = std::move(other); }
  LoadTicket& operator=(LoadTicket&& other) noexcept {
    if (this != &other) {
      Release();
      book_ = std::exchange(other.book_, nullptr);
      upstream_ = std::move(other.upstream_);
      load_ = other.load_;
    }
    return *this;
  }

  /// The prompt has been read.
  void MarkRead() {
    if (book_ && load_.unread_tokens != 0) {
      book_->Subtract(upstream_, {0, 0, load_.unread_tokens, 0});
      load_.unread_tokens = 0;
    }
  }

  /// The memory of a moved run has arrived.
  void MarkArrived() {
    if (book_ && load_.arriving_tokens != 0) {
      book_->Subtract(upstream_, {0, 0, 0, load_.arriving_tokens});
      load_.arriving_tokens = 0;
    }
  }

  void Release() {
    if (book_) {
      std::exchange(book_, nullptr)->Subtract(upstream_, load_);
    }
  }

  const base::UpstreamId& upstream() const { return upstream_; }

 private:
  LoadBook* book_ = nullptr;
  base::UpstreamId upstream_;
  Load load_;
};

}  // namespace dandelion::routing
