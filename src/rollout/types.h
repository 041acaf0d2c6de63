#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::rollout {

/// An operator's order to move a pool to upstreams of another version, which
/// run beside the old ones.
struct Order {
  base::PoolName pool;
  base::SoftwareVersion target;
  /// The roll-out must have ended this long after the order.
  base::Millis time_limit{0};
  /// Position of the order in the operators' topic. A later order for the same
  /// name has a higher one.
  int64_t offset = 0;

  bool operator==(const Order&) const = default;
};

/// How far a roll-out has come. The last two states are final.
enum class State {
  /// A share of the pool's requests goes to the target version.
  kRunning,
  /// All requests go to the target version, and the old one runs empty.
  kMoving,
  /// The old upstreams may be stopped.
  kCompleted,
  /// No request goes to the target version any more.
  kReverted,
};

/// The name of a state in logs and records.
std::string_view ToString(State state);

inline bool IsFinal(State state) {
  return state == State::kCompleted || state == State::kReverted;
}

/// What the fleet does about an order. The decider renews it while the state is
/// not final.
struct Decision {
  /// Name of the order in the operators' topic.
  base::RolloutName name;
  base::PoolName pool;
  base::SoftwareVersion target;
  int64_t order_offset = 0;
  /// Later decisions on the same order have higher numbers.
  int64_t sequence = 0;
  State state = State::kRunning;
  /// Share of the pool's requests that goes to the target version.
  double share = 0;
  /// How long ago the operator ordered the roll-out.
  base::Millis order_age{0};
  /// The daemon that decided.
  base::HostId decider;
};

/// Distribution of durations in buckets, four for each doubling from 0.25 ms to
/// 16 s. Sums of several are exact.
class TimeHistogram {
 public:
  static constexpr size_t kBuckets = 64;

  static size_t BucketFor(double milliseconds);
  /// The durations in `bucket` are shorter than this many milliseconds.
  static double EndOf(size_t bucket);

  void Record(double milliseconds) { AddToBucket(BucketFor(milliseconds), 1); }
  void AddToBucket(size_t bucket, int64_t count) {
    counts_[bucket] += count;
    total_ += count;
  }
  int64_t CountIn(size_t bucket) const { return counts_[bucket]; }
  int64_t total() const { return total_; }
  /// The lowest bucket below or in which lies at least `quantile` of all
  /// durations; the last bucket if there is none.
  size_t BucketOf(double quantile) const;
  /// Number of durations in `bucket` and above.
  int64_t CountFrom(size_t bucket) const;
  TimeHistogram& operator+=(const TimeHistogram& other);
  /// What came after `earlier` was counted.
  TimeHistogram Since(const TimeHistogram& earlier) const;

 private:
  std::array<int64_t, kBuckets> counts_{};
  int64_t total_ = 0;
};

/// What one version of a pool did with the requests of one route.
struct RouteCounts {
  /// Requests sent, whatever became of them.
  int64_t sent = 0;
  /// Answers that began with a success.
  int64_t answered = 0;
  /// Errors of the upstream's own, invalid answers, and timeouts.
  int64_t failed = 0;
  /// Time to the head of the answer.
  TimeHistogram answer_times;
  /// Time per token of generations.
  TimeHistogram token_times;

  int64_t ended() const { return answered + failed; }
  RouteCounts& operator+=(const RouteCounts& other);
  /// What came after `earlier` was counted.
  RouteCounts Since(const RouteCounts& earlier) const;
};

/// The two versions that a roll-out compares.
enum class Side { kOld = 0, kTarget = 1 };
inline constexpr std::array kSides = {Side::kOld, Side::kTarget};

/// What one version of a pool did.
struct SideCounts {
  std::map<base::RouteName, RouteCounts> routes;
  /// Upstreams that broke connections. An upstream that crashes breaks many at
  /// once, which says no more than one.
  std::set<base::UpstreamId> broken;

  int64_t sent() const;
  /// The sum over all routes.
  RouteCounts Total() const;
  SideCounts& operator+=(const SideCounts& other);
  /// What came after `earlier` was counted; all broken upstreams are kept.
  SideCounts Since(const SideCounts& earlier) const;
};

/// What some daemons saw of one roll-out.
struct Counts {
  std::array<SideCounts, kSides.size()> sides;

  SideCounts& side(Side side) { return sides[static_cast<size_t>(side)]; }
  const SideCounts& side(Side side) const {
    return sides[static_cast<size_t>(side)];
  }
  Counts& operator+=(const Counts& other);
  /// What came after `earlier` was counted; all broken upstreams are kept.
  Counts Since(const Counts& earlier) const;
};

}  // namespace dandelion::rollout
