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
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t memory_used = 0;
  int64_t memory_total = 0;
  int64_t preemptions = 0;
  bool cold = false;
  bool leaving = false;
  /// When it was received, by this host's clock.
  base::Millis received;
};

/// What a holder asks for at one upstream.
struct SlotAsk {
  base::UpstreamId upstream;
  base::Slots in_flight;
  base::Slots needed;
  base::Slots spare;
  /// The lease that the holder still honours.
  base::Slots holding;
  int64_t successes = 0;
  int64_t failures = 0;
  Occupancy occupancy;
  /// Memory that the first waiting request needs; less would be of no use.
  base::Tokens room_needed;
  /// Memory for requests that may come before the next ask.
  base::Tokens room_spare;
};

/// The answer to one ask.
struct SlotGrant {
  base::UpstreamId upstream;
  base::Slots slots;
  base::Millis ttl;
  UpstreamReport report;
  /// What all holders but the asking one have on the upstream.
  Occupancy others;
  /// By how much the holder may raise the predicted peak of the memory until
  /// its next grant. Empty if the upstream reports no memory.
  std::optional<base::Tokens> room;
};

/// Slots of one upstream as the tables give them.
struct SlotLimits {
  base::Slots warm;
  base::Slots cold;
};

/// Leases out the slots of the upstreams that one daemon owns. The sum of all
/// leases, and of what lapsed holders may still have running, stays within
/// what the upstream can bear, on each side of a split by its share.
class SlotOwner {
 public:
  static constexpr base::Millis kLeaseTtl{1600};
  /// Standard deviations kept free: raised by each report of preemptions,
  /// lowered again by successes.
  static constexpr double kUsualZ = 2.25;
  static constexpr double kMostZ = 3.5;
  static constexpr double kZPerPreemption = 0.25;
  static constexpr double kZPerSuccess = 0.01;
  /// Share of the memory that long requests leave to short ones.
  static constexpr double kShortReserve = 0.05;
  /// Holders without waiting requests get room only beyond this share.
  static constexpr double kRoomKeptForWaiting = 0.15;

  /// Replaces naive behaviour in tests that expect the violation.
  struct Hooks {
    /// The part of `limit` that this side of a split may grant.
    std::function<int64_t(int64_t limit, int64_t visible, int64_t roster)>
        share = ShareOfSplit;
    /// Whether a new owner waits until earlier leases have lapsed.
    bool waits_out_leases = true;
    /// Whether a just started upstream begins at its cold limit.
    bool starts_cold = true;
    /// Whether room that others were granted is left alone.
    bool reserves_room = true;
    /// Whether observed preemptions correct the risk.
    bool corrects_z = true;
  };

  SlotOwner(base::Clock clock, Hooks hooks);
  explicit SlotOwner(base::Clock clock);

  /// Takes over an upstream, or changes its limits. `settled` says that no
  /// earlier owner can have leases out.
  void Own(const base::UpstreamId& upstream, SlotLimits limits, bool settled);
  /// Gives an upstream up to another owner.
  void Disown(const base::UpstreamId& upstream);
  bool Owns(const base::UpstreamId& upstream) const;

  void OnReport(const base::UpstreamId& upstream, UpstreamReport report);
  /// `seat` is the data centre's visibility at this moment.
  SlotGrant OnAsk(const base::HostId& holder,
                  uint64_t round,
                  const SlotAsk& ask,
                  int64_t visible,
                  int64_t roster);

  /// The slots that the upstream is taken to bear now.
  base::Slots Budget(const base::UpstreamId& upstream) const;
  /// Leased slots, with those of lapsed holders that may still run.
  base::Slots Committed(const base::UpstreamId& upstream) const;
  const UpstreamReport* ReportOf(const base::UpstreamId& upstream) const;

  /// The part of `limit` for a side that sees `visible` of `roster` daemons.
  /// Both sides' parts add up to `limit` at most; only a side with more than
  /// half gets what does not divide.
  static int64_t ShareOfSplit(int64_t limit, int64_t visible, int64_t roster);

 private:
  struct Holding {
    /// The most that the holder may use.
    int64_t committed = 0;
    base::Millis expires;
    uint64_t round = 0;
    SlotAsk ask;
    /// Room of the last grant, which the holder's occupancy may not show yet.
    int64_t room = 0;
  };
  struct Ledger {
    SlotLimits limits;
    int64_t budget = 0;
    int64_t successes = 0;
    base::Millis grants_from;
    UpstreamReport report;
    std::map<base::HostId, Holding> holdings;
    /// Slots of lapsed holders whose requests may still run, and since when.
    int64_t orphans = 0;
    base::Millis orphaned_at;
    /// Standard deviations of the predicted memory that are kept free.
    double z = kUsualZ;
  };

  std::optional<base::Tokens> RoomFor(const Ledger& ledger,
                                      const base::HostId& holder,
                                      const SlotAsk& ask) const;
  void Lapse(Ledger& ledger);
  void TurnCold(Ledger& ledger);
  void Grow(Ledger& ledger, const SlotAsk& ask);
  static void SettleOrphans(Ledger& ledger);
  static int64_t ShareFor(const Ledger& ledger,
                          const base::HostId& holder,
                          int64_t cap);

  base::Clock clock_;
  Hooks hooks_;
  std::map<base::UpstreamId, Ledger> ledgers_;
};

}  // namespace dandelion::admission
