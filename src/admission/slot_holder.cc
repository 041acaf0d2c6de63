#include "admission/slot_holder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dandelion::admission {

using base::HostId;
using base::Slots;
using base::UpstreamId;

SlotHolder::SlotHolder(base::Clock clock) : clock_(std::move(clock)) {}

const SlotHolder::Lease* SlotHolder::Find(const UpstreamId& upstream) const {
  const auto found = leases_.find(upstream);
  return found == leases_.end() ? nullptr : &found->second;
}

int64_t SlotHolder::Valid(const Lease& lease) const {
  return clock_.Now() < lease.expires ? lease.slots : 0;
}

int64_t SlotHolder::Free(const UpstreamId& upstream) const {
  const Lease* lease = Find(upstream);
  return lease == nullptr
             ? 0
             : std::max<int64_t>(0, Valid(*lease) - lease->in_flight);
}

bool SlotHolder::TryTake(const UpstreamId& upstream) {
  if (Free(upstream) <= 0) {
    return false;
  }
  ++leases_[upstream].in_flight;
  return true;
}

void SlotHolder::Release(const UpstreamId& upstream, Ended ended) {
  Lease& lease = leases_[upstream];
  --lease.in_flight;
  lease.successes += ended == Ended::kWell ? 1 : 0;
  lease.failures += ended == Ended::kBadly ? 1 : 0;
}

std::optional<double> SlotHolder::RoomLeft(const UpstreamId& upstream) const {
  const Lease* lease = Find(upstream);
  return lease == nullptr ? std::nullopt : lease->room;
}

void SlotHolder::UseRoom(const UpstreamId& upstream, double tokens) {
  constexpr double kWeight = 0.02;
  usual_room_ += kWeight * (tokens - usual_room_);
  Lease& lease = leases_[upstream];
  if (lease.room) {
    *lease.room -= tokens;
  }
}

void SlotHolder::NeedRoom(const UpstreamId& upstream, double tokens) {
  leases_[upstream].room_needed = tokens;
}

void SlotHolder::SetQueued(const UpstreamId& upstream, int64_t queued) {
  leases_[upstream].queued = queued;
}

SlotAsk SlotHolder::MakeAsk(const UpstreamId& upstream, int64_t spare) {
  Lease& lease = leases_[upstream];
  SlotAsk ask;
  ask.upstream = upstream;
  ask.in_flight = Slots(lease.in_flight);
  ask.needed = Slots(lease.in_flight + lease.queued);
  ask.spare = Slots(spare);
  ask.holding = Slots(Valid(lease));
  ask.room_needed =
      base::Tokens(static_cast<int64_t>(std::ceil(lease.room_needed)));
  const auto requests = static_cast<double>(2 + lease.queued);
  ask.room_spare = base::Tokens(static_cast<int64_t>(requests * usual_room_));
  ask.successes = std::exchange(lease.successes, 0);
  ask.failures = std::exchange(lease.failures, 0);
  return ask;
}

void SlotHolder::OpenRound(const HostId& owner, uint64_t round) {
  rounds_[owner] = Round{round, clock_.Now()};
}

bool SlotHolder::OnGrants(const HostId& owner,
                          uint64_t round,
                          const std::vector<SlotGrant>& grants) {
  const auto opened = rounds_.find(owner);
  if (opened == rounds_.end() || opened->second.number != round) {
    return false;
  }
  for (const SlotGrant& grant : grants) {
    Lease& lease = leases_[grant.upstream];
    lease.slots = grant.slots.count();
    lease.expires = opened->second.asked + grant.ttl;
    lease.others = grant.others;
    lease.report = grant.report;
    lease.room.reset();
    if (grant.room) {
      lease.room = static_cast<double>(grant.room->count());
    }
  }
  return true;
}

void SlotHolder::Revoke(const UpstreamId& upstream) {
  leases_[upstream].slots = 0;
}

const UpstreamReport* SlotHolder::ReportOf(const UpstreamId& upstream) const {
  const Lease* lease = Find(upstream);
  return lease != nullptr && lease->report ? &*lease->report : nullptr;
}

const Occupancy& SlotHolder::OthersOn(const UpstreamId& upstream) const {
  static const Occupancy none;
  const Lease* lease = Find(upstream);
  return lease == nullptr ? none : lease->others;
}

Slots SlotHolder::Leased(const UpstreamId& upstream) const {
  const Lease* lease = Find(upstream);
  return Slots(lease == nullptr ? 0 : Valid(*lease));
}

Slots SlotHolder::InFlight(const UpstreamId& upstream) const {
  const Lease* lease = Find(upstream);
  return Slots(lease == nullptr ? 0 : lease->in_flight);
}

int64_t SlotHolder::TotalLeased() const {
  int64_t total = 0;
  for (const auto& [id, lease] : leases_) {
    total += Valid(lease);
  }
  return total;
}

}  // namespace dandelion::admission
