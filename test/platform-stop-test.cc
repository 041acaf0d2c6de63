#include <catch2/catch.hpp>

#include "test/daemon-support.h"

namespace dandelion::test {
namespace {

using base::Task;
using boost::asio::ip::tcp;
using nlohmann::json;

constexpr int kStreams = 20;

/// With an engine whose streams never end and a service with one slot that
/// never answers, in the test's process.
struct StopFixture : PlatformFixture {
  StopFixture()
      : engine(context.get_executor(), SendEventThenStall),
        service(context.get_executor(), Stall) {
    store.AppendRecord("config", MakeConfig().dump(), "keyed.op");
    store.AppendRecord("u-1", MakeUpstreamEntry("engines", engine, 100).dump(),
                       "keyed.servers");
    store.AppendRecord("u-2", MakeUpstreamEntry("services", service, 1).dump(),
                       "keyed.servers");
  }
  ~StopFixture() {
    engine.CloseAll();
    service.CloseAll();
    EndTasks();
  }

  /// Sends one event, then keeps the stream open without sending more.
  static Task<void> SendEventThenStall(http::Exchange& exchange) {
    http::Response head = SealedResponse(exchange.request(), "");
    head.headers.Add("Content-Type", "text/event-stream");
    (void)co_await exchange.StartStream(std::move(head));
    const std::string event = "id: 1\ndata: x\n\n";
    (void)co_await exchange.Write(event);
    exchange.HoldOpen();
  }

  /// Keeps the request open without answering it.
  static Task<void> Stall(http::Exchange& exchange) {
    exchange.HoldOpen();
    co_return;
  }

  static json MakeConfig() {
    return {{"version", 1},
            {"routes",
             {MakeRoute("draft", "stream", "engines"),
              MakeRoute("write", "non_idempotent", "services")}},
            {"backends",
             {{{"name", "engines"},
               {"engine", {{"slots", 100}, {"kv-cap-tokens", 1'000'000}}}},
              {{"name", "services"}}}}};
  }

  FakeUpstream engine;
  FakeUpstream service;
};

TEST_CASE("a generation that a stopping daemon takes is not cut at its end",
          "[stop]") {
  StopFixture fixture;
  RunningDaemon daemon(fixture);
  const auto earlier = daemon.SendUntilTaken("draft", fixture.engine);
  REQUIRE(daemon.BeginStop());
  // The caller expects ten tokens but allows for more than fit into the stop.
  Caller late(fixture.context);
  REQUIRE(late.SendRequest(daemon.address, 2, "draft",
                           "X-Dandeliondyke-Token-Count: 10,4000\r\n"
                           "X-Dandeliondyke-Length-Hint: 10\r\n"));
  CHECK(daemon.WaitForExit());
  CHECK(late.Status() == RunningDaemon::kRejected);
}

TEST_CASE("a request that is unanswered when the drain ends gets an answer",
          "[stop]") {
  StopFixture fixture;
  RunningDaemon daemon(fixture);
  const auto sent = daemon.SendUntilTaken("write", fixture.service);
  Caller waiting(fixture.context);
  REQUIRE(waiting.SendRequest(daemon.address, 2, "write"));
  REQUIRE(daemon.BeginStop());
  CHECK(daemon.WaitForExit());
  CHECK(fixture.service.seen().size() == 1);
  constexpr int kOutcomeUnknown = 502;
  CHECK(sent->Status() == kOutcomeUnknown);
  CHECK(waiting.Status() == RunningDaemon::kRejected);
}

// Guards against a daemon that crashes or hangs when it stops with streams
// still open, which happens if services are destroyed before the tasks that use
// them.
TEST_CASE("the daemon exits after cutting streams that outlast its stop grace",
          "[stop]") {
  StopFixture fixture;
  const json settings = fixture.MakeSettings();
  const std::string path = std::tmpnam(nullptr);
  std::ofstream(path) << settings.dump();
  DaemonProcess daemon(path, path + ".log");
  tcp::endpoint address;
  REQUIRE(
      http::ParseEndpoint(settings["callers"].get<std::string>(), &address));
  // Replaces callers that got a 503 until all have a stream: the daemon rejects
  // requests until it has read the configuration and the upstream from the
  // store.
  std::vector<std::unique_ptr<Caller>> callers;
  const auto all_streams_started = [&] {
    std::erase_if(callers, [](const auto& caller) {
      return caller->received().find("HTTP/1.1 503") != std::string::npos;
    });
    while (callers.size() < kStreams) {
      callers.push_back(std::make_unique<Caller>(fixture.context));
      if (!callers.back()->SendRequest(address,
                                       static_cast<int>(callers.size()))) {
        callers.pop_back();
        return false;
      }
    }
    return std::all_of(callers.begin(), callers.end(), [](const auto& caller) {
      return caller->HasReceivedEvent();
    });
  };
  REQUIRE(fixture.RunUntil(all_streams_started));
  daemon.SendSignal(SIGTERM);
  CHECK(fixture.RunUntil([&daemon] { return daemon.ExitCode().has_value(); }));
  CHECK(daemon.ExitCode() == 0);
  std::remove(path.c_str());
  std::remove((path + ".log").c_str());
}

}  // namespace
}  // namespace dandelion::test
