#include "admission/slot_owner.h"

#include <algorithm>
#include <utility>

namespace dandelion::admission {

using base::HostId;
using base::Millis;
using base::Slots;
using base::UpstreamId;

SlotOwner::SlotOwner(base::Clock clock, Hooks hooks)
    : clock_(std::move(clock)), hooks_(std::move(hooks)) {}

SlotOwner::SlotOwner(base::Clock clock)
    : SlotOwner(std::move(clock), Hooks()) {}

int64_t SlotOwner::ShareOfSplit(int64_t limit,
                                int64_t visible,
                                int64_t roster) {
  if (visible >= roster) {
    return limit;
  }
  if (2 * visible > roster) {
    return limit - limit * (roster - visible) / roster;
  }
  return limit * visible / roster;
}

void SlotOwner::AddUpstream(const UpstreamId& upstream,
                            SlotLimits limits,
                            bool no_prior_leases) {
  const bool is_new = !upstreams_.contains(upstream);
  UpstreamState& state = upstreams_[upstream];
  state.limits = limits;
  if (!is_new) {
    state.budget = std::min(state.budget, limits.warm.count());
    return;
  }
  const bool has_prior_leases = hooks_.waits_out_leases && !no_prior_leases;
  state.grants_from = clock_.Now() + (has_prior_leases ? kLeaseTtl : Millis(0));
  ResetBudget(state);
}

void SlotOwner::RemoveUpstream(const UpstreamId& upstream) {
  upstreams_.erase(upstream);
}

bool SlotOwner::Owns(const UpstreamId& upstream) const {
  return upstreams_.contains(upstream);
}

void SlotOwner::ResetBudget(UpstreamState& state) {
  state.budget = hooks_.starts_cold ? state.limits.cold.count()
                                    : state.limits.warm.count();
  state.successes = 0;
}

void SlotOwner::OnReport(const UpstreamId& upstream, UpstreamReport report) {
  const auto found = upstreams_.find(upstream);
  if (found == upstreams_.end()) {
    return;
  }
  UpstreamState& state = found->second;
  report.received = clock_.Now();
  const bool restarted =
      report.reachable && report.incarnation != state.report.incarnation;
  const bool became_unreachable = !report.reachable && state.report.reachable;
  const bool is_first = state.report.incarnation.empty();
  if (!is_first && !restarted && hooks_.adapts_z &&
      report.preemptions > state.report.preemptions) {
    state.z = std::min(kMaxZ, state.z + kZPerPreemption);
  }
  if (!report.reachable) {
    // A later report is compared with the last known incarnation to detect a
    // restart.
    report.incarnation = state.report.incarnation;
  }
  state.report = std::move(report);
  if (restarted && !is_first) {
    // The restart ended all requests of the former incarnation.
    state.orphaned_slots = 0;
  }
  if (restarted || became_unreachable || state.report.cold) {
    ResetBudget(state);
  }
  ReconcileOrphanedSlots(state);
}

void SlotOwner::ReconcileOrphanedSlots(UpstreamState& state) {
  // A report describes the upstream as it was before the report arrived. One
  // that arrives at least this long after the leases expired covers the moment
  // of expiry.
  constexpr Millis kReportLag(1000);
  if (state.orphaned_slots == 0 || !state.report.reachable ||
      state.report.received < state.orphaned_at + kReportLag) {
    return;
  }
  int64_t accounted = 0;
  for (const auto& [holder, holder_state] : state.holders) {
    accounted += holder_state.ask.in_flight.count();
  }
  const int64_t running = state.report.running + state.report.waiting;
  const int64_t unexplained = std::max<int64_t>(0, running - accounted);
  state.orphaned_slots = std::min(state.orphaned_slots, unexplained);
}

void SlotOwner::ExpireLeases(UpstreamState& state) {
  const Millis now = clock_.Now();
  for (auto it = state.holders.begin(); it != state.holders.end();) {
    if (it->second.expires < now) {
      state.orphaned_slots += it->second.committed;
      state.orphaned_at = now;
      it = state.holders.erase(it);
    } else {
      ++it;
    }
  }
}

void SlotOwner::UpdateBudget(UpstreamState& state, const SlotAsk& ask) {
  if (ask.failures > 0) {
    // The upstream may have restarted; the report that shows it arrives
    // later.
    ResetBudget(state);
    return;
  }
  if (state.report.cold || !state.report.reachable) {
    return;
  }
  state.z = std::max(
      kMinZ, state.z - kZPerSuccess * static_cast<double>(ask.successes));
  state.successes += ask.successes;
  if (state.successes >= state.budget) {
    state.budget = std::min(state.limits.warm.count(), 2 * state.budget);
    state.successes = 0;
  }
}

int64_t SlotOwner::ComputeFairShare(const UpstreamState& state,
                                    const HostId& holder,
                                    int64_t grantable) {
  // Hands out one slot at a time to each holder in turn: first for the requests
  // in flight, then for those that wait, then for those that may arrive.
  const std::array<std::function<int64_t(const SlotAsk&)>, 3> demands = {
      [](const SlotAsk& a) { return a.in_flight.count(); },
      [](const SlotAsk& a) { return a.needed.count(); },
      [](const SlotAsk& a) { return (a.needed + a.spare).count(); }};
  std::map<HostId, int64_t> shares;
  int64_t remaining = grantable;
  for (const auto& demand : demands) {
    bool progress = true;
    while (remaining > 0 && progress) {
      progress = false;
      for (const auto& [id, holder_state] : state.holders) {
        if (remaining > 0 && shares[id] < demand(holder_state.ask)) {
          ++shares[id];
          --remaining;
          progress = true;
        }
      }
    }
  }
  return shares[holder];
}

SlotGrant SlotOwner::OnAsk(const HostId& holder,
                           uint64_t round,
                           const SlotAsk& ask,
                           int64_t visible,
                           int64_t roster) {
  SlotGrant grant;
  grant.upstream = ask.upstream;
  grant.ttl = kLeaseTtl;
  const auto found = upstreams_.find(ask.upstream);
  if (found == upstreams_.end()) {
    return grant;
  }
  UpstreamState& state = found->second;
  ExpireLeases(state);
  ReconcileOrphanedSlots(state);
  UpdateBudget(state, ask);
  HolderState& holder_state = state.holders[holder];
  holder_state.ask = ask;
  holder_state.round = round;
  holder_state.expires = clock_.Now() + kLeaseTtl;

  int64_t committed_elsewhere = state.orphaned_slots;
  for (const auto& [id, other] : state.holders) {
    if (id != holder) {
      committed_elsewhere += other.committed;
      grant.other_occupancy += other.ask.occupancy;
    }
  }
  const int64_t grantable = hooks_.split_share(state.budget, visible, roster);
  const int64_t available =
      std::max<int64_t>(0, grantable - committed_elsewhere);
  int64_t slots =
      std::min(available, ComputeFairShare(state, holder, grantable));
  const bool unavailable = state.report.leaving || !state.report.reachable;
  if (unavailable) {
    slots = 0;
  } else if (clock_.Now() < state.grants_from) {
    // Other daemons may still use leases of the former owner, so this one gets
    // no more than it already has.
    slots = std::min(slots, ask.leased.count());
  }
  grant.slots = Slots(slots);
  grant.report = state.report;
  grant.headroom = ComputeHeadroom(state, holder, ask);
  holder_state.headroom = grant.headroom ? grant.headroom->count() : 0;
  // The holder uses its old lease until this answer reaches it.
  holder_state.committed =
      std::max({slots, ask.leased.count(), ask.in_flight.count()});
  return grant;
}

std::optional<base::Tokens> SlotOwner::ComputeHeadroom(
    const UpstreamState& state,
    const HostId& holder,
    const SlotAsk& ask) const {
  if (state.report.memory_total <= 0) {
    return std::nullopt;
  }
  Occupancy total;
  double granted_elsewhere = 0;
  for (const auto& [id, holder_state] : state.holders) {
    total += holder_state.ask.occupancy;
    if (id != holder && hooks_.reserves_headroom) {
      granted_elsewhere += static_cast<double>(holder_state.headroom);
    }
  }
  const auto needed = static_cast<double>(ask.headroom_needed.count());
  const auto spare = static_cast<double>(ask.headroom_spare.count());
  if (total.mean[0] < 1 && granted_elsewhere < 1) {
    // An idle upstream takes a request of any size, because no other upstream
    // would serve it better.
    return base::Tokens(static_cast<int64_t>(std::max(needed, spare)));
  }
  const double limit = static_cast<double>(state.report.memory_total) *
                       (1 - kShortRequestReserve);
  // Memory in the report that no holder's prediction accounts for, such as
  // that of resumed generations.
  const double unexplained = std::max(
      0.0, static_cast<double>(state.report.memory_used) - total.mean[0]);
  const double headroom =
      limit - PeakTokens(total, state.z) - unexplained / 2 - granted_elsewhere;
  const double beyond_reserve = headroom - kWaitingRequestReserve * limit;
  if (needed > 0) {
    // Less than the needed headroom would be of no use to this holder and would
    // be withheld from the others.
    const double extra = std::clamp(beyond_reserve - needed, 0.0, spare);
    return base::Tokens(
        headroom >= needed ? static_cast<int64_t>(needed + extra) : 0);
  }
  return base::Tokens(
      static_cast<int64_t>(std::clamp(beyond_reserve, 0.0, spare)));
}

Slots SlotOwner::Budget(const UpstreamId& upstream) const {
  const auto found = upstreams_.find(upstream);
  return Slots(found == upstreams_.end() ? 0 : found->second.budget);
}

Slots SlotOwner::Committed(const UpstreamId& upstream) const {
  const auto found = upstreams_.find(upstream);
  if (found == upstreams_.end()) {
    return Slots(0);
  }
  int64_t committed = found->second.orphaned_slots;
  for (const auto& [id, holder_state] : found->second.holders) {
    committed += holder_state.committed;
  }
  return Slots(committed);
}

const UpstreamReport* SlotOwner::ReportOf(const UpstreamId& upstream) const {
  const auto found = upstreams_.find(upstream);
  return found == upstreams_.end() ? nullptr : &found->second.report;
}

}  // namespace dandelion::admission
