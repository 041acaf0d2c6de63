#pragma once

#include <utility>

#include "routing/load_tracker.h"

namespace dandelion::routing {

/// Reserves a request's load on an upstream until it is destroyed or released.
class LoadReservation {
 public:
  /// An empty reservation.
  LoadReservation() = default;
  /// Adds `load` to this daemon's load in `tracker`, which must outlive this.
  LoadReservation(LoadTracker& tracker,
                  base::UpstreamId upstream,
                  const Load& load)
      : tracker_(&tracker), upstream_(std::move(upstream)), load_(load) {
    tracker_->Add(upstream_, load_);
  }
  ~LoadReservation() { Release(); }
  LoadReservation(LoadReservation&& other) noexcept {
    *this = std::move(other);
  }
  LoadReservation& operator=(LoadReservation&& other) noexcept {
    if (this != &other) {
      Release();
      tracker_ = std::exchange(other.tracker_, nullptr);
      upstream_ = std::move(other.upstream_);
      load_ = other.load_;
    }
    return *this;
  }

  /// Removes the unread prompt tokens from the load: the engine has processed
  /// the prompt.
  void MarkPromptProcessed() {
    if (tracker_ && load_.unread_tokens != 0) {
      tracker_->Subtract(upstream_, {0, 0, load_.unread_tokens, 0});
      load_.unread_tokens = 0;
    }
  }

  /// Raises the tokens of the load to `tokens`: the generation has become
  /// longer than expected. Does nothing if the load has as many.
  void RaiseTokens(int64_t tokens) {
    if (tracker_ && tokens > load_.tokens) {
      tracker_->Add(upstream_, {0, tokens - load_.tokens, 0, 0});
      load_.tokens = tokens;
    }
  }

  /// Removes the arriving tokens from the load: the KV cache copy of a
  /// migrating generation has arrived.
  void MarkKvCacheArrived() {
    if (tracker_ && load_.arriving_tokens != 0) {
      tracker_->Subtract(upstream_, {0, 0, 0, load_.arriving_tokens});
      load_.arriving_tokens = 0;
    }
  }

  /// Ends the reservation; further calls do nothing.
  void Release() {
    if (tracker_) {
      std::exchange(tracker_, nullptr)->Subtract(upstream_, load_);
    }
  }

  const base::UpstreamId& upstream() const { return upstream_; }

 private:
  LoadTracker* tracker_ = nullptr;
  base::UpstreamId upstream_;
  /// The part of the load that is still reserved.
  Load load_;
};

}  // namespace dandelion::routing
