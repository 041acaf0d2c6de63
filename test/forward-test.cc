#include <catch2/catch.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "test/forward-support.h"
#include "test/migration-fixture.h"

namespace dandelion::test {
namespace {

using base::Task;
using fleet::RequestKind;

TEST_CASE("a plain request and its answer are passed on completely",
          "[forward]") {
  ForwardFixture fixture("read", RequestKind::kIdempotent);
  FakeUpstream& upstream =
      fixture.AddUpstream("u-1", "read", RespondWithAnswer);
  http::Request request = CallerRequestFor("read", "r-1");
  request.headers.Add("Kv-From", "127.0.0.1:1/stolen");
  request.headers.Add("X-Dandeliondyke-Tenant", "somebody");
  const http::Response response = fixture.SendRequestOrThrow(request);
  CHECK(response.status == 200);
  CHECK(response.body == "answer");
  CHECK(response.headers.Find("X-Dandeliondyke-Response-Seal") == "seal");
  REQUIRE(upstream.seen().size() == 1);
  const http::Request& seen = upstream.seen()[0];
  CHECK(seen.method == "POST");
  CHECK(seen.target == "/read/1");
  CHECK(seen.body == "question");
  CHECK(seen.headers.Find("Host") == "front.example");
  CHECK(seen.headers.Find("X-Dandeliondyke-Expect-Instance") == "u-1");
  CHECK_FALSE(seen.headers.Has("Kv-From"));
  CHECK_FALSE(seen.headers.Has("X-Dandeliondyke-Tenant"));
}

Task<void> RespondWithError(http::Exchange& exchange) {
  http::Response response = SealedResponse(exchange.request(), "failure");
  response.status = 500;
  (void)co_await exchange.Respond(std::move(response));
}

TEST_CASE("a failure is passed to the caller if there is no other upstream",
          "[forward]") {
  ForwardFixture fixture("read", RequestKind::kIdempotent, 2);
  fixture.AddUpstream("u-1", "read", RespondWithError);
  const http::Response response =
      fixture.SendRequestOrThrow(CallerRequestFor("read", "r-1"));
  CHECK(response.status == 500);
  CHECK(response.body == "failure");
  CHECK(response.headers.Find("X-Dandeliondyke-Response-Seal") == "seal");
}

TEST_CASE("an idempotent request that failed is retried on another upstream",
          "[forward]") {
  ForwardFixture fixture("read", RequestKind::kIdempotent, 2);
  FakeUpstream& first = fixture.AddUpstream("u-1", "read", RespondWithError);
  FakeUpstream& second = fixture.AddUpstream("u-2", "read", RespondWithAnswer);
  const http::Response response =
      fixture.SendRequestOrThrow(CallerRequestFor("read", "r-1"));
  CHECK(response.status == 200);
  CHECK(first.seen().size() == 1);
  CHECK(second.seen().size() == 1);
}

TEST_CASE("a failure of a non-idempotent request is passed on, not retried",
          "[forward]") {
  ForwardFixture fixture("write", RequestKind::kNonIdempotent, 2);
  FakeUpstream& first = fixture.AddUpstream("u-1", "write", RespondWithError);
  FakeUpstream& second = fixture.AddUpstream("u-2", "write", RespondWithAnswer);
  const http::Response response =
      fixture.SendRequestOrThrow(CallerRequestFor("write", "r-1"));
  CHECK(response.status == 500);
  CHECK(first.seen().size() + second.seen().size() == 1);
}

Task<void> AbortConnection(http::Exchange& exchange) {
  exchange.Abort();
  co_return;
}

TEST_CASE("a non-idempotent request whose answer is lost is not retried",
          "[forward]") {
  ForwardFixture fixture("write", RequestKind::kNonIdempotent, 3);
  FakeUpstream& first = fixture.AddUpstream("u-1", "write", AbortConnection);
  FakeUpstream& second = fixture.AddUpstream("u-2", "write", AbortConnection);
  const http::Response response =
      fixture.SendRequestOrThrow(CallerRequestFor("write", "r-1"));
  // 503 would state that the request did not run.
  CHECK(response.status == 502);
  CHECK(first.seen().size() + second.seen().size() == 1);
}

TEST_CASE("a request that did not run is rejected with a Retry-After",
          "[forward]") {
  ForwardFixture fixture("write", RequestKind::kNonIdempotent, 1);
  fixture.AddUpstream("u-1", "write", RejectNotRun);
  const http::Response response =
      fixture.SendRequestOrThrow(CallerRequestFor("write", "r-1"));
  CHECK(response.status == 503);
  CHECK(response.headers.Has("Retry-After"));
  CHECK_FALSE(response.headers.Has("X-Dandeliondyke-Response-Seal"));
}

TEST_CASE("an answer without the upstream's seal is not passed on",
          "[forward]") {
  ForwardFixture fixture("write", RequestKind::kNonIdempotent);
  fixture.AddUpstream("u-1", "write",
                      [](http::Exchange& exchange) -> Task<void> {
                        http::Response response;
                        response.body = "forged";
                        (void)co_await exchange.Respond(std::move(response));
                      });
  const http::Response response =
      fixture.SendRequestOrThrow(CallerRequestFor("write", "r-1"));
  CHECK(response.status == 502);
  CHECK(response.body.find("forged") == std::string::npos);
}

TEST_CASE("an answer with a content encoding is not passed on", "[forward]") {
  ForwardFixture fixture("write", RequestKind::kNonIdempotent);
  fixture.AddUpstream(
      "u-1", "write", [](http::Exchange& exchange) -> Task<void> {
        http::Response response = SealedResponse(exchange.request(), "packed");
        response.headers.Add("Content-Encoding", "gzip");
        (void)co_await exchange.Respond(std::move(response));
      });
  const http::Response response =
      fixture.SendRequestOrThrow(CallerRequestFor("write", "r-1"));
  CHECK(response.status == 502);
  CHECK(response.body.find("packed") == std::string::npos);
}

TEST_CASE("an answer with the ID of another request is not passed on",
          "[forward]") {
  ForwardFixture fixture("write", RequestKind::kNonIdempotent);
  const bool own_answer_follows = GENERATE(true, false);
  std::string answers = RawAnswerTo("r-0", "somebody else's");
  if (own_answer_follows) {
    answers += RawAnswerTo("r-1", "own");
  }
  fixture.AddRawUpstream("u-1", "write", answers);
  const http::Response response =
      fixture.SendRequestOrThrow(CallerRequestFor("write", "r-1"));
  CHECK(response.status == (own_answer_follows ? 200 : 502));
  CHECK(response.body.find("somebody") == std::string::npos);
}

TEST_CASE("an upstream is told how much time is left", "[forward]") {
  ForwardFixture fixture;
  fixture.AddRoute("write", RequestKind::kNonIdempotent).timeout =
      base::Millis(3000);
  fixture.Publish();
  FakeUpstream& upstream =
      fixture.AddUpstream("u-1", "write", RespondWithAnswer);
  const base::Millis deadline(GENERATE(1000, 60'000));
  REQUIRE(fixture.SendRequest(CallerRequestFor("write", "r-1", deadline)).ok());
  REQUIRE(upstream.seen().size() == 1);
  const http::Headers& headers = upstream.seen()[0].headers;
  CHECK(headers.Count("X-Dandeliondyke-Deadline-Ms") == 1);
  const int64_t sent_ms =
      std::stoll(std::string(headers.Find("X-Dandeliondyke-Deadline-Ms")));
  CHECK(sent_ms > 0);
  // The route's timeout limits the caller's deadline.
  CHECK(sent_ms <= std::min(deadline, base::Millis(3000)).count());
}

TEST_CASE("without a configuration a request is answered with 503",
          "[forward]") {
  ForwardFixture fixture;
  const http::Response response =
      fixture.SendRequestOrThrow(CallerRequestFor("read", "r-1"));
  CHECK(response.status == 503);
}

TEST_CASE("a request with a duplicate header is rejected", "[forward]") {
  ForwardFixture fixture("read", RequestKind::kIdempotent);
  FakeUpstream& upstream =
      fixture.AddUpstream("u-1", "read", RespondWithAnswer);
  http::Request request = CallerRequestFor("read", "r-1");
  request.headers.Add("X-Dandeliondyke-Request-Id", "r-2");
  const http::Response response = fixture.SendRequestOrThrow(request);
  CHECK(response.status == 400);
  CHECK(upstream.seen().empty());
}

TEST_CASE("all events of a stream are passed on", "[stream]") {
  ForwardFixture fixture("draft", RequestKind::kGeneration);
  fixture.AddUpstream("u-1", "draft", StreamUpTo(5, true));
  const http::Response response =
      fixture.SendRequestOrThrow(CallerRequestFor("draft", "r-1"));
  CHECK(response.body == EventsUpTo(5));
  CHECK(fixture.loads.own_loads().empty());
}

TEST_CASE(
    "a resumable stream continues on another engine after its last complete "
    "event",
    "[stream]") {
  ForwardFixture fixture;
  fleet::Route& route = fixture.AddRoute("check", RequestKind::kGeneration);
  route.resumable = true;
  route.max_upstreams = 2;
  fixture.Publish();
  int calls = 0;
  const auto handler = [&calls](http::Exchange& exchange) -> Task<void> {
    const bool first = ++calls == 1;
    const http::Handler stream = StreamUpTo(first ? 2 : 5, !first);
    co_await stream(exchange);
  };
  fixture.AddUpstream("u-1", "check", handler);
  fixture.AddUpstream("u-2", "check", handler);
  const http::Response response =
      fixture.SendRequestOrThrow(CallerRequestFor("check", "r-1"));
  CHECK(response.body == EventsUpTo(5));
  CHECK(calls == 2);
}

TEST_CASE("a generation is migrated within one answer when its engine leaves",
          "[moving]") {
  MigrationFixture fixture;
  fixture.engines.on_copy = [&fixture](const base::RequestId&,
                                       bool stop_generation) {
    if (stop_generation) {
      fixture.pausable.Break();
    }
    return relay::KvCacheCopyResult{relay::KvCacheCopyOutcome::kCopied, "h-1",
                                    2};
  };
  fixture.Leave();
  REQUIRE(fixture.RunUntil([&fixture] { return fixture.done; }));
  REQUIRE(fixture.answer.ok());
  CHECK(fixture.answer->body == EventsUpTo(6));
  REQUIRE(fixture.target->seen().size() == 1);
  const http::Request& resumed = fixture.target->seen()[0];
  CHECK(resumed.headers.Find("Last-Event-Id") == "2");
  CHECK(resumed.headers.Find("Kv-From").ends_with("/h-1"));
  CHECK(fixture.engines.copies == 2);
  CHECK(fixture.engines.freed_handles.empty());
  CHECK(fixture.loads.own_loads().empty());
}

TEST_CASE("a generation continues from its copy if the final copy fails",
          "[moving]") {
  MigrationFixture fixture;
  fixture.engines.on_copy = [&fixture](const base::RequestId&, bool) {
    if (fixture.engines.copies == 1) {
      return relay::KvCacheCopyResult{relay::KvCacheCopyOutcome::kCopied, "h-1",
                                      2};
    }
    fixture.pausable.Break();
    return relay::KvCacheCopyResult();
  };
  fixture.Leave();
  REQUIRE(fixture.RunUntil([&fixture] { return fixture.done; }));
  REQUIRE(fixture.answer.ok());
  CHECK(fixture.answer->body == EventsUpTo(6));
}

TEST_CASE(
    "a generation that was stopped continues at its engine if the target "
    "refuses the copy",
    "[moving]") {
  MigrationFixture fixture;
  fixture.on_target_request = RejectNotRun;
  fixture.engines.on_copy = [&fixture](const base::RequestId&,
                                       bool stop_generation) {
    if (stop_generation) {
      fixture.pausable.Break();
    }
    return relay::KvCacheCopyResult{relay::KvCacheCopyOutcome::kCopied, "h-1",
                                    2};
  };
  fixture.Leave();
  REQUIRE(fixture.RunUntil([&fixture] { return fixture.done; }));
  REQUIRE(fixture.answer.ok());
  CHECK(fixture.answer->body == EventsUpTo(6));
  CHECK(fixture.target->seen().size() == 1);
}

TEST_CASE("a KV cache copy that was not used is freed", "[moving]") {
  MigrationFixture fixture;
  fixture.engines.on_copy = [&fixture](const base::RequestId&,
                                       bool stop_generation) {
    fixture.pausable.Resume();
    return stop_generation
               ? relay::
                     KvCacheCopyResult{relay::KvCacheCopyOutcome::kNoGeneration,
                                       "", 0}
               : relay::KvCacheCopyResult{relay::KvCacheCopyOutcome::kCopied,
                                          "h-1", 2};
  };
  fixture.Leave();
  REQUIRE(fixture.RunUntil([&fixture] { return fixture.done; }));
  REQUIRE(fixture.answer.ok());
  CHECK(fixture.answer->body == EventsUpTo(6));
  CHECK(fixture.target->seen().empty());
  CHECK(fixture.RunUntil(
      [&fixture] { return !fixture.engines.freed_handles.empty(); }));
}

TEST_CASE("a caller's disconnect cancels the upstream request", "[forward]") {
  ForwardFixture fixture("draft", RequestKind::kGeneration);
  PausableStream pausable(fixture.executor());
  bool caller_gone = false;
  bool ended = false;
  const http::Handler stream = pausable.Handler(1, 9);
  fixture.AddUpstream(
      "u-1", "draft", [&](http::Exchange& exchange) -> Task<void> {
        exchange.OnCallerDisconnect([&caller_gone] { caller_gone = true; });
        co_await stream(exchange);
        ended = true;
      });
  boost::asio::ip::tcp::socket caller(fixture.executor());
  caller.connect({boost::asio::ip::address_v4::loopback(), fixture.port()});
  const std::string request =
      "GET /draft/1 HTTP/1.1\r\nHost: front.example\r\n"
      "X-Dandeliondyke-Request-Id: r-1\r\n\r\n";
  boost::asio::write(caller, boost::asio::buffer(request));
  REQUIRE(fixture.RunUntil([&pausable] { return pausable.is_paused; }));
  caller.close();
  CHECK(fixture.RunUntil([&caller_gone] { return caller_gone; }));
  pausable.Break();
  CHECK(fixture.RunUntil([&ended] { return ended; }));
}

TEST_CASE("a request to a hung upstream is answered at the timeout",
          "[forward]") {
  ForwardFixture fixture;
  fixture.AddRoute("write", RequestKind::kNonIdempotent).timeout =
      base::Millis(100);
  fixture.Publish();
  fixture.AddUpstream("u-1", "write",
                      [](http::Exchange& exchange) -> Task<void> {
                        exchange.HoldOpen();
                        co_return;
                      });
  const http::Response response =
      fixture.SendRequestOrThrow(CallerRequestFor("write", "r-1"));
  CHECK(response.status == 504);
}

TEST_CASE(
    "a request with both Content-Length and Transfer-Encoding is rejected",
    "[forward]") {
  ForwardFixture fixture("read", RequestKind::kIdempotent);
  FakeUpstream& upstream =
      fixture.AddUpstream("u-1", "read", RespondWithAnswer);
  boost::asio::ip::tcp::socket caller(fixture.executor());
  caller.connect({boost::asio::ip::address_v4::loopback(), fixture.port()});
  const std::string request =
      "POST /read/1 HTTP/1.1\r\nHost: front.example\r\n"
      "X-Dandeliondyke-Request-Id: r-1\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  boost::asio::write(caller, boost::asio::buffer(request));
  std::string answer;
  bool done = false;
  boost::asio::async_read(caller, boost::asio::dynamic_buffer(answer),
                          [&done](auto, size_t) { done = true; });
  REQUIRE(fixture.RunUntil([&done] { return done; }));
  CHECK(answer.starts_with("HTTP/1.1 400"));
  CHECK(upstream.seen().empty());
}

TEST_CASE(
    "an engine's failure is passed to the caller if there is no other engine",
    "[stream]") {
  ForwardFixture fixture;
  fleet::Route& route = fixture.AddRoute("check", RequestKind::kGeneration);
  route.resumable = true;
  route.max_upstreams = 2;
  fixture.Publish();
  fixture.AddUpstream("u-1", "check", RespondWithError);
  const http::Response response =
      fixture.SendRequestOrThrow(CallerRequestFor("check", "r-1"));
  CHECK(response.status == 500);
  CHECK(response.headers.Has("X-Dandeliondyke-Response-Seal"));
}

TEST_CASE(
    "a stream that can't be resumed is truncated when its engine breaks it",
    "[stream]") {
  ForwardFixture fixture("draft", RequestKind::kGeneration, 2);
  FakeUpstream& first =
      fixture.AddUpstream("u-1", "draft", StreamUpTo(2, false));
  FakeUpstream& second =
      fixture.AddUpstream("u-2", "draft", StreamUpTo(2, false));
  const auto response = fixture.SendRequest(CallerRequestFor("draft", "r-1"));
  CHECK_FALSE(response.ok());
  CHECK(first.seen().size() + second.seen().size() == 1);
}

TEST_CASE("a request that waited into a stop is not sent", "[forward]") {
  const RequestKind kind =
      GENERATE(RequestKind::kNonIdempotent, RequestKind::kGeneration);
  ForwardFixture fixture;
  // No wait ends by itself within this test.
  fixture.AddRoute("work", kind).answer_target = base::Millis(60'000);
  fixture.Publish();
  absl::StatusOr<http::Response> response = absl::UnknownError("no answer");
  bool done = false;
  fixture.StartRequest(CallerRequestFor("work", "r-1", base::Millis(60'000)),
                       [&](absl::StatusOr<http::Response> received) {
                         response = std::move(received);
                         done = true;
                       });
  REQUIRE(fixture.RunUntil([&] { return fixture.placer->waiting() == 1; }));
  // An upstream is free only when it is too late to finish the request.
  fixture.stop.Set(fixture.Now() + base::Millis(100));
  const FakeUpstream& upstream =
      fixture.AddUpstream("u-1", "work", RespondWithAnswer);
  const bool is_told = GENERATE(true, false);
  if (is_told) {
    fixture.forwarder().RejectUnsendable();
  } else {
    fixture.placer->DispatchWaiting();
  }
  REQUIRE(fixture.RunUntil([&] { return done; }));
  REQUIRE(response.ok());
  CHECK(response->status == 503);
  CHECK(response->headers.Has("Retry-After"));
  CHECK(upstream.seen().empty());
}

TEST_CASE("a request that is unanswered at the end of a stop gets an answer",
          "[forward]") {
  const RequestKind kind =
      GENERATE(RequestKind::kNonIdempotent, RequestKind::kGeneration);
  ForwardFixture fixture;
  // No wait ends by itself within this test.
  fixture.AddRoute("work", kind).answer_target = base::Millis(60'000);
  fixture.Publish();
  const bool is_sent = GENERATE(true, false);
  const FakeUpstream* upstream = nullptr;
  if (is_sent) {
    upstream = &fixture.AddUpstream("u-1", "work",
                                    [](http::Exchange& exchange) -> Task<void> {
                                      exchange.HoldOpen();
                                      co_return;
                                    });
  }
  absl::StatusOr<http::Response> response = absl::UnknownError("no answer");
  bool done = false;
  fixture.StartRequest(CallerRequestFor("work", "r-1", base::Millis(60'000)),
                       [&](absl::StatusOr<http::Response> received) {
                         response = std::move(received);
                         done = true;
                       });
  REQUIRE(fixture.RunUntil([&] {
    return is_sent ? upstream->seen().size() == 1
                   : fixture.placer->waiting() == 1;
  }));
  fixture.forwarder().EndUnanswered();
  REQUIRE(fixture.RunUntil([&] { return done; }));
  REQUIRE(response.ok());
  // 503 states that the request did not run.
  CHECK(response->status == (is_sent ? 502 : 503));
}

TEST_CASE("closing idle connections spares those whose request has not ended",
          "[forward]") {
  boost::asio::io_context context;
  http::Server server(context.get_executor(), http::ServerLimits(),
                      RespondWithAnswer);
  const boost::asio::ip::tcp::endpoint loopback(
      boost::asio::ip::address_v4::loopback(), 0);
  REQUIRE(server.BindAndAccept(loopback).ok());
  boost::asio::ip::tcp::socket caller(context);
  caller.connect({loopback.address(), server.port()});
  while (server.connections() == 0) {
    context.run_one();
  }
  const auto run_ready_tasks = [&context] {
    while (context.poll() > 0) {
    }
  };
  const std::string request = "GET /1 HTTP/1.1\r\nHost: front.example\r\n\r\n";
  // Nothing of the first request has arrived yet, or its first half.
  const size_t arrived = GENERATE(size_t{0}, size_t{20});
  boost::asio::write(caller, boost::asio::buffer(request, arrived));
  run_ready_tasks();
  server.CloseIdle();
  boost::system::error_code error;
  boost::asio::write(caller, boost::asio::buffer(request.substr(arrived)),
                     error);
  std::string received;
  bool done = false;
  boost::asio::async_read_until(
      caller, boost::asio::dynamic_buffer(received), "answer",
      [&](boost::system::error_code read_error, size_t) {
        error = read_error;
        done = true;
      });
  while (!done) {
    context.run_one();
  }
  run_ready_tasks();
  CHECK_FALSE(error);
  CHECK(received.starts_with("HTTP/1.1 200"));
  // Between two requests the connection is idle.
  server.CloseIdle();
  run_ready_tasks();
  CHECK(server.connections() == 0);
  server.StopAccepting();
  run_ready_tasks();
}

}  // namespace
}  // namespace dandelion::test
