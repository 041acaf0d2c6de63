#include <catch2/catch.hpp>

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "mesh-fixture.h"

namespace dandelion::test {
namespace {

using base::DataCentreId;
using base::HostId;
using base::Millis;
using base::UpstreamId;
using membership::DaemonInfo;
using membership::Roster;
using Daemon = MeshFixture::Daemon;

constexpr int64_t kSmallHost = 90;
constexpr int64_t kLargeHost = 500;

DaemonInfo MakeDaemon(int data_centre, int index, int64_t capacity) {
  const std::string name = absl::StrCat("dc", data_centre, "-", index);
  return {HostId(name), "10.0.0.1:" + name,
          DataCentreId(absl::StrCat("dc", data_centre)), capacity};
}

/// A fleet of `data_centres` times `hosts` daemons, which know one seed only.
/// Three hosts of each data centre are large.
struct Fleet : MeshFixture {
  Fleet(int data_centres, int hosts) {
    constexpr int kLargeHosts = 3;
    for (int dc = 0; dc < data_centres; ++dc) {
      for (int i = 0; i < hosts; ++i) {
        AddDaemon(MakeDaemon(dc, i, i < kLargeHosts ? kLargeHost : kSmallHost));
      }
    }
    for (Daemon* daemon : All()) {
      AddSeed(*daemon, hosts);
    }
  }

  /// Gives a daemon the address of a small host, which is no delegate.
  static void AddSeed(Daemon& daemon, int hosts) {
    daemon.mesh->AddSeed(MakeDaemon(0, hosts - 1, kSmallHost).address);
  }

  Daemon& Find(const std::string& name) const {
    for (Daemon* daemon : All()) {
      if (daemon->info.id.value() == name) {
        return *daemon;
      }
    }
    FAIL("no daemon " << name);
    return *All().front();
  }

  std::vector<Daemon*> Delegates(const std::string& data_centre) const {
    std::vector<Daemon*> delegates;
    for (Daemon* daemon : All()) {
      if (daemon->info.data_centre.value() == data_centre &&
          daemon->mesh->IsDelegate() && !daemon->frozen) {
        delegates.push_back(daemon);
      }
    }
    return delegates;
  }

  int64_t CountRunning(const Daemon& seen_by, const UpstreamId& id) const {
    return seen_by.loads.TotalLoad(id).running;
  }
};

TEST_CASE("daemons that know one address find each other and few delegates",
          "[mesh]") {
  Fleet fleet(3, 12);
  fleet.Advance(Millis(4000));
  for (const Daemon* daemon : fleet.All()) {
    CHECK(daemon->mesh->DaemonCount() == 36);
  }
  for (const char* data_centre : {"dc0", "dc1", "dc2"}) {
    const std::vector<Daemon*> delegates = fleet.Delegates(data_centre);
    CHECK(delegates.size() == Roster::kDelegates);
    for (const Daemon* delegate : delegates) {
      CHECK(delegate->info.capacity == kLargeHost);
    }
  }
}

TEST_CASE("every daemon counts the load of all others once", "[mesh]") {
  Fleet fleet(3, 8);
  fleet.Advance(Millis(4000));
  const UpstreamId id("u-1");
  for (Daemon* daemon : fleet.All()) {
    daemon->loads.Add(id, {1, 100, 0, 0});
  }
  fleet.Advance(Millis(500));
  for (const Daemon* daemon : fleet.All()) {
    CHECK(fleet.CountRunning(*daemon, id) == 24);
  }
  for (Daemon* daemon : fleet.All()) {
    daemon->loads.Subtract(id, {1, 100, 0, 0});
  }
  fleet.Advance(Millis(500));
  for (const Daemon* daemon : fleet.All()) {
    CHECK(fleet.CountRunning(*daemon, id) == 0);
  }
}

TEST_CASE("loads outlast a delegate that freezes, ends or stops", "[mesh]") {
  Fleet fleet(2, 8);
  fleet.Advance(Millis(4000));
  const UpstreamId id("u-1");
  Daemon& busy = fleet.Find("dc0-7");
  busy.loads.Add(id, {5, 500, 0, 0});
  fleet.Advance(Millis(500));
  const std::vector<Daemon*> delegates = fleet.Delegates("dc0");
  REQUIRE(delegates.size() == Roster::kDelegates);
  const std::string name = delegates[0]->info.id.value();
  const auto all_know_it = [&] {
    const std::vector<Daemon*> all = fleet.All();
    return std::all_of(all.begin(), all.end(), [&](const Daemon* daemon) {
      return daemon->frozen || fleet.CountRunning(*daemon, id) == 5;
    });
  };
  REQUIRE(all_know_it());
  SECTION("freezes") {
    delegates[0]->frozen = true;
  }
  SECTION("ends") {
    fleet.Kill(name);
  }
  SECTION("stops") {
    delegates[0]->mesh->SetDraining();
  }
  for (int i = 0; i < 60; ++i) {
    fleet.Advance(Millis(100));
    CHECK(all_know_it());
  }
  CHECK(fleet.Delegates("dc0").size() == Roster::kDelegates);
  // What changes now reaches all, in both data centres.
  busy.loads.Subtract(id, {5, 500, 0, 0});
  busy.loads.Add(id, {5, 700, 0, 0});
  fleet.Advance(Millis(500));
  for (const Daemon* daemon : fleet.All()) {
    CHECK((daemon->frozen || daemon->loads.TotalLoad(id).tokens == 700));
  }
}

TEST_CASE("parts of shared limits add up while delegates change", "[mesh]") {
  Fleet fleet(3, 8);
  fleet.Advance(Millis(4000));
  constexpr int64_t kLimit = 10;
  const auto sum_of_shares = [&] {
    int64_t sum = 0;
    for (const Daemon* daemon : fleet.All()) {
      sum += routing::ShareOf(
          kLimit, {daemon->mesh->RankFor("u-1"), daemon->mesh->DaemonCount()});
    }
    return sum;
  };
  CHECK(sum_of_shares() == kLimit);
  Daemon& delegate = *fleet.Delegates("dc1").at(0);
  SECTION("a delegate freezes and wakes") {
    delegate.frozen = true;
    for (int i = 0; i < 50; ++i) {
      fleet.Advance(Millis(100));
      // Ranks follow within seconds; each move of a rank may count twice.
      CHECK(sum_of_shares() <= kLimit + 2);
    }
    delegate.frozen = false;
    fleet.Advance(Millis(4000));
    CHECK(sum_of_shares() == kLimit);
  }
  SECTION("a data centre is cut off") {
    fleet.is_cut = [](const std::string& from, const std::string& to) {
      return from.starts_with("dc1") != to.starts_with("dc1");
    };
    // Both sides still keep to their parts of the whole.
    fleet.Advance(Millis(10'000));
    CHECK(sum_of_shares() == kLimit);
  }
  SECTION("all daemons start anew") {
    for (const Daemon* daemon : fleet.All()) {
      const DaemonInfo info = daemon->info;
      Fleet::AddSeed(fleet.AddDaemon(info), 8);
    }
    fleet.Advance(Millis(4000));
    CHECK(sum_of_shares() == kLimit);
  }
}

// Under load there is always something new, and what is new is sent at once.
// What a message lost is only healed by messages with everything.
TEST_CASE("news leave no room for messages with everything", "[mesh]") {
  MeshFixture fleet;
  MeshFixture::Daemon& first = fleet.AddDaemon(MakeDaemon(0, 0, kSmallHost));
  MeshFixture::Daemon& second = fleet.AddDaemon(MakeDaemon(0, 1, kSmallHost));
  first.mesh->AddDaemon(second.info);
  second.mesh->AddDaemon(first.info);
  const auto run_under_load = [&](Millis time) {
    constexpr Millis kBetweenRequests(20);
    for (Millis passed(0); passed < time; passed = passed + kBetweenRequests) {
      first.loads.Add(UpstreamId("u-1"), {1, 0, 0, 0});
      second.loads.Add(UpstreamId("u-1"), {1, 0, 0, 0});
      fleet.Advance(kBetweenRequests);
    }
  };
  run_under_load(Millis(3000));
  REQUIRE(first.mesh->HasContact());
  const admission::PartList parts = {base::PartId("bad")};
  fleet.disconnected = true;
  // Shorter than what would make either take the other for down.
  for (int i = 0; i < 2; ++i) {
    first.quarantine->RecordBreak(UpstreamId(absl::StrCat("e-", i)), parts,
                                  fleet.Now(first));
    run_under_load(Millis(550));
  }
  REQUIRE(first.quarantine->FindQuarantined(parts, fleet.Now(first)));
  fleet.disconnected = false;
  run_under_load(membership::Mesh::kFullInterval + Millis(300));
  CHECK(second.quarantine->FindQuarantined(parts, fleet.Now(second)));
}

// All daemons lose power, the seeds for good, and the store names the others
// only after a while.
TEST_CASE("daemons that start without seeds each take a whole limit",
          "[mesh]") {
  MeshFixture fleet;
  std::vector<DaemonInfo> listed;
  constexpr int kDataCentres = 3;
  constexpr int kHosts = 3;
  for (int i = 0; i < kDataCentres * kHosts; ++i) {
    listed.push_back(MakeDaemon(i % kDataCentres, i, kSmallHost));
    fleet.AddDaemon(listed.back());
  }
  // The list may still name daemons that are gone.
  const bool some_are_gone = GENERATE(false, true);
  if (some_are_gone) {
    listed.push_back(MakeDaemon(0, kDataCentres * kHosts, kLargeHost));
  }
  constexpr int64_t kLimit = 20;
  // The bound of the rule on cold upstreams, without its slack.
  constexpr int64_t kMostAllowed = kLimit * 3 / 2;
  const auto sum_of_shares = [&] {
    int64_t sum = 0;
    for (const MeshFixture::Daemon* daemon : fleet.All()) {
      const membership::Mesh& mesh = *daemon->mesh;
      sum += routing::ShareOf(
          kLimit, {mesh.RankFor("u-1"), mesh.DaemonCount(), mesh.KnowsFleet()});
    }
    return sum;
  };
  constexpr Millis kStep(50);
  constexpr int64_t kFirstListedAt = 1500;
  constexpr int64_t kEnd = 8000;
  size_t lists = 0;
  for (int64_t at = 0; at < kEnd; at += kStep.count()) {
    if (at >= kFirstListedAt && lists < fleet.All().size()) {
      const MeshFixture::Daemon& daemon = *fleet.All()[lists++];
      for (const DaemonInfo& other : listed) {
        daemon.mesh->AddDaemon(other);
      }
      daemon.mesh->RecordListed();
    }
    fleet.Advance(kStep);
    CAPTURE(at);
    CHECK(sum_of_shares() <= kMostAllowed);
  }
  CHECK(sum_of_shares() == kLimit);
}

TEST_CASE("a daemon that hears nobody never serves alone", "[mesh]") {
  MeshFixture fleet;
  const MeshFixture::Daemon& daemon = fleet.AddDaemon("dc0-0");
  fleet.Advance(membership::Mesh::kAloneAfter - Millis(100));
  CHECK_FALSE(daemon.mesh->KnowsFleet());
  fleet.Advance(Millis(200));
  CHECK(daemon.mesh->KnowsFleet());
}

TEST_CASE("evidence reaches all data centres through a change of delegates",
          "[mesh]") {
  Fleet fleet(3, 8);
  fleet.Advance(Millis(4000));
  const admission::PartList bad = {base::PartId("shared"), base::PartId("bad")};
  const bool freezes = GENERATE(false, true);
  for (const char* data_centre : {"dc0", "dc1", "dc2"}) {
    fleet.Delegates(data_centre).at(0)->frozen = freezes;
  }
  Daemon& first = fleet.Find("dc0-6");
  Daemon& second = fleet.Find("dc1-6");
  first.quarantine->RecordSound({bad[0]}, fleet.Now(first));
  second.quarantine->RecordBreak(UpstreamId("u1"), bad, fleet.Now(second));
  fleet.Advance(Millis(600));
  first.quarantine->RecordBreak(UpstreamId("u2"), bad, fleet.Now(first));
  // Well within the time in touch after which a crash must be known.
  fleet.Advance(Millis(3000));
  for (Daemon* daemon : fleet.All()) {
    CHECK((daemon->frozen ||
           daemon->quarantine->FindQuarantined(bad, fleet.Now(*daemon))));
    CHECK_FALSE(
        daemon->quarantine->FindQuarantined({bad[0]}, fleet.Now(*daemon)));
  }
}

TEST_CASE("a verification passes through delegates and ages on the way",
          "[mesh]") {
  Fleet fleet(3, 8);
  fleet.Advance(Millis(4000));
  Daemon& reader = *fleet.Delegates("dc0").at(0);
  store::Update snapshot;
  snapshot.snapshot = true;
  snapshot.from = snapshot.to = 1;
  snapshot.records = {{"u-1", "ready 1", false, 0}};
  fleet.ReadFromStore(reader, snapshot);
  fleet.Advance(Millis(3000));
  for (const Daemon* daemon : fleet.All()) {
    CHECK(daemon->upstreams->listed_upstreams().size() == 1);
    // The reader read 3 s ago, and not since.
    CHECK(daemon->fleet_state->VerificationAgeOf(store::Topic::kUpstreams) >=
          Millis(3000));
    CHECK(daemon->fleet_state->VerificationAgeOf(store::Topic::kUpstreams) <
          Millis(4500));
  }
}

TEST_CASE("daemons that start together get their records from delegates",
          "[mesh]") {
  Fleet fleet(2, 12);
  fleet.Advance(Millis(1200));
  store::Update snapshot;
  snapshot.snapshot = true;
  snapshot.from = snapshot.to = 1;
  snapshot.records = {{"u-1", "ready 1", false, 0}};
  fleet.ReadFromStore(*fleet.Delegates("dc0").at(0), snapshot);
  for (int i = 0; i < 14; ++i) {
    fleet.Advance(Millis(100));
    for (const Daemon* daemon : fleet.All()) {
      CHECK((daemon->mesh->IsDelegate() ||
             !daemon->mesh->IsBehind(store::Topic::kUpstreams)));
    }
  }
  for (const Daemon* daemon : fleet.All()) {
    CHECK(daemon->upstreams->listed_upstreams().size() == 1);
  }
}

TEST_CASE("a pause of a daemon's own does not make it think others down",
          "[mesh]") {
  Fleet fleet(1, 8);
  fleet.Advance(Millis(4000));
  const bool is_delegate = GENERATE(false, true);
  Daemon& paused =
      is_delegate ? *fleet.Delegates("dc0").at(0) : fleet.Find("dc0-6");
  const UpstreamId id("u-1");
  fleet.Find("dc0-5").loads.Add(id, {3, 300, 0, 0});
  fleet.Advance(Millis(500));
  paused.frozen = true;
  fleet.Advance(Millis(3000));
  paused.frozen = false;
  for (int i = 0; i < 10; ++i) {
    fleet.Advance(Millis(100));
    CHECK(paused.mesh->DaemonCount() == 8);
    CHECK(fleet.CountRunning(paused, id) == 3);
  }
}

TEST_CASE("halves of a data centre that lost each other meet again", "[mesh]") {
  Fleet fleet(1, 8);
  fleet.Advance(Millis(4000));
  fleet.is_cut = [](const std::string& from, const std::string& to) {
    return (from.back() - '0') % 2 != (to.back() - '0') % 2;
  };
  fleet.Advance(Roster::kCountLifetime + Millis(5000));
  for (const Daemon* daemon : fleet.All()) {
    CHECK(daemon->mesh->DaemonCount() == 4);
  }
  fleet.is_cut = [](const std::string&, const std::string&) { return false; };
  fleet.Advance(membership::Mesh::kReunionInterval + Millis(4000));
  for (const Daemon* daemon : fleet.All()) {
    CHECK(daemon->mesh->DaemonCount() == 8);
  }
  CHECK(fleet.Delegates("dc0").size() == Roster::kDelegates);
}

TEST_CASE("malformed messages of peers are ignored", "[mesh]") {
  Fleet fleet(1, 3);
  fleet.Advance(Millis(3000));
  Daemon& daemon = fleet.Find("dc0-0");
  proto::Envelope message;
  const auto receive = [&](const std::string& from) {
    daemon.mesh->OnMessage(HostId(from), message);
    fleet.Advance(Millis(200));
    CHECK(daemon.mesh->DaemonCount() == 3);
  };
  receive("");
  receive("x");
  message.mutable_fleet_beat();
  receive("x");
  proto::FleetBeat& heartbeat = *message.mutable_fleet_beat();
  heartbeat.set_echo(-1);
  heartbeat.set_load_scope(static_cast<proto::LoadScope>(77));
  heartbeat.add_updates()->set_topic(-5);
  heartbeat.add_updates()->set_topic(99);
  heartbeat.add_views()->set_age_ms(INT64_MIN);
  heartbeat.add_loads()->set_running(INT64_MIN);
  receive("dc0-1");
  message.mutable_fleet_pull()->add_positions(INT64_MIN);
  receive("x");
  // A stranger with this daemon's address.
  message.mutable_fleet_pull()->set_address(daemon.info.address);
  message.mutable_fleet_pull()->set_data_centre("dc0");
  receive("y");
  message.mutable_fleet_beat()->set_address(daemon.info.address);
  message.mutable_fleet_beat()->set_data_centre("dc0");
  message.mutable_fleet_beat()->set_reports(true);
  receive("y");
  message.mutable_fleet_peers()->add_daemons();
  receive("dc0-1");
}

// Loads of a busy fleet: each daemon starts and ends a request on one of
// `upstreams` upstreams every 1.4 s.
void RunBusy(Fleet& fleet, int upstreams, Millis time) {
  constexpr Millis kStep(100);
  constexpr int kStepsPerRequest = 7;
  const std::vector<Daemon*> all = fleet.All();
  for (int step = 0; step * kStep.count() < time.count(); ++step) {
    for (size_t i = 0; i < all.size(); ++i) {
      const size_t turn = step + i;
      const UpstreamId id(
          absl::StrCat("i-0123456789", (turn / 14 + i) % upstreams));
      if (turn % (2 * kStepsPerRequest) == 0) {
        all[i]->loads.Add(id, {1, 3000, 0, 0});
      } else if (turn % (2 * kStepsPerRequest) == kStepsPerRequest) {
        all[i]->loads.Subtract(id, {1, 3000, 0, 0});
      }
    }
    fleet.Advance(kStep);
  }
}

TEST_CASE("what a daemon exchanges does not grow with the fleet", "[mesh]") {
  constexpr int kUpstreams = 50;
  constexpr Millis kTime(5000);
  const auto measure = [&](int data_centres, int hosts) {
    Fleet fleet(data_centres, hosts);
    fleet.Advance(Millis(5000));
    fleet.received.clear();
    fleet.sent.clear();
    RunBusy(fleet, kUpstreams, kTime);
    struct Result {
      double messages_per_follower = 0;
      int64_t remote_bytes = 0;
    } result;
    int followers = 0;
    for (const Daemon* daemon : fleet.All()) {
      const std::string& name = daemon->info.id.value();
      result.remote_bytes += fleet.sent[name].remote_bytes;
      if (!daemon->mesh->IsDelegate()) {
        ++followers;
        result.messages_per_follower += static_cast<double>(
            fleet.sent[name].messages + fleet.received[name].messages);
      }
    }
    result.messages_per_follower /= followers * kTime.seconds();
    return result;
  };
  const auto small = measure(5, 8);
  const auto large = measure(5, 39);
  // In a fleet five times as large, a follower has as many messages.
  CHECK(large.messages_per_follower <= 1.2 * small.messages_per_follower);
  // Sums of the same upstreams cross data centres: not five times the bytes,
  // nor 25 times as between all pairs.
  CHECK(large.remote_bytes <= 3 * small.remote_bytes);
  // Half of 80 MB in a day of 48 s; the rest is for callers.
  constexpr double kBytesPerSecond = 80e6 / 48 / 2;
  CHECK(static_cast<double>(large.remote_bytes) <=
        kBytesPerSecond * kTime.seconds());
}

}  // namespace
}  // namespace dandelion::test
