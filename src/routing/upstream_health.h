#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "routing/learned_capacity.h"
#include "routing/load_tracker.h"

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

/// The units of work whose times are averaged apart.
enum class Work {
  /// The head of an answer.
  kAnswer,
  /// One token of a generation.
  kToken,
};
inline constexpr size_t kWorks = 2;

/// Who saw how long an upstream took, the nearest first.
enum class TimeSource {
  kOwn,
  /// A daemon of this data centre.
  kMember,
  /// Other data centres, or a delegate that speaks for all other daemons.
  kPeer,
};
inline constexpr size_t kTimeSources = 3;

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
  /// Older times are no longer passed on.
  static constexpr base::Millis kRecentTime{1500};

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
  /// Records the time from sending a request to the head of its answer, or the
  /// time that an engine took for one token, while `load` of all daemons was on
  /// it.
  void RecordTime(const base::UpstreamId& id,
                  Work work,
                  TimeSource source,
                  const Load& load,
                  double milliseconds,
                  base::Millis now);
  /// Removes all that is known of an upstream, without calling a hook.
  void Forget(const base::UpstreamId& id) { stats_.erase(id); }

  /// Forgets failures that are known not to be the upstream's.
  void Excuse(const base::UpstreamId& id);

  /// Whether the upstream is ejected at `now`. Once the ejection is over, a
  /// success readmits the upstream and a failure ejects it again at once.
  bool IsEjected(const base::UpstreamId& id, base::Millis now) const;
  /// Moving average of failures, 0 to 1; 0 for an unknown upstream.
  double FailureRate(const base::UpstreamId& id) const;
  /// Returns what an upstream is known to take for a unit now: this daemon's
  /// own recent times first, else those of all.
  Speed SpeedOf(const base::UpstreamId& id, Work work, base::Millis now) const;
  /// Returns what was learned of an upstream, from all sources.
  const LearnedCapacity& Learned(const base::UpstreamId& id, Work work) const;
  /// Average of the recent times of `source` and of those that are nearer to
  /// this daemon; nothing if there are none. So nobody is told back what it
  /// said, and nothing old is passed on.
  std::optional<double> RecentMs(const base::UpstreamId& id,
                                 Work work,
                                 TimeSource source,
                                 base::Millis now) const;

 private:
  /// An average of times, and when the last was recorded.
  struct RecentAverage {
    double ms = 0;
    std::optional<base::Millis> recorded_at;
  };
  struct Times {
    /// By `TimeSource`.
    std::array<RecentAverage, kTimeSources> recent;
    LearnedCapacity learned;
  };
  struct Stats {
    int consecutive_failures = 0;
    int consecutive_ejections = 0;
    double failure_rate = 0;
    /// Set from an ejection to the next success.
    std::optional<base::Millis> ejected_until;
    std::array<Times, kWorks> times;
  };

  void Eject(const base::UpstreamId& id, Stats& stats, base::Millis now);
  const Stats* FindStats(const base::UpstreamId& id) const;

  Hooks hooks_;
  std::map<base::UpstreamId, Stats> stats_;
};

}  // namespace dandelion::routing
