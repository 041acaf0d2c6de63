#include <catch2/catch.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/engine_control.h"
#include "platform/store_client.h"
#include "test/broken-answers-support.h"
#include "test/daemon-support.h"
#include "upstream/engine_client.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;
using fleet::RequestKind;
using nlohmann::json;

// The other places where answers are read.

/// Heads that are broken, one of each kind.
std::vector<std::string> BrokenHeads() {
  return {AnswerWithStatusLine("HTTP/1.1 000 OK", ""),
          AnswerWithLine("X Bad: 1", true, ""),
          RawHead("r-1", "Transfer-Encoding: gzip\r\n"),
          AnswerWithLine(" X-Bad: 1", false, "")};
}

TEST_CASE("a broken answer is repeated where that is allowed", "[answers]") {
  const std::string head = GENERATE(from_range(BrokenHeads()));
  CAPTURE(head);
  ForwardFixture fixture;
  PublishRetryableRoute(fixture, RequestKind::kIdempotent);
  const RawUpstream& first =
      fixture.AddRawUpstream("u-1", "draft", head + "abc");
  fixture.AddUpstream("u-2", "draft", RespondWithAnswer);
  const routing::LoadReservation busy(fixture.loads, base::UpstreamId("u-2"),
                                      {1, 5000, 0, 0});
  const auto response =
      fixture.SendRequest(CallerRequestFor("draft", "r-1", kLongTime));
  REQUIRE(response.ok());
  CHECK(response->status == 200);
  CHECK(response->body != "abc");
  CHECK(first.connections() == 1);
}

TEST_CASE("a broken answer to the resumption of a stream is not passed on",
          "[answers]") {
  const std::string head = GENERATE(from_range(BrokenHeads()));
  CAPTURE(head);
  ForwardFixture fixture;
  PublishRetryableRoute(fixture, RequestKind::kGeneration);
  fixture.AddRawUpstream(
      "u-1", "draft",
      RawHead("r-1", kChunked) + "f\r\n" + EventText(1) + "\r\n");
  const RawUpstream& second =
      fixture.AddRawUpstream("u-2", "draft", head + EventsUpTo(3));
  const routing::LoadReservation busy(fixture.loads, base::UpstreamId("u-2"),
                                      {1, 5000, 0, 0});
  CHECK_FALSE(
      fixture.SendRequest(CallerRequestFor("draft", "r-1", kLongTime)).ok());
  CHECK(second.connections() == 1);
}

TEST_CASE("a resumed stream does not have the length of the answer before",
          "[answers]") {
  ForwardFixture fixture;
  PublishRetryableRoute(fixture, RequestKind::kGeneration);
  fixture.AddRawUpstream(
      "u-1", "draft", RawHead("r-1", "Content-Length: 45\r\n") + EventText(1));
  // Less and more than what is left of the length.
  const std::string rest =
      GENERATE(EventText(2), EventText(2) + EventText(3) + EventText(4));
  fixture.AddRawUpstream("u-2", "draft", RawAnswerTo("r-1", rest));
  const routing::LoadReservation busy(fixture.loads, base::UpstreamId("u-2"),
                                      {1, 5000, 0, 0});
  const auto response =
      fixture.SendRequest(CallerRequestFor("draft", "r-1", kLongTime));
  REQUIRE(response.ok());
  CHECK(response->body == EventText(1) + rest);
}

TEST_CASE("a broken answer fails a fetch and is no proof that nothing was sent",
          "[answers]") {
  const std::string head = GENERATE(from_range(BrokenHeads()));
  CAPTURE(head);
  ForwardFixture fixture;
  const RawUpstream upstream(fixture.executor(), {head + "abc"});
  http::Client client;
  const auto result =
      RunTask(fixture, client.Fetch(upstream.address(), http::Request(), {}));
  REQUIRE(result);
  CHECK_FALSE(result->response.ok());
  CHECK(result->may_have_been_sent);
}

TEST_CASE("a broken answer of the store is an error", "[answers]") {
  const std::string head = GENERATE(from_range(BrokenHeads()));
  CAPTURE(head);
  ForwardFixture fixture;
  const RawUpstream upstream(fixture.executor(),
                             {head + "{\"end\": 1, \"items\": []}"});
  http::Client client;
  platform::StoreClient store(client,
                              [&upstream] { return upstream.address(); });
  const auto update =
      RunTask(fixture, store.ReadNewest(store::Topic::kOperator));
  REQUIRE(update);
  CHECK_FALSE(update->ok());
}

TEST_CASE("a broken report shows no upstream that is reachable", "[answers]") {
  const std::string head = GENERATE(from_range(BrokenHeads()));
  CAPTURE(head);
  ForwardFixture fixture;
  const RawUpstream upstream(fixture.executor(), {head + "{}"});
  http::Client client;
  platform::HttpEngineControl control(client);
  const auto report =
      RunTask(fixture, control.FetchEngineReport(upstream.address()));
  REQUIRE(report);
  CHECK_FALSE(report->ok());
  http::ConnectionGroup streams;
  upstream::EngineClient engines(client, streams, base::HostId("h-1"));
  const auto load =
      RunTask(fixture, engines.FetchLoadReport(upstream.address()));
  REQUIRE(load);
  CHECK_FALSE(load->ok());
}

TEST_CASE("a broken answer of an engine is no refusal", "[answers]") {
  const std::string head = GENERATE(from_range(BrokenHeads()));
  CAPTURE(head);
  ForwardFixture fixture;
  const RawUpstream upstream(
      fixture.executor(), {std::string(head).insert(head.find("\r\n") + 2,
                                                    "X-Request-Id: r-1\r\n") +
                           "id: 0\ndata: {\"text\": \"a\"}\n\n"});
  http::Client client;
  http::ConnectionGroup streams;
  upstream::EngineClient engines(client, streams, base::HostId("h-1"));
  upstream::GenerationRequest request;
  request.request = base::RequestId("r-1");
  const auto opened =
      RunTask(fixture, engines.Start(upstream.address(), std::move(request)));
  REQUIRE(opened);
  CHECK_FALSE(opened->stream.ok());
  // What was not rejected may run, so that it is not sent again blindly.
  CHECK_FALSE(opened->rejected);
  CHECK(opened->may_have_been_sent);
}

TEST_CASE("a broken answer of a daemon is an error for its operator",
          "[answers]") {
  const std::string head = GENERATE(from_range(BrokenHeads()));
  CAPTURE(head);
  ForwardFixture fixture;
  const RawUpstream daemon(fixture.executor(),
                           {head + "data: abc\n\ndata: [DONE]\n\n"});
  const std::string address =
      std::string(kLoopback) + ":" + std::to_string(daemon.address().port());
  std::vector<std::string> command = {DANDELION_BUILD "/dandelionctl",
                                      "send",
                                      "--to",
                                      address,
                                      "--organisation",
                                      "o-1"};
  // A stream is asked for up to 20 times, so this is tried with one head.
  if (head == BrokenHeads().front() && GENERATE(false, true)) {
    command.insert(command.end(), {"--prompt", "question", "--stream"});
  } else {
    command.insert(command.end(), {"--path", "/write/1", "--body", "{}"});
  }
  const std::string output_path = std::tmpnam(nullptr);
  DaemonProcess tool(std::move(command), "", output_path);
  REQUIRE(fixture.RunUntil([&tool] { return tool.ExitCode().has_value(); }));
  CHECK(tool.ExitCode() == 1);
  std::ifstream file(output_path);
  const std::string output(std::istreambuf_iterator<char>(file), {});
  CHECK(output.find("abc") == std::string::npos);
  std::remove(output_path.c_str());
}

// A daemon as a process of its own, whose reads and writes happen while the
// upstream's do.

constexpr int kUploads = 6;

/// A daemon process whose upstreams all send the same bytes.
struct DaemonFixture : PlatformFixture {
  explicit DaemonFixture(const RawAnswer& answer) {
    // More than `kUploads`, as an upstream whose answer broke is avoided for a
    // while.
    constexpr int kUpstreams = 8;
    store.AppendRecord(
        "config",
        json({{"version", 1},
              {"routes",
               {MakeRoute(kAnswerRoute, "non_idempotent", "services")}},
              {"backends", {{{"name", "services"}}}}})
            .dump(),
        "keyed.op");
    for (int i = 0; i < kUpstreams; ++i) {
      upstreams.push_back(
          std::make_unique<RawUpstream>(context.get_executor(), answer));
      store.AppendRecord(
          "u-" + std::to_string(i),
          MakeUpstreamEntry("services", upstreams.back()->address(), 10).dump(),
          "keyed.servers");
    }
    daemon = std::make_unique<RunningDaemon>(*this);
  }
  ~DaemonFixture() {
    daemon.reset();
    for (const auto& upstream : upstreams) {
      upstream->Close();
    }
    EndTasks();
  }

  /// Returns all bytes that the caller of an upload gets; empty if none come.
  std::string Upload() {
    const auto received = std::make_shared<std::optional<std::string>>();
    base::Spawn(context.get_executor(),
                StoreResult(UploadUntilTaken(daemon->address), received));
    RunUntil([&received] { return received->has_value(); });
    return received->value_or("");
  }

  /// Repeats an upload that is rejected, as all are until the daemon has read
  /// its configuration.
  static Task<std::string> UploadUntilTaken(tcp::endpoint daemon) {
    const std::string request =
        "POST /write/1 HTTP/1.1\r\nHost: front.example\r\n"
        "X-Dandeliondyke-Request-Id: r-1\r\nConnection: close\r\n"
        "Content-Length: " +
        std::to_string(kLongUpload) + "\r\n\r\n" +
        std::string(kLongUpload, 'q');
    std::string received;
    while (received.empty() || received.starts_with("HTTP/1.1 503")) {
      co_await base::SleepFor(Millis(5));
      tcp::socket socket(co_await boost::asio::this_coro::executor);
      co_await socket.async_connect(daemon, base::kNoThrow);
      co_await boost::asio::async_write(socket, boost::asio::buffer(request),
                                        base::kNoThrow);
      received.clear();
      co_await boost::asio::async_read(
          socket, boost::asio::dynamic_buffer(received), base::kNoThrow);
    }
    co_return received;
  }

  std::vector<std::unique_ptr<RawUpstream>> upstreams;
  std::unique_ptr<RunningDaemon> daemon;
};

TEST_CASE("a daemon process passes no broken answer to an upload on",
          "[answers]") {
  RawAnswer answer{RawHead("r-1", kUnframed) + "part"};
  SECTION("it is reset while the upload is written") {
    answer.reset = true;
  }
  SECTION("its server closes the connection while the upload is written") {}
  SECTION("its status code is invalid") {
    answer.bytes = AnswerWithStatusLine("HTTP/1.1 000 OK", "part");
    answer.read_rest = true;
  }
  DaemonFixture fixture(answer);
  for (int i = 0; i < kUploads; ++i) {
    const std::string received = fixture.Upload();
    CHECK(received.starts_with("HTTP/1.1 502 "));
    CHECK(received.find("part") == std::string::npos);
  }
}

TEST_CASE("a daemon process passes early answers that are whole on",
          "[answers]") {
  RawAnswer answer{RawHead("r-1", kUnframed) + "whole"};
  SECTION("its server reads the upload to its end") {
    answer.shut_down = true;
    answer.read_rest = true;
  }
  SECTION("its server ends its side, then resets the connection") {
    answer.shut_down = true;
    answer.reset = true;
  }
  SECTION("it has a length, and its server closes the connection") {
    answer.bytes = RawAnswerTo("r-1", "whole");
  }
  DaemonFixture fixture(answer);
  for (int i = 0; i < kUploads; ++i) {
    const std::string received = fixture.Upload();
    CHECK(received.starts_with("HTTP/1.1 200 "));
    CHECK(received.ends_with("\r\n\r\nwhole"));
  }
}

}  // namespace
}  // namespace dandelion::test
