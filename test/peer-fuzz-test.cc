// Damaged messages between daemons, and damaged records of the store. A faulty
// peer may not end a daemon, nor make it take old records for new ones, nor
// leave it with loads and daemons that don't exist.
#include <catch2/catch.hpp>

#include <google/protobuf/stubs/logging.h>
#include <array>
#include <limits>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "admission/quarantine_record.h"
#include "mesh-fixture.h"
#include "platform/records.h"
#include "rollout/rollout_exchange.h"

namespace dandelion::test {
namespace {

using base::HostId;
using base::Millis;
using base::UpstreamId;
using Daemon = MeshFixture::Daemon;

constexpr int kDataCentres = 2;
constexpr int kHosts = 3;

/// Damages bytes at random. The library's complaints about them are not shown.
class Damage {
 public:
  explicit Damage(uint64_t seed)
      : random_(seed), library_log_(google::protobuf::SetLogHandler(nullptr)) {}
  ~Damage() { google::protobuf::SetLogHandler(library_log_); }
  Damage(const Damage&) = delete;
  Damage& operator=(const Damage&) = delete;

  uint32_t Draw(uint32_t bound) { return random_(bound); }

  void Apply(std::string* bytes) {
    for (uint32_t i = 0; i <= random_(3) && !bytes->empty(); ++i) {
      const size_t at = random_(static_cast<uint32_t>(bytes->size()));
      switch (random_(6)) {
        case 0:
          (*bytes)[at] = static_cast<char>(random_(256));
          break;
        case 1:
          (*bytes)[at] = static_cast<char>((*bytes)[at] ^ (1 << random_(8)));
          break;
        case 2:
          bytes->erase(at, 1 + random_(4));
          break;
        case 3:  // A large or negative number, in the form of the messages.
          bytes->replace(at, 1,
                         random_(2) == 0
                             ? "\xff\xff\xff\xff\xff\xff\xff\xff\x7f"
                             : "\xf0\xff\xff\xff\xff\xff\xff\xff\xff\x01");
          break;
        case 4:
          bytes->insert(at, bytes->substr(at, 1 + random_(8)));
          break;
        default:
          bytes->resize(at);
          break;
      }
    }
  }

  template <typename List>
  typename List::value_type* AnyOf(List* list) {
    return list->Mutable(
        static_cast<int>(random_(static_cast<uint32_t>(list->size()))));
  }

  /// Replaces some numbers of a heartbeat, which damaged bytes seldom reach
  /// without making the message unreadable.
  void ApplyToNumbers(proto::FleetBeat* heartbeat) {
    for (uint32_t i = 0; i <= random_(3); ++i) {
      switch (random_(6)) {
        case 0:
          heartbeat->set_echo_age_ms(AnyNumber());
          break;
        case 1:
          heartbeat->set_capacity(AnyNumber());
          break;
        case 2:
          if (heartbeat->loads_size() > 0) {
            ApplyToLoad(AnyOf(heartbeat->mutable_loads()));
          }
          break;
        case 3:
          if (heartbeat->updates_size() > 0) {
            AnyOf(heartbeat->mutable_updates())->set_proof_age_ms(AnyNumber());
          }
          break;
        case 4:
          if (heartbeat->views_size() > 0) {
            AnyOf(heartbeat->mutable_views())->set_age_ms(AnyNumber());
          }
          break;
        default:
          ApplyToEvidence(heartbeat->mutable_part_evidence());
          break;
      }
    }
  }

 private:
  int64_t AnyNumber() {
    constexpr std::array<int64_t, 6> kNumbers = {
        std::numeric_limits<int64_t>::min(),
        -1'000'000'000,
        -1,
        0,
        INT64_C(1) << 40,
        std::numeric_limits<int64_t>::max()};
    return kNumbers[random_(kNumbers.size())];
  }

  void ApplyToLoad(proto::UpstreamLoad* load) {
    load->set_running(AnyNumber());
    load->set_tokens(AnyNumber());
    load->set_unread_tokens(AnyNumber());
    load->set_arriving_tokens(AnyNumber());
    load->set_token_us(AnyNumber());
  }

  void ApplyToEvidence(proto::PartEvidence* evidence) {
    for (proto::EngineCrash& crash : *evidence->mutable_crashes()) {
      crash.set_age_ms(AnyNumber());
    }
    for (proto::QuarantinedParts& item : *evidence->mutable_quarantines()) {
      item.set_crashes(AnyNumber());
      item.set_break_age_ms(AnyNumber());
      item.set_trials(AnyNumber());
      item.set_trial_age_ms(AnyNumber());
    }
    for (proto::PartProof& proof : *evidence->mutable_proofs()) {
      proof.set_age_ms(AnyNumber());
    }
  }

  pcg32 random_;
  google::protobuf::LogHandler* library_log_;
};

struct FuzzedFleet : MeshFixture {
  FuzzedFleet() {
    for (int dc = 0; dc < kDataCentres; ++dc) {
      for (int i = 0; i < kHosts; ++i) {
        const std::string name = absl::StrCat("dc", dc, "-", i);
        AddDaemon({HostId(name), "10.0.0.1:" + name,
                   base::DataCentreId(absl::StrCat("dc", dc)), 100});
      }
    }
    for (Daemon* daemon : All()) {
      for (const Daemon* other : All()) {
        if (other != daemon) {
          daemon->mesh->AddDaemon(other->info);
        }
      }
    }
    All().front()->reading = true;
  }

  /// Lets all that a heartbeat carries change.
  void RunBusy(Millis time, Damage* damage) {
    constexpr Millis kStep(50);
    for (Millis passed(0); passed < time; passed = passed + kStep) {
      for (Daemon* daemon : All()) {
        const UpstreamId id(absl::StrCat("u-", damage->Draw(4)));
        if (damage->Draw(2) == 0) {
          daemon->loads.Add(id, {1, 100, 50, 0});
          added_[daemon].push_back(id);
        }
        daemon->health.RecordTime(id, routing::Work::kToken,
                                  routing::TimeSource::kOwn, {1, 0, 0, 0}, 10,
                                  Now(*daemon));
      }
      if (damage->Draw(8) == 0) {
        Daemon& any = *All()[damage->Draw(kDataCentres * kHosts)];
        any.quarantine->RecordBreak(
            UpstreamId(absl::StrCat("e-", damage->Draw(4))),
            {base::PartId(absl::StrCat("p-", damage->Draw(3)))}, Now(any));
      }
      ReadFromStore(
          *All().front(),
          {position_,
           position_ + 1,
           position_ == 0,
           false,
           {{absl::StrCat("u-", position_ % 4), "ready 1", false, position_}}});
      ++position_;
      Advance(kStep);
    }
  }

  /// Ends all requests; the loads of all must be gone soon.
  void EndRequests() {
    for (auto& [daemon, ids] : added_) {
      for (const UpstreamId& id : ids) {
        daemon->loads.Subtract(id, {1, 100, 50, 0});
      }
    }
    added_.clear();
  }

 private:
  std::map<Daemon*, std::vector<UpstreamId>> added_;
  int64_t position_ = 0;
};

TEST_CASE("damaged messages of a peer leave a fleet with false knowledge",
          "[peer_fuzz]") {
  const auto seed = GENERATE(range(uint64_t{1}, uint64_t{13}));
  CAPTURE(seed);
  Damage damage(seed);
  FuzzedFleet fleet;
  fleet.Advance(Millis(3000));
  int damaged = 0;
  fleet.tamper = [&](proto::Envelope* message) {
    if (damage.Draw(4) != 0) {
      return true;
    }
    ++damaged;
    if (message->has_fleet_beat() && damage.Draw(2) == 0) {
      damage.ApplyToNumbers(message->mutable_fleet_beat());
      return true;
    }
    std::string bytes = message->SerializeAsString();
    damage.Apply(&bytes);
    return message->ParseFromString(bytes);
  };
  for (int i = 0; i < 60; ++i) {
    fleet.RunBusy(Millis(100), &damage);
    for (const Daemon* daemon : fleet.All()) {
      for (const store::Topic topic :
           {store::Topic::kOperator, store::Topic::kUpstreams}) {
        const store::TopicReplica& replica =
            daemon->fleet_state->replica(topic);
        // Keys are accepted by the age of the last verification.
        REQUIRE((!replica.started() ||
                 replica.verified_at() <= fleet.Now(*daemon)));
      }
      for (int u = 0; u < 4; ++u) {
        const routing::Load load =
            daemon->loads.TotalLoad(UpstreamId(absl::StrCat("u-", u)));
        REQUIRE(load.running >= 0);
        REQUIRE(load.tokens >= 0);
      }
    }
  }
  CHECK(damaged > 100);
  fleet.tamper = [](proto::Envelope*) { return true; };
  fleet.EndRequests();
  // Longer than daemons that never spoke stay in the list.
  fleet.Advance(Millis(60'000));
  for (const Daemon* daemon : fleet.All()) {
    CHECK(daemon->mesh->DaemonCount() == kDataCentres * kHosts);
    CHECK(daemon->mesh->HasContact());
    for (int u = 0; u < 4; ++u) {
      CHECK(daemon->loads.TotalLoad(UpstreamId(absl::StrCat("u-", u))) ==
            routing::Load());
    }
  }
}

// The store accepts only valid records, but other programs write there too.
TEST_CASE("damaged records of the store end a daemon or are taken for sound",
          "[peer_fuzz]") {
  const std::string entry =
      R"({"backend": "pool", "addr": "10.0.0.1:80", "zone": "dc-a",
          "slots": 8, "state": "ready", "cold-left-ms": 0, "born": 1,
          "version": 2})";
  const std::string order = R"({"backend": "pool", "to": 2, "over-s": 30.5})";
  const std::string status = R"({"state": "completed", "to": "2", "order": 5})";
  const std::string catalogue =
      R"({"version": 7, "routes": [{"name": "r", "host": "a.example",
          "path-prefix": "/r/", "kind": "stream", "timeout-ms": 6000.5,
          "goal-ms": 1500, "prio": 0, "max-attempts": 2, "public": false,
          "split": [{"backend": "b", "weight": 0.5}], "can-resume": true}],
          "backends": [{"name": "b", "cold-per-s": 4.0, "engine":
          {"slots": 24, "kv-cap-tokens": 34288, "moves": true, "stride": 4}}],
          "limits": {"max-header-bytes": 16384, "idle-timeout-ms": 15000},
          "tenants": [{"name": "t", "api-keys": ["k"], "prio": 1}]})";
  proto::StoredQuarantines stored;
  stored.set_written_at_unix_ms(1'700'000'000'000);
  proto::QuarantinedParts& parts =
      *stored.mutable_evidence()->add_quarantines();
  parts.add_parts("bad");
  parts.set_crashes(3);
  parts.set_break_age_ms(1000);

  const auto seed = GENERATE(range(uint64_t{1}, uint64_t{9}));
  CAPTURE(seed);
  Damage damage(seed);
  const auto damaged = [&](std::string text) {
    if (damage.Draw(3) == 0) {
      // A number that fits into no integer, in place of any other.
      const size_t digit = text.find_first_of("0123456789", damage.Draw(200));
      if (digit != std::string::npos) {
        text.replace(digit, 1, damage.Draw(2) == 0 ? "1e300" : "-1e300");
      }
      return text;
    }
    damage.Apply(&text);
    return text;
  };
  constexpr int kRounds = 500;
  for (int i = 0; i < kRounds; ++i) {
    const auto upstream = platform::ParseUpstreamEntry(damaged(entry));
    if (upstream.ok()) {
      CHECK(upstream->slots > 0);
      CHECK(upstream->address.port() != 0);
      CHECK(upstream->cold_remaining >= Millis(0));
    }
    const auto parsed = platform::ParseRolloutOrder({"k", damaged(order)});
    if (parsed.ok()) {
      CHECK(parsed->time_limit >= Millis(0));
      CHECK_FALSE(parsed->target.empty());
    }
    (void)platform::ParseRolloutStatus(damaged(status));
    const auto read = platform::ParseCatalogue(damaged(catalogue));
    if (read.ok()) {
      for (const fleet::Route& route : (*read)->routes) {
        CHECK(route.timeout < Millis(INT64_C(1) << 40));
        CHECK(route.timeout > Millis(-(INT64_C(1) << 40)));
      }
    }
    admission::PartQuarantine quarantine(
        HostId("a"),
        {[](const base::PartId&, const UpstreamId&) {},
         [](const base::PartId&, int64_t) {}, [](const base::PartId&) {}});
    const Millis now(1'000'000);
    (void)admission::RestoreQuarantines(damaged(stored.SerializeAsString()),
                                        now, 1'700'000'001'000, quarantine);
    quarantine.Tick(now);
    CHECK(quarantine.quarantine_count() <= 1);
  }
}

TEST_CASE("damaged counts and decisions of a roll-out end a daemon",
          "[peer_fuzz]") {
  proto::FleetBeat heartbeat;
  proto::RolloutCounts& counts = *heartbeat.add_rollout_counts();
  counts.set_order(5);
  proto::RolloutRouteCounts& route = *counts.add_routes();
  route.set_route("read");
  route.set_sent(10);
  route.set_answered(9);
  route.set_failed(1);
  route.add_answer_times(3);
  route.add_answer_times(9);
  proto::RolloutDecision& decision = *heartbeat.add_rollout_decisions();
  decision.set_name("n");
  decision.set_pool("pool");
  decision.set_target("2");
  decision.set_order(5);
  decision.set_share(0.1);
  decision.set_decider("b");
  decision.set_order_age_ms(100);
  const std::string sound = heartbeat.SerializeAsString();

  const auto seed = GENERATE(range(uint64_t{1}, uint64_t{9}));
  CAPTURE(seed);
  Damage damage(seed);
  fleet::UpstreamList upstreams(
      {[](const fleet::Upstream&) {},
       [](const fleet::Upstream&, std::string_view) {},
       [](const UpstreamId&) {}});
  rollout::Rollouts::Hooks hooks;
  hooks.is_decider = [&damage] { return damage.Draw(2) == 0; };
  hooks.running_on = [](const UpstreamId&) { return int64_t{0}; };
  hooks.on_decision = [](const rollout::Decision&, std::string_view) {};
  rollout::Rollouts rollouts(HostId("a"), upstreams, {}, std::move(hooks));
  rollout::Order order;
  order.pool = base::PoolName("pool");
  order.target = base::SoftwareVersion("2");
  order.time_limit = Millis(30'000);
  order.offset = 5;
  Millis now(1000);
  rollouts.SetOrder(base::RolloutName("n"), order, now);
  constexpr int kRounds = 500;
  for (int i = 0; i < kRounds; ++i) {
    now = now + Millis(50);
    std::string bytes = sound;
    damage.Apply(&bytes);
    proto::FleetBeat damaged;
    if (!damaged.ParseFromString(bytes)) {
      continue;
    }
    rollout::ApplyMemberCounts(HostId("b"), damaged, rollouts);
    rollout::ApplyDataCentreCounts(base::DataCentreId("dc"), damaged, rollouts);
    rollout::ApplyDecisions(damaged, now, rollouts);
    rollouts.Tick(now);
    for (const rollout::Rollouts::View& view : rollouts.Describe(now)) {
      if (view.decision) {
        CHECK(view.decision->share >= 0);
        CHECK(view.decision->share <= 1);
      }
    }
  }
}

}  // namespace
}  // namespace dandelion::test
