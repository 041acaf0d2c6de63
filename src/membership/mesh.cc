#include "membership/mesh.h"

#include <algorithm>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "membership/membership.h"
#include "telemetry/events.h"

namespace dandelion::membership {
namespace {

using base::HostId;
using base::Millis;
using store::Topic;
using store::TopicReplica;
using store::Update;
using telemetry::Emit;
using telemetry::Event;

constexpr std::array<Topic, store::kTopicCount> kAllTopics = {
    Topic::kOperator, Topic::kUpstreams};
// Assumed age of a message that echoes no timestamp of this process, so that
// its verifications count as very old.
constexpr Millis kUnknownMessageAge{1'000'000};

constexpr char kSeedPrefix[] = "seed ";

size_t IndexOf(Topic topic) {
  return static_cast<size_t>(topic);
}

void EncodeUpdate(const Update& update,
                  Topic topic,
                  Millis verification_age,
                  proto::TopicUpdate* out) {
  out->set_topic(static_cast<int>(topic));
  out->set_from(update.from);
  out->set_to(update.to);
  out->set_snapshot(update.snapshot);
  out->set_proof_age_ms(verification_age.count());
  for (const store::Record& record : update.records) {
    proto::TopicRecord* to = out->add_records();
    to->set_key(record.key);
    to->set_value(record.value);
    to->set_removed(record.removed);
    to->set_offset(record.offset);
  }
}

Update DecodeUpdate(const proto::TopicUpdate& in) {
  Update update;
  update.from = in.from();
  update.to = in.to();
  update.snapshot = in.snapshot();
  for (const proto::TopicRecord& record : in.records()) {
    update.records.push_back(
        {record.key(), record.value(), record.removed(), record.offset()});
  }
  return update;
}

// The name under which a daemon is known until its own is.
HostId SeedName(const std::string& address) {
  return HostId(absl::StrCat(kSeedPrefix, address));
}

bool IsSeed(const HostId& name) {
  return name.value().starts_with(kSeedPrefix);
}

int64_t RandomTimestampBase() {
  std::random_device random;
  std::uniform_int_distribution<int64_t> any(1, INT64_C(1) << 60);
  return any(random);
}

}  // namespace

Mesh::Mesh(PeerAddress self,
           base::DataCentreId data_centre,
           base::Clock clock,
           Hooks hooks)
    : self_(std::move(self)),
      data_centre_(std::move(data_centre)),
      clock_(std::move(clock)),
      hooks_(std::move(hooks)),
      started_at_(clock_.Now()),
      timestamp_base_(RandomTimestampBase()) {}

int64_t Mesh::MakeTimestamp() const {
  return timestamp_base_ + clock_.Now().count();
}

std::optional<Millis> Mesh::ResolveTimestamp(int64_t timestamp) const {
  const Millis at(timestamp - timestamp_base_);
  if (at < started_at_ || at > clock_.Now()) {
    return std::nullopt;
  }
  return at;
}

void Mesh::AddPeer(const PeerAddress& peer) {
  if (peer.id == self_.id || peer.address == self_.address) {
    return;
  }
  const auto known = peers_.find(peer.id);
  if (known != peers_.end() && known->second.address.address == peer.address) {
    return;
  }
  Peer added;
  added.address = peer;
  added.added_at = clock_.Now();
  added.next_heartbeat_at = clock_.Now();
  peers_[peer.id] = std::move(added);
  hooks_.connect(peer);
}

void Mesh::AddSeed(const std::string& address) {
  AddPeer({SeedName(address), address});
}

void Mesh::OnMessage(const HostId& from, const proto::Envelope& message) {
  switch (message.body_case()) {
    case proto::Envelope::kFleetBeat:
      OnHeartbeat(from, message.fleet_beat());
      break;
    case proto::Envelope::kFleetPull:
      OnPull(from, message.fleet_pull());
      break;
    case proto::Envelope::kFleetPeers:
      OnPeers(message.fleet_peers());
      break;
    default:
      break;
  }
}

Mesh::Peer& Mesh::RecordPeerContact(const HostId& from,
                                    const std::string& address) {
  const HostId seed = SeedName(address);
  if (peers_.erase(seed) > 0) {
    hooks_.disconnect(seed);
  }
  AddPeer({from, address});
  Peer& peer = peers_[from];
  peer.last_heard_at = clock_.Now();
  peer.heard = true;
  if (!peer.up) {
    peer.up = true;
    Emit(Event::kPeerUp, {{"peer", from.value()}, {"address", address}});
  }
  return peer;
}

void Mesh::OnHeartbeat(const HostId& from, const proto::FleetBeat& heartbeat) {
  if (from == self_.id) {
    return;
  }
  Peer& peer = RecordPeerContact(from, heartbeat.address());
  peer.reading = heartbeat.reading();
  peer.store_slow = heartbeat.store_slow();
  peer.last_timestamp = heartbeat.stamp();
  peer.last_timestamp_at = clock_.Now();
  ApplyUpdates(from, peer, heartbeat);
  hooks_.on_loads(from, heartbeat);
  if (heartbeat.has_part_evidence()) {
    hooks_.on_part_evidence(from, heartbeat.part_evidence());
  }
  hooks_.on_self_reports(heartbeat);
}

void Mesh::ApplyUpdates(const HostId& from,
                        Peer& peer,
                        const proto::FleetBeat& heartbeat) {
  const Millis now = clock_.Now();
  // The peer sent the message `echo_age_ms` after it received the echoed
  // timestamp, so at the earliest `echo_age_ms` after the timestamp was made.
  const std::optional<Millis> echoed_at = ResolveTimestamp(heartbeat.echo());
  const Millis earliest_sent_at =
      echoed_at ? *echoed_at + Millis(heartbeat.echo_age_ms())
                : now - kUnknownMessageAge;
  bool behind = false;
  bool digest_differs = false;
  for (const proto::TopicUpdate& in : heartbeat.updates()) {
    if (in.topic() < 0 || in.topic() >= static_cast<int>(store::kTopicCount)) {
      continue;  // The peer is newer and has topics unknown to this version.
    }
    const auto topic = static_cast<Topic>(in.topic());
    const Update update = DecodeUpdate(in);
    const bool gap =
        !update.snapshot && hooks_.replica(topic).LeavesGap(update.from);
    if (gap) {
      behind = true;
    }
    if (gap && update.records.empty()) {
      RecordProgress(topic, update.from);
      continue;
    }
    hooks_.on_update(topic, update,
                     earliest_sent_at - Millis(in.proof_age_ms()));
    RecordProgress(topic, update.from);
    const TopicReplica& replica = hooks_.replica(topic);
    digest_differs = digest_differs ||
                     (in.key_digest() != 0 && update.to == replica.position() &&
                      in.key_digest() != replica.key_digest());
  }
  const bool incomplete = behind || digest_differs;
  peer.ahead = incomplete;
  if (heartbeat.answers_pull()) {
    pulls_.OnAnswer(from, !incomplete, now);
  }
  if (!incomplete) {
    return;
  }
  if (heartbeat.answers_pull()) {
    PullFromAnother();
  } else {
    PullRecords(from, digest_differs);
  }
}

void Mesh::RecordProgress(Topic topic, int64_t end) {
  PeerProgress& progress = progress_[IndexOf(topic)];
  progress.end = std::max(progress.end, end);
  if (!hooks_.replica(topic).LeavesGap(progress.end)) {
    progress.behind_since.reset();
  } else if (!progress.behind_since) {
    progress.behind_since = clock_.Now();
  }
}

bool Mesh::IsBehind(Topic topic) const {
  const PeerProgress& progress = progress_[IndexOf(topic)];
  return progress.behind_since &&
         clock_.Now() - *progress.behind_since > kPullPatience &&
         hooks_.replica(topic).LeavesGap(progress.end);
}

void Mesh::PullPeers(const HostId& seed) {
  // A pull without positions asks for no records.
  proto::Envelope message;
  message.mutable_fleet_pull()->set_address(self_.address);
  hooks_.send(seed, message);
}

void Mesh::PullFromAnother() {
  std::vector<HostId> candidates;
  for (const auto& [name, peer] : peers_) {
    if (peer.up && peer.ahead && !pulls_.IsTurnedAway(name, clock_.Now())) {
      candidates.push_back(name);
    }
  }
  if (candidates.empty()) {
    return;
  }
  // Daemons that ask at the same time choose different peers.
  const size_t choice =
      std::hash<std::string>()(self_.id.value()) + pulls_asked_elsewhere_++;
  PullRecords(candidates[choice % candidates.size()], false);
}

void Mesh::PullRecords(const HostId& from, bool complete) {
  if (!pulls_.TryStart(from, clock_.Now())) {
    return;
  }
  proto::Envelope message;
  proto::FleetPull* pull = message.mutable_fleet_pull();
  pull->set_address(self_.address);
  for (const Topic topic : kAllTopics) {
    const TopicReplica& replica = hooks_.replica(topic);
    pull->add_positions(replica.started() && !complete ? replica.position()
                                                       : -1);
  }
  hooks_.send(from, message);
}

void Mesh::OnPull(const HostId& from, const proto::FleetPull& pull) {
  if (from == self_.id) {
    return;
  }
  Peer& peer = RecordPeerContact(from, pull.address());
  proto::Envelope answer = MakeHeartbeat(peer, false);
  AddMissingRecords(pull, answer.mutable_fleet_beat());
  hooks_.send(from, answer);
  proto::Envelope list;
  for (const auto& [name, known] : peers_) {
    if (known.up) {
      list.mutable_fleet_peers()->add_names(name.value());
      list.mutable_fleet_peers()->add_addresses(known.address.address);
    }
  }
  if (list.has_fleet_peers()) {
    hooks_.send(from, list);
  }
}

void Mesh::AddMissingRecords(const proto::FleetPull& pull,
                             proto::FleetBeat* heartbeat) {
  const Millis now = clock_.Now();
  heartbeat->set_answers_pull(pull.positions_size() > 0);
  if (pull.positions_size() == 0 || !answer_budget_.MaySend(now)) {
    return;
  }
  heartbeat->clear_updates();
  for (const Topic topic : kAllTopics) {
    const TopicReplica& replica = hooks_.replica(topic);
    const int index = static_cast<int>(topic);
    if (!replica.started() || index >= pull.positions_size()) {
      continue;
    }
    const int64_t position = pull.positions(index);
    const bool complete =
        position < replica.position() - TopicReplica::kRemovalRetention ||
        position < 0;
    EncodeUpdate(
        complete ? replica.MakeSnapshot() : replica.UpdateFrom(position), topic,
        replica.VerificationAge(now), heartbeat->add_updates());
  }
  answer_budget_.Spend(heartbeat->ByteSizeLong(), now);
}

void Mesh::OnPeers(const proto::FleetPeers& peers) {
  const int count = std::min(peers.names_size(), peers.addresses_size());
  for (int i = 0; i < count; ++i) {
    AddPeer({HostId(peers.names(i)), peers.addresses(i)});
  }
}

proto::Envelope Mesh::MakeHeartbeat(const Peer& peer, bool all_loads) {
  const Millis now = clock_.Now();
  proto::Envelope message;
  proto::FleetBeat* heartbeat = message.mutable_fleet_beat();
  heartbeat->set_data_centre(data_centre_.value());
  heartbeat->set_address(self_.address);
  heartbeat->set_stamp(MakeTimestamp());
  heartbeat->set_echo(peer.last_timestamp);
  heartbeat->set_echo_age_ms((now - peer.last_timestamp_at).count());
  heartbeat->set_reading(hooks_.is_reader());
  heartbeat->set_store_slow(hooks_.is_reader() && hooks_.store_slow());
  heartbeat->set_draining(draining_);
  heartbeat->set_all_loads(all_loads);
  for (const Topic topic : kAllTopics) {
    const TopicReplica& replica = hooks_.replica(topic);
    if (!replica.started()) {
      continue;
    }
    // Without records: tells up to where and since when the replica is
    // complete.
    Update position_update;
    position_update.from =
        std::min(changes_end_[IndexOf(topic)], replica.position());
    position_update.to = replica.position();
    proto::TopicUpdate* out = heartbeat->add_updates();
    EncodeUpdate(position_update, topic, replica.VerificationAge(now), out);
    out->set_key_digest(replica.key_digest());
  }
  return message;
}

void Mesh::SendHeartbeat(const HostId& to, Peer& peer, bool all_loads) {
  proto::Envelope message = MakeHeartbeat(peer, all_loads);
  if (all_loads) {
    for (proto::UpstreamLoad& load : hooks_.loads(true)) {
      *message.mutable_fleet_beat()->add_loads() = std::move(load);
    }
    *message.mutable_fleet_beat()->mutable_part_evidence() =
        hooks_.part_evidence(true);
    hooks_.add_self_reports(true, message.mutable_fleet_beat());
  }
  hooks_.send(to, message);
}

void Mesh::Tick() {
  ExpireSilentPeers();
  const Millis now = clock_.Now();
  const Millis interval =
      std::max(kHeartbeatInterval,
               kHeartbeatIntervalPerPeer * static_cast<int64_t>(peers_.size()));
  for (auto& [name, peer] : peers_) {
    if (now < peer.next_heartbeat_at) {
      continue;
    }
    peer.next_heartbeat_at = now + interval;
    if (IsSeed(name)) {
      PullPeers(name);
    }
    SendHeartbeat(name, peer,
                  peer.heartbeats_sent % kHeartbeatsPerFullLoads == 0);
    ++peer.heartbeats_sent;
  }
  const bool has_changes = hooks_.loads_changed() ||
                           hooks_.has_new_part_evidence() ||
                           hooks_.has_new_self_reports();
  if (now >= next_changes_at_ && has_changes) {
    next_changes_at_ = now + kChangeInterval;
    SendChanges();
  }
}

void Mesh::SendChanges() {
  const std::vector<proto::UpstreamLoad> changed_loads = hooks_.loads(false);
  std::optional<proto::PartEvidence> evidence;
  if (hooks_.has_new_part_evidence()) {
    evidence = hooks_.part_evidence(false);
  }
  proto::FleetBeat reports;
  hooks_.add_self_reports(false, &reports);
  for (auto& [name, peer] : peers_) {
    proto::Envelope message = MakeHeartbeat(peer, false);
    for (const proto::UpstreamLoad& load : changed_loads) {
      *message.mutable_fleet_beat()->add_loads() = load;
    }
    if (evidence) {
      *message.mutable_fleet_beat()->mutable_part_evidence() = *evidence;
    }
    *message.mutable_fleet_beat()->mutable_self_reports() =
        reports.self_reports();
    hooks_.send(name, message);
  }
}

void Mesh::ExpireSilentPeers() {
  const Millis now = clock_.Now();
  std::vector<HostId> forgotten;
  for (auto& [name, peer] : peers_) {
    const Millis silent =
        now - (peer.heard ? peer.last_heard_at : peer.added_at);
    if (peer.up && silent > kPeerTimeout) {
      peer.up = false;
      peer.reading = false;
      Emit(Event::kPeerDown, {{"peer", name.value()},
                              {"silent_ms", absl::StrCat(silent.count())}});
      hooks_.on_peer_down(name);
    }
    if (silent > kForgetAfter) {
      forgotten.push_back(name);
    }
  }
  for (const HostId& name : forgotten) {
    peers_.erase(name);
    hooks_.disconnect(name);
  }
}

void Mesh::BroadcastUpdate(Topic topic, Update update) {
  const TopicReplica& replica = hooks_.replica(topic);
  if (!update.snapshot) {
    // The records between the last change and this update changed nothing.
    update.from = std::min(update.from, changes_end_[IndexOf(topic)]);
  }
  for (const store::Record& record : update.records) {
    MarkChange(topic, record.offset);
  }
  proto::TopicUpdate encoded;
  EncodeUpdate(update, topic, replica.VerificationAge(clock_.Now()), &encoded);
  // Heartbeats without records tell peers what they lack.
  const bool announce =
      update.snapshot ||
      encoded.ByteSizeLong() * peers_.size() > kMaxBroadcastBytes;
  for (auto& [name, peer] : peers_) {
    proto::Envelope message = MakeHeartbeat(peer, false);
    if (!announce) {
      message.mutable_fleet_beat()->clear_updates();
      *message.mutable_fleet_beat()->add_updates() = encoded;
    }
    hooks_.send(name, message);
  }
}

void Mesh::MarkChange(Topic topic, int64_t offset) {
  int64_t& end = changes_end_[IndexOf(topic)];
  end = std::max(end, offset + 1);
}

size_t Mesh::DaemonCount() const {
  return 1 + static_cast<size_t>(std::count_if(
                 peers_.begin(), peers_.end(),
                 [](const auto& item) { return item.second.up; }));
}

size_t Mesh::RankFor(std::string_view key) const {
  const uint64_t own_weight = RendezvousWeight(key, self_.id.value());
  return static_cast<size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& item) {
        return item.second.up &&
               RendezvousWeight(key, item.first.value()) > own_weight;
      }));
}

bool Mesh::IsStoreSlow() const {
  return std::any_of(peers_.begin(), peers_.end(), [](const auto& item) {
    return item.second.up && item.second.reading && item.second.store_slow;
  });
}

std::vector<store::PeerReaderStatus> Mesh::PeerReaderStatuses() const {
  std::vector<store::PeerReaderStatus> readings;
  for (const auto& [name, peer] : peers_) {
    if (peer.heard) {
      readings.push_back({name, peer.last_heard_at, peer.reading});
    }
  }
  return readings;
}

}  // namespace dandelion::membership
