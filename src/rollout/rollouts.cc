#include "rollout/rollouts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dandelion::rollout {

using base::Millis;
using base::RolloutName;
using base::RouteName;
using base::UpstreamId;

namespace {

// Whether a decision differs enough from the one before to be told at once. The
// share follows the rate of requests in small steps, which the next renewal
// tells.
bool Differ(State before, double share_before, State now, double share) {
  constexpr double kSmallStep = 0.04;
  return before != now || (share_before > 0) != (share > 0) ||
         std::abs(share_before - share) > kSmallStep;
}

}  // namespace

Rollouts::Rollouts(base::HostId self,
                   const fleet::UpstreamList& upstreams,
                   ExposureBound bound,
                   Hooks hooks)
    : self_(std::move(self)),
      upstreams_(upstreams),
      bound_(bound),
      hooks_(std::move(hooks)) {}

void Rollouts::SetOrder(const RolloutName& name,
                        std::optional<Order> order,
                        Millis now) {
  const auto known = rollouts_.find(name);
  if (known != rollouts_.end()) {
    if (order && *order == known->second.order()) {
      return;
    }
    rollouts_.erase(known);
  }
  if (order) {
    rollouts_.emplace(std::piecewise_construct, std::forward_as_tuple(name),
                      std::forward_as_tuple(*std::move(order), now, bound_));
  }
}

void Rollouts::Tick(Millis now) {
  const bool is_decider = hooks_.is_decider();
  for (auto& [name, rollout] : rollouts_) {
    // Another daemon may have decided since this one last read the store.
    rollout.store_read = rollout.store_read && is_decider;
    if (is_decider && !YieldsTo(rollout, now)) {
      Decide(name, rollout, now);
    }
  }
}

bool Rollouts::YieldsTo(const Rollout& rollout, Millis now) const {
  return rollout.decision && rollout.decision->decider < self_ &&
         now - rollout.decided_at < kDecisionLifetime;
}

void Rollouts::Decide(const RolloutName& name, Rollout& rollout, Millis now) {
  if (!rollout.store_read || rollout.plan.state() == State::kReverted) {
    return;
  }
  Step step = rollout.plan.Next(now, Collect(rollout));
  rollout.may_complete = step.state == State::kCompleted;
  // A completion is not announced before the store has it.
  step.state = rollout.plan.state();
  const bool is_due =
      !IsFinal(step.state) && now - rollout.decided_at >= kRenewalInterval;
  if (is_due || !rollout.decision ||
      Differ(rollout.decision->state, rollout.decision->share, step.state,
             step.share)) {
    Announce(name, rollout, step.state, step.share, step.reason, now);
  }
}

void Rollouts::Announce(const RolloutName& name,
                        Rollout& rollout,
                        State state,
                        double share,
                        std::string_view reason,
                        Millis now) {
  const bool changed =
      !rollout.decision ||
      Differ(rollout.decision->state, rollout.decision->share, state, share);
  Decision decision;
  decision.name = name;
  decision.pool = rollout.order().pool;
  decision.target = rollout.order().target;
  decision.order_offset = rollout.order().offset;
  decision.sequence = rollout.decision ? rollout.decision->sequence + 1 : 1;
  decision.state = state;
  decision.share = share;
  decision.order_age = rollout.plan.AgeAt(now);
  decision.decider = self_;
  rollout.decision = std::move(decision);
  rollout.decided_at = now;
  rollout.is_new = true;
  if (changed) {
    hooks_.on_decision(*rollout.decision, reason);
  }
}

Evidence Rollouts::Collect(const Rollout& rollout) const {
  Evidence evidence;
  evidence.counts = rollout.tracker.FleetSum();
  for (const fleet::Upstream* upstream :
       upstreams_.UsableInPool(rollout.order().pool)) {
    if (upstream->entry.version == rollout.order().target) {
      ++evidence.target_upstreams;
    } else {
      evidence.running_on_old += hooks_.running_on(upstream->id);
    }
  }
  return evidence;
}

std::optional<VersionRule> Rollouts::RuleFor(const base::PoolName& pool,
                                             Millis now) const {
  for (const auto& [name, rollout] : rollouts_) {
    if (rollout.order().pool != pool) {
      continue;
    }
    VersionRule rule;
    rule.target = rollout.order().target;
    const State state = rollout.plan.state();
    const bool is_fresh =
        rollout.decision && now - rollout.decided_at < kDecisionLifetime;
    if (state == State::kCompleted || (state == State::kMoving && is_fresh)) {
      rule.share = 1;
    } else if (state == State::kRunning && is_fresh) {
      rule.share = rollout.decision->share;
    }
    rule.target_may_replace_old = state != State::kReverted;
    return rule;
  }
  return std::nullopt;
}

Rollouts::Rollout* Rollouts::FindFor(const UpstreamId& upstream, Side* side) {
  if (rollouts_.empty()) {
    return nullptr;
  }
  const fleet::Upstream* known = upstreams_.Find(upstream);
  if (!known) {
    return nullptr;
  }
  for (auto& [name, rollout] : rollouts_) {
    if (rollout.order().pool == known->entry.pool &&
        !IsFinal(rollout.plan.state())) {
      *side = known->entry.version == rollout.order().target ? Side::kTarget
                                                             : Side::kOld;
      return &rollout;
    }
  }
  return nullptr;
}

RouteCounts* Rollouts::FindCounts(const UpstreamId& upstream,
                                  const RouteName& route) {
  Side side = Side::kOld;
  Rollout* rollout = FindFor(upstream, &side);
  return rollout ? &rollout->tracker.own().side(side).routes[route] : nullptr;
}

Rollouts::Rollout* Rollouts::FindByOrder(int64_t order_offset) {
  const auto found = std::find_if(
      rollouts_.begin(), rollouts_.end(), [order_offset](const auto& item) {
        return item.second.order().offset == order_offset;
      });
  return found == rollouts_.end() ? nullptr : &found->second;
}

void Rollouts::RecordSend(const UpstreamId& upstream, const RouteName& route) {
  if (RouteCounts* counts = FindCounts(upstream, route)) {
    ++counts->sent;
  }
}

void Rollouts::RecordAnswer(const UpstreamId& upstream,
                            const RouteName& route,
                            Millis time) {
  if (RouteCounts* counts = FindCounts(upstream, route)) {
    ++counts->answered;
    counts->answer_times.Record(static_cast<double>(time.count()));
  }
}

void Rollouts::RecordFailure(const UpstreamId& upstream,
                             const RouteName& route) {
  if (RouteCounts* counts = FindCounts(upstream, route)) {
    ++counts->failed;
  }
}

void Rollouts::RecordBreak(const UpstreamId& upstream) {
  Side side = Side::kOld;
  if (Rollout* rollout = FindFor(upstream, &side)) {
    rollout->tracker.own().side(side).broken.insert(upstream);
  }
}

void Rollouts::RecordTokenTime(const UpstreamId& upstream,
                               const RouteName& route,
                               double milliseconds) {
  if (RouteCounts* counts = FindCounts(upstream, route)) {
    counts->token_times.Record(milliseconds);
  }
}

std::vector<Rollouts::View> Rollouts::Describe(Millis now) const {
  std::vector<View> views;
  for (const auto& [name, rollout] : rollouts_) {
    views.push_back({name, rollout.order(), rollout.decision,
                     rollout.decision ? now - rollout.decided_at : Millis(0),
                     rollout.tracker.FleetSum()});
  }
  return views;
}

std::map<int64_t, Counts> Rollouts::CollectCounts(bool of_data_centre) const {
  std::map<int64_t, Counts> counts;
  for (const auto& [name, rollout] : rollouts_) {
    if (!IsFinal(rollout.plan.state())) {
      counts[rollout.order().offset] = of_data_centre
                                           ? rollout.tracker.DataCentreSum()
                                           : rollout.tracker.own();
    }
  }
  return counts;
}

void Rollouts::ApplyMemberCounts(const base::HostId& from,
                                 int64_t order_offset,
                                 Counts counts) {
  if (Rollout* rollout = FindByOrder(order_offset)) {
    rollout->tracker.SetMember(from, std::move(counts));
  }
}

void Rollouts::ApplyDataCentreCounts(const base::DataCentreId& from,
                                     int64_t order_offset,
                                     Counts counts) {
  if (Rollout* rollout = FindByOrder(order_offset)) {
    rollout->tracker.SetDataCentre(from, std::move(counts));
  }
}

std::vector<Rollouts::SharedDecision> Rollouts::CollectDecisions(bool all,
                                                                 Millis now) {
  std::vector<SharedDecision> decisions;
  for (auto& [name, rollout] : rollouts_) {
    if (rollout.decision && (all || rollout.is_new)) {
      decisions.push_back({*rollout.decision, now - rollout.decided_at});
    }
    rollout.is_new = rollout.is_new && all;
  }
  return decisions;
}

bool Rollouts::has_new_decisions() const {
  return std::any_of(rollouts_.begin(), rollouts_.end(),
                     [](const auto& item) { return item.second.is_new; });
}

void Rollouts::ApplyDecision(const SharedDecision& shared, Millis now) {
  const Decision& decision = shared.decision;
  Rollout* rollout = FindByOrder(decision.order_offset);
  if (!rollout) {
    return;
  }
  const State known = rollout->plan.state();
  // Only the store's word that a roll-out is completed outweighs a reversal.
  const bool is_news =
      decision.state == State::kCompleted
          ? known != State::kCompleted
          : !IsFinal(known) &&
                (decision.state == State::kReverted || !rollout->decision ||
                 decision.sequence > rollout->decision->sequence);
  if (!is_news) {
    return;
  }
  const bool changed =
      !rollout->decision ||
      Differ(rollout->decision->state, rollout->decision->share, decision.state,
             decision.share);
  rollout->plan.Adopt(decision.state);
  rollout->plan.SetAge(decision.order_age + shared.age, now);
  rollout->decision = decision;
  rollout->decided_at = now - shared.age;
  rollout->is_new = true;
  if (changed) {
    hooks_.on_decision(decision, "heard");
  }
}

std::vector<Rollouts::Pending> Rollouts::PendingRecords() const {
  std::vector<Pending> pending;
  if (!hooks_.is_decider()) {
    return pending;
  }
  for (const auto& [name, rollout] : rollouts_) {
    const State state =
        rollout.may_complete ? State::kCompleted : rollout.plan.state();
    if (!rollout.store_read) {
      pending.push_back({name, rollout.order(), std::nullopt});
    } else if (rollout.recorded != state && state != State::kMoving) {
      pending.push_back({name, rollout.order(), state});
    }
  }
  return pending;
}

void Rollouts::OnRecorded(const RolloutName& name,
                          const std::optional<RecordedState>& recorded,
                          Millis now) {
  const auto found = rollouts_.find(name);
  if (found == rollouts_.end()) {
    return;
  }
  Rollout& rollout = found->second;
  const bool first_read = !std::exchange(rollout.store_read, true);
  const bool is_of_order = recorded &&
                           recorded->order_offset == rollout.order().offset &&
                           recorded->target == rollout.order().target;
  if (!is_of_order) {
    return;
  }
  rollout.recorded = recorded->state;
  if (IsFinal(recorded->state)) {
    rollout.plan.Adopt(recorded->state);
    const bool announced =
        rollout.decision && rollout.decision->state == recorded->state;
    if (!announced) {
      Announce(name, rollout, recorded->state,
               recorded->state == State::kCompleted ? 1 : 0, "recorded", now);
    }
  } else if (first_read && !rollout.decision) {
    // All daemons started again and nobody knows what the target version has
    // had, nor since when.
    rollout.plan.Adopt(State::kReverted);
    Announce(name, rollout, State::kReverted, 0,
             "nothing is known of the roll-out's past", now);
  }
}

}  // namespace dandelion::rollout
