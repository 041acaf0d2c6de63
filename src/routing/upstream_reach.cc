#include "routing/upstream_reach.h"

#include <algorithm>
#include <utility>

namespace dandelion::routing {

using base::Millis;
using base::PoolName;
using base::UpstreamId;

void UpstreamReach::RecordFailure(const PoolName& pool,
                                  const UpstreamId& upstream,
                                  size_t pool_size,
                                  Millis now) {
  State& state = pools_[pool];
  state.last_failure_at = now;
  state.failures[upstream] = now;
  if (state.lost_at) {
    return;
  }
  std::erase_if(state.failures, [now](const auto& item) {
    return now - item.second > kFailureLifetime;
  });
  const size_t needed =
      std::clamp<size_t>(pool_size, size_t{1}, kFailuresToLose);
  if (state.failures.size() >= needed) {
    state.lost_at = now;
    state.last_trial_at = now;
    hooks_.on_lost(pool, state.failures.size());
  }
}

void UpstreamReach::RecordAnswer(const PoolName& pool, Millis now) {
  const auto known = pools_.find(pool);
  if (known == pools_.end()) {
    return;
  }
  const State state = std::move(known->second);
  pools_.erase(known);
  if (!state.lost_at) {
    return;
  }
  std::set<UpstreamId> failed;
  for (const auto& [upstream, failed_at] : state.failures) {
    failed.insert(upstream);
  }
  hooks_.on_regained(pool, now - *state.lost_at, failed);
}

bool UpstreamReach::IsLost(const PoolName& pool) const {
  const auto known = pools_.find(pool);
  return known != pools_.end() && known->second.lost_at;
}

bool UpstreamReach::TakeTrial(const PoolName& pool, Millis now) {
  const auto known = pools_.find(pool);
  if (known == pools_.end() || !known->second.lost_at ||
      now - known->second.last_trial_at < kTrialInterval) {
    return false;
  }
  known->second.last_trial_at = now;
  return true;
}

std::set<PoolName> UpstreamReach::LostPools() const {
  std::set<PoolName> lost;
  for (const auto& [pool, state] : pools_) {
    if (state.lost_at) {
      lost.insert(pool);
    }
  }
  return lost;
}

void UpstreamReach::Prune(Millis now) {
  std::erase_if(pools_, [now](const auto& item) {
    const State& state = item.second;
    return now - state.last_failure_at >
           (state.lost_at ? kLostLifetime : kFailureLifetime);
  });
}

}  // namespace dandelion::routing
