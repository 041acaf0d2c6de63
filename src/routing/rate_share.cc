#include "routing/rate_share.h"

namespace dandelion::routing {

using base::Millis;

int64_t ShareOf(int64_t total, const DaemonRank& rank) {
  const auto daemons = static_cast<int64_t>(rank.daemons);
  if (daemons <= 1) {
    return total;
  }
  const bool gets_remainder = static_cast<int64_t>(rank.rank) < total % daemons;
  return total / daemons + (gets_remainder ? 1 : 0);
}

int64_t SendWindow::Count(Millis now, Millis window) {
  while (!sends_.empty() && now - sends_.front() >= window) {
    sends_.pop_front();
  }
  return static_cast<int64_t>(sends_.size());
}

Millis SendWindow::FreeAt(int64_t limit, Millis now, Millis window) {
  const int64_t sends = Count(now, window);
  if (sends < limit) {
    return now;
  }
  return limit == 0 ? now + window
                    : sends_[static_cast<size_t>(sends - limit)] + window;
}

}  // namespace dandelion::routing
