#include "routing/load_exchange.h"

#include <set>

namespace dandelion::routing {
namespace {

using base::UpstreamId;

constexpr double kUsPerMs = 1000;

std::set<UpstreamId> UpstreamsWithOwnLoad(const LoadTracker& loads) {
  std::set<UpstreamId> ids;
  for (const auto& [id, load] : loads.own_loads()) {
    ids.insert(id);
  }
  return ids;
}

}  // namespace

std::vector<proto::UpstreamLoad> CollectOwnLoads(LoadTracker& loads,
                                                 const UpstreamHealth& health,
                                                 bool all) {
  std::vector<proto::UpstreamLoad> updates;
  for (const UpstreamId& id :
       all ? UpstreamsWithOwnLoad(loads) : loads.ExtractChanged()) {
    const Load own_load = loads.OwnLoad(id);
    proto::UpstreamLoad& load = updates.emplace_back();
    load.set_upstream(id.value());
    load.set_running(own_load.running);
    load.set_tokens(own_load.tokens);
    load.set_unread_tokens(own_load.unread_tokens);
    load.set_arriving_tokens(own_load.arriving_tokens);
    load.set_token_us(
        static_cast<int64_t>(health.OwnTokenMs(id).value_or(0) * kUsPerMs));
  }
  return updates;
}

void ApplyPeerLoads(const base::HostId& from,
                    const proto::FleetBeat& heartbeat,
                    LoadTracker& loads,
                    UpstreamHealth& health) {
  if (heartbeat.all_loads()) {
    loads.RemovePeerLoads(from);
  }
  for (const proto::UpstreamLoad& load : heartbeat.loads()) {
    const UpstreamId id(load.upstream());
    loads.SetPeerLoad(from, id,
                      {load.running(), load.tokens(), load.unread_tokens(),
                       load.arriving_tokens()});
    if (load.token_us() > 0) {
      health.RecordPeerTokenTime(
          id, static_cast<double>(load.token_us()) / kUsPerMs);
    }
  }
}

}  // namespace dandelion::routing
