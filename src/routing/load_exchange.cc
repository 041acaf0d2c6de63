#include "routing/load_exchange.h"

#include <set>

namespace dandelion::routing {
namespace {

using base::UpstreamId;

constexpr double kUsPerMs = 1000;

const std::set<UpstreamId>& SelectScope(const LoadTracker::Changes& changes,
                                        proto::LoadScope scope) {
  switch (scope) {
    case proto::DATA_CENTRE:
      return changes.data_centre;
    case proto::FLEET:
      return changes.fleet;
    default:
      return changes.own;
  }
}

Load DecodeLoad(const proto::UpstreamLoad& load) {
  return {load.running(), load.tokens(), load.unread_tokens(),
          load.arriving_tokens()};
}

std::set<UpstreamId> ListedUpstreams(const proto::FleetBeat& heartbeat) {
  std::set<UpstreamId> listed;
  for (const proto::UpstreamLoad& load : heartbeat.loads()) {
    listed.insert(UpstreamId(load.upstream()));
  }
  return listed;
}

double DecodeTokenMs(const proto::UpstreamLoad& load) {
  return static_cast<double>(load.token_us()) / kUsPerMs;
}

}  // namespace

Load LoadExchange::LoadFor(proto::LoadScope scope,
                           const base::HostId& receiver,
                           const UpstreamId& id) const {
  switch (scope) {
    case proto::DATA_CENTRE:
      return loads_.DataCentreLoad(id);
    case proto::FLEET:
      return loads_.TotalLoadWithout(receiver, id);
    default:
      return loads_.OwnLoad(id);
  }
}

double LoadExchange::TokenMsFor(proto::LoadScope scope,
                                const UpstreamId& id) const {
  switch (scope) {
    case proto::DATA_CENTRE:
      return health_.DataCentreTokenMs(id).value_or(0);
    case proto::FLEET:
      return health_.AverageTokenMs(id).value_or(0);
    default:
      return health_.OwnTokenMs(id).value_or(0);
  }
}

void LoadExchange::AddLoads(proto::LoadScope scope,
                            const base::HostId& receiver,
                            bool all,
                            proto::FleetBeat* heartbeat) const {
  const LoadTracker::Changes selected = all ? loads_.Loaded() : changes_;
  for (const UpstreamId& id : SelectScope(selected, scope)) {
    const Load load = LoadFor(scope, receiver, id);
    proto::UpstreamLoad& out = *heartbeat->add_loads();
    out.set_upstream(id.value());
    out.set_running(load.running);
    out.set_tokens(load.tokens);
    out.set_unread_tokens(load.unread_tokens);
    out.set_arriving_tokens(load.arriving_tokens);
    out.set_token_us(static_cast<int64_t>(TokenMsFor(scope, id) * kUsPerMs));
  }
}

void LoadExchange::ApplyMemberLoads(const base::HostId& from,
                                    const proto::FleetBeat& heartbeat) {
  if (heartbeat.all_loads()) {
    loads_.RemoveMember(from, ListedUpstreams(heartbeat));
  }
  for (const proto::UpstreamLoad& load : heartbeat.loads()) {
    const UpstreamId id(load.upstream());
    loads_.SetMemberLoad(from, id, DecodeLoad(load));
    if (load.token_us() > 0) {
      health_.RecordMemberTokenTime(id, DecodeTokenMs(load));
    }
  }
}

void LoadExchange::ApplyDataCentreLoads(const base::DataCentreId& data_centre,
                                        const proto::FleetBeat& heartbeat) {
  if (heartbeat.all_loads()) {
    loads_.RemoveDataCentre(data_centre, ListedUpstreams(heartbeat));
  }
  for (const proto::UpstreamLoad& load : heartbeat.loads()) {
    const UpstreamId id(load.upstream());
    loads_.SetDataCentreLoad(data_centre, id, DecodeLoad(load));
    if (load.token_us() > 0) {
      health_.RecordPeerTokenTime(id, DecodeTokenMs(load));
    }
  }
}

void LoadExchange::ApplyFleetLoads(const proto::FleetBeat& heartbeat) {
  if (heartbeat.all_loads()) {
    loads_.RemoveFleetLoads();
  }
  for (const proto::UpstreamLoad& load : heartbeat.loads()) {
    const UpstreamId id(load.upstream());
    loads_.SetFleetLoad(id, DecodeLoad(load));
    if (load.token_us() > 0) {
      health_.RecordPeerTokenTime(id, DecodeTokenMs(load));
    }
  }
}

}  // namespace dandelion::routing
