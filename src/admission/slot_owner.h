#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "admission/occupancy.h"
#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::admission {

/// A load report of an upstream, as its owner received it.
struct UpstreamReport {
  base::Incarnation incarnation;
  bool reachable = false;
  /// Requests that the upstream runs, and those that wait inside it.
  int64_t running = 0;
  int64_t waiting = 0;
  /// KV cache memory, in tokens; a total of 0 means that it is not reported.
  int64_t memory_used = 0;
  int64_t memory_total = 0;
  /// Generations preempted since the upstream's start.
  int64_t preemptions = 0;
  bool cold = false;
  bool leaving = false;
  /// When the owner received it, by this host's clock.
  base::Millis received;
};

/// One daemon's request to an owner for slots on one upstream.
struct SlotAsk {
  base::UpstreamId upstream;
  base::Slots in_flight;
  /// Slots for the requests that run or wait now.
  base::Slots needed;
  /// Slots for requests that may arrive before the next ask.
  base::Slots spare;
  /// Slots of the lease that the asking daemon still uses.
  base::Slots leased;
  /// Requests that ended well or badly since the last ask.
  int64_t successes = 0;
  int64_t failures = 0;
  /// Predicted memory of the daemon's generations on the upstream.
  Occupancy occupancy;
  /// Headroom that the first waiting request needs; less is of no use.
  base::Tokens headroom_needed;
  /// Headroom for requests that may arrive before the next ask.
  base::Tokens headroom_spare;
};

/// An owner's answer to a `SlotAsk`.
struct SlotGrant {
  base::UpstreamId upstream;
  base::Slots slots;
  base::Millis ttl;
  UpstreamReport report;
  /// Predicted memory of all other daemons' generations on the upstream.
  Occupancy other_occupancy;
  /// By how much the daemon may raise the predicted peak of the upstream's
  /// memory until its next grant. Empty, which means no limit, if the upstream
  /// reports no memory.
  std::optional<base::Tokens> headroom;
};

/// Numbers of slots that the tables give for one upstream.
struct SlotLimits {
  base::Slots warm;
  base::Slots cold;
};

/// Leases the slots of the upstreams that this daemon owns to all daemons.
///
/// For each upstream, the slots of all leases and those of expired leases whose
/// requests may still be running add up to at most the upstream's budget. The
/// budget is the cold limit while the upstream is cold and after a restart or a
/// failure, and grows with successful requests up to the warm limit. If a
/// network partition splits the daemons, each side grants only its share of the
/// budget.
class SlotOwner {
 public:
  static constexpr base::Millis kLeaseTtl{1600};
  /// The predicted peak of an upstream's memory is its mean plus `z` standard
  /// deviations. `z` starts at `kMinZ`, which is also its minimum. Each
  /// report of new preemptions raises it, up to `kMaxZ`, and each successful
  /// request lowers it.
  static constexpr double kMinZ = 2.25;
  static constexpr double kMaxZ = 3.5;
  static constexpr double kZPerPreemption = 0.25;
  static constexpr double kZPerSuccess = 0.01;
  /// Fraction of the memory that is left to short requests.
  static constexpr double kShortRequestReserve = 0.05;
  /// Fraction of the memory limit that only a waiting request may use: headroom
  /// for requests to come is granted from what is free beyond it.
  static constexpr double kWaitingRequestReserve = 0.15;

  /// Replaces or switches off single safeguards, so that tests and benchmarks
  /// can show what goes wrong without them.
  struct Hooks {
    /// The part of `limit` that this side of a network partition may grant.
    std::function<int64_t(int64_t limit, int64_t visible, int64_t roster)>
        split_share = ShareOfSplit;
    /// Whether a new owner waits until the leases of an earlier owner have
    /// expired.
    bool waits_out_leases = true;
    /// Whether the budget of a restarted upstream is its cold limit.
    bool starts_cold = true;
    /// Whether headroom granted to one daemon is withheld from the others.
    bool reserves_headroom = true;
    /// Whether preemptions raise `z`.
    bool adapts_z = true;
  };

  SlotOwner(base::Clock clock, Hooks hooks);
  explicit SlotOwner(base::Clock clock);

  /// Becomes the owner of an upstream, or changes the limits of an owned one.
  /// `no_prior_leases` says that no lease of an earlier owner can be valid;
  /// otherwise no new slots are granted for `kLeaseTtl`.
  void AddUpstream(const base::UpstreamId& upstream,
                   SlotLimits limits,
                   bool no_prior_leases);
  /// Stops owning an upstream, because another daemon owns it now.
  void RemoveUpstream(const base::UpstreamId& upstream);
  bool Owns(const base::UpstreamId& upstream) const;

  /// Applies a load report; ignored if the upstream is not owned.
  void OnReport(const base::UpstreamId& upstream, UpstreamReport report);
  /// Answers an ask with a lease; grants no slots if the upstream is not owned.
  /// `visible` and `roster` are the numbers of daemons in this data centre that
  /// answer and that are expected to exist.
  SlotGrant OnAsk(const base::HostId& holder,
                  uint64_t round,
                  const SlotAsk& ask,
                  int64_t visible,
                  int64_t roster);

  /// Slots that may be leased now; 0 if the upstream is not owned.
  base::Slots Budget(const base::UpstreamId& upstream) const;
  /// Leased slots, and those of expired leases whose requests may still be
  /// running; 0 if the upstream is not owned.
  base::Slots Committed(const base::UpstreamId& upstream) const;
  /// The last report, empty before the first one; null if the upstream is not
  /// owned.
  const UpstreamReport* ReportOf(const base::UpstreamId& upstream) const;

  /// The part of `limit` for the side of a network partition that sees
  /// `visible` of `roster` daemons. The parts of both sides add up to at most
  /// `limit`; only a side with more than half of the daemons rounds up.
  static int64_t ShareOfSplit(int64_t limit, int64_t visible, int64_t roster);

 private:
  /// What one daemon leases on an upstream.
  struct HolderState {
    /// Most slots that the holder may be using.
    int64_t committed = 0;
    base::Millis expires;
    uint64_t round = 0;
    SlotAsk ask;
    /// Headroom of the last grant, in tokens. Requests placed with it may not
    /// be part of `ask.occupancy` yet.
    int64_t headroom = 0;
  };
  struct UpstreamState {
    SlotLimits limits;
    int64_t budget = 0;
    /// Successful requests that count towards the next growth of the budget.
    int64_t successes = 0;
    /// Until then, leases of an earlier owner may be valid.
    base::Millis grants_from;
    UpstreamReport report;
    std::map<base::HostId, HolderState> holders;
    /// Slots of expired leases whose requests may still be running, and when
    /// such a lease was last found to have expired.
    int64_t orphaned_slots = 0;
    base::Millis orphaned_at;
    /// Standard deviations of the predicted memory that are kept free.
    double z = kMinZ;
  };

  std::optional<base::Tokens> ComputeHeadroom(const UpstreamState& state,
                                              const base::HostId& holder,
                                              const SlotAsk& ask) const;
  void ExpireLeases(UpstreamState& state);
  void ResetBudget(UpstreamState& state);
  void UpdateBudget(UpstreamState& state, const SlotAsk& ask);
  static void ReconcileOrphanedSlots(UpstreamState& state);
  static int64_t ComputeFairShare(const UpstreamState& state,
                                  const base::HostId& holder,
                                  int64_t grantable);

  base::Clock clock_;
  Hooks hooks_;
  std::map<base::UpstreamId, UpstreamState> upstreams_;
};

}  // namespace dandelion::admission
