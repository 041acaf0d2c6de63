#include "routing/upstream_health.h"

#include <algorithm>

namespace dandelion::routing {
namespace {

using base::Millis;
using base::UpstreamId;

}  // namespace

void UpstreamHealth::RecordAttempt(const UpstreamId& id,
                                   AttemptOutcome outcome,
                                   Millis now) {
  Stats& stats = stats_[id];
  const bool succeeded = outcome == AttemptOutcome::kSuccess;
  stats.failure_rate +=
      kNewestWeight * ((succeeded ? 0.0 : 1.0) - stats.failure_rate);
  if (succeeded) {
    stats.consecutive_failures = 0;
    stats.consecutive_ejections = 0;
    if (stats.ejected_until) {
      stats.ejected_until.reset();
      hooks_.on_readmit(id);
    }
    return;
  }
  ++stats.consecutive_failures;
  // The first failure after an ejection ejects the upstream again at once.
  const bool probe_failed = stats.ejected_until && now >= *stats.ejected_until;
  if (probe_failed || stats.consecutive_failures >= kFailuresToEject) {
    Eject(id, stats, now);
  }
}

void UpstreamHealth::Excuse(const UpstreamId& id) {
  const auto known = stats_.find(id);
  if (known == stats_.end()) {
    return;
  }
  Stats& stats = known->second;
  stats.consecutive_failures = 0;
  stats.consecutive_ejections = 0;
  stats.failure_rate = 0;
  if (stats.ejected_until) {
    stats.ejected_until.reset();
    hooks_.on_readmit(id);
  }
}

void UpstreamHealth::Eject(const UpstreamId& id, Stats& stats, Millis now) {
  if (stats.ejected_until && now < *stats.ejected_until) {
    return;
  }
  const Millis duration =
      std::min(kMaxEjection,
               kInitialEjection * (INT64_C(1) << stats.consecutive_ejections));
  stats.consecutive_ejections = std::min(stats.consecutive_ejections + 1, 4);
  stats.ejected_until = now + duration;
  hooks_.on_eject(id, duration);
}

void UpstreamHealth::RecordTime(const UpstreamId& id,
                                Work work,
                                TimeSource source,
                                const Load& load,
                                double milliseconds,
                                Millis now) {
  Times& times = stats_[id].times[static_cast<size_t>(work)];
  RecentAverage& recent = times.recent[static_cast<size_t>(source)];
  const bool is_recent =
      recent.recorded_at && now - *recent.recorded_at <= kRecentTime;
  recent.ms = is_recent ? recent.ms + kNewestWeight * (milliseconds - recent.ms)
                        : milliseconds;
  recent.recorded_at = now;
  // Tokens wait for prompts that are processed between them.
  const bool is_disturbed = work == Work::kToken && load.unread_tokens > 0;
  times.learned.Record(
      is_disturbed ? std::nullopt : std::optional<int64_t>(load.running),
      milliseconds, now);
}

const UpstreamHealth::Stats* UpstreamHealth::FindStats(
    const UpstreamId& id) const {
  const auto stats = stats_.find(id);
  return stats == stats_.end() ? nullptr : &stats->second;
}

bool UpstreamHealth::IsEjected(const UpstreamId& id, Millis now) const {
  const Stats* stats = FindStats(id);
  return stats && stats->ejected_until && now < *stats->ejected_until;
}

double UpstreamHealth::FailureRate(const UpstreamId& id) const {
  const Stats* stats = FindStats(id);
  return stats ? stats->failure_rate : 0;
}

const LearnedCapacity& UpstreamHealth::Learned(const UpstreamId& id,
                                               Work work) const {
  static const LearnedCapacity nothing;
  const Stats* stats = FindStats(id);
  return stats ? stats->times[static_cast<size_t>(work)].learned : nothing;
}

Speed UpstreamHealth::SpeedOf(const UpstreamId& id,
                              Work work,
                              Millis now) const {
  const LearnedCapacity& learned = Learned(id, work);
  const auto own = RecentMs(id, work, TimeSource::kOwn, now);
  return {own ? own : learned.AverageMs(now), learned.DeviationMs(now)};
}

std::optional<double> UpstreamHealth::RecentMs(const UpstreamId& id,
                                               Work work,
                                               TimeSource source,
                                               Millis now) const {
  const Stats* stats = FindStats(id);
  if (!stats) {
    return std::nullopt;
  }
  const Times& times = stats->times[static_cast<size_t>(work)];
  for (size_t i = 0; i <= static_cast<size_t>(source); ++i) {
    const RecentAverage& recent = times.recent[i];
    if (recent.recorded_at && now - *recent.recorded_at <= kRecentTime) {
      return recent.ms;
    }
  }
  return std::nullopt;
}

}  // namespace dandelion::routing
