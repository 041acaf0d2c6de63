#include "routing/self_reports.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dandelion::routing {

using base::Millis;
using base::UpstreamId;

void SelfReports::RecordAnswer(const UpstreamId& id,
                               const SelfReport& report,
                               Millis now) {
  if (report.empty() && !states_.contains(id)) {
    return;
  }
  State& state = states_[id];
  if (report.leaving) {
    SetLeaving(id, state);
  }
  if (report.pause) {
    const Millis pause = std::min(*report.pause, kMaxPause);
    state.paused_until = std::max(state.paused_until, now + pause);
    hooks_.on_pause(id, pause);
  }
  const bool still_holds = state.requests_per_second && state.limit_said_at &&
                           now - *state.limit_said_at < kLimitHold;
  if (report.requests_per_second) {
    SetLimit(id, state, report.requests_per_second, now);
  } else if (state.requests_per_second && !still_holds) {
    SetLimit(id, state, std::nullopt, now);
  }
}

void SelfReports::SetLeaving(const UpstreamId& id, State& state) {
  if (state.leaving) {
    return;
  }
  state.leaving = true;
  state.changed = true;
  hooks_.on_leaving(id);
}

void SelfReports::SetLimit(const UpstreamId& id,
                           State& state,
                           std::optional<double> requests_per_second,
                           Millis said_at) {
  state.limit_said_at = said_at;
  if (state.requests_per_second == requests_per_second) {
    return;
  }
  state.requests_per_second = requests_per_second;
  state.changed = true;
  hooks_.on_limit(id, requests_per_second);
}

void SelfReports::ApplyShared(const SharedSelfReport& report, Millis now) {
  const auto listed = states_.find(report.upstream);
  if (listed == states_.end() ||
      listed->second.started_at != report.started_at) {
    return;
  }
  State& state = listed->second;
  if (report.leaving) {
    SetLeaving(report.upstream, state);
  }
  const Millis said_at = now - report.limit_age;
  const bool has_limit =
      report.requests_per_second || state.requests_per_second;
  if (has_limit && (!state.limit_said_at || said_at > *state.limit_said_at)) {
    SetLimit(report.upstream, state, report.requests_per_second, said_at);
  }
}

std::vector<SharedSelfReport> SelfReports::CollectShared(bool all, Millis now) {
  std::vector<SharedSelfReport> reports;
  for (auto& [id, state] : states_) {
    const bool known = state.leaving || state.limit_said_at;
    if (known && state.started_at && (all || state.changed)) {
      reports.push_back({id, *state.started_at, state.leaving,
                         state.requests_per_second,
                         now - state.limit_said_at.value_or(now)});
    }
    state.changed = state.changed && all;
  }
  return reports;
}

bool SelfReports::has_changes() const {
  return std::any_of(states_.begin(), states_.end(),
                     [](const auto& item) { return item.second.changed; });
}

void SelfReports::RecordSend(const UpstreamId& id, Millis now) {
  const auto state = states_.find(id);
  if (state != states_.end()) {
    state->second.sends.Record(now);
  }
}

std::optional<Millis> SelfReports::SendableAt(const UpstreamId& id,
                                              Millis now) {
  const auto known = states_.find(id);
  if (known == states_.end()) {
    return now;
  }
  State& state = known->second;
  if (state.leaving) {
    return std::nullopt;
  }
  return std::max({now, state.paused_until, LimitFreeAt(id, state, now)});
}

Millis SelfReports::LimitFreeAt(const UpstreamId& id,
                                State& state,
                                Millis now) const {
  if (!state.requests_per_second ||
      now - *state.limit_said_at > kLimitLifetime) {
    return now;
  }
  constexpr double kMsPerSecond = 1000;
  // Long enough for one request; a limit of almost none is no division by zero.
  constexpr double kSlowest = 1.0 / 60;
  const double per_second = std::max(*state.requests_per_second, kSlowest);
  const Millis window = std::max(
      kLimitWindow,
      Millis(static_cast<int64_t>(std::ceil(kMsPerSecond / per_second))));
  const auto total =
      static_cast<int64_t>(std::floor(per_second * window.seconds()));
  const int64_t share = ShareOf(std::max<int64_t>(1, total), hooks_.rank(id));
  return state.sends.FreeAt(share, now, window);
}

void SelfReports::OnListed(const UpstreamId& id, int64_t started_at) {
  State& state = states_[id];
  if (state.started_at && *state.started_at != started_at) {
    state = State();
  }
  state.started_at = started_at;
}

}  // namespace dandelion::routing
