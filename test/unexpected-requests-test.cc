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

/// Refuses requests for a version of the weights, and names itself if `named`.
http::Handler RefuseVersion(std::string id, bool named) {
  return [id, named](http::Exchange& exchange) -> Task<void> {
    http::Response response = SealedResponse(exchange.request(), "answer");
    if (exchange.request().headers.Has("X-Dandeliondyke-Expect-Version")) {
      response.status = kMisdirected;
    }
    if (named) {
      response.headers.Add("X-Dandeliondyke-Instance-Id", id);
    }
    (void)co_await exchange.Respond(std::move(response));
  };
}

http::Request VersionRequest(const std::string& id) {
  http::Request request = CallerRequestFor("read", id);
  request.headers.Add("X-Dandeliondyke-Expect-Version", "1");
  return request;
}

TEST_CASE("one caller's version takes the upstreams from all others",
          "[unexpected]") {
  ForwardFixture fixture("read", RequestKind::kIdempotent, 2);
  const bool named = GENERATE(true, false);
  for (const std::string id : {"u-1", "u-2", "u-3"}) {
    fixture.AddUpstream(id, "read", RefuseVersion(id, named));
  }
  CHECK(fixture.SendRequestOrThrow(VersionRequest("r-1")).status ==
        kUnavailable);
  for (int i = 2; i < 8; ++i) {
    CHECK(fixture
              .SendRequestOrThrow(
                  CallerRequestFor("read", "r-" + std::to_string(i)))
              .status == kOk);
  }
}

// The sound neighbour of the case above: such an answer still shows that the
// address has another upstream if it names one.
TEST_CASE("an address that another upstream has is used again",
          "[unexpected]") {
  ForwardFixture fixture("read", RequestKind::kIdempotent, 2);
  FakeUpstream& other =
      fixture.AddUpstream("u-1", "read", RefuseVersion("u-9", true));
  CHECK(fixture.SendRequestOrThrow(VersionRequest("r-1")).status ==
        kUnavailable);
  CHECK(fixture.SendRequestOrThrow(CallerRequestFor("read", "r-2")).status ==
        kUnavailable);
  CHECK(other.seen().size() == 1);
}

}  // namespace
}  // namespace dandelion::test
