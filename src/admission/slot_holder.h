#pragma once

#include <map>
#include <optional>
#include <vector>

#include "admission/slot_owner.h"
#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::admission {

/// The slots that this daemon leases from the owners of upstreams, and the
/// requests that occupy them.
class SlotHolder {
 public:
  explicit SlotHolder(base::Clock clock);

  /// Number of leased slots that no request occupies.
  int64_t FreeSlots(const base::UpstreamId& upstream) const;
  /// Occupies a slot for a request. Returns false if none is free.
  bool TryAcquire(const base::UpstreamId& upstream);
  /// How a request that occupied a slot ended, as evidence of the upstream's
  /// health.
  enum class RequestOutcome { kSuccess, kFailure, kNeutral };
  /// Frees the slot of a request that has ended.
  void Release(const base::UpstreamId& upstream, RequestOutcome outcome);

  /// Headroom left, in tokens: by how much this daemon may still raise the
  /// predicted peak of the upstream's memory. Empty if there is no limit.
  std::optional<double> HeadroomLeft(const base::UpstreamId& upstream) const;
  /// Deducts headroom for a placed request that raised the predicted peak by
  /// `tokens`.
  void UseHeadroom(const base::UpstreamId& upstream, double tokens);
  /// Sets the headroom that the first waiting request needs on the upstream,
  /// in tokens; 0 for none.
  void SetHeadroomNeeded(const base::UpstreamId& upstream, double tokens);

  /// Sets how many requests wait for this upstream.
  void SetQueued(const base::UpstreamId& upstream, int64_t queued);

  /// Builds the ask for the next round and resets the counts of successes and
  /// failures. `spare` is the number of slots for requests that may arrive
  /// before the round after it.
  SlotAsk MakeAsk(const base::UpstreamId& upstream, int64_t spare);
  /// Starts a round of asks to one owner. The leases that it grants run from
  /// this moment, so that they expire here before they expire at the owner.
  void StartRound(const base::HostId& owner, uint64_t round);
  /// Applies the grants of a round. Returns false, and does nothing, unless
  /// `round` is the last one started to this owner.
  bool ApplyGrants(const base::HostId& owner,
                   uint64_t round,
                   const std::vector<SlotGrant>& grants);

  /// Gives up the lease until the next grant, because the upstream may have
  /// become cold or restarted. Requests in flight continue.
  void Revoke(const base::UpstreamId& upstream);

  /// The report that came with the last grant; null if there was none.
  const UpstreamReport* ReportOf(const base::UpstreamId& upstream) const;
  /// Predicted memory of the other daemons' generations on the upstream, as of
  /// the last grant.
  const Occupancy& OtherOccupancy(const base::UpstreamId& upstream) const;
  /// Slots of the current lease; 0 once it has expired.
  base::Slots LeasedSlots(const base::UpstreamId& upstream) const;
  base::Slots InFlight(const base::UpstreamId& upstream) const;
  /// Slots of all current leases.
  int64_t TotalLeased() const;

 private:
  struct Lease {
    int64_t slots = 0;
    base::Millis expires{-1'000'000};
    int64_t in_flight = 0;
    int64_t queued = 0;
    /// Requests that ended well or badly since the last ask.
    int64_t successes = 0;
    int64_t failures = 0;
    std::optional<UpstreamReport> report;
    Occupancy other_occupancy;
    std::optional<double> headroom;
    double headroom_needed = 0;
  };
  struct Round {
    uint64_t number = 0;
    base::Millis started;
  };

  const Lease* Find(const base::UpstreamId& upstream) const;
  int64_t ValidSlots(const Lease& lease) const;

  base::Clock clock_;
  /// Moving average of the headroom that one request uses, in tokens.
  double mean_headroom_used_ = 1000;
  std::map<base::UpstreamId, Lease> leases_;
  std::map<base::HostId, Round> rounds_;
};

}  // namespace dandelion::admission
