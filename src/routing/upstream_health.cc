#include "routing/upstream_health.h"

#include <algorithm>

namespace dandelion::routing {
namespace {

using base::Millis;
using base::UpstreamId;

void UpdateAverage(std::optional<double>* average, double value) {
  *average =
      *average ? **average + UpstreamHealth::kNewestWeight * (value - **average)
               : value;
}

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

void UpstreamHealth::RecordAnswerTime(const UpstreamId& id, Millis time) {
  UpdateAverage(&stats_[id].answer_ms, static_cast<double>(time.count()));
}

void UpstreamHealth::RecordTokenTime(const UpstreamId& id,
                                     double milliseconds) {
  UpdateAverage(&stats_[id].token_ms, milliseconds);
}

void UpstreamHealth::RecordMemberTokenTime(const UpstreamId& id,
                                           double milliseconds) {
  UpdateAverage(&stats_[id].member_token_ms, milliseconds);
  RecordPeerTokenTime(id, milliseconds);
}

void UpstreamHealth::RecordPeerTokenTime(const UpstreamId& id,
                                         double milliseconds) {
  UpdateAverage(&stats_[id].peer_token_ms, milliseconds);
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

std::optional<double> UpstreamHealth::AverageAnswerMs(
    const UpstreamId& id) const {
  const Stats* stats = FindStats(id);
  return stats ? stats->answer_ms : std::nullopt;
}

std::optional<double> UpstreamHealth::OwnTokenMs(const UpstreamId& id) const {
  const Stats* stats = FindStats(id);
  return stats ? stats->token_ms : std::nullopt;
}

std::optional<double> UpstreamHealth::DataCentreTokenMs(
    const UpstreamId& id) const {
  const Stats* stats = FindStats(id);
  if (!stats) {
    return std::nullopt;
  }
  return stats->token_ms ? stats->token_ms : stats->member_token_ms;
}

std::optional<double> UpstreamHealth::AverageTokenMs(
    const UpstreamId& id) const {
  const Stats* stats = FindStats(id);
  if (!stats) {
    return std::nullopt;
  }
  return stats->token_ms ? stats->token_ms : stats->peer_token_ms;
}

}  // namespace dandelion::routing
