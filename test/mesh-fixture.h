#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "admission/part_exchange.h"
#include "fleet/fleet_state.h"
#include "membership/mesh.h"
#include "routing/load_exchange.h"
#include "routing/rate_share.h"

namespace dandelion::test {

/// Daemons on a manual clock that exchange messages in memory.
class MeshFixture {
 public:
  using HostId = base::HostId;
  using Millis = base::Millis;
  using Record = store::Record;
  using Topic = store::Topic;
  using Update = store::Update;

  struct Daemon {
    std::unique_ptr<fleet::UpstreamList> upstreams;
    std::unique_ptr<fleet::FleetState> fleet_state;
    std::unique_ptr<membership::Mesh> mesh;
    std::set<base::HostId> connected;
    routing::LoadTracker loads;
    routing::UpstreamHealth health{
        {[](const base::UpstreamId&, base::Millis) {},
         [](const base::UpstreamId&) {}}};
    routing::LoadExchange exchange{loads, health, base::Clock::Monotonic()};
    /// A frozen daemon neither ticks nor receives.
    bool frozen = false;
    bool reading = false;
    Millis ahead;
    std::unique_ptr<admission::PartQuarantine> quarantine;
    membership::DaemonInfo info;
  };

  /// Adds a daemon, or replaces the one of that name by a fresh one. Its clock
  /// is `ahead` of the fixture's.
  Daemon& AddDaemon(const std::string& name, Millis ahead = Millis(0)) {
    return AddDaemon(MakeInfo(name), ahead);
  }
  Daemon& AddDaemon(const membership::DaemonInfo& info,
                    Millis ahead = Millis(0)) {
    const std::string name = info.id.value();
    auto daemon = std::make_unique<Daemon>();
    Daemon* self = daemon.get();
    self->ahead = ahead;
    self->info = info;
    daemon->upstreams =
        std::make_unique<fleet::UpstreamList>(fleet::UpstreamList::Hooks{
            [](const fleet::Upstream&) {},
            [](const fleet::Upstream&, std::string_view) {},
            [](const base::UpstreamId&) {}});
    fleet::FleetState::Hooks fleet_state_hooks;
    fleet_state_hooks.parse_operator_record = [](const Record&) {
      return fleet::OperatorRecord();
    };
    fleet_state_hooks.parse_upstream_entry = [](const std::string& value) {
      fleet::UpstreamEntry entry;
      entry.pool = base::PoolName("pool");
      // The value is "STATE SEQUENCE"; a new sequence alone changes no entry.
      entry.leaving = value.starts_with("draining");
      return absl::StatusOr<fleet::UpstreamEntry>(entry);
    };
    fleet_state_hooks.on_catalogue = [](const fleet::CataloguePtr&) {};
    daemon->fleet_state = std::make_unique<fleet::FleetState>(
        clock(ahead), *daemon->upstreams, fleet_state_hooks);
    daemon->quarantine = std::make_unique<admission::PartQuarantine>(
        HostId(name),
        admission::PartQuarantine::Hooks{
            [](const base::PartId&, const base::UpstreamId&) {},
            [](const base::PartId&, int64_t) {}, [](const base::PartId&) {}});
    daemon->mesh = std::make_unique<membership::Mesh>(
        info, clock(ahead), membership::AnswerBudget::kDefaultBytesPerSecond,
        MakeHooks(name, self, clock(ahead)));
    return *(daemons_[name] = std::move(daemon));
  }

  static membership::DaemonInfo MakeInfo(const std::string& name) {
    return {HostId(name), "10.0.0.1:" + name, base::DataCentreId("dc-a"), 0};
  }

  /// Makes `daemon` read `update` from the store and forward its changes.
  void ReadFromStore(Daemon& daemon, const Update& update) {
    Update forwarded = update;
    forwarded.records = daemon.fleet_state->ApplyUpdate(Topic::kUpstreams,
                                                        update, clock().Now());
    daemon.mesh->BroadcastUpdate(Topic::kUpstreams, forwarded);
  }

  /// Advances the clock by `time` in steps of 10 ms, with ticks and deliveries.
  void Advance(Millis time) {
    const Millis end = now_ + time;
    while (now_ < end) {
      now_ = now_ + Millis(10);
      for (auto& [name, daemon] : daemons_) {
        if (!daemon->frozen) {
          daemon->quarantine->Tick(now_ + daemon->ahead);
          daemon->mesh->Tick();
        }
      }
      Deliver();
    }
  }

  void Deliver() {
    while (!messages_.empty()) {
      Message message = std::move(messages_.front());
      messages_.pop_front();
      for (const proto::TopicUpdate& update :
           message.envelope.fleet_beat().updates()) {
        records_sent_to[message.to] += update.records_size();
        records_sent_by[message.from] += update.records_size();
      }
      constexpr std::string_view kSeedPrefix = "seed 10.0.0.1:";
      if (message.to.starts_with(kSeedPrefix)) {
        message.to = message.to.substr(kSeedPrefix.size());
      }
      const auto to = daemons_.find(message.to);
      if (to == daemons_.end() || to->second->frozen ||
          is_cut(message.from, message.to)) {
        continue;
      }
      if (is_held(message.from, message.to)) {
        held_.push_back(std::move(message));
        continue;
      }
      if (!tamper(&message.envelope)) {
        continue;
      }
      CountMessage(message, *to->second);
      to->second->mesh->OnMessage(HostId(message.from), message.envelope);
    }
    messages_.swap(held_);
  }

  /// Ends a daemon without notice.
  void Kill(const std::string& name) { daemons_.erase(name); }
  /// Returns the daemons by name.
  std::vector<Daemon*> All() const {
    std::vector<Daemon*> all;
    for (const auto& [name, daemon] : daemons_) {
      all.push_back(daemon.get());
    }
    return all;
  }

  Millis Now(const Daemon& daemon) const { return now_ + daemon.ahead; }
  base::Clock clock(Millis ahead = Millis(0)) {
    return base::Clock([this, ahead] { return now_ + ahead; });
  }
  /// Drops all messages while set.
  bool disconnected = false;
  /// Whether a message from the first to the second daemon is dropped.
  std::function<bool(const std::string& from, const std::string& to)> is_cut =
      [](const std::string&, const std::string&) { return false; };
  /// Whether messages from the first to the second daemon wait. Those that have
  /// waited arrive in their order once this ends.
  std::function<bool(const std::string& from, const std::string& to)> is_held =
      [](const std::string&, const std::string&) { return false; };
  /// May change a message on its way. Returns whether it arrives.
  std::function<bool(proto::Envelope*)> tamper = [](proto::Envelope*) {
    return true;
  };
  /// Messages and their bytes that have arrived, by receiver.
  struct Traffic {
    int64_t messages = 0;
    int64_t bytes = 0;
    /// Of them, from another data centre.
    int64_t remote_bytes = 0;
  };
  std::map<std::string, Traffic> received;
  std::map<std::string, Traffic> sent;
  /// Records that were sent between daemons, by receiver and by sender.
  std::map<std::string, int> records_sent_to;
  std::map<std::string, int> records_sent_by;

 private:
  struct Message {
    std::string from;
    std::string to;
    proto::Envelope envelope;
  };

  void CountMessage(const Message& message, const Daemon& to) {
    const auto bytes = static_cast<int64_t>(message.envelope.ByteSizeLong());
    const auto from = daemons_.find(message.from);
    const bool is_remote =
        from != daemons_.end() &&
        from->second->info.data_centre != to.info.data_centre;
    for (Traffic* traffic : {&received[message.to], &sent[message.from]}) {
      ++traffic->messages;
      traffic->bytes += bytes;
      traffic->remote_bytes += is_remote ? bytes : 0;
    }
  }

  membership::Mesh::Hooks MakeHooks(const std::string& name,
                                    Daemon* self,
                                    const base::Clock& clock) {
    membership::Mesh::Hooks hooks;
    hooks.send = [this, name](const HostId& to,
                              const proto::Envelope& message) {
      if (!disconnected) {
        messages_.push_back({name, to.value(), message});
      }
    };
    hooks.connect = [self](const membership::PeerAddress& peer) {
      self->connected.insert(peer.id);
    };
    hooks.disconnect = [self](const HostId& id) { self->connected.erase(id); };
    hooks.replica = [self](Topic topic) -> const store::TopicReplica& {
      return self->fleet_state->replica(topic);
    };
    hooks.on_update = [self](Topic topic, const Update& update,
                             Millis verified_at) {
      return self->fleet_state->ApplyUpdate(topic, update, verified_at);
    };
    AddLoadHooks(self, &hooks);
    hooks.part_evidence = [self, clock](bool all) {
      return admission::CollectPartEvidence(*self->quarantine, all,
                                            clock.Now());
    };
    hooks.has_new_part_evidence = [self] {
      return self->quarantine->has_changes();
    };
    hooks.on_part_evidence =
        [self, clock](const HostId& from, const proto::PartEvidence& evidence) {
          admission::ApplyPartEvidence(from, evidence, clock.Now(),
                                       *self->quarantine);
        };
    hooks.add_self_reports = [](bool, proto::FleetBeat*) {};
    hooks.has_new_self_reports = [] { return false; };
    hooks.on_self_reports = [](const proto::FleetBeat&) {};
    hooks.is_reader = [self](Topic) { return self->reading; };
    hooks.store_slow = [] { return false; };
    return hooks;
  }

  static void AddLoadHooks(Daemon* self, membership::Mesh::Hooks* hooks) {
    hooks->start_load_round = [self] { self->exchange.StartRound(); };
    hooks->loads_changed = [self] { return self->exchange.HasChanges(); };
    hooks->add_loads = [self](proto::LoadScope scope, const HostId& receiver,
                              bool all, proto::FleetBeat* heartbeat) {
      self->exchange.AddLoads(scope, receiver, all, heartbeat);
    };
    hooks->on_member_loads = [self](const HostId& from,
                                    const proto::FleetBeat& heartbeat) {
      self->exchange.ApplyMemberLoads(from, heartbeat);
    };
    hooks->on_data_centre_loads = [self](const base::DataCentreId& data_centre,
                                         const proto::FleetBeat& heartbeat) {
      self->exchange.ApplyDataCentreLoads(data_centre, heartbeat);
    };
    hooks->on_fleet_loads = [self](const proto::FleetBeat& heartbeat) {
      self->exchange.ApplyFleetLoads(heartbeat);
    };
    hooks->on_member_down = [self](const HostId& id) {
      self->loads.RemoveMember(id);
    };
    hooks->on_data_centre_down = [self](const base::DataCentreId& id) {
      self->loads.RemoveDataCentre(id);
    };
    hooks->on_fleet_loads_lost = [self] { self->loads.RemoveFleetLoads(); };
    hooks->on_following = [self](bool following) {
      self->loads.SetFollowing(following);
    };
  }

  Millis now_{10'000};
  std::map<std::string, std::unique_ptr<Daemon>> daemons_;
  std::deque<Message> messages_;
  std::deque<Message> held_;
};

}  // namespace dandelion::test
