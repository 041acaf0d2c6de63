#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string_view>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/catalogue.h"

namespace dandelion::relay {

/// How one send of a request to an upstream ended.
enum class SendOutcome {
  /// The head of an answer arrived and may be passed to the caller.
  kAnswered,
  /// The connection failed, so nothing was sent.
  kNotSent,
  /// The address belongs to another upstream now, which did not run it.
  kOtherUpstream,
  /// The upstream states that the request did not run.
  kNotRun,
  /// The connection broke, or the answer failed its checks.
  kBroken,
  /// The request's deadline passed.
  kTimedOut,
  /// The caller disconnected.
  kCallerGone,
  /// The daemon stops before the request could end.
  kStopping,
  /// A part of the prompt crashes engines, so it was not sent.
  kQuarantined,
  /// A stream was to be taken up, and it is not known which version began it.
  kOriginUnknown,
  /// A stream was to be taken up, and no upstream of the version that began it
  /// can be used.
  kVersionGone,
};

/// Returns the name that is written to the log.
std::string_view ToString(SendOutcome end);
/// Whether a send that ended so certainly did not start the request.
bool DidNotRun(SendOutcome end);

/// Returns whether a send that ended so certainly did not run the request.
bool DidNotRun(SendOutcome end);

/// Counts the sends of one request so far.
struct SendHistory {
  /// Sends that reached the upstream that they were meant for.
  int sent = 0;
  /// Sends that reached no upstream, or the wrong one.
  int unsent = 0;
  /// Whether an upstream may have run the request.
  bool may_have_run = false;

  /// Counts a send that ended with `end`.
  void RecordSend(SendOutcome end);
};

/// Returns whether the request may be sent to one more upstream. A request that
/// may have run is sent again only if its route allows it to run twice. Meant
/// for upstreams that shed load, break connections or lose answers.
bool MayRetry(const fleet::Route& route, const SendHistory& history);

/// Returns the HTTP status for the caller when no upstream's answer can be
/// passed on: 503 if the request did not run, else 504 if `last` is `kTimedOut`
/// and 502 otherwise.
int FinalStatus(const SendHistory& history, SendOutcome last);

/// Limits the retries to a pool to this daemon's share of the fleet's retry
/// budget. Without the limit, the retries for an upstream that fails much of
/// its work would double the load of the others.
class PoolRetryBudget {
 public:
  struct Bounds {
    /// Retries per request.
    double ratio = 0.2;
    /// Additional retries for the fleet, shared by all daemons.
    double slack = 10;
    /// Time over which requests and retries are counted.
    base::Millis window{10'000};
  };
  /// Share of the budget that is used. The rest is a margin, because the window
  /// slides.
  static constexpr double kUsableShare = 0.7;

  explicit PoolRetryBudget(Bounds bounds) : bounds_(bounds) {}

  void SetBounds(Bounds bounds) { bounds_ = bounds; }
  /// Counts a request to `pool`.
  void RecordRequest(const base::PoolName& pool, base::Millis now);
  /// Spends one retry. Returns false if none is left. `daemons` is the number
  /// of daemons that share the slack.
  bool TrySpend(const base::PoolName& pool, base::Millis now, size_t daemons);

 private:
  struct Window {
    std::deque<base::Millis> requests;
    std::deque<base::Millis> retries;
  };

  /// Drops entries that are older than the window.
  void Expire(Window& window, base::Millis now);

  Bounds bounds_;
  std::map<base::PoolName, Window> windows_;
};

}  // namespace dandelion::relay
