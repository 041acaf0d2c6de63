#include "routing/self_reports.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dandelion::routing {

using base::Millis;
using base::UpstreamId;

namespace {

// Requests that all daemons together send in `window` to an upstream with a
// limit. Some more than the limit, since requests come in bursts and each
// daemon's part is a whole number, but within the tolerance of the rule: one
// and a half times the limit, and five.
int64_t RequestsAllowed(double requests_per_second, Millis window) {
  constexpr double kRateTolerance = 1.25;
  constexpr double kMaxBurst = 3;
  if (requests_per_second <= 0) {
    return 0;
  }
  // A slow upstream gets a smaller burst.
  const double burst =
      std::clamp(requests_per_second * SelfReports::kLimitWindow.seconds(), 1.0,
                 kMaxBurst);
  return static_cast<int64_t>(
      requests_per_second * kRateTolerance * window.seconds() + burst);
}

}  // namespace

void SelfReports::RecordAnswer(const UpstreamId& id,
                               const SelfReport& report,
                               Millis now) {
  if (report.empty() && !states_.contains(id)) {
    return;
  }
  State& state = states_[id];
  state.last_seen_at = now;
  if (report.leaving) {
    SetLeaving(id, state, "its own answer");
  }
  if (report.pause) {
    const Millis pause = std::min(*report.pause, kMaxPause);
    state.paused_until = std::max(state.paused_until, now + pause);
    hooks_.on_pause(id, pause);
  }
  if (state.limit.TakeAnswer(report.requests_per_second, now)) {
    OnLimitChanged(id, state);
  }
  if (state.brittle.TakeAnswer(report.rejections_per_second, now)) {
    OnBrittleChanged(id, state);
  }
}

void SelfReports::RecordEnded(const UpstreamId& id) {
  SetLeaving(id, states_[id], "another upstream has its address");
}

void SelfReports::SetLeaving(const UpstreamId& id,
                             State& state,
                             std::string_view reason) {
  if (state.leaving) {
    return;
  }
  state.leaving = true;
  state.changed = true;
  hooks_.on_leaving(id, reason);
}

void SelfReports::OnLimitChanged(const UpstreamId& id, State& state) {
  state.share = SettledShare();
  state.changed = true;
  hooks_.on_limit(id, state.limit.number());
}

void SelfReports::OnBrittleChanged(const UpstreamId& id, State& state) {
  state.changed = true;
  if (hooks_.on_brittle) {
    hooks_.on_brittle(id, state.brittle.number());
  }
}

void SelfReports::ApplyShared(const SharedSelfReport& report, Millis now) {
  const auto listed = states_.find(report.upstream);
  if (listed == states_.end() ||
      listed->second.started_at != report.started_at) {
    return;
  }
  State& state = listed->second;
  if (report.leaving) {
    SetLeaving(report.upstream, state, "a peer was told");
  }
  if (state.limit.TakeShared(report.requests_per_second,
                             now - report.limit_age)) {
    OnLimitChanged(report.upstream, state);
  }
  if (state.brittle.TakeShared(report.rejections_per_second,
                               now - report.brittle_age)) {
    OnBrittleChanged(report.upstream, state);
  }
}

std::vector<SharedSelfReport> SelfReports::CollectShared(bool all, Millis now) {
  std::vector<SharedSelfReport> reports;
  for (auto& [id, state] : states_) {
    const bool known =
        state.leaving || state.limit.is_known() || state.brittle.is_known();
    if (known && state.started_at && (all || state.changed)) {
      reports.push_back({id, *state.started_at, state.leaving,
                         state.limit.number(), state.limit.AgeAt(now),
                         state.brittle.number(), state.brittle.AgeAt(now)});
    }
    state.changed = state.changed && all;
  }
  return reports;
}

bool SelfReports::has_changes() const {
  return std::any_of(states_.begin(), states_.end(),
                     [](const auto& item) { return item.second.changed; });
}

void SelfReports::RecordRejection(const UpstreamId& id, Millis now) {
  const auto state = states_.find(id);
  if (state != states_.end()) {
    state->second.brittle_bound.RecordRejection(now);
  }
}

void SelfReports::RecordSend(const UpstreamId& id, Millis now) {
  const auto state = states_.find(id);
  if (state != states_.end()) {
    state->second.sends.Record(now);
  }
}

std::optional<Millis> SelfReports::SendableAt(const UpstreamId& id,
                                              Millis now) {
  const std::optional<Millis> callable_at = CallableAt(id, now);
  const auto known = states_.find(id);
  if (!callable_at || known == states_.end()) {
    return callable_at;
  }
  return std::max(*callable_at, BrittleFreeAt(id, known->second, now));
}

std::optional<Millis> SelfReports::CallableAt(const UpstreamId& id,
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
  const std::optional<double> limit = state.limit.InForce(now);
  if (!limit) {
    return now;
  }
  const DaemonRank rank = hooks_.rank(id);
  const int64_t in_window = RequestsAllowed(*limit, kLimitWindow);
  const Millis free_in_window = state.sends.FreeAt(
      state.share.Settle(ShareOf(in_window, rank), now, kLimitWindow), now,
      kLimitWindow);
  // Where there are fewer requests than daemons, those that have a part of the
  // short window share the long one.
  const DaemonRank long_rank = {
      rank.rank,
      std::min(rank.daemons,
               static_cast<size_t>(std::max<int64_t>(1, in_window))),
      rank.is_known};
  const int64_t in_long_window = RequestsAllowed(*limit, kLongLimitWindow);
  return std::max(free_in_window,
                  state.sends.FreeAt(ShareOf(in_long_window, long_rank), now,
                                     kLongLimitWindow));
}

Millis SelfReports::BrittleFreeAt(const UpstreamId& id,
                                  State& state,
                                  Millis now) const {
  const std::optional<double> rejections = state.brittle.InForce(now);
  if (!rejections) {
    return now;
  }
  // Larger numbers are no different from this one.
  constexpr double kMaxRejections = 1e6;
  const UpstreamRoom room = hooks_.room ? hooks_.room(id) : UpstreamRoom();
  return state.brittle_bound.FreeAt(
      static_cast<int64_t>(std::min(*rejections, kMaxRejections)), room,
      hooks_.rank(id), now);
}

void SelfReports::OnListed(const UpstreamId& id,
                           int64_t started_at,
                           Millis now) {
  State& state = states_[id];
  if (state.started_at && *state.started_at != started_at) {
    state = State();
  }
  state.started_at = started_at;
  state.last_seen_at = now;
}

void SelfReports::Prune(const std::function<bool(const UpstreamId&)>& is_listed,
                        Millis now) {
  std::erase_if(states_, [&](const auto& item) {
    return now - item.second.last_seen_at > kRetention &&
           !is_listed(item.first);
  });
}

}  // namespace dandelion::routing
