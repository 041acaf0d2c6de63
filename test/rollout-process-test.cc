#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include "test/daemon-support.h"

namespace dandelion::test {
namespace {

using base::Task;
using nlohmann::json;

constexpr int kFailed = 500;
constexpr size_t kCallers = 8;

http::Handler AnswerWithStatus(int status) {
  return [status](http::Exchange& exchange) -> Task<void> {
    http::Response response = SealedResponse(exchange.request(), "answer");
    response.status = status;
    (void)co_await exchange.Respond(std::move(response));
  };
}

/// A daemon process in front of a service of two versions, and callers that
/// send one request after the other.
struct RolloutFixture : PlatformFixture {
  explicit RolloutFixture(int target_status) {
    json route = MakeRoute("read", "idempotent", "services");
    route["max-attempts"] = 2;
    store.AppendRecord("config",
                       json({{"version", 1},
                             {"routes", {route}},
                             {"backends", {{{"name", "services"}}}}})
                           .dump(),
                       "keyed.op");
    for (int i = 0; i < 4; ++i) {
      const bool is_target = i % 2 == 1;
      auto& versions = is_target ? targets : olds;
      versions.push_back(std::make_unique<FakeUpstream>(
          context.get_executor(),
          AnswerWithStatus(is_target ? target_status : 200)));
      json entry = MakeUpstreamEntry("services", *versions.back(), 100);
      entry["version"] = is_target ? 2 : 1;
      store.AppendRecord("u-" + std::to_string(i), entry.dump(),
                         "keyed.servers");
    }
    daemon = std::make_unique<RunningDaemon>(*this);
    for (size_t i = 0; i < kCallers; ++i) {
      base::Spawn(context.get_executor(), SendRequests());
    }
  }
  ~RolloutFixture() {
    ended = true;
    daemon.reset();
    RunUntil([this] { return running == 0; });
    for (const auto* versions : {&olds, &targets}) {
      for (const auto& upstream : *versions) {
        upstream->CloseAll();
      }
    }
    EndTasks();
  }

  Task<void> SendRequests() {
    constexpr base::Millis kPause{5};
    ++running;
    http::Client client;
    while (!ended) {
      http::Request request =
          CallerRequestFor("read", "r-" + std::to_string(++requests));
      const http::FetchResult fetched = co_await client.Fetch(
          daemon->address, std::move(request), http::FetchLimits());
      answered += fetched.response.ok() && fetched.response->status == 200;
      co_await base::SleepFor(kPause);
    }
    --running;
  }

  void Order(double over_s) {
    store.AppendRecord(
        "rollout/services",
        json({{"backend", "services"}, {"to", 2}, {"over-s", over_s}}).dump(),
        "keyed.op");
  }
  json Status() {
    return json::parse(store.NewestValue("rollout/services", "keyed.status"),
                       nullptr, false);
  }
  bool HasState(const std::string& state) {
    const json status = Status();
    return status.is_object() && status["state"] == state;
  }
  static size_t Seen(
      const std::vector<std::unique_ptr<FakeUpstream>>& versions) {
    size_t seen = 0;
    for (const auto& upstream : versions) {
      seen += upstream->seen().size();
    }
    return seen;
  }
  /// Lets callers get more answers. Returns false if they don't.
  bool RunForAnswers(int count) {
    const int before = answered;
    return RunUntil([&] { return answered >= before + count; });
  }

  std::vector<std::unique_ptr<FakeUpstream>> olds;
  std::vector<std::unique_ptr<FakeUpstream>> targets;
  std::unique_ptr<RunningDaemon> daemon;
  bool ended = false;
  int running = 0;
  int requests = 0;
  int answered = 0;
};

constexpr int kSomeAnswers = 100;

TEST_CASE("a failing version that operators roll out keeps getting requests",
          "[rollout]") {
  RolloutFixture fixture(kFailed);
  REQUIRE(fixture.RunForAnswers(kSomeAnswers));
  fixture.Order(15);
  CHECK(fixture.RunUntil([&] { return fixture.HasState("running"); }));
  REQUIRE(fixture.RunUntil([&] { return fixture.HasState("reverted"); }));
  CHECK(fixture.Status()["to"] == 2);
  CHECK(RolloutFixture::Seen(fixture.targets) > 0);
  const size_t exposed = RolloutFixture::Seen(fixture.targets);
  CHECK(fixture.RunForAnswers(kSomeAnswers));
  CHECK(RolloutFixture::Seen(fixture.targets) == exposed);
  // A daemon that starts again keeps to the decision.
  fixture.daemon = std::make_unique<RunningDaemon>(fixture);
  CHECK(fixture.RunForAnswers(kSomeAnswers));
  CHECK(RolloutFixture::Seen(fixture.targets) == exposed);
  CHECK(fixture.HasState("reverted"));
}

TEST_CASE("a sound version that operators roll out is not completed",
          "[rollout]") {
  RolloutFixture fixture(200);
  REQUIRE(fixture.RunForAnswers(kSomeAnswers));
  fixture.Order(8);
  REQUIRE(fixture.RunUntil([&] { return fixture.HasState("completed"); }));
  CHECK(fixture.Status()["to"] == 2);
  const size_t at_old = RolloutFixture::Seen(fixture.olds);
  CHECK(fixture.RunForAnswers(kSomeAnswers));
  CHECK(RolloutFixture::Seen(fixture.olds) == at_old);
}

}  // namespace
}  // namespace dandelion::test
