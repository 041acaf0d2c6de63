#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "fleet/upstream_list.h"
#include "rollout/rollouts.h"

namespace dandelion::test {

/// How one version answers a request.
struct VersionBehaviour {
  /// Share of the requests that fail, or that are slowed by `slowdown`.
  double failing = 0;
  double slow = 0;
  double slowdown = 4;
  /// The harm begins so long after the order.
  base::Millis from{0};
  /// The harm is confined to this route; to none if empty.
  std::string route = "";
  /// The harm begins at this many requests a second at one upstream.
  double above_rate = 0;
};

/// A time after the order in which upstreams of both versions do worse.
struct Spell {
  base::Millis from{0};
  base::Millis until{0};
  double failing = 0;
  double slowdown = 1;
};

/// A few daemons in front of one pool of two versions, on a set clock:
/// requests, heartbeats that arrive late, and a store. Holds no policy of its
/// own.
class RolloutFleet {
 public:
  struct Options {
    uint64_t seed = 1;
    size_t daemons = 8;
    size_t upstreams = 8;
    double requests_per_second = 160;
    base::Millis time_limit{20'000};
    VersionBehaviour target;
    /// Harm at both versions, which is not the target version's fault.
    double failing_anyway = 0;
    /// More of it for a while.
    Spell spell;
  };

  explicit RolloutFleet(Options options);

  /// Sends the operator's order.
  void Order();
  void RemoveOrder();
  /// Lets time pass.
  void RunFor(base::Millis time);
  /// Replaces daemon `index` by one that has just started and knows the order.
  void Restart(size_t index);

  rollout::Rollouts& daemon(size_t index) { return *daemons_[index].rollouts; }
  /// The state that daemon `index` knows; nothing without a decision.
  std::optional<rollout::State> StateAt(size_t index);
  base::Millis now() const { return now_; }

  /// The daemons that take themselves for the decider.
  std::set<size_t> deciders = {0};
  /// Daemons whose messages are lost.
  std::set<size_t> cut_off;
  bool store_down = false;
  /// Appends whose answer is lost although they took effect.
  int lost_answers = 0;
  std::optional<rollout::RecordedState> recorded;
  /// When the store got a final state.
  std::optional<base::Millis> ended_at;
  /// Size of the largest message with the counts of one daemon.
  size_t largest_counts_bytes = 0;
  /// The same of what delegates tell each other of all daemons.
  size_t largest_sums_bytes = 0;
  /// Why the last decision was made.
  std::string last_reason;
  /// Upstreams whose connections break.
  std::set<base::UpstreamId> crashing;
  /// Requests at each version since the order, and at the target version later
  /// than allowed after its 50th bad answer.
  int64_t sent = 0;
  int64_t exposed = 0;
  int64_t too_late = 0;

 private:
  struct Daemon {
    std::unique_ptr<rollout::Rollouts> rollouts;
  };
  struct Answer {
    base::Millis at;
    size_t daemon = 0;
    base::UpstreamId upstream;
    std::string route;
    base::Millis took;
    bool failed = false;
    bool broken = false;
    bool is_target = false;
    bool operator>(const Answer& other) const { return at > other.at; }
  };
  /// A heartbeat under way.
  struct Message {
    base::Millis at;
    std::function<void()> deliver;
  };

  std::unique_ptr<rollout::Rollouts> MakeRollouts(size_t index);
  void SendRequest(size_t daemon);
  Answer DrawAnswer(size_t daemon,
                    const fleet::Upstream& upstream,
                    const std::string& route);
  void DeliverAnswers();
  void SendHeartbeats();
  void SendDecisions();
  void UseStore();
  double Uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }

  Options options_;
  std::mt19937_64 random_;
  base::Millis now_{1000};
  std::optional<base::Millis> ordered_at_;
  std::optional<rollout::Order> order_;
  int64_t next_offset_ = 0;
  int64_t store_end_ = 0;
  fleet::UpstreamList upstreams_;
  std::map<base::UpstreamId, double> speeds_;
  /// Recent sends to each upstream, in a moving average a second.
  std::map<base::UpstreamId, double> rates_;
  std::vector<Daemon> daemons_;
  std::priority_queue<Answer, std::vector<Answer>, std::greater<>> answers_;
  std::vector<Message> messages_;
  int64_t bad_answers_ = 0;
  std::optional<base::Millis> fiftieth_bad_at_;
};

}  // namespace dandelion::test
