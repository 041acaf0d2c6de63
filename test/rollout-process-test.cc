#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include "test/daemon-support.h"

namespace dandelion::test {
namespace {

using base::Task;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kFailed = 500;
constexpr size_t kCallers = 8;

http::Handler AnswerWithStatus(std::shared_ptr<int> status) {
  return [status](http::Exchange& exchange) -> Task<void> {
    http::Response response = SealedResponse(exchange.request(), "answer");
    response.status = *status;
    (void)co_await exchange.Respond(std::move(response));
  };
}

/// A daemon process in front of a service of two versions, and callers that
/// send one request after the other.
struct RolloutFixture : PlatformFixture {
  explicit RolloutFixture(int status_of_target, size_t daemon_count = 1)
      : target_status(std::make_shared<int>(status_of_target)) {
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
          AnswerWithStatus(is_target ? target_status
                                     : std::make_shared<int>(kOk))));
      json entry = MakeUpstreamEntry("services", *versions.back(), 100);
      entry["version"] = is_target ? 2 : 1;
      store.AppendRecord("u-" + std::to_string(i), entry.dump(),
                         "keyed.servers");
    }
    for (size_t i = 0; i < daemon_count; ++i) {
      daemons.push_back(StartDaemon(i));
    }
    for (size_t i = 0; i < kCallers; ++i) {
      base::Spawn(context.get_executor(), SendRequests(i % daemon_count));
    }
  }
  ~RolloutFixture() {
    ended = true;
    daemons.clear();
    RunUntil([this] { return running == 0; });
    for (const auto* versions : {&olds, &targets}) {
      for (const auto& upstream : *versions) {
        upstream->CloseAll();
      }
    }
    EndTasks();
  }

  std::unique_ptr<RunningDaemon> StartDaemon(size_t index) {
    more_settings["host"] = DaemonName(index);
    return std::make_unique<RunningDaemon>(*this);
  }
  static std::string DaemonName(size_t index) {
    return "front-" + std::to_string(index + 1);
  }

  Task<void> SendRequests(size_t daemon_index) {
    constexpr base::Millis kPause{5};
    ++running;
    http::Client client;
    while (!ended) {
      http::Request request =
          CallerRequestFor("read", "r-" + std::to_string(++requests));
      const http::FetchResult fetched =
          co_await client.Fetch(daemons[daemon_index]->address,
                                std::move(request), http::FetchLimits());
      answered += fetched.response.ok() && fetched.response->status == kOk;
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
  /// What a daemon says of the roll-out; empty if it knows of none.
  json View(size_t daemon_index) {
    const auto view = std::make_shared<json>();
    const auto answered_view = std::make_shared<bool>(false);
    base::Spawn(context.get_executor(),
                FetchView(daemons[daemon_index]->metrics, view, answered_view));
    RunUntil([&] { return *answered_view; });
    return view->is_array() && view->size() == 1 ? view->at(0) : json::object();
  }
  static Task<void> FetchView(tcp::endpoint metrics,
                              std::shared_ptr<json> view,
                              std::shared_ptr<bool> done) {
    http::Client client;
    http::Request request;
    request.target = "/rollouts";
    const http::FetchResult fetched =
        co_await client.Fetch(metrics, std::move(request), http::FetchLimits());
    if (fetched.response.ok()) {
      *view = json::parse(fetched.response->body, nullptr, false);
    }
    *done = true;
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
  std::vector<std::unique_ptr<RunningDaemon>> daemons;
  /// The status with which upstreams of the target version answer.
  std::shared_ptr<int> target_status;
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
  fixture.daemons[0] = fixture.StartDaemon(0);
  CHECK(fixture.RunForAnswers(kSomeAnswers));
  CHECK(RolloutFixture::Seen(fixture.targets) == exposed);
  CHECK(fixture.HasState("reverted"));
}

TEST_CASE("operators can't see what became of a roll-out", "[rollout]") {
  RolloutFixture fixture(kFailed);
  REQUIRE(fixture.RunForAnswers(kSomeAnswers));
  CHECK(fixture.View(0).empty());
  fixture.Order(15);
  const bool reverted =
      fixture.RunUntil([&] { return fixture.HasState("reverted"); });
  INFO(fixture.daemons[0]->LoggedLines("name=rollout_"));
  REQUIRE(reverted);
  const json view = fixture.View(0);
  CHECK(view["state"] == "reverted");
  CHECK(view["decider"] == "front-1");
  CHECK(view["target_version"]["failed"] > 0);
  CHECK(view["old_version"]["answered"] > 0);
  CHECK(view["old_version"]["failed"] == 0);
}

// The version becomes bad once the daemon that decides is gone.
TEST_CASE("a roll-out ends with the daemon that decides it", "[rollout]") {
  constexpr size_t kDaemons = 3;
  constexpr base::Millis kTakeoverTime{40'000};
  RolloutFixture fixture(kOk, kDaemons);
  REQUIRE(fixture.RunForAnswers(kSomeAnswers));
  fixture.Order(30);
  std::string decider;
  REQUIRE(fixture.RunUntil([&] {
    decider = fixture.View(0).value("decider", "");
    return !decider.empty() && fixture.HasState("running") &&
           RolloutFixture::Seen(fixture.targets) > 0;
  }));
  const int signal = GENERATE(SIGKILL, SIGSTOP);
  CAPTURE(signal);
  for (size_t i = 0; i < kDaemons; ++i) {
    if (RolloutFixture::DaemonName(i) == decider) {
      fixture.daemons[i]->process->SendSignal(signal);
    }
  }
  *fixture.target_status = kFailed;
  REQUIRE(fixture.RunUntil([&] { return fixture.HasState("reverted"); },
                           kTakeoverTime));
  // The decision reaches the others with the next heartbeat.
  for (size_t i = 0; i < kDaemons; ++i) {
    REQUIRE((RolloutFixture::DaemonName(i) == decider || fixture.RunUntil([&] {
      return fixture.View(i).value("state", "") == "reverted";
    })));
  }
  const size_t exposed = RolloutFixture::Seen(fixture.targets);
  CHECK(fixture.RunForAnswers(kSomeAnswers));
  CHECK(RolloutFixture::Seen(fixture.targets) == exposed);
}

TEST_CASE("a sound version that operators roll out is not completed",
          "[rollout]") {
  RolloutFixture fixture(kOk);
  REQUIRE(fixture.RunForAnswers(kSomeAnswers));
  fixture.Order(8);
  const bool completed =
      fixture.RunUntil([&] { return fixture.HasState("completed"); });
  INFO(fixture.daemons[0]->LoggedLines("name=rollout_"));
  REQUIRE(completed);
  CHECK(fixture.Status()["to"] == 2);
  const size_t at_old = RolloutFixture::Seen(fixture.olds);
  CHECK(fixture.RunForAnswers(kSomeAnswers));
  CHECK(RolloutFixture::Seen(fixture.olds) == at_old);
}

}  // namespace
}  // namespace dandelion::test
