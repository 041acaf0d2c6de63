#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "test/forward-support.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;
using base::UpstreamId;
using fleet::RequestKind;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// Answers with a header that tells something of the upstream.
http::Handler AnswerWith(std::string name, std::string value) {
  return [name, value](http::Exchange& exchange) -> Task<void> {
    http::Response response = SealedResponse(exchange.request(), "answer");
    response.headers.Add(name, value);
    (void)co_await exchange.Respond(std::move(response));
  };
}

/// Rejects requests as not run, and asks for a pause.
http::Handler RejectAndPause(std::string seconds) {
  return [seconds](http::Exchange& exchange) -> Task<void> {
    http::Response response = SealedResponse(exchange.request(), "full");
    response.status = kUnavailable;
    response.headers.Add("X-Dandeliondyke-Not-Executed", "1");
    response.headers.Add("Retry-After", seconds);
    (void)co_await exchange.Respond(std::move(response));
  };
}

Task<void> Answer(http::Exchange& exchange) {
  http::Response response = SealedResponse(exchange.request(), "answer");
  (void)co_await exchange.Respond(std::move(response));
}

/// An upstream "u-1" whose answers tell something of it, and no other yet.
struct ReportFixture : ForwardFixture {
  explicit ReportFixture(http::Handler handler)
      : ForwardFixture("read", RequestKind::kIdempotent, 2),
        upstream(AddUpstream("u-1", "read", std::move(handler))) {}

  http::Response Send() {
    return SendRequestOrThrow(
        CallerRequestFor("read", "r-" + std::to_string(++requests)));
  }

  FakeUpstream& upstream;
  int requests = 0;
};

TEST_CASE("an upstream whose answer says that it leaves gets another request",
          "[reports]") {
  ReportFixture fixture(AnswerWith("Server-Leaving", "1"));
  CHECK(fixture.Send().status == kOk);
  FakeUpstream& other = fixture.AddUpstream("u-2", "read", Answer);
  // The store's entry changes and does not tell yet that the upstream leaves.
  fleet::UpstreamEntry entry = fixture.upstreams.Find(UpstreamId("u-1"))->entry;
  entry.slots += 1;
  fixture.upstreams.ApplyEntry(UpstreamId("u-1"), entry, fixture.Now());
  constexpr size_t kRequests = 6;
  for (size_t i = 0; i < kRequests; ++i) {
    CHECK(fixture.Send().status == kOk);
  }
  CHECK(fixture.upstream.seen().size() == 1);
  CHECK(other.seen().size() == kRequests);
}

TEST_CASE("an upstream whose address another one has gets another request",
          "[reports]") {
  ReportFixture fixture([](http::Exchange& exchange) -> Task<void> {
    http::Response response = SealedResponse(exchange.request(), "");
    response.status = 421;
    (void)co_await exchange.Respond(std::move(response));
  });
  CHECK(fixture.Send().status == kUnavailable);
  fixture.AddUpstream("u-2", "read", Answer);
  for (int i = 0; i < 6; ++i) {
    CHECK(fixture.Send().status == kOk);
  }
  CHECK(fixture.upstream.seen().size() == 1);
  // It takes requests again once it has restarted at its own address.
  fleet::UpstreamEntry entry = fixture.upstreams.Find(UpstreamId("u-1"))->entry;
  entry.started_at += 1;
  fixture.upstreams.ApplyEntry(UpstreamId("u-1"), entry, fixture.Now());
  CHECK(fixture.self_reports.MaySend(UpstreamId("u-1"), fixture.Now()));
}

TEST_CASE("an upstream that asked for a pause gets requests in it",
          "[reports]") {
  ReportFixture fixture(RejectAndPause("3.5"));
  CHECK(fixture.Send().status == kUnavailable);
  // Nothing can be sent before the request gives up, so it is rejected at once
  // and told when to come back.
  const http::Response rejected = fixture.Send();
  CHECK(rejected.status == kUnavailable);
  CHECK(std::stod(std::string(rejected.headers.Find("Retry-After"))) > 2.5);
  CHECK(fixture.upstream.seen().size() == 1);
  // Another upstream takes what this one does not.
  FakeUpstream& other = fixture.AddUpstream("u-2", "read", Answer);
  CHECK(fixture.Send().status == kOk);
  CHECK(other.seen().size() == 1);
  CHECK(fixture.upstream.seen().size() == 1);
  fixture.AdvanceClock(Millis(3500));
  fixture.upstreams.ApplyEntry(UpstreamId("u-2"), std::nullopt, fixture.Now());
  CHECK(fixture.Send().status == kUnavailable);
  CHECK(fixture.upstream.seen().size() == 2);
}

TEST_CASE("a pause is asked for with an answer that is not 503", "[reports]") {
  ReportFixture fixture(AnswerWith("Retry-After", "10"));
  CHECK(fixture.Send().status == kOk);
  CHECK(fixture.Send().status == kOk);
}

TEST_CASE("an upstream gets more requests than the limit that it names",
          "[reports]") {
  ReportFixture fixture(AnswerWith("Server-Limit", "1.0"));
  CHECK(fixture.Send().status == kOk);
  FakeUpstream& other = fixture.AddUpstream("u-2", "read", Answer);
  constexpr size_t kRequests = 30;
  for (size_t i = 1; i < kRequests; ++i) {
    CHECK(fixture.Send().status == kOk);
  }
  // All of them come within four seconds: one and a half times what the limit
  // allows then, and five.
  CHECK(fixture.upstream.seen().size() <= 11);
  CHECK(fixture.upstream.seen().size() + other.seen().size() == kRequests);
}

TEST_CASE("a limit that can't be read is taken for one", "[reports]") {
  const std::string value = GENERATE("fast", "nan", "-1", "inf", "", "1e999");
  ReportFixture fixture(AnswerWith("Server-Limit", value));
  for (int i = 0; i < 10; ++i) {
    CHECK(fixture.Send().status == kOk);
  }
}

/// An upstream that says it is brittle, lets nobody wait and falls over once it
/// has turned more than `kMostRejections` requests away in a second.
struct BrittleUpstream {
  static constexpr size_t kMostRejections = 4;

  Task<void> Handle(http::Exchange& exchange) {
    http::Response response = SealedResponse(exchange.request(), "answer");
    response.headers.Add("Server-Brittle", std::to_string(kMostRejections));
    if (running >= free_slots) {
      RecordRejection();
      response.status = kUnavailable;
      response.headers.Add("X-Dandeliondyke-Not-Executed", "1");
    } else {
      ++running;
      co_await base::SleepFor(Millis(20));
      --running;
      ++served;
    }
    (void)co_await exchange.Respond(std::move(response));
  }

  void RecordRejection() {
    const Millis now = clock.Now();
    rejections.push_back(now);
    size_t in_second = 0;
    for (const Millis at : rejections) {
      in_second += now - at < Millis(1000) ? 1 : 0;
    }
    fell_over |= in_second > kMostRejections;
  }

  base::Clock clock = base::Clock::Monotonic();
  /// Slots that requests of other daemons leave.
  int free_slots = 1;
  int running = 0;
  int served = 0;
  bool fell_over = false;
  std::vector<Millis> rejections;
};

// The other daemons' requests have taken all slots, and no news of them has
// come yet.
TEST_CASE("a brittle upstream falls over as it rejects too many requests",
          "[reports][brittle]") {
  BrittleUpstream brittle;
  ReportFixture fixture([&brittle](http::Exchange& exchange) {
    return brittle.Handle(exchange);
  });
  // Eight slots and four rejections: three for each daemon.
  fixture.rank = {1, 4};
  CHECK(fixture.Send().status == kOk);
  brittle.free_slots = 0;
  constexpr int kRequests = 20;
  int answered = 0;
  for (int i = 0; i < kRequests; ++i) {
    fixture.StartRequest(CallerRequestFor("read", "b-" + std::to_string(i)),
                         [&answered](absl::StatusOr<http::Response> response) {
                           answered += response.ok() ? 1 : 0;
                         });
  }
  CHECK(
      fixture.RunUntil([&brittle] { return brittle.rejections.size() >= 3; }));
  brittle.free_slots = 2;
  CHECK(fixture.RunUntil([&] {
    fixture.placer->DispatchWaiting();
    return answered == kRequests;
  }));
  CHECK_FALSE(brittle.fell_over);
  // Those that were not rejected were served once there was room.
  CHECK(brittle.served > kRequests / 2);
}

TEST_CASE("an engine that says in an answer that it leaves keeps its streams",
          "[reports]") {
  ForwardFixture fixture;
  fixture.AddRoute("draft", RequestKind::kGeneration);
  fixture.Publish();
  fixture.AddUpstream(
      "u-1", "draft", [](http::Exchange& exchange) -> Task<void> {
        http::Response head = SealedResponse(exchange.request(), "");
        head.headers.Add("Server-Leaving", "1");
        (void)co_await exchange.StartStream(std::move(head));
        (void)co_await exchange.Write("id: 1\ndata: x\n\n");
        exchange.HoldOpen();
      });
  fixture.engines.on_copy = [](const base::RequestId&, bool) {
    return relay::KvCacheCopyResult{
        relay::KvCacheCopyOutcome::kTargetUnavailable, "", 1};
  };
  fixture.AddUpstream("u-2", "draft", Answer);
  // Makes the first engine the better choice.
  const routing::LoadReservation busy(fixture.loads, UpstreamId("u-2"),
                                      {1, 5000, 0, 0});
  http::Request request = CallerRequestFor("draft", "r-1", Millis(2000));
  request.headers.Add("X-Dandeliondyke-Token-Count", "100,50");
  fixture.StartRequest(std::move(request),
                       [](absl::StatusOr<http::Response>) {});
  CHECK(fixture.RunUntil([&fixture] { return fixture.engines.copies > 0; }));
}

}  // namespace
}  // namespace dandelion::test
