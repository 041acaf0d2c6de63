#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

#include "base/clock.h"

namespace dandelion::http {

/// Bounds the memory that the requests of a server's callers and their answers
/// take, from the first byte of a request until the caller has its answer.
///
/// If there is no room for the next bytes, the arriving request or the unread
/// answer that has taken most memory for longest gives way: the product of both
/// decides, so that neither many bytes at once nor a slow trickle holds room
/// for ever. It may be the one that asks. A request that has arrived does not
/// give way while its caller takes its answer. Some of the room is kept for
/// small requests.
class RequestMemory {
 public:
  class Share;

  RequestMemory(base::Clock clock, size_t limit_bytes);

  /// The least limit with room for a request of these sizes, if there is no
  /// other.
  static size_t LimitFor(size_t body_bytes, size_t header_bytes);

  /// Applies from the next request for more bytes on.
  void SetLimit(size_t bytes) { limit_ = bytes; }
  size_t limit() const { return limit_; }
  /// Bytes that all requests hold.
  size_t used() const { return used_; }

 private:
  /// A request up to this size may use the room that is kept for small ones.
  static constexpr size_t kSmallRequestBytes = size_t{64} * 1024;
  /// The part of the limit that is kept for them is 1 in this many.
  static constexpr size_t kReserveDivisor = 8;

  bool MakeRoom(Share& share, size_t more_bytes);
  Share* FindHeaviest() const;
  double WeightOf(const Share& share, size_t bytes) const;

  base::Clock clock_;
  size_t limit_;
  size_t used_ = 0;
  std::set<Share*> arriving_;
};

/// What one connection's request takes of a `RequestMemory`.
class RequestMemory::Share {
 public:
  /// `give_way` is called when an arriving request has to be refused, or an
  /// unread answer broken off, to make room for others. It returns false if
  /// nothing waits for the caller any more; else the bytes no longer count.
  Share(std::shared_ptr<RequestMemory> memory, std::function<bool()> give_way);
  ~Share();
  Share(const Share&) = delete;
  Share& operator=(const Share&) = delete;

  /// A request begins to arrive, or its answer to wait for the caller. It may
  /// have to give way from now on.
  void Begin();
  /// Sets how many bytes the request holds. Returns false, and leaves the share
  /// as it was, if there is no room for them or the request gave way.
  bool Resize(size_t bytes);
  /// The request has arrived and no longer gives way.
  void Complete();
  /// Whether it may have to give way.
  bool MayGiveWay();
  /// Returns all of the share.
  void Release();
  /// Whether the request gave way since it began to arrive.
  bool gave_way() const { return gave_way_; }

 private:
  friend class RequestMemory;

  void GiveWay();

  std::shared_ptr<RequestMemory> memory_;
  std::function<bool()> give_way_;
  base::Millis began_;
  size_t bytes_ = 0;
  bool gave_way_ = false;
};

}  // namespace dandelion::http
