#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include "platform/engine_control.h"
#include "test/daemon-support.h"

namespace dandelion::test {
namespace {

using base::RequestId;
using base::Task;
using boost::asio::ip::tcp;
using nlohmann::json;

constexpr int kOk = 200;

// JSON within the length of a record that is nested deeper than any stack.
std::string NestedArrays() {
  constexpr size_t kDepth = 100'000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

// Replaces the value of `field` by the JSON text `value`.
std::string WithField(json object,
                      const std::string& field,
                      const std::string& value) {
  object[field] = "@";
  std::string text = object.dump();
  text.replace(text.find("\"@\""), 3, value);
  return text;
}

/// A daemon process in front of one upstream, which it knows from a store that
/// others write to.
struct OutsideFixture : PlatformFixture {
  OutsideFixture() : upstream(context.get_executor(), RespondWithAnswer) {
    store.AppendRecord(
        "config",
        json({{"version", 1},
              {"routes", {MakeRoute("draft", "idempotent", "pool")}},
              {"backends", {{{"name", "pool"}}}}})
            .dump(),
        "keyed.op");
  }
  ~OutsideFixture() {
    daemon.reset();
    upstream.CloseAll();
    EndTasks();
  }

  void List(const std::string& id) {
    store.AppendRecord(id, MakeUpstreamEntry("pool", upstream, 10).dump());
  }
  void StartDaemon() { daemon = std::make_unique<RunningDaemon>(*this); }
  /// Whether the daemon runs and the upstream is reached through it.
  bool Serves() {
    const auto caller = daemon->SendUntilTaken("draft", upstream);
    return RunUntil([&] { return caller->Status() != 0; }) &&
           caller->Status() == kOk && !daemon->process->ExitCode();
  }

  FakeUpstream upstream;
  std::unique_ptr<RunningDaemon> daemon;
};

TEST_CASE("a deeply nested version in the store ends the daemon", "[outside]") {
  OutsideFixture fixture;
  const json entry =
      OutsideFixture::MakeUpstreamEntry("pool", fixture.upstream, 10);
  fixture.store.AppendRecord("nested",
                             WithField(entry, "version", NestedArrays()));
  const json order = {{"backend", "pool"}, {"over-s", 30}};
  fixture.store.AppendRecord(
      "rollout/nested", WithField(order, "to", NestedArrays()), "keyed.op");
  fixture.List("u-1");
  fixture.StartDaemon();
  CHECK(fixture.Serves());
  CHECK(fixture.daemon->HasLogged("store_record_refused"));
  CHECK(fixture.daemon->HasLogged("config_rejected"));
}

/// Answers any request with `body`.
http::Handler AnswerWith(std::string body) {
  return [body = std::move(body)](http::Exchange& exchange) -> Task<void> {
    (void)co_await exchange.Respond(http::JsonResponse(kOk, body));
  };
}

/// The control of one engine that answers with a fixed body.
struct ControlFixture {
  explicit ControlFixture(std::string body)
      : engine(context.get_executor(), AnswerWith(std::move(body))) {}
  ~ControlFixture() {
    engine.CloseAll();
    context.restart();
    context.run_for(std::chrono::milliseconds(50));
  }

  /// Runs `task` to its end and returns its result.
  template <typename Result>
  Result Run(Task<Result> task) {
    std::optional<Result> result;
    base::Spawn(
        context.get_executor(),
        [](Task<Result> inner, std::optional<Result>* out) -> Task<void> {
          *out = co_await std::move(inner);
        }(std::move(task), &result));
    context.restart();
    while (!result) {
      context.run_one();
    }
    return *std::move(result);
  }
  relay::KvCacheCopyResult Copy() {
    return Run(control.CopyKvCache(engine.address(), RequestId("r"),
                                   engine.address(), false,
                                   base::Millis(5000)));
  }

  boost::asio::io_context context;
  http::Client client;
  platform::HttpEngineControl control{client};
  FakeUpstream engine;
};

TEST_CASE("a deeply nested answer of an engine ends the daemon", "[outside]") {
  const auto body = [](const std::string& field) {
    return WithField({{"created-rev", 3}}, field, NestedArrays());
  };
  CHECK(ControlFixture(body("handle")).Copy().handle.empty());
  for (const std::string field : {"state", "leaves_ms"}) {
    CAPTURE(field);
    ControlFixture fixture(body(field));
    const auto report = fixture.Run(
        fixture.control.FetchEngineReport(fixture.engine.address()));
    REQUIRE(report.ok());
    CHECK_FALSE(report->leaving);
  }
}

}  // namespace
}  // namespace dandelion::test
