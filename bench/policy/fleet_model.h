#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "admission/slot_owner.h"
#include "base/clock.h"
#include "bench/policy/dispatcher.h"
#include "bench/policy/engines.h"
#include "bench/policy/fleet.h"
#include "bench/policy/latency_histogram.h"

namespace dandelion::bench {

/// Discrete-event simulation of the engines, the daemons and their slot owner.
/// Times are in milliseconds of simulated time.
class FleetModel {
 public:
  explicit FleetModel(const SimulationParams& params);
  /// Runs the simulation to its end. May be called once.
  SimulationResult Run();

  const SimulationParams& params() const { return params_; }
  Job& job(uint64_t key) { return jobs_[key]; }
  double now() const { return now_; }
  base::Clock clock() {
    return base::Clock(
        [this] { return base::Millis(static_cast<int64_t>(now_)); });
  }
  /// Whether a single dispatcher serves all requests.
  bool has_global_view() const {
    return params_.policy == Policy::kOracle ||
           params_.policy == Policy::kDandelionGlobalView;
  }
  /// Whether the policy is a variant of the Dandelion policy, not a baseline.
  bool uses_dandelion_policy() const {
    return params_.policy == Policy::kDandelion || has_global_view();
  }
  /// Whether an engine is drained; it must get no new requests.
  bool drained(int engine) const { return drained_[engine]; }
  admission::SlotOwner& owner() { return *owner_; }
  /// The load that an engine last reported; delayed by the report lag unless
  /// the policy has a global view.
  const standin::EngineLoad& reported_load(int engine) const {
    return reported_loads_[engine];
  }
  /// Records that a full queue rejected a request.
  void Reject(uint64_t key);
  /// Sends a request to an engine. If the engine does not accept it, the
  /// request ends and is dispatched again with the next reports.
  void Submit(uint64_t key, int engine);

 private:
  void OnToken(uint64_t key, double time_ms);
  void OnEnd(uint64_t key, double time_ms, bool completed);
  /// When the next event is due. `engine` is the engine whose step ends then,
  /// and null for events of other kinds.
  struct NextEvent {
    double at_ms = 0;
    standin::EngineModel* engine = nullptr;
  };

  /// Returns the earliest event, or one at `end_ms` if none is due before.
  NextEvent FindNextEvent(double end_ms);
  /// Updates the load reports and dispatches lost requests again.
  void HandleReportInterval();
  /// Runs the slot round of the first daemon for which one is due.
  void RunDueSlotRound();
  /// Whether every request of the trace was completed or rejected.
  bool AllRequestsEnded() const;
  /// Delivers the load reports that are old enough to the slot owner, and
  /// revokes the free slots of engines whose slot budget fell.
  void UpdateReports();
  /// Injects the failures that are due, if the parameters ask for failures.
  void InjectFailures();
  SimulationResult ComputeResult();

  SimulationParams params_;
  double now_ = 0;
  std::vector<Job> jobs_;
  std::vector<std::unique_ptr<standin::EngineModel>> engines_;
  std::vector<std::unique_ptr<Dispatcher>> daemons_;
  std::unique_ptr<admission::SlotOwner> owner_;
  std::vector<standin::EngineLoad> reported_loads_;
  /// Load reports that wait for the report lag, with the time of each.
  std::deque<std::pair<double, std::vector<standin::EngineLoad>>>
      pending_reports_;
  std::vector<bool> drained_ = std::vector<bool>(kEngineCount);
  /// Requests that were lost before their first token.
  std::deque<uint64_t> retry_queue_;
  LatencyHistogram inter_token_ms_;
  LatencyHistogram first_token_ms_;
  LatencyHistogram short_first_token_ms_;
  SimulationResult result_;
  /// Output tokens by organisation: generated within the duration, and in the
  /// complete trace.
  std::map<int, double> served_tokens_;
  std::map<int, double> requested_tokens_;
  int64_t completed_ = 0;
  int64_t completed_in_time_ = 0;
  size_t next_failure_ = 0;
  size_t next_arrival_ = 0;
  double next_report_ms_ = 0;
};

}  // namespace dandelion::bench
