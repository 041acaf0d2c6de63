#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <vector>

#include "admission/fair_queue.h"
#include "admission/length_model.h"
#include "admission/slot_holder.h"
#include "bench/policy/engines.h"
#include "bench/policy/trace.h"
#include "routing/slot_choice.h"
#include "routing/upstream_model.h"

namespace dandelion::bench {

/// Number of simulated daemons. Policies with a global view use only one.
inline constexpr int kDaemonCount = 9;
/// Interval between the slot requests of a dispatcher, in ms: with an empty
/// queue, and while requests wait.
inline constexpr double kRoundIntervalMs = 700;
inline constexpr double kBusyRoundIntervalMs = 50;
/// Most requests of one organisation that wait at one dispatcher; further ones
/// are rejected.
inline constexpr size_t kMaxQueuedPerOrganisation = 400;

/// A request of the trace and its progress. Times are in milliseconds.
struct Job {
  const TraceEntry* entry = nullptr;
  int daemon = 0;
  /// The engine that the request was last sent to; -1 if none.
  int engine = -1;
  /// When the request was last sent to an engine.
  double dispatched_ms = 0;
  /// Negative before the first token.
  double last_token_ms = -1;
  int64_t generated_tokens = 0;
  bool waiting = false;
  bool done = false;
};

class FleetModel;

/// The part of a daemon that chooses an engine for each request: either the
/// Dandelion policy with its queue, slot leases and predictions, or a baseline
/// policy without a queue.
class Dispatcher {
 public:
  Dispatcher(FleetModel& fleet, int index);

  /// Sends a request to an engine or queues it. Rejects it if the queue of its
  /// organisation is full.
  void OnArrival(uint64_t key);
  /// Sends as many queued requests as engines admit, in fair order.
  void DispatchQueued();
  /// Requests slots at every engine, and headroom where queued requests need
  /// it, then sends queued requests.
  void RunSlotRound();
  /// Records a token. `gap_ms` is the time since the previous token, or since
  /// the dispatch for the first one.
  void OnToken(uint64_t key, double gap_ms);
  /// Records that a request left its engine, `completed` or lost.
  void OnEnd(uint64_t key, bool completed);
  /// Stops using the free slots of an engine until the next grant.
  void Revoke(int engine) { slots_.Revoke(UpstreamIdFor(engine)); }
  bool HasQueuedRequests() const { return queue_.size() > 0; }
  /// When the next slot round is due.
  double next_round_ms = 0;

 private:
  /// Sends a request to the engine that the policy chooses. Returns false if no
  /// engine admits it now.
  bool TryDispatch(uint64_t key);
  routing::SlotCandidate MakeCandidate(const Job& job, int engine);
  routing::ChoiceRequest MakeChoiceRequest(const Job& job) const;
  /// Chooses an engine by one of the baseline policies.
  int ChooseBaseline(const Job& job);
  admission::LengthGroup LengthGroupOf(const Job& job) const;

  FleetModel& fleet_;
  int index_;
  std::vector<routing::UpstreamModel> models_;
  admission::LengthModel lengths_;
  admission::FairQueue queue_{kMaxQueuedPerOrganisation};
  admission::SlotHolder slots_;
  /// Requests sent and not ended, by engine; counted for baseline policies
  /// only.
  std::vector<int64_t> outstanding_ = std::vector<int64_t>(kEngineCount);
  /// Round robin: the engine chosen last. Least outstanding: the engine where
  /// the next search starts, modulo the number of engines.
  int round_robin_position_ = 0;
  /// Whether `DispatchQueued` is on the call stack.
  bool dispatching_ = false;
  /// Headroom, in tokens, that the first queued request which no engine
  /// admitted needs; 0 if none lacks headroom.
  double headroom_needed_ = 0;
  uint64_t rounds_ = 0;
  pcg32 random_;
};

}  // namespace dandelion::bench
