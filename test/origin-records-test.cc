#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <chrono>

#include "relay/stream_origins.h"
#include "test/fake-origin-store.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::RequestId;
using relay::OriginSource;
using relay::StreamOrigin;
using relay::StreamOrigins;

constexpr Millis kKeepFor{60'000};
constexpr int64_t kUnixStart = 1'800'000'000'000;

StreamOrigin At(const std::string& version) {
  return {base::PoolName("engines"), base::SoftwareVersion(version)};
}

/// Origins on a set clock. Timers run on the real one.
struct OriginsFixture {
  OriginsFixture() : origins(MakeOrigins()) {
    base::Spawn(context.get_executor(), origins->Keep());
  }
  std::unique_ptr<StreamOrigins> MakeOrigins() {
    return std::make_unique<StreamOrigins>(
        context.get_executor(), base::Clock([this] { return now; }), store,
        StreamOrigins::Hooks{[this] { return kUnixStart + now.count(); },
                             [this] { return calls_per_second; },
                             [this] { return removes_leftovers; }});
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline) {
        return false;
      }
      context.restart();
      context.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }
  /// Runs what is ready now, and what that leads to.
  void RunAWhile() {
    for (int turn = 0; turn < 20; ++turn) {
      context.restart();
      context.poll();
    }
  }
  StreamOrigins::Found Find(StreamOrigins& from, const std::string& id) {
    std::optional<StreamOrigins::Found> found;
    const auto run = [&]() -> base::Task<void> {
      found = co_await from.Find(RequestId(id), Millis(10'000));
    };
    base::Spawn(context.get_executor(), run());
    REQUIRE(RunUntil([&] { return found.has_value(); }));
    return *found;
  }
  size_t CountRecords(bool removed) const {
    return static_cast<size_t>(std::count_if(
        store.log.begin(), store.log.end(),
        [removed](const auto& change) { return change.removed == removed; }));
  }

  boost::asio::io_context context;
  Millis now{1'000'000};
  FakeOriginStore store;
  double calls_per_second = 1000;
  bool removes_leftovers = true;
  std::unique_ptr<StreamOrigins> origins;
};

TEST_CASE("origins that come during a call to the store go into the next one",
          "[order]") {
  OriginsFixture fixture;
  fixture.store.call_time = Millis(30);
  fixture.origins->Begin(RequestId("first"), At("v1"), kKeepFor);
  // The first call is under way once all that runs now waits.
  fixture.context.poll();
  for (int i = 0; i < 50; ++i) {
    fixture.origins->Begin(RequestId("r-" + std::to_string(i)), At("v1"),
                           kKeepFor);
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.store.log.size() == 51; }));
  CHECK(fixture.store.batches.size() <= 2);
}

TEST_CASE("a daemon writes origins no more often than its share of the calls",
          "[order]") {
  OriginsFixture fixture;
  fixture.calls_per_second = 1;
  int begun = 0;
  const auto begin_and_run = [&] {
    fixture.origins->Begin(RequestId("r-" + std::to_string(++begun)), At("v1"),
                           kKeepFor);
    fixture.RunAWhile();
  };
  for (int i = 0; i < 10; ++i) {
    begin_and_run();
  }
  CHECK(fixture.store.batches.size() <=
        static_cast<size_t>(StreamOrigins::kBurstCalls));
  CHECK(!fixture.store.batches.empty());
  fixture.now = fixture.now + Millis(1000);
  CHECK(fixture.RunUntil([&] { return fixture.store.log.size() == 10; }));
  CHECK(fixture.store.batches.size() <=
        static_cast<size_t>(StreamOrigins::kBurstCalls) + 1);
}

TEST_CASE("origins are removed once nobody can take their streams up",
          "[order]") {
  OriginsFixture fixture;
  fixture.origins->Begin(RequestId("ended"), At("v1"), kKeepFor);
  fixture.origins->Begin(RequestId("broken"), At("v1"), kKeepFor);
  REQUIRE(fixture.RunUntil([&] { return fixture.store.log.size() == 2; }));
  fixture.origins->End(RequestId("ended"));
  fixture.now = fixture.now + StreamOrigins::kEndedKeptFor + Millis(1);
  REQUIRE(fixture.RunUntil([&] { return fixture.CountRecords(true) == 1; }));
  const auto other = fixture.MakeOrigins();
  CHECK(!fixture.Find(*other, "ended").origin);
  CHECK(fixture.Find(*other, "broken").origin == At("v1"));
  CHECK(fixture.Find(*fixture.origins, "broken").source == OriginSource::kOwn);
  fixture.now = fixture.now + kKeepFor;
  REQUIRE(fixture.RunUntil([&] { return fixture.CountRecords(true) == 2; }));
  CHECK(!fixture.Find(*other, "broken").origin);
}

TEST_CASE("of two versions that a request was sent to the last one counts",
          "[order]") {
  OriginsFixture fixture;
  fixture.origins->Begin(RequestId("r"), At("v1"), kKeepFor);
  REQUIRE(fixture.RunUntil([&] { return fixture.store.log.size() == 1; }));
  fixture.origins->Begin(RequestId("r"), At("v2"), kKeepFor);
  bool recorded = false;
  const auto wait = [&]() -> base::Task<void> {
    co_await fixture.origins->AwaitRecorded(RequestId("r"));
    recorded = true;
  };
  base::Spawn(fixture.context.get_executor(), wait());
  REQUIRE(fixture.RunUntil([&] { return recorded; }));
  REQUIRE(fixture.store.log.size() == 2);
  // The store may execute a call that it didn't answer seconds later.
  fixture.store.log.push_back(fixture.store.log.front());
  const auto other = fixture.MakeOrigins();
  CHECK(fixture.Find(*other, "r").origin == At("v2"));
}

TEST_CASE("an origin that no record contradicts is not waited for", "[order]") {
  OriginsFixture fixture;
  fixture.store.away = true;
  fixture.origins->Begin(RequestId("r"), At("v1"), kKeepFor);
  bool ended = false;
  const auto wait = [&]() -> base::Task<void> {
    co_await fixture.origins->AwaitRecorded(RequestId("r"));
    ended = true;
  };
  base::Spawn(fixture.context.get_executor(), wait());
  fixture.context.poll();
  CHECK(ended);
}

TEST_CASE("a read that began before the question does not answer it",
          "[order]") {
  OriginsFixture fixture;
  fixture.store.call_time = Millis(20);
  const auto other = fixture.MakeOrigins();
  std::optional<StreamOrigins::Found> early;
  const auto ask = [&]() -> base::Task<void> {
    early = co_await other->Find(RequestId("unknown"), Millis(10'000));
  };
  base::Spawn(fixture.context.get_executor(), ask());
  REQUIRE(fixture.RunUntil([&] { return fixture.store.reads == 1; }));
  store::StreamOriginChange record;
  record.key = relay::OriginRecordKey(relay::OriginKey(RequestId("r")), 0);
  record.pool = base::PoolName("engines");
  record.version = base::SoftwareVersion("v1");
  record.at = kUnixStart + fixture.now.count();
  fixture.store.log.push_back(record);
  REQUIRE(!early);
  CHECK(fixture.Find(*other, "r").origin == At("v1"));
  CHECK(!early->origin);
  CHECK(fixture.store.reads == 2);
}

TEST_CASE("origins are written again when the store has lost them", "[order]") {
  OriginsFixture fixture;
  fixture.store.era = 1;
  const auto other = fixture.MakeOrigins();
  fixture.origins->Begin(RequestId("first"), At("v1"), kKeepFor);
  REQUIRE(fixture.RunUntil([&] { return fixture.store.log.size() == 1; }));
  CHECK(fixture.Find(*other, "first").source == OriginSource::kStore);
  fixture.store.log.clear();
  fixture.store.era = 2;
  fixture.origins->Begin(RequestId("second"), At("v2"), kKeepFor);
  REQUIRE(fixture.RunUntil([&] { return fixture.store.log.size() >= 2; }));
  CHECK(fixture.Find(*other, "first").origin == At("v1"));
  CHECK(fixture.Find(*other, "second").origin == At("v2"));
}

TEST_CASE("while the store is away an origin of another daemon is not known",
          "[order]") {
  OriginsFixture fixture;
  const auto other = fixture.MakeOrigins();
  fixture.origins->Begin(RequestId("r"), At("v1"), kKeepFor);
  REQUIRE(fixture.RunUntil([&] { return fixture.store.log.size() == 1; }));
  CHECK(fixture.Find(*other, "r").origin == At("v1"));
  fixture.store.away = true;
  CHECK(fixture.Find(*other, "r").source == OriginSource::kUnknown);
  CHECK(fixture.Find(*fixture.origins, "r").origin == At("v1"));
}

TEST_CASE("records that killed daemons left behind are removed by one daemon",
          "[order]") {
  OriginsFixture fixture;
  const auto add = [&](const std::string& id, Millis age) {
    store::StreamOriginChange record;
    record.key = relay::OriginRecordKey(relay::OriginKey(RequestId(id)), 0);
    record.version = base::SoftwareVersion("v1");
    record.at = kUnixStart + (fixture.now - age).count();
    fixture.store.log.push_back(record);
  };
  add("old", relay::OriginReader::kMaxAge + Millis(1));
  add("young", relay::OriginReader::kMaxAge - Millis(1));
  add("from the future", Millis(0) - relay::OriginReader::kMaxAge);
  CHECK(!fixture.Find(*fixture.origins, "old").origin);
  CHECK(fixture.Find(*fixture.origins, "young").origin.has_value());
  fixture.removes_leftovers = false;
  fixture.now = fixture.now + StreamOrigins::kSearchInterval;
  fixture.RunAWhile();
  CHECK(fixture.CountRecords(true) == 0);
  add("old", relay::OriginReader::kMaxAge + Millis(1));
  fixture.removes_leftovers = true;
  fixture.now = fixture.now + StreamOrigins::kSearchInterval;
  REQUIRE(fixture.RunUntil([&] { return fixture.CountRecords(true) > 0; }));
  REQUIRE(fixture.CountRecords(true) == 1);
  CHECK(fixture.store.log.back().key ==
        relay::OriginRecordKey(relay::OriginKey(RequestId("old")), 0));
}

}  // namespace
}  // namespace dandelion::test
