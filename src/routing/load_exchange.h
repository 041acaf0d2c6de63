#pragma once

#include <vector>

#include "base/ids.h"
#include "proto/peer.pb.h"
#include "routing/load_book.h"
#include "routing/upstream_health.h"

namespace dandelion::routing {

/// This daemon's work as it tells its peers: all of it, or what has changed
/// since the last call. What has ended is told as zero.
std::vector<proto::UpstreamLoad> OwnLoads(LoadBook& loads,
                                          const UpstreamHealth& health,
                                          bool all);

/// Takes what a peer says of its work and of the speed of upstreams.
void TakeLoads(const base::HostId& from,
               const proto::FleetBeat& beat,
               LoadBook& loads,
               UpstreamHealth& health);

}  // namespace dandelion::routing
