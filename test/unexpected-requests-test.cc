#include <catch2/catch.hpp>

#include <malloc.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "platform/engine_control.h"
#include "test/raw-bytes-support.h"

// Requests that callers may send and that are unlike all others must not harm
// the requests beside them.

namespace dandelion::test {
namespace {

using base::Millis;
using base::RequestId;
using base::Task;
using base::UpstreamId;
using boost::asio::ip::tcp;
using fleet::RequestKind;
using relay::KvCacheCopyOutcome;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
// "Käse" in Latin-1: no UTF-8, but a valid header value.
constexpr char kLatinId[] = "k\xE4se-17";

TEST_CASE("a copy order for an ID that is not UTF-8 throws", "[unexpected]") {
  ForwardFixture fixture;
  FakeUpstream engine(fixture.executor(), RespondWithAnswer);
  http::Client client;
  platform::HttpEngineControl control(client);
  const std::optional<relay::KvCacheCopyResult> result = RunTask(
      fixture, control.CopyKvCache(engine.address(), RequestId(kLatinId),
                                   engine.address(), GENERATE(false, true),
                                   Millis(1000)));
  REQUIRE(result);
  CHECK(result->outcome == KvCacheCopyOutcome::kInexpressibleId);
  CHECK(engine.seen().empty());
}

TEST_CASE("a generation that can't be copied is copied again and again",
          "[unexpected]") {
  ForwardFixture fixture("draft", RequestKind::kGeneration);
  FakeUpstream& engine =
      fixture.AddUpstream("u-1", "draft", StreamUpTo(3, true));
  fixture.AddUpstream("u-2", "draft", StreamUpTo(3, true));
  fixture.engines.on_copy = [](const RequestId&, bool) {
    return relay::KvCacheCopyResult{KvCacheCopyOutcome::kInexpressibleId, "",
                                    0};
  };
  const auto generation =
      std::make_shared<migration::ActiveGeneration>(fixture.executor());
  generation->id = RequestId(kLatinId);
  generation->pool = base::PoolName("draft");
  generation->has_events = true;
  generation->place.upstream = UpstreamId("u-1");
  generation->place.address = engine.address();
  fixture.migrator->Add(generation);
  fixture.migrator->MigrateFrom(UpstreamId("u-1"), "test");
  CHECK(fixture.RunUntil([&] { return !generation->migrating; }));
  CHECK(fixture.engines.copies == 1);
  CHECK_FALSE(generation->copy);
  CHECK(fixture.loads.own_loads().empty());
}

}  // namespace
}  // namespace dandelion::test
