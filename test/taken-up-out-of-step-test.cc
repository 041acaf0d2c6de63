// Streams that callers take up at a daemon that is out of step with the others:
// it lacks what the store and the other daemons know.
#include <catch2/catch.hpp>

#include "test/order-fixture.h"

namespace dandelion::test {
namespace {

constexpr char kUpstreamsTopic[] = "keyed.servers";
constexpr char kPeersTopic[] = "keyed.daemons";
// The daemon must have known the list for this route's timeout and a margin
// before it may name the only version.
constexpr char kRoute[] = "short";
constexpr int kRouteTimeoutMs = 1000;

/// Two daemons that do not know each other, each with a way to the store of
/// its own, and engines that write entries all the time.
struct OutOfStepFixture : OrderFixture {
  OutOfStepFixture()
      : late_door(context.get_executor(), store),
        other_door(context.get_executor(), store) {
    PageOptions pages;
    pages.items = PageOptions::kMaxItems;
    store.SetPageOptions(pages);
    nlohmann::json route = MakeStreamRoute(kRoute);
    route["timeout-ms"] = kRouteTimeoutMs;
    nlohmann::json config = MakeConfig();
    config["version"] = 2;
    config["routes"].push_back(route);
    store.AppendRecord("config", config.dump(), "keyed.op");
    late_door.Fail(kPeersTopic, StoreFault::kRefuse);
    other_door.Fail(kPeersTopic, StoreFault::kRefuse);
    late = StartThrough("front-1", late_door);
    other = StartThrough("front-2", other_door);
  }

  // Calls that hang use the doors until their connections are gone.
  ~OutOfStepFixture() {
    late.reset();
    other.reset();
    CloseDoor(late_door);
    CloseDoor(other_door);
  }

  std::unique_ptr<RunningDaemon> StartThrough(const std::string& host,
                                              const StoreDoor& door) {
    more_settings["store"] =
        std::string(kLoopback) + ":" + std::to_string(door.address().port());
    return Start(host);
  }

  /// Waits until `late` names the only version for a stream that it does not
  /// know.
  void AwaitOnlyVersion() {
    REQUIRE(RunUntil([this] {
      return TakeUp(*late, "Resumes: r-never\r\n", kRoute)->Status() == kOk;
    }));
    known_take_ups = CountTakenUp(old_engine);
  }

  /// Lists engines of the new version and begins streams through `other` until
  /// some have begun at one of them. Returns their requests. No record of them
  /// reaches the store.
  std::set<std::string> BeginAtNewVersion() {
    other_door.Fail(kOriginsTopic, StoreFault::kHang);
    ListNewEngines();
    REQUIRE(HasListed(*other, "new-2"));
    { const auto callers = BeginStreams(*other, kRoute); }
    std::set<std::string> begun = BegunAt(new_engine_1);
    begun.merge(BegunAt(new_engine_2));
    REQUIRE_FALSE(begun.empty());
    return begun;
  }

  /// Takes streams up at `late`, all at once. None may go on at the old
  /// version.
  void CheckTakenUp(const std::set<std::string>& streams) {
    std::vector<std::unique_ptr<Caller>> callers = SendTakeUps(streams);
    CheckAnswers(callers);
  }
  std::vector<std::unique_ptr<Caller>> SendTakeUps(
      const std::set<std::string>& streams) {
    std::vector<std::unique_ptr<Caller>> callers;
    for (const std::string& stream : streams) {
      callers.push_back(std::make_unique<Caller>(context));
      const std::string headers = absl::StrCat(
          "Last-Event-Id: ", kLastBegunEvent, "\r\nResumes: ", stream, "\r\n");
      REQUIRE(callers.back()->SendRequest(late->address, ++last_request, kRoute,
                                          headers));
    }
    return callers;
  }
  void CheckAnswers(const std::vector<std::unique_ptr<Caller>>& callers) {
    REQUIRE(RunUntil([&] {
      return std::all_of(
          callers.begin(), callers.end(),
          [](const auto& caller) { return caller->Status() != 0; });
    }));
    INFO(late->LoggedLines("name=stream_taken_up"));
    CHECK(CountTakenUp(old_engine) == known_take_ups);
    for (const auto& caller : callers) {
      CHECK(caller->Status() == RunningDaemon::kRejected);
      CHECK(caller->received().find("Retry-After: ") != std::string::npos);
    }
  }

  StoreDoor late_door;
  StoreDoor other_door;
  /// The daemon that falls out of step.
  std::unique_ptr<RunningDaemon> late;
  std::unique_ptr<RunningDaemon> other;
  int known_take_ups = 0;
  int last_request = 2000;
};

TEST_CASE(
    "a daemon cut off from the store and all others takes streams up at "
    "the version that it last knew",
    "[order]") {
  OutOfStepFixture fixture;
  fixture.AwaitOnlyVersion();
  fixture.late_door.FailAll(StoreFault::kHang);
  fixture.CheckTakenUp(fixture.BeginAtNewVersion());
}

TEST_CASE(
    "a daemon whose list is late takes streams up at the version that it "
    "last knew",
    "[order]") {
  OutOfStepFixture fixture;
  fixture.AwaitOnlyVersion();
  fixture.late_door.Fail(kUpstreamsTopic, StoreFault::kHang);
  fixture.CheckTakenUp(fixture.BeginAtNewVersion());
}

TEST_CASE(
    "a daemon that stood still takes streams up at the version that it "
    "last knew",
    "[order]") {
  OutOfStepFixture fixture;
  fixture.AwaitOnlyVersion();
  fixture.late->process->SendSignal(SIGSTOP);
  // What the store has said by then is not to reach it first.
  fixture.late_door.Fail(kUpstreamsTopic, StoreFault::kHang);
  const std::set<std::string> streams = fixture.BeginAtNewVersion();
  const auto callers = fixture.SendTakeUps(streams);
  fixture.late->process->SendSignal(SIGCONT);
  fixture.CheckAnswers(callers);
}

}  // namespace
}  // namespace dandelion::test
