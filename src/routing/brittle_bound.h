#pragma once

#include <cstdint>

#include "base/clock.h"
#include "routing/rate_share.h"

namespace dandelion::routing {

/// What is known of the room of an upstream.
struct UpstreamRoom {
  /// Requests that it runs at once.
  int64_t slots = 0;
  /// Requests of this daemon that have not ended there.
  int64_t in_flight = 0;
};

/// Bounds this daemon's requests to a brittle upstream, so that all daemons
/// together cause no more rejections in a second than it bears, whatever they
/// know of each other's requests.
///
/// Each daemon's requests there and its rejections of the last second stay
/// within its `ShareOf` the slots and the rejections that the upstream bears.
/// The sum of all that is at most both, and where one is rejected, requests
/// fill the slots: what is left is the rejections.
class BrittleBound {
 public:
  /// How long a rejection counts: a second, and some for clocks that tell
  /// whole milliseconds and drift.
  static constexpr base::Millis kWindow{1050};

  /// Counts a request that the upstream rejected for want of room.
  void RecordRejection(base::Millis now) { rejections_.Record(now); }
  /// When a request may be sent: `now` if it may at once, a moment later if it
  /// must wait until another one ends.
  base::Millis FreeAt(int64_t rejections_per_second,
                      const UpstreamRoom& room,
                      const DaemonRank& rank,
                      base::Millis now);

 private:
  SendWindow rejections_;
  SettledShare share_;
};

}  // namespace dandelion::routing
