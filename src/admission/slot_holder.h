#pragma once

#include <map>
#include <optional>
#include <vector>

#include "admission/slot_owner.h"
#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::admission {

/// Holds this daemon's leases and counts the requests that use them.
class SlotHolder {
 public:
  explicit SlotHolder(base::Clock clock);

  /// Slots that may be taken now.
  int64_t Free(const base::UpstreamId& upstream) const;
  /// Takes a slot. Fails if no lease covers one more request.
  bool TryTake(const base::UpstreamId& upstream);
  /// How a request that held a slot ended, as far as the upstream goes.
  enum class Ended { kWell, kBadly, kNeutral };
  void Release(const base::UpstreamId& upstream, Ended ended);

  /// Room left to raise the upstream's predicted memory by; empty if there is
  /// no limit.
  std::optional<double> RoomLeft(const base::UpstreamId& upstream) const;
  /// Notes that a placed request raised the predicted peak by `tokens`.
  void UseRoom(const base::UpstreamId& upstream, double tokens);
  /// Room that the first waiting request needs there; 0 for none.
  void NeedRoom(const base::UpstreamId& upstream, double tokens);

  /// Notes how many requests wait for this upstream.
  void SetQueued(const base::UpstreamId& upstream, int64_t queued);

  /// The ask for the next round; counts of ended requests start anew.
  SlotAsk MakeAsk(const base::UpstreamId& upstream, int64_t spare);
  /// Opens a round of asks to one owner; leases count from this moment.
  void OpenRound(const base::HostId& owner, uint64_t round);
  /// Takes the grants of a round; any but the latest round is ignored.
  /// Returns whether it was taken.
  bool OnGrants(const base::HostId& owner,
                uint64_t round,
                const std::vector<SlotGrant>& grants);

  /// Gives up free slots until the next grant: the upstream may have turned
  /// cold, or restarted.
  void Revoke(const base::UpstreamId& upstream);

  /// The newest report that came with a grant; null if none.
  const UpstreamReport* ReportOf(const base::UpstreamId& upstream) const;
  const Occupancy& OthersOn(const base::UpstreamId& upstream) const;
  base::Slots Leased(const base::UpstreamId& upstream) const;
  base::Slots InFlight(const base::UpstreamId& upstream) const;
  int64_t TotalLeased() const;

 private:
  struct Lease {
    int64_t slots = 0;
    base::Millis expires{-1'000'000};
    int64_t in_flight = 0;
    int64_t queued = 0;
    int64_t successes = 0;
    int64_t failures = 0;
    std::optional<UpstreamReport> report;
    Occupancy others;
    std::optional<double> room;
    double room_needed = 0;
  };
  struct Round {
    uint64_t number = 0;
    base::Millis asked;
  };

  const Lease* Find(const base::UpstreamId& upstream) const;
  int64_t Valid(const Lease& lease) const;

  base::Clock clock_;
  /// What one request takes of the room on average, in tokens.
  double usual_room_ = 1000;
  std::map<base::UpstreamId, Lease> leases_;
  std::map<base::HostId, Round> rounds_;
};

}  // namespace dandelion::admission
