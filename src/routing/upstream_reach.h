#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::routing {

/// Tells whether this daemon reaches the upstreams of each pool.
///
/// A pool is lost when attempts at several upstreams have failed before the
/// head of any answer, with no answer in between: one upstream that is down
/// says nothing about the way to the others. Any answer regains the pool.
class UpstreamReach {
 public:
  /// So many upstreams have to fail, or all of a smaller pool.
  static constexpr size_t kFailuresToLose = 3;
  /// Older failures count no more, unless the pool is lost by then.
  static constexpr base::Millis kFailureLifetime{5000};
  /// How often a request is tried at the upstreams of a lost pool.
  static constexpr base::Millis kTrialInterval{400};
  /// A lost pool that has had no attempt for so long is forgotten.
  static constexpr base::Millis kLostLifetime{30'000};

  struct Hooks {
    std::function<void(const base::PoolName&, size_t failed)> on_lost;
    /// Called with the upstreams at which attempts have failed meanwhile.
    std::function<void(const base::PoolName&,
                       base::Millis lost_for,
                       const std::set<base::UpstreamId>& failed)>
        on_regained;
  };

  explicit UpstreamReach(Hooks hooks) : hooks_(std::move(hooks)) {}

  /// Records an attempt without the head of an answer. `pool_size` is the
  /// number of the pool's upstreams.
  void RecordFailure(const base::PoolName& pool,
                     const base::UpstreamId& upstream,
                     size_t pool_size,
                     base::Millis now);
  /// Records the head of an answer.
  void RecordAnswer(const base::PoolName& pool, base::Millis now);
  bool IsLost(const base::PoolName& pool) const;
  /// Whether the next request is to be tried at the upstreams of a lost pool.
  /// Returns true once in each `kTrialInterval`.
  bool TakeTrial(const base::PoolName& pool, base::Millis now);
  std::set<base::PoolName> LostPools() const;
  /// Forgets what is out of date. To be called regularly.
  void Prune(base::Millis now);

 private:
  struct State {
    /// When an attempt failed last, by upstream.
    std::map<base::UpstreamId, base::Millis> failures;
    std::optional<base::Millis> lost_at;
    base::Millis last_failure_at;
    base::Millis last_trial_at;
  };

  Hooks hooks_;
  std::map<base::PoolName, State> pools_;
};

}  // namespace dandelion::routing
