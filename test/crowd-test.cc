// Crowds of callers that nobody controls, against daemons that run as processes
// of their own. No check depends on the machine's speed.
#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "test/caller-crowd.h"
#include "test/daemon-support.h"
#include "test/support.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;

// Memory of the smallest host.
constexpr size_t kHostBytes = 96'000'000;
// Descriptors that the daemons may have in these tests.
constexpr size_t kDescriptors = 640;
constexpr size_t kBodyBytes = size_t{4} * 1024 * 1024;
constexpr size_t kPieceBytes = size_t{16} * 1024;
constexpr int kCallers = 40;
constexpr int kCompleteCallers = 4;
constexpr Millis kSendTime{120'000};
constexpr int kOk = 200;
constexpr char kPlatformHead[] =
    "POST /read/1 HTTP/1.1\r\nHost: front.example\r\n"
    "X-Dandeliondyke-Request-Id: crowd\r\n";
// Slots of the upstream; more than callers at once.
constexpr int kSlots = 1000;
// In place of a status if there was no complete answer.
constexpr int kFailed = -1;

// Memory of a host on which few unread answers matter.
constexpr size_t kSmallHostBytes = 32'000'000;
constexpr int kSmallHostMb = 32;
constexpr int kSilentCallers = 400;
// Descriptors that leave a connection to each of them.
constexpr size_t kSilentDescriptors = 1600;
// More than a daemon buffers of an answer.
constexpr size_t kLargeAnswerBytes = size_t{512} * 1024;

struct NamedPlan {
  std::string name;
  CrowdPlan plan;
};

CrowdPlan MakePlan(BodyFraming framing,
                   size_t chunk_bytes,
                   size_t write_bytes) {
  CrowdPlan plan;
  plan.callers = kCallers;
  plan.complete = kCompleteCallers;
  plan.framing = framing;
  plan.body_bytes = kBodyBytes;
  plan.chunk_bytes = chunk_bytes;
  plan.write_bytes = write_bytes;
  return plan;
}

CrowdPlan MakeEndlessTrailers() {
  CrowdPlan plan = MakePlan(BodyFraming::kChunked, 5, kPieceBytes);
  plan.callers = 8;
  plan.complete = 0;
  plan.body_bytes = 5;
  plan.trailer_bytes = size_t{16} * 1024 * 1024;
  return plan;
}

// More callers than the daemon takes connections. Each has sent little.
CrowdPlan MakeManyConnections() {
  CrowdPlan plan = MakePlan(BodyFraming::kLength, 0, kPieceBytes);
  plan.callers = 200;
  plan.complete = 0;
  plan.body_bytes = 100;
  return plan;
}

std::vector<NamedPlan> MakePlans() {
  const size_t everything = 2 * kBodyBytes;
  return {
      {"endless trailers", MakeEndlessTrailers()},
      {"whole bodies", MakePlan(BodyFraming::kLength, 0, everything)},
      {"bodies in pieces", MakePlan(BodyFraming::kLength, 0, kPieceBytes)},
      {"large chunks",
       MakePlan(BodyFraming::kChunked, size_t{256} * 1024, kPieceBytes)},
      {"small chunks", MakePlan(BodyFraming::kChunked, 16, kPieceBytes)},
      {"many connections", MakeManyConnections()},
  };
}

void CheckUse(const CallerCrowd& crowd) {
  CHECK(crowd.most().memory_bytes <= kHostBytes);
  CHECK(crowd.most().descriptors <= kDescriptors);
}

/// A daemon process with an upstream that answers at once, in the test's
/// process.
struct CrowdFixture : PlatformFixture {
  explicit CrowdFixture(http::Handler handler = RespondWithAnswer,
                        const json& settings = json::object())
      : upstream(context.get_executor(), std::move(handler)) {
    const json config = {{"version", 1},
                         {"routes", {MakeRoute("read", "idempotent", "pool")}},
                         {"backends", {{{"name", "pool"}}}}};
    store.AppendRecord("config", config.dump(), "keyed.op");
    store.AppendRecord("u-1",
                       MakeUpstreamEntry("pool", upstream, kSlots).dump(),
                       "keyed.servers");
    more_settings["max_descriptors"] = kDescriptors;
    more_settings.update(settings);
    daemon = std::make_unique<RunningDaemon>(*this);
  }
  ~CrowdFixture() {
    daemon.reset();
    upstream.CloseAll();
    EndTasks();
  }

  static Task<void> Ask(tcp::endpoint daemon, std::shared_ptr<int> status) {
    http::Client client;
    http::FetchResult fetched = co_await client.Fetch(
        daemon, CallerRequestFor("read", "ordinary"), http::FetchLimits());
    *status = fetched.response.ok() ? fetched.response->status : kFailed;
  }

  /// Checks that an ordinary caller is answered. It repeats its request if that
  /// was rejected or its connection ended.
  void CheckOrdinaryCaller() {
    std::shared_ptr<int> status;
    CHECK(RunUntil([&] {
      if (!status || (*status != 0 && *status != kOk)) {
        status = std::make_shared<int>(0);
        base::Spawn(context.get_executor(), Ask(daemon->address, status));
      }
      return *status == kOk;
    }));
  }

  bool SendCrowd(CallerCrowd& crowd) {
    return crowd.Send(
        [this](Task<void> task) {
          base::Spawn(context.get_executor(), std::move(task));
        },
        [this](const std::function<bool()>& condition) {
          return RunUntil(condition, kSendTime);
        });
  }

  FakeUpstream upstream;
  std::unique_ptr<RunningDaemon> daemon;
};

TEST_CASE("a crowd of callers ends dandeliond-platform or locks others out",
          "[crowd]") {
  const auto [name, plan] = GENERATE(from_range(MakePlans()));
  INFO(name);
  CrowdFixture fixture;
  fixture.CheckOrdinaryCaller();
  CrowdPlan crowd_plan = plan;
  crowd_plan.head = kPlatformHead;
  CallerCrowd crowd(crowd_plan, fixture.daemon->address,
                    fixture.daemon->process->pid());
  CHECK(fixture.SendCrowd(crowd));
  fixture.CheckOrdinaryCaller();
  crowd.Measure();
  CHECK_FALSE(fixture.daemon->process->ExitCode());
  CheckUse(crowd);
}

Task<void> RespondWithLargeAnswer(http::Exchange& exchange) {
  http::Response response =
      SealedResponse(exchange.request(), std::string(kLargeAnswerBytes, 'x'));
  (void)co_await exchange.Respond(std::move(response));
}

TEST_CASE("callers that don't read their answers end dandeliond-platform",
          "[crowd]") {
  CrowdFixture fixture(
      RespondWithLargeAnswer,
      {{"memory_mb", kSmallHostMb}, {"max_descriptors", kSilentDescriptors}});
  fixture.CheckOrdinaryCaller();
  CrowdPlan plan;
  plan.callers = kSilentCallers;
  plan.complete = kSilentCallers;
  plan.body_bytes = 5;
  plan.write_bytes = kPieceBytes;
  plan.head = kPlatformHead;
  CallerCrowd crowd(plan, fixture.daemon->address,
                    fixture.daemon->process->pid());
  CHECK(fixture.SendCrowd(crowd));
  CHECK(fixture.RunUntil([&crowd] { return crowd.HasSettled(); }, kSendTime));
  fixture.CheckOrdinaryCaller();
  crowd.MeasureWithUnread();
  CHECK_FALSE(fixture.daemon->process->ExitCode());
  CHECK(crowd.most().memory_bytes <= kSmallHostBytes);
  CHECK(crowd.most().descriptors <= kSilentDescriptors);
}

// The sound neighbour of the crowd: one request of the largest legal size.
TEST_CASE("a single large request is refused in calm", "[crowd]") {
  const auto [name, plan] = GENERATE(from_range(MakePlans()));
  if (plan.body_bytes != kBodyBytes) {
    return;
  }
  INFO(name);
  CrowdFixture fixture;
  fixture.CheckOrdinaryCaller();
  CrowdPlan single = plan;
  single.callers = 1;
  single.complete = 1;
  single.head = kPlatformHead;
  CallerCrowd caller(single, fixture.daemon->address,
                     fixture.daemon->process->pid());
  CHECK(fixture.SendCrowd(caller));
  CHECK(fixture.RunUntil([&] {
    return fixture.upstream.seen().back().body == std::string(kBodyBytes, 'x');
  }));
}

TEST_CASE("a crowd of callers ends dandeliond or locks others out", "[crowd]") {
  const auto [name, plan] = GENERATE(from_range(MakePlans()));
  INFO(name);
  Fleet fleet(Json::object(),
              {{"connections", 64}, {"connections_per_address", 64}});
  fleet.PublishTablesAndWait();
  boost::asio::ip::tcp::endpoint daemon;
  REQUIRE(http::ParseEndpoint(fleet.address("host-1"), &daemon));
  CrowdPlan crowd_plan = plan;
  crowd_plan.head =
      "POST /v1/completions HTTP/1.1\r\nHost: host-1\r\n"
      "X-Organisation: crowd\r\n";
  CallerCrowd crowd(crowd_plan, daemon, fleet.pid("host-1"));
  CHECK(crowd.Send([&](Task<void> task) { fleet.Spawn(std::move(task)); },
                   [&](const std::function<bool()>& condition) {
                     return fleet.RunUntil(condition, kSendTime);
                   }));
  bool answered = false;
  for (int tries = 0; tries < 20 && !answered; ++tries) {
    const Answer answer =
        fleet.SendAndWait("host-1", MakeCompletion("n", 3, true));
    answered = answer.done && answer.tokens.size() == 3;
    fleet.RunUntil([] { return false; }, Millis(answered ? 0 : 500));
  }
  CHECK(answered);
  crowd.Measure();
  CHECK(MeasureProcess(fleet.pid("host-1")).memory_bytes > 0);
  CheckUse(crowd);
}

}  // namespace
}  // namespace dandelion::test
