#include "routing/load_exchange.h"

#include <set>

namespace dandelion::routing {
namespace {

using base::UpstreamId;

constexpr double kUsPerMs = 1000;

std::set<UpstreamId> AllOf(const LoadBook& loads) {
  std::set<UpstreamId> ids;
  for (const auto& [id, load] : loads.own()) {
    ids.insert(id);
  }
  return ids;
}

}  // namespace

std::vector<proto::UpstreamLoad> OwnLoads(LoadBook& loads,
                                          const UpstreamHealth& health,
                                          bool all) {
  std::vector<proto::UpstreamLoad> told;
  for (const UpstreamId& id : all ? AllOf(loads) : loads.TakeChanged()) {
    const Load own = loads.Own(id);
    proto::UpstreamLoad& load = told.emplace_back();
    load.set_upstream(id.value());
    load.set_running(own.running);
    load.set_tokens(own.tokens);
    load.set_unread_tokens(own.unread_tokens);
    load.set_arriving_tokens(own.arriving_tokens);
    load.set_token_us(
        static_cast<int64_t>(health.OwnTokenMs(id).value_or(0) * kUsPerMs));
  }
  return told;
}

void TakeLoads(const base::HostId& from,
               const proto::FleetBeat& beat,
               LoadBook& loads,
               UpstreamHealth& health) {
  if (beat.all_loads()) {
    loads.DropPeer(from);
  }
  for (const proto::UpstreamLoad& load : beat.loads()) {
    const UpstreamId id(load.upstream());
    loads.SetPeer(from, id,
                  {load.running(), load.tokens(), load.unread_tokens(),
                   load.arriving_tokens()});
    if (load.token_us() > 0) {
      health.NotePeerTokenTime(id,
                               static_cast<double>(load.token_us()) / kUsPerMs);
    }
  }
}

}  // namespace dandelion::routing
