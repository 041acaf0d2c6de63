#include "test/rollout-fleet.h"

#include <algorithm>
#include <cmath>

#include "rollout/rollout_exchange.h"

namespace dandelion::test {

using base::Millis;
using base::RolloutName;
using base::RouteName;
using base::SoftwareVersion;
using base::UpstreamId;
using rollout::Rollouts;

namespace {

constexpr Millis kTick{25};
constexpr Millis kHeartbeatInterval{300};
constexpr Millis kMessageDelay{150};
constexpr Millis kStoreInterval{200};
// From the pages: a version that had its 50th bad answer gets no request later
// than this.
constexpr Millis kRollbackTime{5000};
constexpr int64_t kBadAnswers = 50;
const RolloutName kName("pool");
const base::PoolName kPool("pool");
const SoftwareVersion kOld("7");
const SoftwareVersion kTarget("8");

base::HostId HostOf(size_t daemon) {
  return base::HostId("front-" + std::to_string(daemon));
}

}  // namespace

RolloutFleet::RolloutFleet(Options options)
    : options_(std::move(options)),
      random_(options_.seed),
      upstreams_({[](const fleet::Upstream&) {},
                  [](const fleet::Upstream&, std::string_view) {},
                  [](const UpstreamId&) {}}) {
  // A quarter of the upstreams of either version is half as fast.
  constexpr size_t kSlowPeriod = 4;
  constexpr double kSlowSpeed = 0.5;
  for (size_t i = 0; i < 2 * options_.upstreams; ++i) {
    const bool is_target = i >= options_.upstreams;
    const UpstreamId id("u-" + std::to_string(i));
    fleet::UpstreamEntry entry;
    entry.pool = kPool;
    entry.version = is_target ? kTarget : kOld;
    entry.slots = 24;
    upstreams_.ApplyEntry(id, entry, now_);
    speeds_[id] = i % kSlowPeriod == 0 ? kSlowSpeed : 1;
  }
  for (size_t i = 0; i < options_.daemons; ++i) {
    daemons_.push_back({MakeRollouts(i)});
  }
}

std::unique_ptr<Rollouts> RolloutFleet::MakeRollouts(size_t index) {
  Rollouts::Hooks hooks;
  hooks.is_decider = [this, index] { return deciders.contains(index); };
  hooks.running_on = [](const UpstreamId&) { return 1; };
  hooks.on_decision = [this, index](const rollout::Decision& decision,
                                    std::string_view reason) {
    if (decision.decider == HostOf(index)) {
      last_reason = reason;
    }
  };
  return std::make_unique<Rollouts>(HostOf(index), upstreams_,
                                    rollout::ExposureBound(), hooks);
}

void RolloutFleet::Order() {
  order_ = {kPool, kTarget, options_.time_limit, next_offset_++};
  ordered_at_ = now_;
  for (Daemon& daemon : daemons_) {
    daemon.rollouts->SetOrder(kName, order_, now_);
  }
}

void RolloutFleet::RemoveOrder() {
  order_.reset();
  for (Daemon& daemon : daemons_) {
    daemon.rollouts->SetOrder(kName, std::nullopt, now_);
  }
}

void RolloutFleet::Restart(size_t index) {
  daemons_[index].rollouts = MakeRollouts(index);
  if (order_) {
    daemons_[index].rollouts->SetOrder(kName, order_, now_);
  }
}

std::optional<rollout::State> RolloutFleet::StateAt(size_t index) {
  const auto decisions = daemon(index).CollectDecisions(true, now_);
  return decisions.empty() ? std::nullopt
                           : std::optional(decisions[0].decision.state);
}

void RolloutFleet::RunFor(Millis time) {
  const Millis end = now_ + time;
  const double per_tick = options_.requests_per_second * kTick.seconds();
  for (; now_ < end; now_ = now_ + kTick) {
    for (auto& [id, rate] : rates_) {
      rate *= 1 - kTick.seconds();
    }
    std::poisson_distribution<int> arrivals(per_tick);
    for (int count = arrivals(random_); count > 0; --count) {
      SendRequest(random_() % daemons_.size());
    }
    DeliverAnswers();
    if (now_.count() % kHeartbeatInterval.count() < kTick.count()) {
      SendHeartbeats();
    }
    for (size_t i = 0; i < daemons_.size(); ++i) {
      daemons_[i].rollouts->Tick(now_);
    }
    SendDecisions();
    if (now_.count() % kStoreInterval.count() < kTick.count()) {
      UseStore();
    }
    std::vector<Message> waiting;
    for (Message& message : messages_) {
      if (message.at <= now_) {
        message.deliver();
      } else {
        waiting.push_back(std::move(message));
      }
    }
    messages_ = std::move(waiting);
  }
}

void RolloutFleet::SendRequest(size_t daemon) {
  Rollouts& rollouts = *daemons_[daemon].rollouts;
  const std::vector<const fleet::Upstream*> usable =
      upstreams_.UsableInPool(kPool);
  const std::optional<rollout::VersionRule> rule =
      rollouts.RuleFor(kPool, now_);
  std::vector<const fleet::Upstream*> choice = usable;
  if (rule) {
    const rollout::VersionChoice versions =
        rollout::ChooseVersions(*rule, Uniform(), false, usable);
    choice = versions.preferred.empty() ? versions.others : versions.preferred;
  }
  if (choice.empty()) {
    return;
  }
  const fleet::Upstream& upstream = *choice[random_() % choice.size()];
  const std::string route = random_() % 3 == 0 ? "draft" : "check";
  rates_[upstream.id] += 1;
  rollouts.RecordSend(upstream.id, RouteName(route));
  const Answer answer = DrawAnswer(daemon, upstream, route);
  if (ordered_at_) {
    ++sent;
    exposed += answer.is_target ? 1 : 0;
    too_late += answer.is_target && fiftieth_bad_at_ &&
                        now_ > *fiftieth_bad_at_ + kRollbackTime
                    ? 1
                    : 0;
  }
  answers_.push(answer);
}

RolloutFleet::Answer RolloutFleet::DrawAnswer(size_t daemon,
                                              const fleet::Upstream& upstream,
                                              const std::string& route) {
  constexpr double kMedianMs = 60;
  constexpr double kSpread = 0.5;
  std::lognormal_distribution<> time(std::log(kMedianMs), kSpread);
  Answer answer;
  answer.daemon = daemon;
  answer.upstream = upstream.id;
  answer.route = route;
  answer.is_target = upstream.entry.version == kTarget;
  double ms = time(random_) / speeds_[upstream.id];
  const VersionBehaviour& behaviour = options_.target;
  const bool harmed = answer.is_target && ordered_at_ &&
                      now_ >= *ordered_at_ + behaviour.from &&
                      (behaviour.route.empty() || behaviour.route == route) &&
                      rates_[upstream.id] >= behaviour.above_rate;
  double failing = options_.failing_anyway;
  const Spell& spell = options_.spell;
  if (ordered_at_ && now_ >= *ordered_at_ + spell.from &&
      now_ < *ordered_at_ + spell.until) {
    failing = std::max(failing, spell.failing);
    ms *= spell.slowdown;
  }
  answer.failed = Uniform() < failing;
  bool bad = false;
  if (harmed && Uniform() < behaviour.failing) {
    answer.failed = true;
    bad = true;
  } else if (harmed && Uniform() < behaviour.slow) {
    ms *= behaviour.slowdown;
    bad = true;
  }
  answer.broken = crashing.contains(upstream.id);
  answer.took = Millis(static_cast<int64_t>(ms));
  answer.at = now_ + answer.took;
  if (bad && ++bad_answers_ == kBadAnswers) {
    fiftieth_bad_at_ = answer.at;
  }
  return answer;
}

void RolloutFleet::DeliverAnswers() {
  while (!answers_.empty() && answers_.top().at <= now_) {
    const Answer answer = answers_.top();
    answers_.pop();
    Rollouts& rollouts = *daemons_[answer.daemon].rollouts;
    const RouteName route(answer.route);
    if (answer.broken) {
      rollouts.RecordBreak(answer.upstream);
    } else if (answer.failed) {
      rollouts.RecordFailure(answer.upstream, route);
    } else {
      rollouts.RecordAnswer(answer.upstream, route, answer.took);
    }
  }
}

// Every daemon reports to the first two, which may decide.
void RolloutFleet::SendHeartbeats() {
  for (size_t i = 0; i < daemons_.size(); ++i) {
    for (size_t to = 0; to < 2; ++to) {
      if (to == i || cut_off.contains(i) || cut_off.contains(to)) {
        continue;
      }
      proto::FleetBeat heartbeat;
      rollout::AddCounts(*daemons_[i].rollouts, false, &heartbeat);
      largest_counts_bytes =
          std::max(largest_counts_bytes, heartbeat.ByteSizeLong());
      if (i < 2) {
        // What the two would tell delegates of other data centres.
        proto::FleetBeat sums;
        rollout::AddCounts(*daemons_[i].rollouts, true, &sums);
        largest_sums_bytes = std::max(largest_sums_bytes, sums.ByteSizeLong());
      }
      rollout::AddDecisions(*daemons_[i].rollouts, true, now_, &heartbeat);
      messages_.push_back({now_ + kMessageDelay, [this, i, to, heartbeat] {
                             rollout::ApplyMemberCounts(HostOf(i), heartbeat,
                                                        *daemons_[to].rollouts);
                             rollout::ApplyDecisions(heartbeat, now_,
                                                     *daemons_[to].rollouts);
                           }});
    }
  }
}

void RolloutFleet::SendDecisions() {
  for (size_t i = 0; i < daemons_.size(); ++i) {
    proto::FleetBeat heartbeat;
    rollout::AddDecisions(*daemons_[i].rollouts, false, now_, &heartbeat);
    if (heartbeat.rollout_decisions_size() == 0 || cut_off.contains(i)) {
      continue;
    }
    for (size_t to = 0; to < daemons_.size(); ++to) {
      if (to != i && !cut_off.contains(to)) {
        messages_.push_back({now_ + kMessageDelay, [this, to, heartbeat] {
                               rollout::ApplyDecisions(heartbeat, now_,
                                                       *daemons_[to].rollouts);
                             }});
      }
    }
  }
}

void RolloutFleet::UseStore() {
  if (store_down) {
    return;
  }
  for (Daemon& daemon : daemons_) {
    for (const Rollouts::Pending& pending : daemon.rollouts->PendingRecords()) {
      daemon.rollouts->OnRecorded(pending.name, recorded, now_);
      const bool ended = recorded &&
                         recorded->order_offset == pending.order.offset &&
                         IsFinal(recorded->state);
      if (!pending.to_record || ended) {
        continue;
      }
      recorded = {pending.order.target, pending.order.offset,
                  *pending.to_record};
      if (IsFinal(recorded->state)) {
        ended_at = now_;
      }
      if (lost_answers > 0) {
        --lost_answers;
        continue;
      }
      daemon.rollouts->OnRecorded(pending.name, recorded, now_);
    }
  }
}

}  // namespace dandelion::test
