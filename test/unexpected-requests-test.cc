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

size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// A caller that sends one request and keeps its connection.
std::unique_ptr<tcp::socket> SendAndStay(ForwardFixture& fixture,
                                         const std::string& bytes) {
  auto caller = std::make_unique<tcp::socket>(fixture.executor());
  caller->connect({boost::asio::ip::address_v4::loopback(), fixture.port()});
  bool answered = false;
  std::string received;
  boost::asio::async_write(
      *caller, boost::asio::buffer(bytes),
      [&](boost::system::error_code, size_t) {
        boost::asio::async_read_until(
            *caller, boost::asio::dynamic_buffer(received), "answer",
            [&](boost::system::error_code, size_t) { answered = true; });
      });
  REQUIRE(fixture.RunUntil([&answered] { return answered; }));
  CHECK(received.starts_with("HTTP/1.1 200"));
  return caller;
}

TEST_CASE("an idle connection keeps the body of its last request",
          "[unexpected]") {
  constexpr int kCallers = 40;
  constexpr size_t kBodyBytes = 400'000;
  // What a connection itself may take.
  constexpr size_t kBytesPerCaller = size_t{16} * 1024;
  ForwardFixture fixture("write", RequestKind::kNonIdempotent);
  // Keeps nothing of the requests, unlike a `FakeUpstream`.
  RawAnswer answer{RawHead("r-1", "Content-Length: 6\r\n") + "answer"};
  fixture.AddRawUpstream("u-1", "write", std::move(answer));
  const std::string bytes =
      "POST /write/1 HTTP/1.1\r\nHost: front.example\r\n"
      "X-Dandeliondyke-Request-Id: r-1\r\n"
      "X-Dandeliondyke-Deadline-Ms: 9000\r\n"
      "Content-Length: " +
      std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'x');
  std::vector<std::unique_ptr<tcp::socket>> callers;
  callers.push_back(SendAndStay(fixture, bytes));
  const size_t before = HeapBytes();
  for (int i = 1; i < kCallers; ++i) {
    callers.push_back(SendAndStay(fixture, bytes));
  }
  CHECK(HeapBytes() < before + kCallers * kBytesPerCaller);
}

TEST_CASE("a caller's trailer without end is kept", "[unexpected]") {
  constexpr size_t kMaxHeapBytes = size_t{1} * 1024 * 1024;
  constexpr size_t kTrailerBytes = size_t{32} * 1024 * 1024;
  ForwardFixture fixture("write", RequestKind::kNonIdempotent);
  tcp::socket caller(fixture.executor());
  caller.connect({boost::asio::ip::address_v4::loopback(), fixture.port()});
  const std::string head =
      "POST /write/1 HTTP/1.1\r\nHost: front.example\r\n"
      "X-Dandeliondyke-Request-Id: r-1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n";
  // As one long line, or as many lines.
  const std::string line =
      GENERATE(as<std::string>(), "x", "X-Name: value\r\n");
  std::string trailer;
  while (trailer.size() < kTrailerBytes) {
    trailer += line;
  }
  const std::string name = "X-Name: ";
  const size_t before = HeapBytes();
  size_t most = before;
  bool ended = false;
  const std::vector<boost::asio::const_buffer> buffers = {
      boost::asio::buffer(head), boost::asio::buffer(name),
      boost::asio::buffer(trailer)};
  boost::asio::async_write(
      caller, buffers,
      [&ended](boost::system::error_code, size_t) { ended = true; });
  CHECK(fixture.RunUntil([&] {
    most = std::max(most, HeapBytes());
    return ended;
  }));
  CHECK(most - before < kMaxHeapBytes);
}

}  // namespace
}  // namespace dandelion::test
