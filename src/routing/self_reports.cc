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
  const bool still_holds = state.requests_per_second && state.limit_said_at &&
                           now - *state.limit_said_at < kLimitHold;
  if (report.requests_per_second) {
    SetLimit(id, state, report.requests_per_second, now);
  } else if (state.requests_per_second && !still_holds) {
    SetLimit(id, state, std::nullopt, now);
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

void SelfReports::SetLimit(const UpstreamId& id,
                           State& state,
                           std::optional<double> requests_per_second,
                           Millis said_at) {
  state.limit_said_at = said_at;
  if (state.requests_per_second == requests_per_second) {
    return;
  }
  state.requests_per_second = requests_per_second;
  state.share.reset();
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
    SetLeaving(report.upstream, state, "a peer was told");
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

int64_t SelfReports::SettledShare(State& state, int64_t share, Millis now) {
  if (!state.share || share <= *state.share) {
    state.share = share;
    state.share_rises_at.reset();
    return share;
  }
  if (!state.share_rises_at) {
    state.share_rises_at = now + kLimitWindow;
  }
  if (now >= *state.share_rises_at) {
    state.share = share;
    state.share_rises_at.reset();
  }
  return *state.share;
}

Millis SelfReports::LimitFreeAt(const UpstreamId& id,
                                State& state,
                                Millis now) const {
  if (!state.requests_per_second ||
      now - *state.limit_said_at > kLimitLifetime) {
    return now;
  }
  const DaemonRank rank = hooks_.rank(id);
  const int64_t in_window =
      RequestsAllowed(*state.requests_per_second, kLimitWindow);
  const Millis free_in_window = state.sends.FreeAt(
      SettledShare(state, ShareOf(in_window, rank), now), now, kLimitWindow);
  // Where there are fewer requests than daemons, those that have a part of the
  // short window share the long one.
  const DaemonRank long_rank = {
      rank.rank,
      std::min(rank.daemons,
               static_cast<size_t>(std::max<int64_t>(1, in_window))),
      rank.is_known};
  const int64_t in_long_window =
      RequestsAllowed(*state.requests_per_second, kLongLimitWindow);
  return std::max(free_in_window,
                  state.sends.FreeAt(ShareOf(in_long_window, long_rank), now,
                                     kLongLimitWindow));
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
