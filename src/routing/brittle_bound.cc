#include "routing/brittle_bound.h"

namespace dandelion::routing {

using base::Millis;

Millis BrittleBound::FreeAt(int64_t rejections_per_second,
                            const UpstreamRoom& room,
                            const DaemonRank& rank,
                            Millis now) {
  constexpr Millis kMoment{1};
  const int64_t share = share_.Settle(
      ShareOf(room.slots + rejections_per_second, rank), now, kWindow);
  const int64_t rejections_left = share - room.in_flight;
  if (share > 0 && rejections_left <= 0) {
    return now + kMoment;
  }
  return rejections_.FreeAt(rejections_left, now, kWindow);
}

}  // namespace dandelion::routing
