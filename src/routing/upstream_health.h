#pragma once

#include <functional>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::routing {

/// How an attempt at an upstream ended, as far as it shows the upstream's
/// health.
enum class AttemptOutcome {
  kSuccess,
  /// No connection could be made, it broke, or the answer was invalid.
  kFailure,
  /// The upstream did not answer in time.
  kUnresponsive,
};

/// Tracks failures and speed of each upstream, and ejects those that fail
/// repeatedly.
///
/// Attempts are the only evidence: an upstream may fail part of its requests,
/// hang or fall silent while its health check succeeds.
class UpstreamHealth {
 public:
  /// Consecutive failures that eject an upstream.
  static constexpr int kFailuresToEject = 3;
  /// Duration of the first ejection. Each further one without a success in
  /// between is twice as long, up to `kMaxEjection`.
  static constexpr base::Millis kInitialEjection{1500};
  static constexpr base::Millis kMaxEjection{6000};
  /// Weight of the newest sample in the moving averages.
  static constexpr double kNewestWeight = 0.2;

  struct Hooks {
    std::function<void(const base::UpstreamId&, base::Millis duration)>
        on_eject;
    std::function<void(const base::UpstreamId&)> on_readmit;
  };

  explicit UpstreamHealth(Hooks hooks) : hooks_(std::move(hooks)) {}

  /// Records how an attempt ended; ejects or readmits the upstream if due.
  void RecordAttempt(const base::UpstreamId& id,
                     AttemptOutcome outcome,
                     base::Millis now);
  /// Records the time from sending a request to the head of its answer.
  void RecordAnswerTime(const base::UpstreamId& id, base::Millis time);
  /// Records the time that an engine took for one token.
  void RecordTokenTime(const base::UpstreamId& id, double milliseconds);
  /// Records the average time per token of another daemon of this data centre.
  void RecordMemberTokenTime(const base::UpstreamId& id, double milliseconds);
  /// Records an average time per token of other data centres, or of all other
  /// daemons.
  void RecordPeerTokenTime(const base::UpstreamId& id, double milliseconds);
  /// Removes all that is known of an upstream, without calling a hook.
  void Forget(const base::UpstreamId& id) { stats_.erase(id); }

  /// Whether the upstream is ejected at `now`. Once the ejection is over, a
  /// success readmits the upstream and a failure ejects it again at once.
  bool IsEjected(const base::UpstreamId& id, base::Millis now) const;
  /// Moving average of failures, 0 to 1; 0 for an unknown upstream.
  double FailureRate(const base::UpstreamId& id) const;
  /// Average time to the head of an answer; nothing if none was recorded.
  std::optional<double> AverageAnswerMs(const base::UpstreamId& id) const;
  /// Own average time per token if there is one, else the peers'; nothing if
  /// neither was recorded.
  std::optional<double> AverageTokenMs(const base::UpstreamId& id) const;
  /// Average time per token of this data centre: the own one if there is one,
  /// else that of its other daemons; nothing if neither was recorded. What
  /// other data centres say is left out, so that they are not told it back.
  std::optional<double> DataCentreTokenMs(const base::UpstreamId& id) const;
  /// Own average time per token; nothing if none was recorded.
  std::optional<double> OwnTokenMs(const base::UpstreamId& id) const;

 private:
  struct Stats {
    int consecutive_failures = 0;
    int consecutive_ejections = 0;
    double failure_rate = 0;
    /// Set from an ejection to the next success.
    std::optional<base::Millis> ejected_until;
    std::optional<double> answer_ms;
    std::optional<double> token_ms;
    std::optional<double> member_token_ms;
    /// With that of members.
    std::optional<double> peer_token_ms;
  };

  void Eject(const base::UpstreamId& id, Stats& stats, base::Millis now);
  const Stats* FindStats(const base::UpstreamId& id) const;

  Hooks hooks_;
  std::map<base::UpstreamId, Stats> stats_;
};

}  // namespace dandelion::routing
