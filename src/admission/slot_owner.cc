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

void SlotOwner::Own(const UpstreamId& upstream,
                    SlotLimits limits,
                    bool settled) {
  const bool is_new = !ledgers_.contains(upstream);
  Ledger& ledger = ledgers_[upstream];
  ledger.limits = limits;
  if (!is_new) {
    ledger.budget = std::min(ledger.budget, limits.warm.count());
    return;
  }
  const bool waits = hooks_.waits_out_leases && !settled;
  ledger.grants_from = clock_.Now() + (waits ? kLeaseTtl : Millis(0));
  TurnCold(ledger);
}

void SlotOwner::Disown(const UpstreamId& upstream) {
  ledgers_.erase(upstream);
}

bool SlotOwner::Owns(const UpstreamId& upstream) const {
  return ledgers_.contains(upstream);
}

void SlotOwner::TurnCold(Ledger& ledger) {
  ledger.budget = hooks_.starts_cold ? ledger.limits.cold.count()
                                     : ledger.limits.warm.count();
  ledger.successes = 0;
}

void SlotOwner::OnReport(const UpstreamId& upstream, UpstreamReport report) {
  const auto found = ledgers_.find(upstream);
  if (found == ledgers_.end()) {
    return;
  }
  Ledger& ledger = found->second;
  report.received = clock_.Now();
  const bool restarted =
      report.reachable && report.incarnation != ledger.report.incarnation;
  const bool lost = !report.reachable && ledger.report.reachable;
  const bool first = ledger.report.incarnation.empty();
  if (!first && !restarted && hooks_.corrects_z &&
      report.preemptions > ledger.report.preemptions) {
    ledger.z = std::min(kMostZ, ledger.z + kZPerPreemption);
  }
  if (!report.reachable) {
    // The incarnation last seen still decides whether a later one is new.
    report.incarnation = ledger.report.incarnation;
  }
  ledger.report = std::move(report);
  if (restarted && !first) {
    // Whatever ran on the former incarnation is gone with it.
    ledger.orphans = 0;
  }
  if (restarted || lost || ledger.report.cold) {
    TurnCold(ledger);
  }
  SettleOrphans(ledger);
}

void SlotOwner::SettleOrphans(Ledger& ledger) {
  // A report describes a time before it arrived; one report interval later
  // it covers the moment of the lapse.
  constexpr Millis kReportLag(1000);
  if (ledger.orphans == 0 || !ledger.report.reachable ||
      ledger.report.received < ledger.orphaned_at + kReportLag) {
    return;
  }
  int64_t accounted = 0;
  for (const auto& [holder, holding] : ledger.holdings) {
    accounted += holding.ask.in_flight.count();
  }
  const int64_t running = ledger.report.running + ledger.report.waiting;
  const int64_t unexplained = std::max<int64_t>(0, running - accounted);
  ledger.orphans = std::min(ledger.orphans, unexplained);
}

void SlotOwner::Lapse(Ledger& ledger) {
  const Millis now = clock_.Now();
  for (auto it = ledger.holdings.begin(); it != ledger.holdings.end();) {
    if (it->second.expires < now) {
      ledger.orphans += it->second.committed;
      ledger.orphaned_at = now;
      it = ledger.holdings.erase(it);
    } else {
      ++it;
    }
  }
}

void SlotOwner::Grow(Ledger& ledger, const SlotAsk& ask) {
  if (ask.failures > 0) {
    // It may have restarted; the report that says so comes later.
    TurnCold(ledger);
    return;
  }
  if (ledger.report.cold || !ledger.report.reachable) {
    return;
  }
  ledger.z = std::max(
      kUsualZ, ledger.z - kZPerSuccess * static_cast<double>(ask.successes));
  ledger.successes += ask.successes;
  if (ledger.successes >= ledger.budget) {
    ledger.budget = std::min(ledger.limits.warm.count(), 2 * ledger.budget);
    ledger.successes = 0;
  }
}

int64_t SlotOwner::ShareFor(const Ledger& ledger,
                            const HostId& holder,
                            int64_t cap) {
  // One slot at a time in turn: first what runs, then what waits, then spare.
  const std::array<std::function<int64_t(const SlotAsk&)>, 3> wants = {
      [](const SlotAsk& a) { return a.in_flight.count(); },
      [](const SlotAsk& a) { return a.needed.count(); },
      [](const SlotAsk& a) { return (a.needed + a.spare).count(); }};
  std::map<HostId, int64_t> given;
  int64_t left = cap;
  for (const auto& want : wants) {
    bool progress = true;
    while (left > 0 && progress) {
      progress = false;
      for (const auto& [id, holding] : ledger.holdings) {
        if (left > 0 && given[id] < want(holding.ask)) {
          ++given[id];
          --left;
          progress = true;
        }
      }
    }
  }
  return given[holder];
}

SlotGrant SlotOwner::OnAsk(const HostId& holder,
                           uint64_t round,
                           const SlotAsk& ask,
                           int64_t visible,
                           int64_t roster) {
  SlotGrant grant;
  grant.upstream = ask.upstream;
  grant.ttl = kLeaseTtl;
  const auto found = ledgers_.find(ask.upstream);
  if (found == ledgers_.end()) {
    return grant;
  }
  Ledger& ledger = found->second;
  Lapse(ledger);
  SettleOrphans(ledger);
  Grow(ledger, ask);
  Holding& holding = ledger.holdings[holder];
  holding.ask = ask;
  holding.round = round;
  holding.expires = clock_.Now() + kLeaseTtl;

  int64_t committed_elsewhere = ledger.orphans;
  for (const auto& [id, other] : ledger.holdings) {
    if (id != holder) {
      committed_elsewhere += other.committed;
      grant.others += other.ask.occupancy;
    }
  }
  const int64_t cap = hooks_.share(ledger.budget, visible, roster);
  const int64_t room = std::max<int64_t>(0, cap - committed_elsewhere);
  int64_t slots = std::min(room, ShareFor(ledger, holder, cap));
  const bool closed = ledger.report.leaving || !ledger.report.reachable;
  if (closed) {
    slots = 0;
  } else if (clock_.Now() < ledger.grants_from) {
    // Others may still honour leases of the former owner.
    slots = std::min(slots, ask.holding.count());
  }
  grant.slots = Slots(slots);
  grant.report = ledger.report;
  grant.room = RoomFor(ledger, holder, ask);
  holding.room = grant.room ? grant.room->count() : 0;
  // The holder honours its old lease until this answer reaches it.
  holding.committed =
      std::max({slots, ask.holding.count(), ask.in_flight.count()});
  return grant;
}

std::optional<base::Tokens> SlotOwner::RoomFor(const Ledger& ledger,
                                               const HostId& holder,
                                               const SlotAsk& ask) const {
  if (ledger.report.memory_total <= 0) {
    return std::nullopt;
  }
  Occupancy total;
  double promised = 0;
  for (const auto& [id, holding] : ledger.holdings) {
    total += holding.ask.occupancy;
    if (id != holder && hooks_.reserves_room) {
      promised += static_cast<double>(holding.room);
    }
  }
  const auto needed = static_cast<double>(ask.room_needed.count());
  const auto spare = static_cast<double>(ask.room_spare.count());
  if (total.mean[0] < 1 && promised < 1) {
    // An idle upstream takes any request: none other could do better.
    return base::Tokens(static_cast<int64_t>(std::max(needed, spare)));
  }
  const double limit =
      static_cast<double>(ledger.report.memory_total) * (1 - kShortReserve);
  // What the report has and no holder explains, such as resumed streams.
  const double unexplained = std::max(
      0.0, static_cast<double>(ledger.report.memory_used) - total.mean[0]);
  const double room =
      limit - PeakTokens(total, ledger.z) - unexplained / 2 - promised;
  const double plenty = room - kRoomKeptForWaiting * limit;
  if (needed > 0) {
    // A part of what is needed would only keep others out.
    const double more = std::clamp(plenty - needed, 0.0, spare);
    return base::Tokens(room >= needed ? static_cast<int64_t>(needed + more)
                                       : 0);
  }
  return base::Tokens(static_cast<int64_t>(std::clamp(plenty, 0.0, spare)));
}

Slots SlotOwner::Budget(const UpstreamId& upstream) const {
  const auto found = ledgers_.find(upstream);
  return Slots(found == ledgers_.end() ? 0 : found->second.budget);
}

Slots SlotOwner::Committed(const UpstreamId& upstream) const {
  const auto found = ledgers_.find(upstream);
  if (found == ledgers_.end()) {
    return Slots(0);
  }
  int64_t committed = found->second.orphans;
  for (const auto& [id, holding] : found->second.holdings) {
    committed += holding.committed;
  }
  return Slots(committed);
}

const UpstreamReport* SlotOwner::ReportOf(const UpstreamId& upstream) const {
  const auto found = ledgers_.find(upstream);
  return found == ledgers_.end() ? nullptr : &found->second.report;
}

}  // namespace dandelion::admission
