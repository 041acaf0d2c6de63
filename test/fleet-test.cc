#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include "mesh-fixture.h"
#include "store/follower.h"
#include "store/reader_election.h"
#include "store/retry_backoff.h"

namespace dandelion::test {
namespace {

using base::HostId;
using base::Millis;
using store::Record;
using store::Topic;
using store::Update;

Update MakeSnapshot(int64_t end, std::vector<Record> records) {
  Update update;
  update.from = end;
  update.to = end;
  update.snapshot = true;
  update.records = std::move(records);
  return update;
}

Update MakeUpdate(int64_t from, std::vector<Record> records) {
  Update update;
  update.from = from;
  update.to = from + static_cast<int64_t>(records.size());
  update.records = std::move(records);
  return update;
}

// Adds the daemons "a", which is returned, and "b", and lets them connect.
MeshFixture::Daemon& AddConnectedPair(MeshFixture& fixture,
                                      MeshFixture::Daemon** other) {
  MeshFixture::Daemon& first = fixture.AddDaemon("a");
  *other = &fixture.AddDaemon("b");
  first.mesh->AddDaemon(MeshFixture::MakeInfo("b"));
  fixture.Advance(Millis(1000));
  return first;
}

TEST_CASE("a timestamp from before a restart of the host verifies nothing",
          "[mesh]") {
  MeshFixture fixture;
  MeshFixture::Daemon* other = nullptr;
  MeshFixture::Daemon& reader = AddConnectedPair(fixture, &other);
  fixture.ReadFromStore(reader,
                        MakeSnapshot(1, {{"u-1", "ready 1", false, 0}}));
  fixture.Advance(Millis(1000));
  // A reboot resets the host's clock, so echoed timestamps of the earlier
  // process may lie before or after the current time.
  const Millis ahead(GENERATE(-8000, 8000));
  MeshFixture::Daemon& restarted = fixture.AddDaemon("b", ahead);
  restarted.mesh->AddDaemon(MeshFixture::MakeInfo("a"));
  for (Millis elapsed(1010); elapsed < Millis(1600);
       elapsed = elapsed + Millis(10)) {
    fixture.Advance(Millis(10));
    CHECK(restarted.fleet_state->VerificationAgeOf(Topic::kUpstreams) >=
          elapsed);
  }
  CHECK(restarted.fleet_state->VerificationAgeOf(Topic::kUpstreams) <
        Millis(10'000));
}

TEST_CASE("a snapshot with few changes removes no unchanged keys at peers",
          "[mesh]") {
  MeshFixture fixture;
  MeshFixture::Daemon* peer = nullptr;
  MeshFixture::Daemon& reader = AddConnectedPair(fixture, &peer);
  fixture.ReadFromStore(reader,
                        MakeSnapshot(2, {{"u-1", "ready 1", false, 0},
                                         {"u-2", "ready 1", false, 1}}));
  fixture.Advance(Millis(500));
  REQUIRE(peer->upstreams->UsableInPool(base::PoolName("pool")).size() == 2);
  // The store deleted its history, so the reader gets a snapshot. Meanwhile one
  // upstream has announced that it leaves.
  fixture.ReadFromStore(reader,
                        MakeSnapshot(9, {{"u-1", "ready 7", false, 7},
                                         {"u-2", "draining 8", false, 8}}));
  fixture.Advance(Millis(500));
  const auto usable = peer->upstreams->UsableInPool(base::PoolName("pool"));
  REQUIRE(usable.size() == 1);
  CHECK(usable[0]->id == base::UpstreamId("u-1"));
}

TEST_CASE("a peer with a different key digest pulls a complete snapshot",
          "[mesh]") {
  MeshFixture fixture;
  MeshFixture::Daemon* peer = nullptr;
  MeshFixture::Daemon& reader = AddConnectedPair(fixture, &peer);
  fixture.ReadFromStore(reader,
                        MakeSnapshot(2, {{"u-1", "ready 1", false, 0},
                                         {"u-2", "ready 1", false, 1}}));
  fixture.Advance(Millis(500));
  // Simulates a replica that lost its keys by mistake.
  peer->fleet_state->ApplyUpdate(Topic::kUpstreams, MakeSnapshot(2, {}),
                                 Millis(0));
  REQUIRE(peer->upstreams->UsableInPool(base::PoolName("pool")).empty());
  fixture.Advance(Millis(1500));
  CHECK(peer->upstreams->UsableInPool(base::PoolName("pool")).size() == 2);
}

TEST_CASE("time without contact counts towards the age of a verification",
          "[mesh]") {
  MeshFixture fixture;
  MeshFixture::Daemon* peer = nullptr;
  MeshFixture::Daemon& reader = AddConnectedPair(fixture, &peer);
  fixture.ReadFromStore(reader,
                        MakeSnapshot(1, {{"u-1", "ready 1", false, 0}}));
  fixture.Advance(Millis(1000));
  const Millis fresh = peer->fleet_state->VerificationAgeOf(Topic::kUpstreams);
  CHECK(fresh <= Millis(1100));
  fixture.disconnected = true;
  fixture.Advance(Millis(5000));
  CHECK(peer->fleet_state->VerificationAgeOf(Topic::kUpstreams) >=
        Millis(5000));
  fixture.disconnected = false;
  // The reader has not read since, so its heartbeats verify nothing newer.
  fixture.Advance(Millis(2000));
  CHECK(peer->fleet_state->VerificationAgeOf(Topic::kUpstreams) >=
        Millis(7000));
}

TEST_CASE("a daemon that missed updates pulls them from a peer", "[mesh]") {
  MeshFixture fixture;
  MeshFixture::Daemon* peer = nullptr;
  MeshFixture::Daemon& reader = AddConnectedPair(fixture, &peer);
  fixture.ReadFromStore(reader,
                        MakeSnapshot(1, {{"u-1", "ready 1", false, 0}}));
  fixture.Advance(Millis(500));
  fixture.disconnected = true;
  fixture.ReadFromStore(reader, MakeUpdate(1, {{"u-1", "", true, 1},
                                               {"u-2", "ready 1", false, 2}}));
  fixture.Advance(Millis(500));
  fixture.disconnected = false;
  fixture.Advance(Millis(1500));
  const auto usable = peer->upstreams->UsableInPool(base::PoolName("pool"));
  REQUIRE(usable.size() == 1);
  CHECK(usable[0]->id == base::UpstreamId("u-2"));
}

TEST_CASE("a daemon that starts during a store outage pulls from a peer",
          "[mesh]") {
  MeshFixture fixture;
  MeshFixture::Daemon& first = fixture.AddDaemon("a");
  fixture.ReadFromStore(first, MakeSnapshot(1, {{"u-1", "ready 1", false, 0}}));
  MeshFixture::Daemon& late = fixture.AddDaemon("b");
  late.mesh->AddDaemon(MeshFixture::MakeInfo("a"));
  fixture.Advance(Millis(1000));
  CHECK(late.upstreams->UsableInPool(base::PoolName("pool")).size() == 1);
}

// The store's newest records: one of `bytes` bytes for each of `count` keys.
Update MakeLargeSnapshot(int count, size_t bytes) {
  std::vector<Record> records;
  for (int i = 0; i < count; ++i) {
    records.push_back({"u-" + std::to_string(i),
                       "ready " + std::string(bytes, '1'), false, i});
  }
  return MakeSnapshot(count, std::move(records));
}

// Adds `count` daemons, named from "100" on, that know each other's addresses.
std::vector<MeshFixture::Daemon*> AddFleet(MeshFixture& fixture, int count) {
  constexpr int kFirstName = 100;
  std::vector<MeshFixture::Daemon*> fleet;
  for (int i = 0; i < count; ++i) {
    fleet.push_back(&fixture.AddDaemon(std::to_string(kFirstName + i)));
  }
  for (MeshFixture::Daemon* daemon : fleet) {
    for (int i = 0; i < count; ++i) {
      daemon->mesh->AddDaemon(
          MeshFixture::MakeInfo(std::to_string(kFirstName + i)));
    }
  }
  return fleet;
}

TEST_CASE("daemons that return together do not flood each other with snapshots",
          "[mesh]") {
  constexpr int kDaemons = 30;
  constexpr int kRecords = 50;
  MeshFixture fixture;
  for (MeshFixture::Daemon* daemon : AddFleet(fixture, kDaemons)) {
    fixture.ReadFromStore(*daemon, MakeLargeSnapshot(kRecords, 500));
  }
  fixture.Advance(Millis(3000));
  // Each of them has read all records in the store; one answer to a pull each
  // is allowed for.
  for (const auto& [name, records] : fixture.records_sent_to) {
    CHECK(records <= kRecords);
  }
  for (const auto& [name, records] : fixture.records_sent_by) {
    CHECK(records <= kRecords);
  }
}

TEST_CASE(
    "daemons that start without the store share the one snapshot there is",
    "[mesh]") {
  constexpr int kDaemons = 30;
  constexpr int kRecords = 50;
  constexpr size_t kBytes = 500;
  MeshFixture fixture;
  const std::vector<MeshFixture::Daemon*> fleet = AddFleet(fixture, kDaemons);
  fixture.ReadFromStore(*fleet[0], MakeLargeSnapshot(kRecords, kBytes));
  constexpr Millis kTime(4000);
  fixture.Advance(kTime);
  for (const MeshFixture::Daemon* daemon : fleet) {
    CHECK(daemon->upstreams->listed_upstreams().size() == kRecords);
  }
  for (const auto& [name, records] : fixture.records_sent_to) {
    CHECK(records <= 2 * kRecords);
  }
  // Half of a link of 10 Mbit/s is left to callers.
  constexpr int64_t kLinkBytesPerMs = 10'000 / 8;
  for (const auto& [name, records] : fixture.records_sent_by) {
    CHECK(records * static_cast<int64_t>(kBytes) <=
          kLinkBytesPerMs / 2 * kTime.count());
  }
}

TEST_CASE("a large record is not sent to every peer by the daemon that read it",
          "[mesh]") {
  constexpr int kDaemons = 30;
  constexpr size_t kBytes = 300'000;
  MeshFixture fixture;
  const std::vector<MeshFixture::Daemon*> fleet = AddFleet(fixture, kDaemons);
  for (MeshFixture::Daemon* daemon : fleet) {
    fixture.ReadFromStore(*daemon, MakeLargeSnapshot(1, 10));
  }
  fixture.Advance(Millis(2000));
  fixture.records_sent_by.clear();
  fixture.ReadFromStore(
      *fleet[0], MakeUpdate(1, {{"u-0", "draining " + std::string(kBytes, '1'),
                                 false, 1}}));
  fixture.Advance(Millis(500));
  for (const auto& [name, records] : fixture.records_sent_by) {
    CHECK(records <= 2);
  }
  // The others know that they lack it, and read it in the store themselves.
  for (const MeshFixture::Daemon* daemon : fleet) {
    const bool has_record =
        !daemon->upstreams->listed_upstreams().empty() &&
        daemon->upstreams->UsableInPool(base::PoolName("pool")).empty();
    CHECK((has_record || daemon->mesh->IsBehind(Topic::kUpstreams)));
  }
}

TEST_CASE("a replica ignores an update that is older than its records",
          "[topic]") {
  store::TopicReplica replica;
  replica.Apply(MakeSnapshot(3, {{"k", "new", false, 2}}), Millis(100));
  CHECK(replica.Apply(MakeUpdate(1, {{"k", "old", false, 1}}), Millis(200))
            .empty());
  CHECK(replica.position() == 3);
  CHECK(replica.verified_at() == Millis(100));
}

TEST_CASE("an update after a gap does not advance the verification",
          "[topic]") {
  store::TopicReplica replica;
  replica.Apply(MakeSnapshot(3, {}), Millis(100));
  CHECK(replica.Apply(MakeUpdate(5, {{"k", "v", false, 5}}), Millis(200))
            .size() == 1);
  CHECK(replica.position() == 3);
  CHECK(replica.verified_at() == Millis(100));
}

TEST_CASE("a removed key stays removed until it is written again", "[topic]") {
  store::TopicReplica replica;
  replica.Apply(MakeUpdate(0, {}), Millis(0));
  replica.Apply(MakeSnapshot(1, {{"k", "v", false, 0}}), Millis(1));
  const auto changed =
      replica.Apply(MakeUpdate(1, {{"k", "", true, 1}}), Millis(2));
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].removed);
  CHECK(
      replica.Apply(MakeUpdate(0, {{"k", "v", false, 0}}), Millis(3)).empty());
  CHECK(
      replica.Apply(MakeUpdate(2, {{"k", "w", false, 2}}), Millis(4)).size() ==
      1);
}

TEST_CASE("crashes that several daemons saw quarantine a part at all of them",
          "[mesh]") {
  MeshFixture fixture;
  MeshFixture::Daemon* other = nullptr;
  MeshFixture::Daemon& first = AddConnectedPair(fixture, &other);
  const admission::PartList bad = {base::PartId("shared"), base::PartId("bad")};
  const auto rejects = [&](const MeshFixture::Daemon& daemon) {
    return daemon.quarantine->FindQuarantined(bad, fixture.Now(daemon))
        .has_value();
  };
  other->quarantine->RecordSound({bad[0]}, fixture.Now(*other));
  first.quarantine->RecordBreak(base::UpstreamId("u1"), bad,
                                fixture.Now(first));
  fixture.Advance(Millis(400));
  CHECK(other->quarantine->IsSuspect(bad, fixture.Now(*other)));
  other->quarantine->RecordBreak(base::UpstreamId("u2"), bad,
                                 fixture.Now(*other));
  fixture.Advance(Millis(600));
  CHECK(rejects(first));
  CHECK(rejects(*other));
  CHECK_FALSE(first.quarantine->FindQuarantined({bad[0]}, fixture.Now(first)));

  // A daemon that starts later, with its clock ahead of the others.
  MeshFixture::Daemon& late = fixture.AddDaemon("c", Millis(50'000'000));
  late.mesh->AddDaemon(MeshFixture::MakeInfo("b"));
  fixture.Advance(Millis(300));
  CHECK(rejects(late));
  CHECK_FALSE(late.quarantine->TryTrial(bad, fixture.Now(late)));
}

TEST_CASE("one daemon reads, and another takes over when it falls silent",
          "[reader]") {
  store::ReaderElection first{HostId("a")};
  store::ReaderElection second{HostId("b")};
  const Millis now(10'000);
  const Millis stale(2000);
  CHECK(first.UpdateRole(now, stale, {{HostId("b"), now, false}}));
  // The first reader's updates are fresh.
  CHECK_FALSE(second.UpdateRole(now, Millis(300), {{HostId("a"), now, true}}));
  // The first reader has fallen silent.
  CHECK(second.UpdateRole(now, stale, {{HostId("a"), Millis(8000), true}}));
  // The first reader is back and reads; the one with the later name stops.
  CHECK_FALSE(second.UpdateRole(now, Millis(300), {{HostId("a"), now, true}}));
}

TEST_CASE("daemons that are no delegates take over after those, and in time",
          "[reader]") {
  constexpr int kDaemons = 39;
  // Changes are to be in force 2 s after they were made.
  constexpr Millis kLastInTime(1700);
  const std::vector<store::PeerReaderStatus> delegates = {
      {HostId("d-1"), Millis(10'000), false, true},
      {HostId("d-2"), Millis(10'000), false, true}};
  int delegate_readers = 0;
  int first_readers = 0;
  int last_readers = 0;
  for (int i = 0; i < kDaemons; ++i) {
    store::ReaderElection member{HostId("m-" + std::to_string(i))};
    CHECK_FALSE(member.UpdateRole(Millis(10'000), Millis(1450), delegates));
    first_readers +=
        member.UpdateRole(Millis(10'000), Millis(1550), delegates) ? 1 : 0;
    last_readers += member.UpdateRole(Millis(10'000), kLastInTime, delegates);
    // They stop for a delegate that reads.
    std::vector<store::PeerReaderStatus> reading = delegates;
    reading[0].reading = true;
    CHECK_FALSE(member.UpdateRole(Millis(10'000), Millis(300), reading));
  }
  store::ReaderElection delegate{HostId("d-3")};
  delegate_readers +=
      delegate.UpdateRole(Millis(10'000), Millis(1300), delegates, true);
  CHECK(delegate_readers == 1);
  CHECK(first_readers < kDaemons / 2);
  // Without a delegate that reaches the store, all try while a change can still
  // be in force in time.
  CHECK(last_readers == kDaemons);
}

TEST_CASE("calls to a store that is away become fewer and spread out",
          "[reader]") {
  store::RetryBackoff first(1);
  store::RetryBackoff second(2);
  const Millis max_pause = store::Follower::kMaxRetryPauseOfOthers;
  Millis total(0);
  int calls = 0;
  int same = 0;
  for (; total < Millis(20'000); ++calls) {
    const Millis pause = first.Next(max_pause);
    CHECK(pause <= max_pause);
    CHECK(pause >= store::RetryBackoff::kFirstPause - Millis(200));
    same += pause == second.Next(max_pause) ? 1 : 0;
    total = total + pause;
  }
  // One in 0.4 s would be 50.
  CHECK(calls <= 15);
  CHECK(same <= calls / 2);
  first.Reset();
  CHECK(first.Next(max_pause) <= store::RetryBackoff::kFirstPause);
  // A delegate notices the return of the store soon.
  for (int i = 0; i < 10; ++i) {
    CHECK(first.Next(store::Follower::kMaxRetryPause) <=
          store::Follower::kMaxRetryPause);
  }
}

// A call may have begun to hang just before the way was sound again.
TEST_CASE("a change waits for a pause after the way to the store is sound",
          "[reader]") {
  constexpr Millis kContactTime(3000);
  constexpr Millis kChangeDelay(2000);
  constexpr Millis kResponseTimeout(700);
  constexpr Millis kHungCall =
      store::Follower::kOperatorLongPoll + kResponseTimeout;
  constexpr Millis kSpare(300);
  for (const bool is_delegate : {false, true}) {
    const Millis pause =
        store::Follower::MaxRetryPause(Topic::kOperator, is_delegate);
    CHECK(kHungCall + pause + kSpare <= kContactTime);
    CHECK(pause + kSpare <= kChangeDelay);
  }
}

/// A store whose calls return an empty update at once, or fail.
class FailableStore : public store::MetadataStore {
 public:
  bool fails = false;
  int calls = 0;
  std::function<void()> on_call = [] {};

  base::Task<absl::StatusOr<Update>> ReadNewest(Topic) override {
    return Answer();
  }
  base::Task<absl::StatusOr<Update>> ReadFrom(Topic, int64_t, Millis) override {
    return Answer();
  }

 private:
  base::Task<absl::StatusOr<Update>> Answer() {
    ++calls;
    on_call();
    if (fails) {
      co_return absl::UnavailableError("cut off");
    }
    co_return Update();
  }
};

TEST_CASE("a daemon that is cut off from the store does not count as a reader",
          "[reader]") {
  boost::asio::io_context context;
  Millis now(5000);
  FailableStore store;
  store::TopicReplica replica;
  store::Follower::Hooks hooks;
  hooks.should_read = [](Topic) { return true; };
  hooks.is_delegate = [] { return true; };
  hooks.replica = [&replica](Topic) -> const store::TopicReplica& {
    return replica;
  };
  hooks.on_update = [](Topic, const Update&, Millis) {};
  store::Follower follower(base::Clock([&now] { return now; }), store, hooks);
  const auto read_twice = [&] {
    const int until = store.calls + 2;
    while (store.calls < until) {
      context.run_one();
    }
  };
  CHECK_FALSE(follower.HasRecentRead(Topic::kUpstreams));
  base::Spawn(context.get_executor(), follower.FollowTopic(Topic::kUpstreams));
  read_twice();
  CHECK(follower.HasRecentRead(Topic::kUpstreams));
  // Nor does one that reads another topic only.
  CHECK_FALSE(follower.HasRecentRead(Topic::kOperator));
  store.fails = true;
  now = now + store::Follower::kMaxReadAge;
  read_twice();
  CHECK_FALSE(follower.HasRecentRead(Topic::kUpstreams));
  store.fails = false;
  read_twice();
  CHECK(follower.HasRecentRead(Topic::kUpstreams));
}

TEST_CASE("a topic that is no longer read does not make the store slow",
          "[reader]") {
  boost::asio::io_context context;
  Millis now(5000);
  bool reads = true;
  FailableStore store;
  store.on_call = [&now] { now = now + Millis(1000); };
  store::TopicReplica replica;
  store::Follower::Hooks hooks;
  hooks.should_read = [&reads](Topic) { return reads; };
  hooks.is_delegate = [] { return true; };
  hooks.replica = [&replica](Topic) -> const store::TopicReplica& {
    return replica;
  };
  hooks.on_update = [](Topic, const Update&, Millis) {};
  store::Follower follower(base::Clock([&now] { return now; }), store, hooks);
  base::Spawn(context.get_executor(), follower.FollowTopic(Topic::kUpstreams));
  while (store.calls < 2) {
    context.run_one();
  }
  CHECK(follower.is_store_slow());
  reads = false;
  context.run_for(2 * std::chrono::milliseconds(
                          store::Follower::kIdlePollInterval.count() +
                          store::Follower::kUpstreamsReadInterval.count()));
  CHECK_FALSE(follower.is_store_slow());
}

TEST_CASE("an entry that expired in a store outage does not mean leaving",
          "[upstreams]") {
  int notices = 0;
  fleet::UpstreamList list(
      {[](const fleet::Upstream&) {},
       [&notices](const fleet::Upstream&, std::string_view) { ++notices; },
       [](const base::UpstreamId&) {}});
  const base::UpstreamId id("u-1");
  list.ApplyEntry(id, fleet::UpstreamEntry(), Millis(0));
  list.OnStoreRecovered(Millis(10'000));
  list.ApplyEntry(id, std::nullopt, Millis(10'100));
  CHECK(notices == 0);
  CHECK(list.UsableInPool(base::PoolName()).empty());
  list.ApplyEntry(id, fleet::UpstreamEntry(), Millis(11'000));
  CHECK(list.UsableInPool(base::PoolName()).size() == 1);
  list.ApplyEntry(id, std::nullopt, Millis(20'000));
  CHECK(notices == 1);
}

TEST_CASE("an evacuated data centre has no usable upstreams until restored",
          "[upstreams]") {
  fleet::UpstreamList list({[](const fleet::Upstream&) {},
                            [](const fleet::Upstream&, std::string_view) {},
                            [](const base::UpstreamId&) {}});
  fleet::UpstreamEntry entry;
  entry.data_centre = base::DataCentreId("dc-a");
  list.ApplyEntry(base::UpstreamId("u-1"), entry, Millis(0));
  list.SetEvacuated(entry.data_centre, true);
  CHECK(list.UsableInPool(base::PoolName()).empty());
  // Nor is an upstream usable that is listed during the evacuation.
  list.ApplyEntry(base::UpstreamId("u-2"), entry, Millis(10));
  CHECK(list.UsableInPool(base::PoolName()).empty());
  list.SetEvacuated(entry.data_centre, false);
  CHECK(list.UsableInPool(base::PoolName()).size() == 2);
}

TEST_CASE("an upstream with a new start time counts as restarted",
          "[upstreams]") {
  int restarts = 0;
  fleet::UpstreamList list(
      {[](const fleet::Upstream&) {},
       [](const fleet::Upstream&, std::string_view) {},
       [&restarts](const base::UpstreamId&) { ++restarts; }});
  const base::UpstreamId id("u-1");
  fleet::UpstreamEntry entry;
  entry.started_at = 1;
  list.ApplyEntry(id, entry, Millis(0));
  entry.started_at = 2;
  list.ApplyEntry(id, entry, Millis(500));
  CHECK(restarts == 1);
  CHECK(list.Find(id)->listed_at == Millis(500));
}

}  // namespace
}  // namespace dandelion::test
