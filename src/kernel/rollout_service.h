#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/task.h"
#include "fleet/fleet_state.h"
#include "membership/mesh.h"
#include "rollout/rollouts.h"
#include "store/store.h"
#include "telemetry/metrics.h"

namespace dandelion::kernel {

/// How a platform keeps the statuses of roll-outs in its topic of statuses.
struct RolloutStatusFormat {
  std::function<std::string(const base::RolloutName&)> key;
  std::function<std::string(const rollout::RecordedState&)> encode;
  /// Returns nothing for a value that can't be read.
  std::function<std::optional<rollout::RecordedState>(const std::string&)>
      parse;
};

/// Runs the roll-outs of a daemon: joins their decisions with the heartbeats,
/// the store, the log and the metrics. All references must outlive it.
class RolloutService {
 public:
  RolloutService(const base::HostId& self,
                 base::Clock clock,
                 const fleet::UpstreamList& upstreams,
                 const rollout::ExposureBound& bound,
                 store::StatusStore& store,
                 RolloutStatusFormat format,
                 telemetry::Metrics& metrics,
                 rollout::Rollouts::Hooks hooks);

  rollout::Rollouts& rollouts() { return rollouts_; }

  /// Applies an operator's order, or its end.
  void OnOrder(const fleet::RolloutOrder& order);
  /// The roll-outs as a JSON array, for operators.
  std::string DescribeAsJson() const;
  /// Sets the metrics that show what each version of a pool did.
  void ExportCounts();
  void Tick() { rollouts_.Tick(clock_.Now()); }
  /// Adds counts and decisions to the heartbeats that carry loads and what
  /// upstreams said of themselves.
  void AddHooks(membership::Mesh::Hooks* hooks);
  /// Reads the states of roll-outs that this daemon decides from the store, and
  /// records those that have changed. Runs until the process ends.
  base::Task<void> KeepRecords();

 private:
  void AddCountHooks(membership::Mesh::Hooks* hooks);
  void AddDecisionHooks(membership::Mesh::Hooks* hooks);
  base::Task<void> Record(rollout::Rollouts::Pending pending);
  void OnDecision(const rollout::Decision& decision, std::string_view reason);

  base::Clock clock_;
  store::StatusStore& store_;
  RolloutStatusFormat format_;
  telemetry::Metrics& metrics_;
  rollout::Rollouts rollouts_;
  /// Whether the heartbeats of the current round carry counts.
  bool counts_due_ = false;
  base::Millis next_counts_at_{0};
};

}  // namespace dandelion::kernel
