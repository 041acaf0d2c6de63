#include <catch2/catch.hpp>

#include <malloc.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>

#include "platform/engine_control.h"
#include "platform/store_client.h"
#include "test/forward-support.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::RequestId;
using base::Task;
using fleet::RequestKind;

// Memory that a daemon may use on the users' machines.
constexpr size_t kDaemonBytes = 110'000'000;
// Calls that one faulty server can have open, as many as an engine has slots.
constexpr int kCalls = 24;
constexpr Millis kLongTime{60'000};
constexpr size_t kPieceBytes = 16 * 1024;

size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// A server whose bytes never end, and a sound one with its own route.
struct EndlessFixture : ForwardFixture {
  explicit EndlessFixture(const std::string& start) {
    AddRoute("draft", RequestKind::kGeneration).timeout = kLongTime;
    AddRoute("read", RequestKind::kIdempotent);
    Publish();
    RawAnswer answer{start};
    answer.repeated = std::string(kPieceBytes, 'x');
    faulty = &AddRawUpstream("u-1", "draft", std::move(answer));
    AddUpstream("u-2", "read", [](http::Exchange& exchange) -> Task<void> {
      http::Response response = SealedResponse(exchange.request(), "answer");
      (void)co_await exchange.Respond(std::move(response));
    });
  }

  /// Runs until `calls` to the faulty server have ended, while another caller
  /// is served. Returns the most memory that was used meanwhile.
  size_t RunCalls(int calls) {
    const size_t before = HeapBytes();
    size_t most = before;
    int served = 0;
    const auto serve = [&served](absl::StatusOr<http::Response> response) {
      served += response.ok() && response->status == 200 ? 1 : 0;
    };
    StartRequest(CallerRequestFor("read", "sound"), serve);
    CHECK(RunUntil([&] {
      most = std::max(most, HeapBytes());
      return ended == calls && served == 1;
    }));
    return most - before;
  }

  void SpawnCall(Task<void> call) {
    const auto count = [](Task<void> task, int* ended_calls) -> Task<void> {
      co_await std::move(task);
      ++*ended_calls;
    };
    base::Spawn(executor(), count(std::move(call), &ended));
  }

  RawUpstream* faulty = nullptr;
  int ended = 0;
};

const std::string kEndlessBody = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const std::string kEndlessTrailer =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Name: ";

// Guards against a daemon that keeps all bytes of an engine's endless answers
// to control calls and is killed with its other callers' requests.
TEST_CASE("endless answers to control calls exceed a daemon's memory",
          "[bytes]") {
  EndlessFixture fixture(
      GENERATE(as<std::string>(), kEndlessBody, kEndlessTrailer,
               "HTTP/1.1 200 OK\r\nX-Name: ", "HTTP/1.1 100 Continue\r\nX: "));
  http::Client client;
  platform::HttpEngineControl control(client);
  const auto report = [&]() -> Task<void> {
    const auto result =
        co_await control.FetchEngineReport(fixture.faulty->address());
    CHECK_FALSE(result.ok());
  };
  const auto copy = [&]() -> Task<void> {
    const relay::KvCacheCopyResult result = co_await control.CopyKvCache(
        fixture.faulty->address(), RequestId("r-1"), fixture.faulty->address(),
        false, kLongTime);
    CHECK(result.handle.empty());
  };
  const auto free_copy = [&]() -> Task<void> {
    co_await control.FreeCopy(fixture.faulty->address(), "h-1");
  };
  for (int i = 0; i < kCalls; i += 3) {
    fixture.SpawnCall(report());
    fixture.SpawnCall(copy());
    fixture.SpawnCall(free_copy());
  }
  CHECK(fixture.RunCalls(kCalls) < kDaemonBytes);
}

// Guards against the same for events of streams.
TEST_CASE("endless events of streams exceed a daemon's memory", "[bytes]") {
  EndlessFixture fixture(RawHead("r-1", "Connection: close\r\n"));
  for (int i = 0; i < kCalls; ++i) {
    fixture.StartRequest(
        CallerRequestFor("draft", "r-1", kLongTime),
        [&fixture](const absl::StatusOr<http::Response>&) { ++fixture.ended; });
  }
  CHECK(fixture.RunCalls(kCalls) < kDaemonBytes);
}

// Guards against the same for the store's answers. The daemon reads each topic
// by one call at a time.
TEST_CASE("endless answers of the store exceed a daemon's memory", "[bytes]") {
  EndlessFixture fixture(kEndlessBody);
  http::Client client;
  platform::StoreClient store(client,
                              [&] { return fixture.faulty->address(); });
  const auto read = [&](store::Topic topic) -> Task<void> {
    const auto update = co_await store.ReadNewest(topic);
    CHECK_FALSE(update.ok());
  };
  fixture.SpawnCall(read(store::Topic::kOperator));
  fixture.SpawnCall(read(store::Topic::kUpstreams));
  CHECK(fixture.RunCalls(store::kTopicCount) < kDaemonBytes);
}

}  // namespace
}  // namespace dandelion::test
