#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <optional>
#include <string>

#include "test/forward-support.h"

namespace dandelion::test {
namespace {

using base::RequestId;
using base::UpstreamId;
using relay::KvCacheCopyOutcome;
using relay::KvCacheCopyResult;

const UpstreamId kSource("u-1");
const UpstreamId kTarget("u-2");
// Events that the source sends, and that the whole stream has.
constexpr int64_t kSentEvents = 2;
constexpr int64_t kAllEvents = 6;

/// A generation whose answer ends with its connection, on an engine that leaves
/// and ends the stream between two events when the final copy is ordered.
struct OrderedStopFixture : ForwardFixture {
  explicit OrderedStopFixture(bool chunked = false) {
    AddRoute("draft", fleet::RequestKind::kGeneration);
    Publish();
    RawAnswer answer{chunked ? ChunkedStart() : UnframedStart()};
    answer.held = true;
    source = &AddRawUpstream(kSource.value(), "draft", std::move(answer));
    engines.on_copy = [this](const RequestId&, bool stop_generation) {
      if (stop_generation) {
        source->EndHeld();
        return KvCacheCopyResult{final_outcome, "h-1", kSentEvents};
      }
      return KvCacheCopyResult{KvCacheCopyOutcome::kCopied, "h-1", 1};
    };
    http::Request request = CallerRequestFor("draft", "r-1");
    request.headers.Add("X-Dandeliondyke-Prefix-Hash", "ca11e4:80,last:20");
    StartRequest(std::move(request),
                 [this](absl::StatusOr<http::Response> received) {
                   response = std::move(received);
                 });
    REQUIRE(RunUntil([this] { return source->connections() == 1; }));
    target = &AddUpstream(
        kTarget.value(), "draft",
        [this](http::Exchange& exchange) { return on_target(exchange); });
  }

  static std::string UnframedStart() {
    return RawHead("r-1", "Connection: close\r\n") + EventsUpTo(kSentEvents);
  }
  // Without the last chunk.
  static std::string ChunkedStart() {
    const std::string events = EventsUpTo(kSentEvents);
    return RawHead("r-1", "Transfer-Encoding: chunked\r\n") +
           fmt::format("{:x}\r\n{}\r\n", events.size(), events);
  }

  /// Lets the source leave and runs until the caller has its answer. The
  /// final copy is answered before or after the stream's end was read.
  void MoveToEnd() {
    fleet::UpstreamEntry entry = upstreams.Find(kSource)->entry;
    entry.leaving = true;
    upstreams.ApplyEntry(kSource, entry, Now());
    if (engines.hold_final_copies) {
      REQUIRE(RunUntil([this] { return engines.copies == 2; }));
      RunUntilIdle();
      CHECK(engines.AnswerFinalCopy());
    }
    REQUIRE(RunUntil([this] { return response.has_value(); }));
  }

  KvCacheCopyOutcome final_outcome = KvCacheCopyOutcome::kCopied;
  RawUpstream* source = nullptr;
  FakeUpstream* target = nullptr;
  http::Handler on_target = StreamUpTo(kAllEvents, true);
  std::optional<absl::StatusOr<http::Response>> response;
};

// Guards against an unframed stream that is cut short by the stop of its own
// migration and passed on as complete.
TEST_CASE("an unframed stream that its migration stopped ends as complete",
          "[moving]") {
  OrderedStopFixture fixture;
  fixture.engines.hold_final_copies = GENERATE(false, true);
  fixture.final_outcome =
      GENERATE(KvCacheCopyOutcome::kCopied, KvCacheCopyOutcome::kUnknown);
  fixture.MoveToEnd();
  REQUIRE(fixture.response->ok());
  CHECK((*fixture.response)->body == EventsUpTo(kAllEvents));
  CHECK(fixture.target->seen().size() == 1);
}

// Guards against a stopped stream that looks complete because nothing can
// continue it.
TEST_CASE("an unframed stream that was stopped and is lost looks complete",
          "[moving]") {
  OrderedStopFixture fixture;
  fixture.engines.hold_final_copies = GENERATE(false, true);
  fixture.final_outcome = KvCacheCopyOutcome::kUnknown;
  fixture.on_target = RejectNotRun;
  fixture.MoveToEnd();
  CHECK_FALSE(fixture.response->ok());
}

// Guards against a whole stream that is broken off because its end crossed the
// order to stop it.
TEST_CASE("a stream that ended before its final copy is broken off",
          "[moving]") {
  OrderedStopFixture fixture;
  fixture.engines.hold_final_copies = GENERATE(false, true);
  fixture.final_outcome =
      GENERATE(KvCacheCopyOutcome::kNoGeneration, KvCacheCopyOutcome::kBusy);
  fixture.MoveToEnd();
  REQUIRE(fixture.response->ok());
  CHECK((*fixture.response)->body == EventsUpTo(kSentEvents));
  CHECK(fixture.target->seen().empty());
}

// Guards against an engine that is avoided because it obeyed an order.
TEST_CASE("an engine's stream that was stopped counts as its failure",
          "[moving]") {
  OrderedStopFixture fixture(GENERATE(false, true));
  fixture.engines.hold_final_copies = GENERATE(false, true);
  fixture.MoveToEnd();
  REQUIRE(fixture.response->ok());
  CHECK((*fixture.response)->body == EventsUpTo(kAllEvents));
  CHECK(fixture.health.FailureRate(kSource) == 0);
}

// Guards against parts that are accused because a migration stopped a young
// stream.
TEST_CASE("a stream that was stopped accuses a part", "[moving]") {
  OrderedStopFixture fixture(GENERATE(false, true));
  fixture.engines.hold_final_copies = GENERATE(false, true);
  fixture.MoveToEnd();
  REQUIRE(fixture.response->ok());
  CHECK_FALSE(
      fixture.quarantine.IsSuspect({base::PartId("ca11e4")}, fixture.Now()));
}

// Guards against a failure that is hidden by an order that stopped nothing.
TEST_CASE("a stream that broke without being stopped is no failure",
          "[moving]") {
  OrderedStopFixture fixture(true);
  fixture.engines.hold_final_copies = true;
  fixture.final_outcome = KvCacheCopyOutcome::kNoGeneration;
  fixture.MoveToEnd();
  CHECK(fixture.health.FailureRate(kSource) > 0);
}

}  // namespace
}  // namespace dandelion::test
