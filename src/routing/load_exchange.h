#pragma once

#include <vector>

#include "base/ids.h"
#include "proto/peer.pb.h"
#include "routing/load_tracker.h"
#include "routing/upstream_health.h"

namespace dandelion::routing {

/// Returns this daemon's own loads for a heartbeat: those of all upstreams on
/// which it has any if `all` is set, else those that changed since the last
/// such call. A load that has ended is reported as zero.
std::vector<proto::UpstreamLoad> CollectOwnLoads(LoadTracker& loads,
                                                 const UpstreamHealth& health,
                                                 bool all);

/// Applies a peer's loads and its average times per token. If the heartbeat
/// lists all loads, they replace every earlier load of that peer.
void ApplyPeerLoads(const base::HostId& from,
                    const proto::FleetBeat& heartbeat,
                    LoadTracker& loads,
                    UpstreamHealth& health);

}  // namespace dandelion::routing
