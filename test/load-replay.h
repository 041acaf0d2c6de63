#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "fleet/upstream_list.h"
#include "relay/placer.h"
#include "routing/load_tracker.h"
#include "routing/upstream_health.h"
#include "standin/engine_model.h"
#include "test/load-trace.h"

namespace dandelion::test {

/// The fleet on which a load is replayed.
struct ReplaySetup {
  size_t daemons = 4;
  /// Relative speed of each engine; at 1 a token takes about 8 ms.
  std::vector<double> speeds = {0.6, 1, 1, 1.6};
  /// Whether daemons send their loads to each other.
  bool share_loads = true;
  /// How late the loads arrive.
  base::Millis load_delay{0};
  /// Whether requests have a target for their first token, and choices are
  /// spread; without, as before there were targets.
  bool on_time = false;
};

/// How one request of the load ended.
struct ReplayOutcome {
  /// `kAbandoned`: the caller left before the first token.
  enum class Kind { kPending, kCompleted, kRejected, kLost, kAbandoned };

  Kind kind = Kind::kPending;
  /// Index of the engine that ran the request; 0 if none did.
  size_t engine = 0;
  /// Time from arrival to the first token, or to the end without one.
  base::Millis first_response{0};
  /// Longest time between two tokens.
  base::Millis longest_gap{0};
};

/// The result of a replay.
struct ReplayResult {
  /// One outcome per request, in the order of the load.
  std::vector<ReplayOutcome> outcomes;
  int64_t preemptions = 0;
  /// Upstreams that were given to requests which had already ended.
  int64_t late_placements = 0;

  /// Share of outcomes of this kind, 0 to 1, among the requests whose index
  /// `filter` accepts; 0 if it accepts none.
  double ShareOfKind(ReplayOutcome::Kind kind,
                     const std::function<bool(size_t)>& filter) const;
  /// Share of the requests whose index `filter` accepts that were completed and
  /// had their first token within `target`.
  double ShareOnTime(base::Millis target,
                     const std::function<bool(size_t)>& filter) const;
  /// Quantile (0 to 1) of the time to the first token, of the completed
  /// requests whose index `filter` accepts; 0 if there are none.
  base::Millis FirstTokenQuantile(
      double quantile,
      const std::function<bool(size_t)>& filter) const;
};

/// Replays a load against the code that places, queues and rejects requests,
/// with modelled engines and a simulated clock. The same input gives the same
/// result.
class LoadReplay {
 public:
  /// How long an engine is cold after a crash.
  static constexpr base::Millis kColdDuration{1000};
  /// Requests per second that all daemons together may send to a cold engine.
  static constexpr double kColdRequestsPerSecond = 12;

  explicit LoadReplay(const ReplaySetup& setup);
  ~LoadReplay();

  /// Schedules a call of `fault` at time `at` of the replay.
  void ScheduleFault(base::Millis at, std::function<void()> fault);
  /// Restarts an engine now: it loses all its generations and is cold.
  void CrashEngine(size_t engine);
  /// Makes each caller leave that has no token after `patience`.
  void SetCallerPatience(base::Millis patience) { caller_patience_ = patience; }
  /// Times at which requests were sent to the engine, in order.
  const std::vector<base::Millis>& send_times(size_t engine) const {
    return send_times_[engine];
  }

  ReplayResult Run(const std::vector<LoadEntry>& load);

 private:
  struct Daemon;
  struct Request {
    /// Null until the request arrives.
    const LoadEntry* entry = nullptr;
    size_t daemon = 0;
    /// Set while the request is on an engine.
    std::optional<migration::Place> place;
    /// Set while the request waits in the daemon's queue.
    std::optional<uint64_t> ticket;
    /// When the request is rejected if it still waits.
    base::Millis wait_until;
    base::Millis last_token_at;
    bool has_token = false;
    bool is_urgent = false;
    /// Expected size, and the tokens that were generated.
    routing::GenerationSize size;
    int64_t tokens = 0;
  };

  relay::Placer::Hooks MakePlacerHooks(size_t daemon);
  void OnArrival(size_t index);
  void StartGeneration(size_t index, migration::Place place);
  void FinishRequest(size_t index, ReplayOutcome::Kind kind);
  void OnToken(size_t index, double time_ms);
  void Tick();
  void ExchangeLoads();
  void DeliverHeartbeats();
  /// Ends requests that have waited too long or whose callers leave.
  void ExpireRequests();
  /// Returns when the next engine step ends, in ms, and sets `engine`; negative
  /// if no engine runs anything.
  double FindNextStep(size_t* engine) const;

  base::Millis now_;
  ReplaySetup setup_;
  fleet::Pool pool_;
  fleet::UpstreamList upstreams_;
  std::vector<std::unique_ptr<standin::EngineModel>> engines_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::vector<Request> requests_;
  std::vector<std::vector<base::Millis>> send_times_;
  std::multimap<base::Millis, std::function<void()>> faults_;
  /// Heartbeats on their way, by the time of their arrival.
  std::multimap<base::Millis, std::function<void()>> heartbeats_;
  std::optional<base::Millis> caller_patience_;
  std::minstd_rand random_{1};
  ReplayResult result_;
};

}  // namespace dandelion::test
