#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "bench/policy/trace.h"

namespace dandelion::bench {

/// A policy for choosing the engine of a request.
enum class Policy {
  kRoundRobin,
  kLeastOutstanding,
  kPowerOfTwo,
  /// The policy of this project, in nine daemons that keep separate state.
  kDandelion,
  /// The same policy in a single dispatcher that sees every dispatch at once
  /// and gets load reports without delay.
  kDandelionGlobalView,
  /// As `kDandelionGlobalView`, and every output length is known beforehand.
  kOracle,
};

/// Returns the label of a policy in reports.
std::string ToString(Policy policy);

/// Describes one simulation.
struct SimulationParams {
  Policy policy = Policy::kDandelion;
  std::vector<TraceEntry> trace;
  /// Simulated time during which requests arrive.
  double duration_ms = 120'000;
  /// Whether engines and load reports fail at fixed points of the duration.
  bool inject_failures = false;
  // Mechanisms of the Dandelion policy, each of which an ablation turns off.

  /// Whether a long request is only sent to an engine whose headroom covers the
  /// memory that it is predicted to need.
  bool predicts_memory = true;
  /// Whether the slot owner reserves the headroom that it has granted to one
  /// daemon, so that it does not grant it to another.
  bool reserves_headroom = true;
  /// Whether observed preemptions and successes adjust how many standard
  /// deviations of the predicted memory are kept free.
  bool adapts_z = true;
  /// Whether each organisation has a queue of its own; otherwise all share one.
  bool fair_queueing = true;
};

/// Metrics of one simulation.
struct SimulationResult {
  /// Sum of the time by which gaps between tokens exceed the stall threshold.
  double stall_s = 0;
  int64_t preemptions = 0;
  int64_t recomputed_tokens = 0;
  /// Time between two consecutive tokens of an answer.
  double inter_token_p50_ms = 0;
  double inter_token_p95_ms = 0;
  double inter_token_p99_ms = 0;
  /// Time from the arrival of a request to its first token.
  double first_token_p50_ms = 0;
  double first_token_p95_ms = 0;
  double first_token_p99_ms = 0;
  /// The same, of short requests only.
  double short_first_token_p95_ms = 0;
  /// Answers per second that were complete by the end of the duration.
  double answers_per_s = 0;
  /// Share of all requests that were answered completely, in [0, 1].
  double completed_share = 0;
  /// Jain's fairness index over the organisations' ratios of served to
  /// requested tokens, in (0, 1]; 1 is equal treatment.
  double jain_index = 0;
  /// Requests that were rejected because a queue was full.
  int64_t rejected = 0;
  /// Crashes of cold engines that were sent more requests than their cold
  /// slots.
  int64_t engine_crashes = 0;
};

/// Replays a trace against the engine models on a simulated clock, without a
/// network. The result is deterministic for equal parameters.
SimulationResult Simulate(const SimulationParams& params);

}  // namespace dandelion::bench
