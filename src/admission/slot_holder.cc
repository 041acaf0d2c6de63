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

int64_t SlotHolder::ValidSlots(const Lease& lease) const {
  return clock_.Now() < lease.expires ? lease.slots : 0;
}

int64_t SlotHolder::FreeSlots(const UpstreamId& upstream) const {
  const Lease* lease = Find(upstream);
  return lease == nullptr
             ? 0
             : std::max<int64_t>(0, ValidSlots(*lease) - lease->in_flight);
}

bool SlotHolder::TryAcquire(const UpstreamId& upstream) {
  if (FreeSlots(upstream) <= 0) {
    return false;
  }
  ++leases_[upstream].in_flight;
  return true;
}

void SlotHolder::Release(const UpstreamId& upstream, RequestOutcome outcome) {
  Lease& lease = leases_[upstream];
  --lease.in_flight;
  lease.successes += outcome == RequestOutcome::kSuccess ? 1 : 0;
  lease.failures += outcome == RequestOutcome::kFailure ? 1 : 0;
}

std::optional<double> SlotHolder::HeadroomLeft(
    const UpstreamId& upstream) const {
  const Lease* lease = Find(upstream);
  return lease == nullptr ? std::nullopt : lease->headroom;
}

void SlotHolder::UseHeadroom(const UpstreamId& upstream, double tokens) {
  constexpr double kSmoothing = 0.02;
  mean_headroom_used_ += kSmoothing * (tokens - mean_headroom_used_);
  Lease& lease = leases_[upstream];
  if (lease.headroom) {
    *lease.headroom -= tokens;
  }
}

void SlotHolder::SetHeadroomNeeded(const UpstreamId& upstream, double tokens) {
  leases_[upstream].headroom_needed = tokens;
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
  ask.leased = Slots(ValidSlots(lease));
  ask.headroom_needed =
      base::Tokens(static_cast<int64_t>(std::ceil(lease.headroom_needed)));
  const auto requests = static_cast<double>(2 + lease.queued);
  ask.headroom_spare =
      base::Tokens(static_cast<int64_t>(requests * mean_headroom_used_));
  ask.successes = std::exchange(lease.successes, 0);
  ask.failures = std::exchange(lease.failures, 0);
  return ask;
}

void SlotHolder::StartRound(const HostId& owner, uint64_t round) {
  rounds_[owner] = Round{round, clock_.Now()};
}

bool SlotHolder::ApplyGrants(const HostId& owner,
                             uint64_t round,
                             const std::vector<SlotGrant>& grants) {
  const auto current = rounds_.find(owner);
  if (current == rounds_.end() || current->second.number != round) {
    return false;
  }
  for (const SlotGrant& grant : grants) {
    Lease& lease = leases_[grant.upstream];
    lease.slots = grant.slots.count();
    lease.expires = current->second.started + grant.ttl;
    lease.other_occupancy = grant.other_occupancy;
    lease.report = grant.report;
    lease.headroom.reset();
    if (grant.headroom) {
      lease.headroom = static_cast<double>(grant.headroom->count());
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

const Occupancy& SlotHolder::OtherOccupancy(const UpstreamId& upstream) const {
  static const Occupancy empty;
  const Lease* lease = Find(upstream);
  return lease == nullptr ? empty : lease->other_occupancy;
}

Slots SlotHolder::LeasedSlots(const UpstreamId& upstream) const {
  const Lease* lease = Find(upstream);
  return Slots(lease == nullptr ? 0 : ValidSlots(*lease));
}

Slots SlotHolder::InFlight(const UpstreamId& upstream) const {
  const Lease* lease = Find(upstream);
  return Slots(lease == nullptr ? 0 : lease->in_flight);
}

int64_t SlotHolder::TotalLeased() const {
  int64_t total = 0;
  for (const auto& [id, lease] : leases_) {
    total += ValidSlots(lease);
  }
  return total;
}

}  // namespace dandelion::admission
