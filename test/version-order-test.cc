#include <catch2/catch.hpp>

#include <optional>

#include "test/forward-support.h"
#include "test/migration-fixture.h"

namespace dandelion::test {
namespace {

using base::Task;
using relay::KvCacheCopyOutcome;
using relay::KvCacheCopyResult;

const base::SoftwareVersion kOld("1");
const base::SoftwareVersion kNew("2");

/// Lists an upstream as restarted at the new version.
void RestartAtNewVersion(ForwardFixture& fixture, const std::string& id) {
  fleet::UpstreamEntry entry =
      fixture.upstreams.Find(base::UpstreamId(id))->entry;
  ++entry.started_at;
  entry.version = kNew;
  fixture.upstreams.ApplyEntry(base::UpstreamId(id), entry, fixture.Now());
}

/// A generation of version 1 that is paused after its second event. Every copy
/// of its KV cache succeeds, and the final one ends its stream.
struct VersionFixture : MigrationFixture {
  explicit VersionFixture(std::string target_version, bool resumable)
      : MigrationFixture(std::move(target_version), resumable) {
    engines.on_copy = [this](const base::RequestId&, bool stop_generation) {
      if (stop_generation) {
        pausable.Break();
      }
      return KvCacheCopyResult{KvCacheCopyOutcome::kCopied, "h-1", 2};
    };
  }

  FakeUpstream& AddEngine(const std::string& id,
                          const base::SoftwareVersion& version) {
    added_version = version;
    return AddUpstream(id, "draft", StreamUpTo(6, true));
  }
  bool Await() {
    return RunUntil([this] { return done; });
  }
};

TEST_CASE("a stream is migrated to an engine of another version", "[order]") {
  VersionFixture fixture("2", false);
  fixture.Leave();
  fixture.RunUntilIdle();
  fixture.pausable.Resume();
  REQUIRE(fixture.Await());
  REQUIRE(fixture.answer.ok());
  CHECK(fixture.answer->body == EventsUpTo(6));
  CHECK(fixture.engines.copies == 0);
  CHECK(fixture.target->seen().empty());
}

TEST_CASE("a migration passes over engines of the stream's own version",
          "[order]") {
  VersionFixture fixture("2", false);
  const FakeUpstream& same = fixture.AddEngine("u-3", kOld);
  fixture.Leave();
  REQUIRE(fixture.Await());
  REQUIRE(fixture.answer.ok());
  CHECK(fixture.answer->body == EventsUpTo(6));
  CHECK(same.seen().size() == 1);
  CHECK(fixture.target->seen().empty());
}

TEST_CASE(
    "a stream is joined when its engine ends and others have a new "
    "version",
    "[order]") {
  const bool resumable = GENERATE(false, true);
  VersionFixture fixture("2", resumable);
  fixture.Leave();
  fixture.RunUntilIdle();
  fixture.pausable.Break();
  REQUIRE(fixture.Await());
  CHECK_FALSE(fixture.answer.ok());
  CHECK(fixture.target->seen().empty());
  CHECK(fixture.RunUntil(
      [&fixture] { return fixture.loads.own_loads().empty(); }));
}

TEST_CASE("a stream that broke is repeated at another version", "[order]") {
  VersionFixture fixture("2", true);
  fixture.pausable.Break();
  REQUIRE(fixture.Await());
  CHECK_FALSE(fixture.answer.ok());
  CHECK(fixture.target->seen().empty());
}

TEST_CASE("a stream that broke is not repeated at its own version", "[order]") {
  VersionFixture fixture("2", true);
  const FakeUpstream& same = fixture.AddEngine("u-3", kOld);
  fixture.pausable.Break();
  REQUIRE(fixture.Await());
  REQUIRE(fixture.answer.ok());
  CHECK(fixture.answer->body == EventsUpTo(6));
  CHECK(same.seen().size() == 1);
  CHECK(fixture.target->seen().empty());
}

TEST_CASE("a refused copy sends its stream to another version", "[order]") {
  VersionFixture fixture("1", false);
  const FakeUpstream& other = fixture.AddEngine("u-3", kNew);
  fixture.on_target_request = RejectNotRun;
  fixture.Leave();
  REQUIRE(fixture.Await());
  REQUIRE(fixture.answer.ok());
  CHECK(fixture.answer->body == EventsUpTo(6));
  CHECK(fixture.target->seen().size() == 1);
  CHECK(other.seen().empty());
}

TEST_CASE("a stream whose engine restarted at another version is joined",
          "[order]") {
  VersionFixture fixture("1", true);
  const FakeUpstream& other = fixture.AddEngine("u-3", kNew);
  RestartAtNewVersion(fixture, "u-1");
  fixture.pausable.Break();
  REQUIRE(fixture.Await());
  CHECK_FALSE(fixture.answer.ok());
  CHECK(fixture.target->seen().empty());
  CHECK(other.seen().empty());
}

TEST_CASE("a stream whose engine restarted before its first event is joined",
          "[order]") {
  ForwardFixture fixture;
  fleet::Route& route =
      fixture.AddRoute("draft", fleet::RequestKind::kGeneration);
  route.resumable = true;
  route.max_upstreams = 4;
  fixture.Publish();
  FakeUpstream* old_engine = nullptr;
  FakeUpstream* new_engine = nullptr;
  const http::Handler begin = [&](http::Exchange& exchange) -> Task<void> {
    old_engine = &fixture.AddUpstream("u-2", "draft", StreamUpTo(5, true));
    fixture.added_version = kNew;
    new_engine = &fixture.AddUpstream("u-3", "draft", StreamUpTo(5, true));
    RestartAtNewVersion(fixture, "u-1");
    const http::Handler stream = StreamUpTo(2, false);
    co_await stream(exchange);
  };
  fixture.added_version = kOld;
  fixture.AddUpstream("u-1", "draft", begin);
  const auto answer = fixture.SendRequest(CallerRequestFor("draft", "r-1"));
  CHECK_FALSE(answer.ok());
  REQUIRE(old_engine);
  CHECK(old_engine->seen().empty());
  CHECK(new_engine->seen().empty());
}

TEST_CASE("a stream is joined at an engine that restarted before the repeat",
          "[order]") {
  VersionFixture fixture("1", true);
  fixture.on_target_request = [&](http::Exchange& exchange) -> Task<void> {
    RestartAtNewVersion(fixture, "u-2");
    const http::Handler rest = StreamUpTo(6, true);
    co_await rest(exchange);
  };
  fixture.pausable.Break();
  REQUIRE(fixture.Await());
  CHECK_FALSE(fixture.answer.ok());
  CHECK(fixture.target->seen().size() == 1);
}

TEST_CASE("a stream goes on at the version of a send that brought no event",
          "[order]") {
  ForwardFixture fixture;
  fleet::Route& route =
      fixture.AddRoute("draft", fleet::RequestKind::kGeneration);
  route.resumable = true;
  route.max_upstreams = 4;
  fixture.Publish();
  FakeUpstream* old_engine = nullptr;
  FakeUpstream* new_engine = nullptr;
  const http::Handler begin = [&](http::Exchange& exchange) -> Task<void> {
    fixture.added_version = kOld;
    old_engine = &fixture.AddUpstream("u-3", "draft", StreamUpTo(5, true));
    fixture.added_version = kNew;
    new_engine = &fixture.AddUpstream("u-4", "draft", StreamUpTo(5, true));
    const http::Handler stream = StreamUpTo(2, false);
    co_await stream(exchange);
  };
  const http::Handler refuse = [&](http::Exchange& exchange) -> Task<void> {
    fixture.added_version = kNew;
    fixture.AddUpstream("u-2", "draft", begin);
    co_await RejectNotRun(exchange);
  };
  fixture.added_version = kOld;
  fixture.AddUpstream("u-1", "draft", refuse);
  const http::Response response =
      fixture.SendRequestOrThrow(CallerRequestFor("draft", "r-1"));
  CHECK(response.body == EventsUpTo(5));
  REQUIRE(old_engine);
  CHECK(old_engine->seen().empty());
  CHECK(new_engine->seen().size() == 1);
}

TEST_CASE("a roll-out that ends moves streams among old engines", "[order]") {
  VersionFixture fixture("2", false);
  const FakeUpstream& same = fixture.AddEngine("u-3", kOld);
  rollout::Order order;
  order.pool = base::PoolName("draft");
  order.target = kNew;
  order.time_limit = base::Millis(100'000);
  fixture.rollouts.SetOrder(base::RolloutName("n"), order, fixture.Now());
  rollout::Decision decision;
  decision.name = base::RolloutName("n");
  decision.pool = order.pool;
  decision.target = kNew;
  decision.sequence = 1;
  decision.state = rollout::State::kMoving;
  decision.share = 1;
  decision.order_age = base::Millis(80'000);
  decision.decider = base::HostId("a");
  fixture.rollouts.ApplyDecision({decision, base::Millis(0)}, fixture.Now());
  fixture.rollouts.Tick(fixture.Now());
  fixture.RunUntilIdle();
  CHECK(fixture.engines.copies == 0);
  fixture.pausable.Resume();
  REQUIRE(fixture.Await());
  REQUIRE(fixture.answer.ok());
  CHECK(fixture.answer->body == EventsUpTo(6));
  CHECK(same.seen().empty());
  CHECK(fixture.target->seen().empty());
}

}  // namespace
}  // namespace dandelion::test
