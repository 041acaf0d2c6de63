#include "rollout/plan.h"

#include <algorithm>
#include <utility>

namespace dandelion::rollout {
namespace {

using base::Millis;

constexpr double kCanaryShare = 0.03;
constexpr double kProbeShare = 0.25;
// Part of the exposure bound that is used. The rest covers daemons whose counts
// are lost.
constexpr double kUsableBound = 0.8;
// Time in which requests are still sent by an earlier decision, or are not
// counted yet.
constexpr Millis kReactionTime{2000};
// The last seconds that are judged alone.
constexpr Millis kRecentTime{3000};
// Length of the periods in which the versions are compared. Older ones are
// joined, so that no more than this many are kept.
constexpr Millis kPeriod{500};
constexpr size_t kMaxPeriods = 40;

}  // namespace

double RolloutPlan::Elapsed(Millis now) const {
  const Millis limit = std::max(order_.time_limit, Millis(1));
  return static_cast<double>((now - ordered_at_).count()) /
         static_cast<double>(limit.count());
}

// Returns the share with which the target version stays within the bound, also
// if it is found bad only after the reaction time.
double RolloutPlan::AllowedShare(Millis now, const Evidence& evidence) const {
  const auto exposed =
      static_cast<double>(evidence.counts.side(Side::kTarget).sent());
  const double all =
      exposed + static_cast<double>(evidence.counts.side(Side::kOld).sent());
  const double elapsed_s = std::max((now - ordered_at_).seconds(), 1.0);
  const double while_reacting = all / elapsed_s * kReactionTime.seconds();
  const double left =
      kUsableBound * (bound_.share * all + bound_.slack) - exposed;
  if (while_reacting <= 0) {
    return 1;
  }
  return std::clamp(left / while_reacting, 0.0, 1.0);
}

void RolloutPlan::RecordPeriod(Millis now, const Counts& counts) {
  // Another delegate of a data centre may know less of what it has done. What
  // is counted from then on must not be taken for known already.
  const bool fell = std::any_of(kSides.begin(), kSides.end(), [&](Side side) {
    return counts.side(side).sent() < counted_.side(side).sent();
  });
  if (periods_.empty() || fell || now - periods_.back().begin >= kPeriod) {
    counted_before_ = fell ? counts : counted_;
    periods_.push_back({now, now, {}});
    if (periods_.size() > kMaxPeriods) {
      JoinPeriods(now);
    }
  }
  periods_.back().end = now;
  periods_.back().counts = counts.Since(counted_before_);
  counted_ = counts;
}

void RolloutPlan::JoinPeriods(Millis now) {
  const auto first_recent = std::find_if(
      periods_.begin(), periods_.end(),
      [now](const Period& period) { return now - period.end <= kRecentTime; });
  auto shortest = periods_.end();
  for (auto left = periods_.begin(); left != first_recent; ++left) {
    const auto right = left + 1;
    if (right != first_recent &&
        (shortest == periods_.end() ||
         right->end - left->begin < (shortest + 1)->end - shortest->begin)) {
      shortest = left;
    }
  }
  if (shortest != periods_.end()) {
    shortest->end = (shortest + 1)->end;
    shortest->counts += (shortest + 1)->counts;
    periods_.erase(shortest + 1);
  }
}

Verdict RolloutPlan::JudgeAll(Millis now, const Evidence& evidence) {
  RecordPeriod(now, evidence.counts);
  std::vector<const Counts*> all;
  std::vector<const Counts*> recent;
  for (const Period& period : periods_) {
    all.push_back(&period.counts);
    if (now - period.begin <= kRecentTime) {
      recent.push_back(&period.counts);
    }
  }
  Verdict verdict = Judge(evidence.counts, all);
  if (verdict.finding != Finding::kBad) {
    Verdict of_recent = Judge(evidence.counts, recent);
    if (of_recent.finding == Finding::kBad) {
      return of_recent;
    }
  }
  return verdict;
}

Step RolloutPlan::Revert(std::string reason) {
  state_ = State::kReverted;
  return {state_, 0, std::move(reason)};
}

void RolloutPlan::Adopt(State state) {
  if (!IsFinal(state_) || state == State::kCompleted) {
    state_ = state;
  }
}

Step RolloutPlan::Next(Millis now, const Evidence& evidence) {
  if (IsFinal(state_)) {
    return {state_, state_ == State::kCompleted ? 1.0 : 0.0, "final"};
  }
  const Verdict verdict = JudgeAll(now, evidence);
  if (verdict.finding == Finding::kBad) {
    return Revert(verdict.reason);
  }
  const double elapsed = Elapsed(now);
  if (state_ == State::kMoving) {
    const bool may_end = evidence.running_on_old == 0 || elapsed >= kDecideBy;
    return {may_end ? State::kCompleted : state_, 1, verdict.reason};
  }
  if (elapsed >= kProbeEnd && verdict.finding == Finding::kSound &&
      evidence.target_upstreams > 0) {
    state_ = State::kMoving;
    return {state_, 1, verdict.reason};
  }
  if (elapsed >= kDecideBy) {
    return Revert(evidence.target_upstreams == 0
                      ? "no upstream of the target version is usable"
                      : verdict.reason);
  }
  const Millis watched = now - ordered_at_;
  if (elapsed < kBaselineEnd && watched < kMaxBaseline) {
    return {state_, 0, "watching the old version"};
  }
  const double wanted = elapsed < kCanaryEnd ? kCanaryShare : kProbeShare;
  return {state_, std::min(wanted, AllowedShare(now, evidence)),
          verdict.reason};
}

}  // namespace dandelion::rollout
