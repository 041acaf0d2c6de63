#include "routing/rate_share.h"

#include <algorithm>

namespace dandelion::routing {

using base::Millis;

int64_t ShareOf(int64_t total, const DaemonRank& rank) {
  if (!rank.is_known) {
    return 0;
  }
  const auto daemons = static_cast<int64_t>(rank.daemons);
  if (daemons <= 1) {
    return total;
  }
  const bool gets_remainder = static_cast<int64_t>(rank.rank) < total % daemons;
  return total / daemons + (gets_remainder ? 1 : 0);
}

int64_t SettledShare::Settle(int64_t share, Millis now, Millis window) {
  if (!share_ || share <= *share_) {
    share_ = share;
    rises_at_.reset();
    return share;
  }
  if (!rises_at_) {
    rises_at_ = now + window;
  }
  if (now >= *rises_at_) {
    share_ = share;
    rises_at_.reset();
  }
  return *share_;
}

void SendWindow::Record(Millis now) {
  while (!sends_.empty() && now - sends_.front() >= kMaxWindow) {
    sends_.pop_front();
  }
  sends_.push_back(now);
}

int64_t SendWindow::Count(Millis now, Millis window) const {
  const auto first =
      std::upper_bound(sends_.begin(), sends_.end(), now - window);
  return sends_.end() - first;
}

Millis SendWindow::FreeAt(int64_t limit, Millis now, Millis window) const {
  const int64_t sends = Count(now, window);
  if (sends < limit) {
    return now;
  }
  if (limit == 0) {
    return now + window;
  }
  return sends_[sends_.size() - static_cast<size_t>(limit)] + window;
}

}  // namespace dandelion::routing
