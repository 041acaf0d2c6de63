#include "membership/mesh.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "membership/membership.h"
#include "telemetry/events.h"

namespace dandelion::membership {
namespace {

using base::DataCentreId;
using base::HostId;
using base::Millis;
using store::Topic;
using store::Update;
using telemetry::Emit;
using telemetry::Event;

// Assumed age of a message that echoes no timestamp of this process, so that
// its verifications count as very old.
constexpr Millis kUnknownMessageAge{1'000'000};
// Time between the first heartbeats on a link, and between the first hellos to
// seeds, since the transport drops messages until it has connected.
constexpr Millis kConnectRetryInterval{50};
// Limits on what one message may list.
constexpr int kMaxViewDaemons = 10'000;
constexpr int kMaxEntries = 2000;

size_t IndexOf(Topic topic) {
  return static_cast<size_t>(topic);
}

// The name under which a daemon is linked until its own is known.
HostId SeedName(const std::string& address) {
  return HostId(absl::StrCat("seed ", address));
}

DaemonInfo DecodeEntry(const proto::DaemonEntry& entry) {
  return {HostId(entry.name()), entry.address(),
          DataCentreId(entry.data_centre()), entry.capacity()};
}

proto::DaemonEntry EncodeEntry(const DaemonInfo& daemon) {
  proto::DaemonEntry entry;
  entry.set_name(daemon.id.value());
  entry.set_address(daemon.address);
  entry.set_data_centre(daemon.data_centre.value());
  entry.set_capacity(daemon.capacity);
  return entry;
}

RecordExchange::Hooks MakeRecordHooks(
    std::function<const store::TopicReplica&(Topic)> replica,
    std::function<void(const HostId&, Topic, const Update&, Millis verified_at)>
        apply,
    std::function<void(const HostId&, const proto::FleetPull&)> send_pull) {
  return {std::move(replica), std::move(apply), std::move(send_pull)};
}

}  // namespace

Mesh::Mesh(const DaemonInfo& self,
           const base::Clock& clock,
           int64_t answer_bytes_per_second,
           Hooks hooks)
    : clock_(clock),
      started_at_(clock.Now()),
      hooks_(std::move(hooks)),
      roster_(self, clock),
      timestamps_(clock),
      records_(
          self.id,
          clock,
          answer_bytes_per_second,
          MakeRecordHooks(
              hooks_.replica,
              [this](const HostId& from,
                     Topic topic,
                     const Update& update,
                     Millis verified_at) {
                if (!hooks_.on_update(topic, update, verified_at).empty()) {
                  RelayUpdate(from, topic, update);
                }
              },
              [this](const HostId& to, const proto::FleetPull& pull) {
                proto::Envelope message = MakeEnvelope();
                *message.mutable_fleet_pull() = MakePull();
                message.mutable_fleet_pull()->MergeFrom(pull);
                hooks_.send(to, message);
              })),
      last_tick_at_(clock_.Now()) {}

void Mesh::AddDaemon(const DaemonInfo& daemon) {
  roster_.Add(daemon);
}

bool Mesh::KnowsFleet() const {
  const Millis now = clock_.Now();
  const bool is_introduced =
      first_contact_at_ && now - *first_contact_at_ >= kIntroductionTime;
  return is_listed_ || is_introduced || now - started_at_ >= kAloneAfter;
}

void Mesh::RecordListed() {
  is_listed_ = true;
  roster_.Update();
}

void Mesh::AddSeed(const std::string& address) {
  if (address != roster_.self().address) {
    seeds_.push_back({{SeedName(address), address}});
  }
}

void Mesh::SetDraining() {
  draining_ = true;
  roster_.SetDraining();
}

void Mesh::OnMessage(const HostId& from, const proto::Envelope& message) {
  if (from.empty() || from == roster_.self().id) {
    return;
  }
  switch (message.body_case()) {
    case proto::Envelope::kFleetBeat:
      OnHeartbeat(from, message.fleet_beat());
      break;
    case proto::Envelope::kFleetPull:
      OnPull(from, message.fleet_pull());
      break;
    case proto::Envelope::kFleetPeers:
      OnPeers(from, message.fleet_peers());
      break;
    default:
      break;
  }
}

void Mesh::OnHeartbeat(const HostId& from, const proto::FleetBeat& heartbeat) {
  if (heartbeat.address().empty() || heartbeat.data_centre().empty()) {
    return;
  }
  const DaemonInfo sender = {from, heartbeat.address(),
                             DataCentreId(heartbeat.data_centre()),
                             heartbeat.capacity()};
  const auto known = links_.find(from);
  if (roster_.Add(sender) && known != links_.end()) {
    hooks_.connect({from, sender.address});
  }
  if (!roster_.Find(from)) {
    return;  // It claims this daemon's own address.
  }
  roster_.RecordContact(from, heartbeat.draining());
  if (!first_contact_at_) {
    first_contact_at_ = clock_.Now();
  }
  const Millis now = clock_.Now();
  if (heartbeat.reports() || known != links_.end()) {
    Link& link = OpenLink(from);
    link.reported_at =
        heartbeat.reports() ? std::optional<Millis>(now) : std::nullopt;
    const bool follows = heartbeat.reports() && heartbeat.follows();
    if (follows && !link.follower) {
      link.next_full_at = now;
      link.next_heartbeat_at = now;
    }
    link.follower = follows;
    link.is_delegate = heartbeat.is_delegate();
    link.reading = {heartbeat.reading_operator(), heartbeat.reading()};
    link.hears_reader = {heartbeat.hears_operator_reader(),
                         heartbeat.hears_reader()};
    link.store_slow = heartbeat.store_slow();
    link.last_timestamp = heartbeat.stamp();
    link.last_timestamp_at = now;
  }
  // The peer sent the message `echo_age_ms` after it received the echoed
  // timestamp, so at the earliest `echo_age_ms` after the timestamp was made.
  const std::optional<Millis> echoed_at = timestamps_.Resolve(heartbeat.echo());
  records_.Apply(
      from, heartbeat,
      echoed_at ? std::min(now, *echoed_at +
                                    base::AgeFromPeer(heartbeat.echo_age_ms()))
                : now - kUnknownMessageAge);
  ApplyViews(from, heartbeat);
  ApplyLoads(from, heartbeat);
  if (heartbeat.has_part_evidence()) {
    hooks_.on_part_evidence(from, heartbeat.part_evidence());
  }
  hooks_.on_self_reports(heartbeat);
  // Passes news on without waiting for the next tick.
  SendNews();
}

void Mesh::ApplyLoads(const HostId& from, const proto::FleetBeat& heartbeat) {
  const DataCentreId data_centre(heartbeat.data_centre());
  const bool local = data_centre == roster_.self().data_centre;
  switch (heartbeat.load_scope()) {
    case proto::OWN:
      if (local) {
        hooks_.on_member_loads(from, heartbeat);
      }
      break;
    case proto::DATA_CENTRE: {
      const auto primary = primaries_.find(data_centre);
      if (!local && primary != primaries_.end() && primary->second == from) {
        hooks_.on_data_centre_loads(data_centre, heartbeat);
      }
      break;
    }
    case proto::FLEET:
      if (followed_ == from) {
        fleet_loads_at_ = clock_.Now();
        has_fleet_loads_ = has_fleet_loads_ || heartbeat.all_loads();
        hooks_.on_fleet_loads(heartbeat);
      }
      break;
    default:
      break;  // The peer is newer and has scopes unknown to this version.
  }
}

void Mesh::ApplyViews(const HostId& from, const proto::FleetBeat& heartbeat) {
  for (const proto::DataCentreView& view : heartbeat.views()) {
    const bool of_sender = view.data_centre() == heartbeat.data_centre();
    if (view.alive_size() > kMaxViewDaemons ||
        (!of_sender && followed_ != from)) {
      continue;
    }
    for (const proto::DaemonEntry& entry : view.delegates()) {
      const DaemonInfo daemon = DecodeEntry(entry);
      roster_.Add(daemon);
      if (heartbeat.is_delegate()) {
        roster_.RecordVouched(daemon.id);
      }
    }
    const DataCentreId data_centre(view.data_centre());
    const bool hears_itself =
        is_delegate_ && data_centre == roster_.self().data_centre;
    if (!hears_itself && view.alive_size() > 0) {
      roster_.SetView(data_centre, from,
                      {view.alive().begin(), view.alive().end()},
                      base::AgeFromPeer(view.age_ms()));
    }
  }
}

void Mesh::OnPull(const HostId& from, const proto::FleetPull& pull) {
  if (pull.address().empty() || pull.data_centre().empty()) {
    return;
  }
  roster_.Add({from, pull.address(), DataCentreId(pull.data_centre()),
               pull.capacity()});
  if (!roster_.Find(from)) {
    return;  // It claims this daemon's own address.
  }
  OpenLink(from).reported_at = clock_.Now();
  if (pull.positions_size() > 0) {
    // A peer that asks again wants one answer.
    std::erase_if(waiting_pulls_,
                  [&from](const auto& item) { return item.first == from; });
    waiting_pulls_.emplace_back(from, pull);
    AnswerPulls();
    return;
  }
  proto::Envelope answer = MakeEnvelope();
  proto::FleetPeers& peers = *answer.mutable_fleet_peers();
  *peers.add_daemons() = EncodeEntry(roster_.self());
  for (const DataCentreId& data_centre : roster_.DataCentres()) {
    if (data_centre.value() == pull.data_centre()) {
      for (const DaemonInfo& daemon : roster_.DaemonsOf(data_centre)) {
        *peers.add_daemons() = EncodeEntry(daemon);
      }
      continue;
    }
    for (const HostId& id : roster_.DelegatesOf(data_centre)) {
      *peers.add_daemons() = MakeEntry(id);
    }
  }
  hooks_.send(from, answer);
}

void Mesh::AnswerPulls() {
  while (!waiting_pulls_.empty() && records_.MayAnswer()) {
    const auto [id, pull] = std::move(waiting_pulls_.front());
    waiting_pulls_.pop_front();
    const auto link = links_.find(id);
    if (link == links_.end()) {
      continue;
    }
    proto::Envelope answer = MakeHeartbeat(link->second);
    answer.mutable_fleet_beat()->set_follows(followed_ == id);
    records_.AddMissingRecords(pull, answer.mutable_fleet_beat());
    Send(id, link->second, answer);
  }
}

void Mesh::OnPeers(const HostId& from, const proto::FleetPeers& peers) {
  const int count = std::min(peers.daemons_size(), kMaxEntries);
  for (int i = 0; i < count; ++i) {
    const DaemonInfo daemon = DecodeEntry(peers.daemons(i));
    if (!daemon.address.empty() && !daemon.data_centre.empty()) {
      roster_.Add(daemon);
    }
  }
  roster_.RecordVouched(from);
  next_update_at_ = clock_.Now();
}

Mesh::Link& Mesh::OpenLink(const HostId& id) {
  const auto [known, is_new] = links_.try_emplace(id);
  if (is_new) {
    known->second.opened_at = clock_.Now();
    known->second.next_heartbeat_at = clock_.Now();
    hooks_.connect({id, roster_.Find(id)->address});
  }
  return known->second;
}

bool Mesh::IsReporting(const Link& link) const {
  return link.reported_at &&
         clock_.Now() - *link.reported_at <= Roster::kContactTimeout;
}

bool Mesh::IsProbed(const Link& link) const {
  return link.probed_until && clock_.Now() < *link.probed_until;
}

bool Mesh::IsLocal(const HostId& id) const {
  const DaemonInfo* daemon = roster_.Find(id);
  return daemon && daemon->data_centre == roster_.self().data_centre;
}

void Mesh::Tick() {
  const Millis now = clock_.Now();
  if (now - last_tick_at_ > kMaxTickGap) {
    roster_.ExtendContacts(now - last_tick_at_);
  }
  last_tick_at_ = now;
  if (now >= next_update_at_) {
    next_update_at_ = now + kUpdateInterval;
    UpdateLinks();
  }
  AskSeeds();
  AnswerPulls();
  SendNews();
  SendDueHeartbeats();
}

void Mesh::UpdateLinks() {
  roster_.Update();
  PassOverSilentDelegates();
  ChooseDelegates();
  ProbeSilentDaemons();
  ReportContacts();
  ChoosePrimaries();
  ChooseFollowed();
  CloseUnusedLinks();
}

void Mesh::PassOverSilentDelegates() {
  const Millis now = clock_.Now();
  for (const auto& [id, link] : links_) {
    if (link.chosen_at && !roster_.IsInContact(id) &&
        now - *link.chosen_at > Roster::kFirstContactTimeout) {
      roster_.RecordSilence(id);
    }
  }
}

void Mesh::ChooseDelegates() {
  const Millis now = clock_.Now();
  std::vector<HostId> chosen = roster_.DelegatesOf(roster_.self().data_centre);
  if (std::erase(chosen, roster_.self().id) > 0) {
    candidate_since_ = candidate_since_.value_or(now);
  } else {
    candidate_since_.reset();
  }
  is_delegate_ = candidate_since_ && now - *candidate_since_ >= kWarmUp;
  if (candidate_since_) {
    for (const DataCentreId& data_centre : roster_.DataCentres()) {
      if (data_centre != roster_.self().data_centre) {
        const std::vector<HostId> remote = roster_.DelegatesOf(data_centre);
        chosen.insert(chosen.end(), remote.begin(), remote.end());
      }
    }
  }
  for (const HostId& id : chosen) {
    Link& link = OpenLink(id);
    link.chosen_at = link.chosen_at.value_or(now);
  }
  for (auto& [id, link] : links_) {
    if (std::find(chosen.begin(), chosen.end(), id) == chosen.end()) {
      link.chosen_at.reset();
    }
  }
}

void Mesh::ProbeSilentDaemons() {
  const Millis now = clock_.Now();
  if (!is_delegate_ || now < next_probes_at_) {
    return;
  }
  next_probes_at_ = now + kReunionInterval;
  for (const DataCentreId& data_centre : roster_.DataCentres()) {
    for (const HostId& id : roster_.SilentOf(data_centre)) {
      OpenLink(id).probed_until = now + Roster::kContactTimeout;
    }
  }
}

void Mesh::ReportContacts() {
  std::set<HostId> contacts = roster_.Contacts();
  for (const HostId& id : contacts) {
    if (!contacts_.contains(id)) {
      Emit(Event::kPeerUp, {{"peer", id.value()}});
    }
  }
  for (const HostId& id : contacts_) {
    if (!contacts.contains(id)) {
      Emit(Event::kPeerDown, {{"peer", id.value()}});
      hooks_.on_member_down(id);
    }
  }
  contacts_ = std::move(contacts);
}

void Mesh::ChoosePrimaries() {
  std::map<DataCentreId, HostId> primaries;
  for (const DataCentreId& data_centre : roster_.DataCentres()) {
    for (const HostId& id : roster_.DelegatesOf(data_centre)) {
      const auto link = links_.find(id);
      if (link != links_.end() && link->second.is_delegate &&
          roster_.IsInContact(id)) {
        primaries.emplace(data_centre, id);
      }
    }
  }
  for (const auto& [data_centre, id] : primaries_) {
    if (!primaries.contains(data_centre)) {
      hooks_.on_data_centre_down(data_centre);
    }
  }
  primaries_ = std::move(primaries);
}

void Mesh::ChooseFollowed() {
  has_fleet_loads_ = has_fleet_loads_ && !is_delegate_;
  // One that was a delegate goes by its own sums until it has others.
  hooks_.on_following(has_fleet_loads_);
  if (is_delegate_) {
    followed_.reset();
    return;
  }
  const auto may_follow = [this](const HostId& id, const Link& link) {
    return link.chosen_at && roster_.IsInContact(id);
  };
  const auto current = followed_ ? links_.find(*followed_) : links_.end();
  const bool keep = current != links_.end() &&
                    may_follow(current->first, current->second) &&
                    current->second.is_delegate;
  if (!keep) {
    followed_.reset();
    std::pair<bool, uint64_t> best;
    for (const auto& [id, link] : links_) {
      const std::pair<bool, uint64_t> weight = {
          link.is_delegate,
          RendezvousWeight(roster_.self().id.value(), id.value())};
      if (may_follow(id, link) && (!followed_ || weight > best)) {
        followed_ = id;
        best = weight;
      }
    }
  }
  if (clock_.Now() - fleet_loads_at_ > kFleetLoadLifetime) {
    fleet_loads_at_ = clock_.Now();
    hooks_.on_fleet_loads_lost();
  }
}

void Mesh::CloseUnusedLinks() {
  std::erase_if(links_, [this](const auto& item) {
    const auto& [id, link] = item;
    if (link.chosen_at || IsReporting(link) || IsProbed(link)) {
      return false;
    }
    hooks_.disconnect(id);
    records_.Forget(id);
    return true;
  });
}

void Mesh::AskSeeds() {
  const Millis now = clock_.Now();
  if (now < next_seeds_at_) {
    return;
  }
  const bool needs_seeds = !followed_ || is_delegate_;
  for (Seed& seed : seeds_) {
    if (needs_seeds && !seed.connected) {
      hooks_.connect(seed.peer);
    } else if (!needs_seeds && seed.connected) {
      hooks_.disconnect(seed.peer.id);
    }
    seed.connected = needs_seeds;
    if (needs_seeds) {
      SendHello(seed.peer.id);
    }
  }
  next_seeds_at_ = now + (is_delegate_   ? kReunionInterval
                          : HasContact() ? kSeedInterval
                                         : kConnectRetryInterval);
}

proto::FleetPull Mesh::MakePull() const {
  proto::FleetPull pull;
  pull.set_address(roster_.self().address);
  pull.set_data_centre(roster_.self().data_centre.value());
  pull.set_capacity(roster_.self().capacity);
  return pull;
}

void Mesh::SendHello(const HostId& seed) {
  proto::Envelope message = MakeEnvelope();
  *message.mutable_fleet_pull() = MakePull();
  hooks_.send(seed, message);
}

proto::Envelope Mesh::MakeEnvelope() const {
  proto::Envelope message;
  message.set_from(roster_.self().id.value());
  return message;
}

proto::Envelope Mesh::MakeHeartbeat(const Link& link) const {
  const Millis now = clock_.Now();
  const DaemonInfo& self = roster_.self();
  proto::Envelope message = MakeEnvelope();
  proto::FleetBeat* heartbeat = message.mutable_fleet_beat();
  heartbeat->set_data_centre(self.data_centre.value());
  heartbeat->set_address(self.address);
  heartbeat->set_capacity(self.capacity);
  heartbeat->set_stamp(timestamps_.Make());
  heartbeat->set_echo(link.last_timestamp);
  heartbeat->set_echo_age_ms((now - link.last_timestamp_at).count());
  heartbeat->set_reading(hooks_.is_reader(Topic::kUpstreams));
  heartbeat->set_reading_operator(hooks_.is_reader(Topic::kOperator));
  heartbeat->set_store_slow(IsStoreSlow());
  heartbeat->set_hears_reader(HearsReader(Topic::kUpstreams));
  heartbeat->set_hears_operator_reader(HearsReader(Topic::kOperator));
  heartbeat->set_draining(draining_);
  heartbeat->set_is_delegate(is_delegate_);
  heartbeat->set_reports(link.chosen_at.has_value() || IsProbed(link));
  records_.AddPositions(heartbeat);
  return message;
}

proto::LoadScope Mesh::ScopeFor(const HostId& to, const Link& link) const {
  if (!IsLocal(to)) {
    return proto::DATA_CENTRE;
  }
  return link.chosen_at ? proto::OWN : proto::FLEET;
}

bool Mesh::CarriesLoads(const HostId& to, const Link& link) const {
  switch (ScopeFor(to, link)) {
    case proto::OWN:
      return true;
    case proto::DATA_CENTRE:
      return is_delegate_;
    default:
      return link.follower && IsReporting(link);
  }
}

proto::DaemonEntry Mesh::MakeEntry(const HostId& id) const {
  const DaemonInfo* known = roster_.Find(id);
  return EncodeEntry(known ? *known : roster_.self());
}

proto::DataCentreView Mesh::MakeView(const DataCentreId& data_centre,
                                     const Roster::View& view) const {
  proto::DataCentreView out;
  out.set_data_centre(data_centre.value());
  out.mutable_alive()->Add(view.alive.begin(), view.alive.end());
  out.set_age_ms(view.age.count());
  for (const HostId& id : roster_.DelegatesOf(data_centre)) {
    *out.add_delegates() = MakeEntry(id);
  }
  return out;
}

void Mesh::AddViews(const HostId& to,
                    const Link& link,
                    proto::FleetBeat* heartbeat) const {
  const DataCentreId& own = roster_.self().data_centre;
  // A daemon that is wrongly taken for a delegate names those that are.
  *heartbeat->add_views() = MakeView(
      own,
      {is_delegate_ ? roster_.OwnView() : std::set<DaemonHash>(), Millis(0)});
  const bool passes_on = IsLocal(to) && link.follower && IsReporting(link);
  if (!passes_on) {
    return;
  }
  for (const DataCentreId& data_centre : roster_.DataCentres()) {
    const std::optional<Roster::View> view = roster_.ViewOf(data_centre);
    if (view && (data_centre != own || !is_delegate_)) {
      *heartbeat->add_views() = MakeView(data_centre, *view);
    }
  }
}

void Mesh::AddEverything(const HostId& to,
                         Link& link,
                         proto::FleetBeat* heartbeat) {
  if (CarriesLoads(to, link)) {
    heartbeat->set_load_scope(ScopeFor(to, link));
    heartbeat->set_all_loads(true);
    hooks_.add_loads(heartbeat->load_scope(), to, true, heartbeat);
  }
  AddViews(to, link, heartbeat);
  *heartbeat->mutable_part_evidence() = hooks_.part_evidence(true);
  hooks_.add_self_reports(true, heartbeat);
}

bool Mesh::AddNews(const HostId& to,
                   const Link& link,
                   const News& news,
                   proto::FleetBeat* heartbeat) {
  if (CarriesLoads(to, link)) {
    heartbeat->set_load_scope(ScopeFor(to, link));
    hooks_.add_loads(heartbeat->load_scope(), to, false, heartbeat);
  }
  if (news.view) {
    AddViews(to, link, heartbeat);
  }
  if (news.evidence) {
    *heartbeat->mutable_part_evidence() = *news.evidence;
  }
  *heartbeat->mutable_self_reports() = news.self_reports.self_reports();
  *heartbeat->mutable_rollout_decisions() =
      news.self_reports.rollout_decisions();
  *heartbeat->mutable_reaches() = news.self_reports.reaches();
  return heartbeat->loads_size() > 0 || heartbeat->views_size() > 0 ||
         heartbeat->has_part_evidence() || heartbeat->self_reports_size() > 0 ||
         heartbeat->rollout_decisions_size() > 0 ||
         heartbeat->reaches_size() > 0;
}

void Mesh::Send(const HostId& to, Link& link, const proto::Envelope& message) {
  const Millis now = clock_.Now();
  const bool connecting = now - link.opened_at < kConnectTime;
  link.next_heartbeat_at =
      now + (connecting ? kConnectRetryInterval : kHeartbeatInterval);
  hooks_.send(to, message);
}

void Mesh::SendDueHeartbeats() {
  const Millis now = clock_.Now();
  for (auto& [id, link] : links_) {
    // News put the next heartbeat off, but not the next one with everything.
    if (now < std::min(link.next_heartbeat_at, link.next_full_at)) {
      continue;
    }
    proto::Envelope message = MakeHeartbeat(link);
    proto::FleetBeat* heartbeat = message.mutable_fleet_beat();
    heartbeat->set_follows(followed_ == id);
    const bool connecting = now - link.opened_at < kConnectTime;
    if (now >= link.next_full_at) {
      link.next_full_at =
          now + (connecting ? kConnectRetryInterval : kFullInterval);
      AddEverything(id, link, heartbeat);
    }
    Send(id, link, message);
  }
}

Millis Mesh::NewsInterval() const {
  return std::clamp(kNewsIntervalPerLink * static_cast<int64_t>(links_.size()),
                    kMinNewsInterval, kMaxNewsInterval);
}

void Mesh::SendNews() {
  const Millis now = clock_.Now();
  if (now < next_news_at_) {
    return;
  }
  News news;
  news.view =
      is_delegate_ && now >= next_view_at_ && roster_.OwnView() != sent_view_;
  if (!hooks_.loads_changed() && !hooks_.has_new_part_evidence() &&
      !hooks_.has_new_self_reports() && !news.view) {
    return;
  }
  next_news_at_ = now + NewsInterval();
  if (news.view) {
    next_view_at_ = now + kViewInterval;
    sent_view_ = roster_.OwnView();
  }
  hooks_.start_load_round();
  if (hooks_.has_new_part_evidence()) {
    news.evidence = hooks_.part_evidence(false);
  }
  hooks_.add_self_reports(false, &news.self_reports);
  for (auto& [id, link] : links_) {
    proto::Envelope message = MakeHeartbeat(link);
    message.mutable_fleet_beat()->set_follows(followed_ == id);
    if (AddNews(id, link, news, message.mutable_fleet_beat())) {
      Send(id, link, message);
    }
  }
}

void Mesh::SendUpdate(
    Topic topic,
    const Update& update,
    const std::function<bool(const HostId&, const Link&)>& is_receiver) {
  const auto receivers = static_cast<size_t>(std::count_if(
      links_.begin(), links_.end(),
      [&](const auto& item) { return is_receiver(item.first, item.second); }));
  const std::optional<proto::TopicUpdate> change =
      records_.EncodeChange(topic, update, receivers);
  for (auto& [id, link] : links_) {
    if (!is_receiver(id, link)) {
      continue;
    }
    proto::Envelope message = MakeHeartbeat(link);
    message.mutable_fleet_beat()->set_follows(followed_ == id);
    // Heartbeats without records tell peers what they lack.
    if (change) {
      message.mutable_fleet_beat()->clear_updates();
      *message.mutable_fleet_beat()->add_updates() = *change;
    }
    Send(id, link, message);
  }
}

void Mesh::BroadcastUpdate(Topic topic, Update update) {
  SendUpdate(topic, records_.ExtendToLastChange(topic, std::move(update)),
             [](const HostId&, const Link&) { return true; });
}

void Mesh::RelayUpdate(const HostId& from, Topic topic, const Update& update) {
  // A delegate has sent the update to all other delegates. Any other daemon has
  // sent it to its own delegates only.
  const auto sender = links_.find(from);
  const bool from_delegate =
      sender == links_.end() || sender->second.is_delegate;
  SendUpdate(topic, update, [&](const HostId& id, const Link& link) {
    return id != from &&
           (!from_delegate || (link.follower && IsReporting(link)));
  });
}

bool Mesh::HearsReader(Topic topic) const {
  return hooks_.is_reader(topic) ||
         std::any_of(links_.begin(), links_.end(), [&](const auto& item) {
           return item.second.reading[IndexOf(topic)] &&
                  item.second.is_delegate && roster_.IsInContact(item.first);
         });
}

bool Mesh::IsStoreSlow() const {
  if (hooks_.is_reader(Topic::kUpstreams) ||
      hooks_.is_reader(Topic::kOperator)) {
    return hooks_.store_slow();
  }
  return std::any_of(links_.begin(), links_.end(), [this](const auto& item) {
    const Link& link = item.second;
    const bool reads = link.reading[IndexOf(Topic::kUpstreams)] ||
                       link.reading[IndexOf(Topic::kOperator)];
    const bool trusted = reads || followed_ == item.first;
    return trusted && item.second.store_slow && roster_.IsInContact(item.first);
  });
}

bool Mesh::IsBehind(Topic topic) const {
  const Millis patience = is_delegate_ ? kPullPatience
                          : hooks_.replica(topic).started()
                              ? kFollowerPullPatience
                              : kStartPullPatience;
  return records_.IsBehind(topic, patience);
}

std::vector<store::PeerReaderStatus> Mesh::PeerReaderStatuses(
    Topic topic) const {
  std::vector<store::PeerReaderStatus> statuses;
  for (const auto& [id, link] : links_) {
    if (!link.is_delegate || !roster_.IsInContact(id)) {
      continue;
    }
    store::PeerReaderStatus status;
    status.name = id;
    status.last_heard_at = link.last_timestamp_at;
    status.reading = link.reading[IndexOf(topic)] ||
                     (!is_delegate_ && link.hears_reader[IndexOf(topic)]);
    status.is_delegate = true;
    statuses.push_back(std::move(status));
  }
  return statuses;
}

}  // namespace dandelion::membership
