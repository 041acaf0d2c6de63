#include "kernel/rollout_service.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "rollout/rollout_exchange.h"
#include "telemetry/events.h"

namespace dandelion::kernel {
namespace {

using base::Millis;
using base::Task;
using nlohmann::json;
using rollout::RecordedState;
using rollout::Rollouts;
using rollout::State;
using telemetry::Emit;
using telemetry::Event;

// Least time between two rounds of heartbeats with counts.
constexpr Millis kCountInterval{250};
constexpr Millis kRecordInterval{200};

const char* SideName(rollout::Side side) {
  return side == rollout::Side::kOld ? "old_version" : "target_version";
}

}  // namespace

RolloutService::RolloutService(const base::HostId& self,
                               base::Clock clock,
                               const fleet::UpstreamList& upstreams,
                               const rollout::ExposureBound& bound,
                               store::StatusStore& store,
                               RolloutStatusFormat format,
                               telemetry::Metrics& metrics,
                               Rollouts::Hooks hooks)
    : clock_(std::move(clock)),
      store_(store),
      format_(std::move(format)),
      metrics_(metrics),
      rollouts_(self, upstreams, bound, [&] {
        hooks.on_decision = [this](const rollout::Decision& decision,
                                   std::string_view reason) {
          OnDecision(decision, reason);
        };
        return std::move(hooks);
      }()) {}

std::string RolloutService::DescribeAsJson() const {
  json list = json::array();
  for (const Rollouts::View& view : rollouts_.Describe(clock_.Now())) {
    json entry = {{"name", view.name.value()},
                  {"pool", view.order.pool.value()},
                  {"target", view.order.target.value()},
                  {"limit_ms", view.order.time_limit.count()}};
    if (view.decision) {
      entry["state"] = rollout::ToString(view.decision->state);
      entry["share"] = view.decision->share;
      entry["decider"] = view.decision->decider.value();
      entry["age_ms"] = view.decision_age.count();
    }
    for (const rollout::Side side : rollout::kSides) {
      const rollout::RouteCounts sum = view.counts.side(side).Total();
      entry[SideName(side)] = {{"sent", sum.sent},
                               {"answered", sum.answered},
                               {"failed", sum.failed}};
    }
    list.push_back(std::move(entry));
  }
  return list.dump();
}

void RolloutService::ExportCounts() {
  for (const Rollouts::View& view : rollouts_.Describe(clock_.Now())) {
    for (const rollout::Side side : rollout::kSides) {
      const rollout::RouteCounts sum = view.counts.side(side).Total();
      const auto set = [&](const char* outcome, int64_t count) {
        metrics_.SetRolloutRequests(view.order.pool, SideName(side), outcome,
                                    static_cast<double>(count));
      };
      set("sent", sum.sent);
      set("answered", sum.answered);
      set("failed", sum.failed);
    }
  }
}

void RolloutService::OnOrder(const fleet::RolloutOrder& order) {
  const bool removed = !order.order.has_value();
  Emit(Event::kRolloutOrdered,
       {{"rollout", order.name.value()},
        {"removed", removed ? "1" : "0"},
        {"pool", removed ? "" : order.order->pool.value()},
        {"target", removed ? "" : order.order->target.value()},
        {"limit_ms",
         removed ? "" : absl::StrCat(order.order->time_limit.count())},
        {"order", removed ? "" : absl::StrCat(order.order->offset)}});
  rollouts_.SetOrder(order.name, order.order, clock_.Now());
}

void RolloutService::OnDecision(const rollout::Decision& decision,
                                std::string_view reason) {
  metrics_.SetRolloutShare(decision.pool, decision.share);
  Emit(Event::kRolloutDecided,
       {{"rollout", decision.name.value()},
        {"pool", decision.pool.value()},
        {"target", decision.target.value()},
        {"state", std::string(ToString(decision.state))},
        {"share", fmt::format("{:.2f}", decision.share)},
        {"reason", std::string(reason)},
        {"decider", decision.decider.value()},
        {"order", absl::StrCat(decision.order_offset)},
        {"order_age_ms", absl::StrCat(decision.order_age.count())}});
}

void RolloutService::AddHooks(membership::Mesh::Hooks* hooks) {
  AddCountHooks(hooks);
  AddDecisionHooks(hooks);
}

void RolloutService::AddCountHooks(membership::Mesh::Hooks* hooks) {
  hooks->start_load_round = [this, next = std::move(hooks->start_load_round)] {
    next();
    const Millis now = clock_.Now();
    counts_due_ = now >= next_counts_at_;
    if (counts_due_) {
      next_counts_at_ = now + kCountInterval;
    }
  };
  hooks->add_loads = [this, next = std::move(hooks->add_loads)](
                         proto::LoadScope scope, const base::HostId& receiver,
                         bool all, proto::FleetBeat* heartbeat) {
    next(scope, receiver, all, heartbeat);
    if (scope != proto::FLEET && (all || counts_due_)) {
      rollout::AddCounts(rollouts_, scope == proto::DATA_CENTRE, heartbeat);
    }
  };
  hooks->on_member_loads = [this, next = std::move(hooks->on_member_loads)](
                               const base::HostId& from,
                               const proto::FleetBeat& heartbeat) {
    next(from, heartbeat);
    rollout::ApplyMemberCounts(from, heartbeat, rollouts_);
  };
  hooks->on_data_centre_loads =
      [this, next = std::move(hooks->on_data_centre_loads)](
          const base::DataCentreId& from, const proto::FleetBeat& heartbeat) {
        next(from, heartbeat);
        rollout::ApplyDataCentreCounts(from, heartbeat, rollouts_);
      };
}

void RolloutService::AddDecisionHooks(membership::Mesh::Hooks* hooks) {
  hooks->add_self_reports = [this, next = std::move(hooks->add_self_reports)](
                                bool all, proto::FleetBeat* heartbeat) {
    next(all, heartbeat);
    rollout::AddDecisions(rollouts_, all, clock_.Now(), heartbeat);
  };
  hooks->has_new_self_reports =
      [this, next = std::move(hooks->has_new_self_reports)] {
        return next() || rollouts_.has_new_decisions();
      };
  hooks->on_self_reports = [this, next = std::move(hooks->on_self_reports)](
                               const proto::FleetBeat& heartbeat) {
    next(heartbeat);
    rollout::ApplyDecisions(heartbeat, clock_.Now(), rollouts_);
  };
}

Task<void> RolloutService::KeepRecords() {
  for (;;) {
    co_await base::SleepFor(kRecordInterval);
    for (const Rollouts::Pending& pending : rollouts_.PendingRecords()) {
      co_await Record(pending);
    }
  }
}

Task<void> RolloutService::Record(Rollouts::Pending pending) {
  const absl::StatusOr<store::Update> statuses = co_await store_.ReadStatuses();
  if (!statuses.ok()) {
    Emit(Event::kRolloutRecorded,
         {{"rollout", pending.name.value()},
          {"written", "0"},
          {"reason", std::string(statuses.status().message())}});
    co_return;
  }
  const std::string key = format_.key(pending.name);
  std::optional<RecordedState> recorded;
  for (const store::Record& record : statuses->records) {
    if (record.key == key) {
      recorded = format_.parse(record.value);
    }
  }
  rollouts_.OnRecorded(pending.name, recorded, clock_.Now());
  const bool is_of_order =
      recorded && recorded->order_offset == pending.order.offset;
  if (!pending.to_record || (is_of_order && IsFinal(recorded->state))) {
    co_return;
  }
  // Operators see that a roll-out ran before they see how it ended.
  const State next_state = is_of_order ? *pending.to_record : State::kRunning;
  const RecordedState next = {pending.order.target, pending.order.offset,
                              next_state};
  const absl::Status written =
      co_await store_.WriteStatus(key, format_.encode(next), statuses->to);
  Emit(Event::kRolloutRecorded, {{"rollout", pending.name.value()},
                                 {"state", std::string(ToString(next.state))},
                                 {"written", written.ok() ? "1" : "0"},
                                 {"reason", std::string(written.message())}});
  if (!written.ok()) {
    co_return;
  }
  rollouts_.OnRecorded(pending.name, next, clock_.Now());
  if (next_state != *pending.to_record) {
    co_await Record(std::move(pending));
  }
}

}  // namespace dandelion::kernel
