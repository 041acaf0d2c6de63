#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "rollout/types.h"
#include "rollout/verdict.h"

namespace dandelion::rollout {

/// What a version that may be bad may get of a pool's requests: a share of all
/// since the order, and some more.
struct ExposureBound {
  double share = 0.1;
  double slack = 50;
};

/// What the decider knows of the fleet at one time.
struct Evidence {
  Counts counts;
  /// Requests that run at upstreams of the old version.
  int64_t running_on_old = 0;
  /// Usable upstreams of the target version.
  size_t target_upstreams = 0;
};

/// A step of a roll-out.
struct Step {
  State state = State::kRunning;
  double share = 0;
  std::string reason;
};

/// Decides the steps of one roll-out from the fleet's evidence. Uses a set
/// clock and does no I/O.
///
/// It first watches the old version alone, then sends a small share to the
/// target version until a third of the time limit has passed, then a larger one
/// for as long as the exposure bound allows, counting what may be sent before
/// news of it arrives. Only a version that has been sound until three fifths of
/// the time limit gets all requests; the rest of the time lets the old version
/// run empty. A version that turns bad at any time, or about which too little
/// is known at the end, is reverted.
class RolloutPlan {
 public:
  /// Shares of the time limit.
  static constexpr double kBaselineEnd = 0.08;
  static constexpr double kCanaryEnd = 0.35;
  static constexpr double kProbeEnd = 0.6;
  /// When the old version is given up even if it is not empty.
  static constexpr double kDecideBy = 0.88;
  /// Longest time in which only the old version is watched.
  static constexpr base::Millis kMaxBaseline{1500};

  RolloutPlan(Order order, base::Millis ordered_at, ExposureBound bound)
      : order_(std::move(order)), ordered_at_(ordered_at), bound_(bound) {}

  /// Returns the step for `now`. Final states are kept. A completion is only
  /// proposed: the state stays `kMoving` until `Adopt`.
  Step Next(base::Millis now, const Evidence& evidence);
  /// Takes over a state that another decider has announced or the store has.
  /// The store's word that it is completed outweighs a reversal.
  void Adopt(State state);
  /// How long ago the operator ordered the roll-out, as far as is known.
  base::Millis AgeAt(base::Millis now) const { return now - ordered_at_; }
  /// Tells an age that another daemon knows. The higher one counts.
  void SetAge(base::Millis age, base::Millis now) {
    ordered_at_ = std::min(ordered_at_, now - age);
  }

  const Order& order() const { return order_; }
  State state() const { return state_; }

 private:
  /// What was counted from one time to another.
  struct Period {
    base::Millis begin;
    base::Millis end;
    Counts counts;
  };

  /// The part of the time limit that has passed.
  double Elapsed(base::Millis now) const;
  double AllowedShare(base::Millis now, const Evidence& evidence) const;
  Step Revert(std::string reason);
  /// Judges all evidence and that of the last seconds alone, in which a version
  /// that has turned bad shows sooner.
  Verdict JudgeAll(base::Millis now, const Evidence& evidence);
  /// Adds what is new in `counts` to the periods.
  void RecordPeriod(base::Millis now, const Counts& counts);
  /// Joins the two neighbours that are the shortest together, of those that are
  /// no longer judged alone, so that the number of periods stays bounded.
  void JoinPeriods(base::Millis now);

  Order order_;
  base::Millis ordered_at_;
  ExposureBound bound_;
  State state_ = State::kRunning;
  /// The roll-out so far, the oldest first. The last one still grows.
  std::vector<Period> periods_;
  /// What had been counted when the last period began, and last.
  Counts counted_before_;
  Counts counted_;
};

}  // namespace dandelion::rollout
