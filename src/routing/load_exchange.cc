#include "routing/load_exchange.h"

#include <algorithm>
#include <set>

namespace dandelion::routing {
namespace {

using base::UpstreamId;

constexpr double kUsPerMs = 1000;
// No token or answer takes as long as this: an hour.
constexpr int64_t kMaxUs = INT64_C(3600) * 1000 * 1000;

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

// Counts outside of these bounds come from a faulty peer. So large that sums of
// them still are numbers.
int64_t DecodeCount(int64_t count) {
  constexpr int64_t kMaxCount = INT64_C(1) << 40;
  return std::clamp<int64_t>(count, 0, kMaxCount);
}

Load DecodeLoad(const proto::UpstreamLoad& load) {
  return {DecodeCount(load.running()), DecodeCount(load.tokens()),
          DecodeCount(load.unread_tokens()),
          DecodeCount(load.arriving_tokens())};
}

std::set<UpstreamId> ListedUpstreams(const proto::FleetBeat& heartbeat) {
  std::set<UpstreamId> listed;
  for (const proto::UpstreamLoad& load : heartbeat.loads()) {
    listed.insert(UpstreamId(load.upstream()));
  }
  return listed;
}

// Whose times are passed on to the daemons of `scope`.
TimeSource SourceFor(proto::LoadScope scope) {
  switch (scope) {
    case proto::DATA_CENTRE:
      return TimeSource::kMember;
    case proto::FLEET:
      return TimeSource::kPeer;
    default:
      return TimeSource::kOwn;
  }
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

int64_t LoadExchange::RecentUs(proto::LoadScope scope,
                               const UpstreamId& id,
                               Work work) const {
  const double ms =
      health_.RecentMs(id, work, SourceFor(scope), clock_.Now()).value_or(0);
  return static_cast<int64_t>(ms * kUsPerMs);
}

void LoadExchange::ApplyTimes(const UpstreamId& id,
                              const proto::UpstreamLoad& load,
                              TimeSource source) {
  const auto apply = [&](Work work, int64_t us) {
    if (us > 0 && us <= kMaxUs) {
      health_.RecordTime(id, work, source, loads_.TotalLoad(id),
                         static_cast<double>(us) / kUsPerMs, clock_.Now());
    }
  };
  apply(Work::kToken, load.token_us());
  apply(Work::kAnswer, load.answer_us());
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
    out.set_token_us(RecentUs(scope, id, Work::kToken));
    if (out.token_us() == 0) {
      out.set_answer_us(RecentUs(scope, id, Work::kAnswer));
    }
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
    ApplyTimes(id, load, TimeSource::kMember);
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
    ApplyTimes(id, load, TimeSource::kPeer);
  }
}

void LoadExchange::ApplyFleetLoads(const proto::FleetBeat& heartbeat) {
  if (heartbeat.all_loads()) {
    loads_.RemoveFleetLoads();
  }
  for (const proto::UpstreamLoad& load : heartbeat.loads()) {
    const UpstreamId id(load.upstream());
    loads_.SetFleetLoad(id, DecodeLoad(load));
    ApplyTimes(id, load, TimeSource::kPeer);
  }
}

}  // namespace dandelion::routing
