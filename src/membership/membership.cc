#include "membership/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace dandelion::membership {

using base::DataCentreId;
using base::HostId;
using base::Millis;

namespace {

uint32_t HashOf(const HostId& id) {
  const std::string& name = id.value();
  return static_cast<uint32_t>(XXH3_64bits(name.data(), name.size()));
}

}  // namespace

uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  const uint64_t seed = XXH3_64bits(node.data(), node.size());
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

Membership::Membership(Member self,
                       base::Incarnation incarnation,
                       std::vector<Member> others,
                       base::Clock clock,
                       Hooks hooks)
    : self_(std::move(self)),
      incarnation_(std::move(incarnation)),
      clock_(std::move(clock)),
      hooks_(std::move(hooks)) {
  for (Member& member : others) {
    State state;
    state.member = member;
    state.hash = HashOf(member.id);
    id_by_hash_[state.hash] = member.id;
    states_.emplace(member.id, std::move(state));
  }
}

void Membership::Tick() {
  MarkSilentMembersDown();
  proto::Envelope heartbeat = MakeHeartbeat();
  // Forwards the summaries of remote members once within this data centre.
  for (const auto& [data_centre, received] : received_summaries_) {
    proto::DataCentreSummary& summary =
        *heartbeat.mutable_heartbeat()->add_summaries();
    summary = received.summary;
    const Millis age = clock_.Now() - received.heard_at;
    summary.set_age_ms(summary.age_ms() + age.count());
  }
  received_summaries_.clear();
  for (const auto& [id, state] : states_) {
    if (state.member.data_centre == self_.data_centre) {
      hooks_.send(id, heartbeat);
    }
  }
  if (ticks_++ % kTicksPerSummary == 0) {
    SendToRemoteDataCentres();
  }
}

void Membership::SendToRemoteDataCentres() {
  std::map<DataCentreId, std::vector<HostId>> remote;
  for (const auto& [id, state] : states_) {
    if (state.member.data_centre != self_.data_centre) {
      remote[state.member.data_centre].push_back(id);
    }
  }
  proto::Envelope heartbeat = MakeHeartbeat();
  proto::DataCentreSummary& summary =
      *heartbeat.mutable_heartbeat()->add_summaries();
  for (const HostId& id : UpHostsIn(self_.data_centre)) {
    summary.add_alive(HashOf(id));
  }
  for (const auto& [data_centre, hosts] : remote) {
    if (IsDelegateFor(data_centre)) {
      const size_t index = next_remote_index_[data_centre]++;
      hooks_.send(hosts[index % hosts.size()], heartbeat);
    }
  }
}

bool Membership::IsDelegateFor(const DataCentreId& remote) const {
  const uint64_t mine = RendezvousWeight(remote.value(), self_.id.value());
  size_t heavier = 0;
  for (const HostId& id : UpHostsIn(self_.data_centre)) {
    if (RendezvousWeight(remote.value(), id.value()) > mine) {
      ++heavier;
    }
  }
  return heavier < kDelegates;
}

proto::Envelope Membership::MakeHeartbeat() const {
  proto::Envelope envelope;
  envelope.set_from(self_.id.value());
  envelope.set_incarnation(incarnation_.value());
  proto::Heartbeat& heartbeat = *envelope.mutable_heartbeat();
  heartbeat.set_data_centre(self_.data_centre.value());
  heartbeat.set_config_version(hooks_.config_version().count());
  heartbeat.set_draining(draining_);
  for (const auto& [upstream, incarnation] : leaving_) {
    proto::Leaving& leaving = *heartbeat.add_leaving();
    leaving.set_upstream(upstream.value());
    leaving.set_incarnation(incarnation.value());
  }
  return envelope;
}

void Membership::OnHeartbeat(const HostId& from,
                             const base::Incarnation& incarnation,
                             const proto::Heartbeat& heartbeat) {
  const auto found = states_.find(from);
  if (found == states_.end()) {
    return;
  }
  State& state = found->second;
  const Millis now = clock_.Now();
  state.incarnation = incarnation;
  state.draining = heartbeat.draining();
  RecordContact(state, now);
  for (const proto::Leaving& leaving : heartbeat.leaving()) {
    MarkLeaving(base::UpstreamId(leaving.upstream()),
                base::Incarnation(leaving.incarnation()));
  }
  for (const proto::DataCentreSummary& summary : heartbeat.summaries()) {
    ApplySummary(summary);
  }
  const bool remote = state.member.data_centre != self_.data_centre;
  if (remote && heartbeat.summaries_size() > 0) {
    received_summaries_[state.member.data_centre] =
        ReceivedSummary{heartbeat.summaries(0), now};
  }
  if (base::Offset(heartbeat.config_version()) > hooks_.config_version()) {
    hooks_.on_newer_config(from);
  }
}

void Membership::ApplySummary(const proto::DataCentreSummary& summary) {
  const Millis heard_at = clock_.Now() - base::AgeFromPeer(summary.age_ms());
  for (const uint32_t hash : summary.alive()) {
    const auto id = id_by_hash_.find(hash);
    if (id == id_by_hash_.end()) {
      continue;
    }
    State& state = states_.at(id->second);
    // Members of this data centre count as up only by their own heartbeats.
    if (state.member.data_centre != self_.data_centre) {
      RecordContact(state, heard_at);
    }
  }
}

void Membership::RecordContact(State& state, Millis heard_at) {
  state.heard_at = std::max(state.heard_at, heard_at);
  const bool local = state.member.data_centre == self_.data_centre;
  const Millis timeout = local ? kMemberTimeout : kSummaryTimeout;
  if (!state.up && clock_.Now() - state.heard_at <= timeout) {
    state.up = true;
    hooks_.on_change(state.member.id, true);
  }
}

void Membership::MarkSilentMembersDown() {
  const Millis now = clock_.Now();
  for (auto& [id, state] : states_) {
    const bool local = state.member.data_centre == self_.data_centre;
    const Millis timeout = local ? kMemberTimeout : kSummaryTimeout;
    if (state.up && now - state.heard_at > timeout) {
      state.up = false;
      hooks_.on_change(id, false);
    }
  }
}

void Membership::OnHostList(const std::set<HostId>& listed) {
  const Millis now = clock_.Now();
  for (auto& [id, state] : states_) {
    if (listed.contains(id)) {
      state.unlisted_since.reset();
    } else if (!state.unlisted_since) {
      state.unlisted_since = now;
    }
  }
}

void Membership::MarkLeaving(const base::UpstreamId& upstream,
                             const base::Incarnation& incarnation) {
  leaving_[upstream] = incarnation;
}

bool Membership::IsLeaving(const base::UpstreamId& upstream,
                           const base::Incarnation& incarnation) const {
  const auto found = leaving_.find(upstream);
  return found != leaving_.end() && found->second == incarnation;
}

std::vector<HostId> Membership::UpHostsIn(
    const DataCentreId& data_centre) const {
  std::vector<HostId> hosts;
  if (self_.data_centre == data_centre) {
    hosts.push_back(self_.id);
  }
  for (const auto& [id, state] : states_) {
    if (state.up && state.member.data_centre == data_centre) {
      hosts.push_back(id);
    }
  }
  return hosts;
}

std::optional<HostId> Membership::SlotOwnerOf(
    const base::UpstreamId& upstream,
    const DataCentreId& data_centre) const {
  std::optional<HostId> owner;
  uint64_t best = 0;
  for (const HostId& id : UpHostsIn(data_centre)) {
    const uint64_t weight = RendezvousWeight(upstream.value(), id.value());
    if (!owner || weight > best) {
      owner = id;
      best = weight;
    }
  }
  return owner;
}

bool Membership::IsUp(const HostId& host) const {
  if (host == self_.id) {
    return true;
  }
  const auto found = states_.find(host);
  return found != states_.end() && found->second.up;
}

Visibility Membership::VisibilityOf(const DataCentreId& data_centre) const {
  Visibility visibility;
  const Millis now = clock_.Now();
  if (self_.data_centre == data_centre) {
    visibility = {1, 1};
  }
  for (const auto& [id, state] : states_) {
    if (state.member.data_centre != data_centre) {
      continue;
    }
    visibility.visible += state.up ? 1 : 0;
    const bool forgotten = !state.up && state.unlisted_since &&
                           now - *state.unlisted_since > kRosterGrace;
    visibility.roster += forgotten ? 0 : 1;
  }
  return visibility;
}

std::vector<HostId> Membership::UpHosts() const {
  std::vector<HostId> hosts;
  for (const auto& [id, state] : states_) {
    if (state.up) {
      hosts.push_back(id);
    }
  }
  return hosts;
}

}  // namespace dandelion::membership
