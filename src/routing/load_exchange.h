#pragma once

#include <utility>

#include "base/clock.h"
#include "base/ids.h"
#include "proto/peer.pb.h"
#include "routing/load_tracker.h"
#include "routing/upstream_health.h"

namespace dandelion::routing {

/// Tells other daemons the loads that this one tracks, and applies theirs.
class LoadExchange {
 public:
  LoadExchange(LoadTracker& loads, UpstreamHealth& health, base::Clock clock)
      : loads_(loads), health_(health), clock_(std::move(clock)) {}

  /// Starts a round: until the next one, `AddLoads` without `all` adds the
  /// loads that have changed between the last round and this one.
  void StartRound() { changes_ = loads_.ExtractChanges(); }
  bool HasChanges() const { return loads_.HasChanges(); }
  /// Adds loads for `receiver` to a heartbeat: all that are not zero, or those
  /// that changed. A load that has ended is told as zero.
  void AddLoads(proto::LoadScope scope,
                const base::HostId& receiver,
                bool all,
                proto::FleetBeat* heartbeat) const;

  /// Apply loads and times. If the heartbeat lists all loads, they
  /// replace every earlier load of its source.
  void ApplyMemberLoads(const base::HostId& from,
                        const proto::FleetBeat& heartbeat);
  void ApplyDataCentreLoads(const base::DataCentreId& data_centre,
                            const proto::FleetBeat& heartbeat);
  void ApplyFleetLoads(const proto::FleetBeat& heartbeat);

 private:
  Load LoadFor(proto::LoadScope scope,
               const base::HostId& receiver,
               const base::UpstreamId& id) const;
  /// Microseconds for a unit of work that the upstream took lately, as the
  /// daemons of `scope` saw it; 0 if none of them did.
  int64_t RecentUs(proto::LoadScope scope,
                   const base::UpstreamId& id,
                   Work work) const;
  /// Learns from the times in a load that was just applied.
  void ApplyTimes(const base::UpstreamId& id,
                  const proto::UpstreamLoad& load,
                  TimeSource source);

  LoadTracker& loads_;
  UpstreamHealth& health_;
  base::Clock clock_;
  /// Of the current round.
  LoadTracker::Changes changes_;
};

}  // namespace dandelion::routing
