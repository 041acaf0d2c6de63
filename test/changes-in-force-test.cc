#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "test/daemon-support.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;
using nlohmann::json;

constexpr char kOperatorTopic[] = "keyed.op";
constexpr char kUpstreamsTopic[] = "keyed.servers";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
// A change must be in force this long after the store has acknowledged it.
constexpr Millis kChangeDelay{2000};
// Longer than any fault that a daemon has a way around.
constexpr Millis kPatience{6000};

/// Daemon processes, each with a way to the store of its own, and an operator
/// who publishes a route more with each version.
struct ChangesFixture : PlatformFixture {
  struct Host {
    std::unique_ptr<StoreDoor> door;
    std::unique_ptr<RunningDaemon> daemon;
    std::string name;
    std::string data_centre;
  };

  /// The first daemons of the data centres are their delegates, two of each.
  explicit ChangesFixture(size_t data_centres = 2, size_t daemons_of_each = 2)
      : upstream(context.get_executor(), RespondWithAnswer) {
    store.HonourWaits();
    PageOptions pages;
    pages.items = PageOptions::kMaxItems;
    store.SetPageOptions(pages);
    Publish();
    WriteEntry();
    for (size_t of_each = 0; of_each < daemons_of_each; ++of_each) {
      for (size_t i = 0; i < data_centres; ++i) {
        const std::string data_centre(1, static_cast<char>('a' + i));
        StartHost(data_centre + "-" + std::to_string(of_each + 1), data_centre);
      }
    }
    base::Spawn(context.get_executor(), Beat());
    for (const Host& host : hosts) {
      Require(WaitUntilServed(host, kPatience), host, "does not serve");
    }
    Require(RunUntil([this] { return Reader() != nullptr; }), hosts.front(),
            "no daemon reads the store");
    Settle();
  }
  ~ChangesFixture() {
    ended = true;
    RunUntil([this] { return !beats; });
    for (Host& host : hosts) {
      host.daemon.reset();
      CloseDoor(*host.door);
    }
    hosts.clear();
    upstream.CloseAll();
    EndTasks();
  }

  static void Require(bool condition, const Host& host, const char* what) {
    if (!condition) {
      throw std::runtime_error(host.name + ": " + what);
    }
  }

  void StartHost(const std::string& name, const std::string& data_centre) {
    Host& host = hosts.emplace_back();
    host.name = name;
    host.data_centre = data_centre;
    host.door = std::make_unique<StoreDoor>(context.get_executor(), store);
    more_settings["host"] = name;
    more_settings["data_centre"] = data_centre;
    more_settings["store"] = std::string(kLoopback) + ":" +
                             std::to_string(host.door->address().port());
    // A delegate has more of a processor.
    more_settings["processor_share"] = name.ends_with("3") ? 0.2 : 0.5;
    host.daemon = std::make_unique<RunningDaemon>(*this);
  }

  void WriteEntry() {
    json entry = MakeUpstreamEntry("services", upstream, 1000);
    entry["seq"] = ++beat;
    store.AppendRecord("u-1", entry.dump(), kUpstreamsTopic);
  }
  // Upstreams write all the time, so that their topic is always fresh.
  Task<void> Beat() {
    constexpr Millis kBeat{100};
    beats = true;
    while (!ended) {
      WriteEntry();
      co_await base::SleepFor(kBeat);
    }
    beats = false;
  }

  static std::string RouteOf(int version) {
    return "v" + std::to_string(version);
  }
  /// Publishes the next version, which adds a route.
  void Publish() {
    ++version;
    json routes = json::array();
    constexpr int kKeptRoutes = 20;
    for (int i = std::max(1, version - kKeptRoutes); i <= version; ++i) {
      routes.push_back(MakeRoute(RouteOf(i), "idempotent", "services"));
    }
    store.AppendRecord("config",
                       json({{"version", version},
                             {"routes", routes},
                             {"backends", {{{"name", "services"}}}}})
                           .dump(),
                       kOperatorTopic);
  }

  /// The status of the daemon's answer to a request for a route; 0 if there is
  /// none.
  int StatusOf(const Host& host, const std::string& route) {
    Caller caller(context);
    if (!caller.SendRequest(host.daemon->address, ++requests, route)) {
      return 0;
    }
    RunUntil([&] { return caller.Status() != 0; }, Millis(1000));
    return caller.Status();
  }
  bool WaitUntilServed(const Host& host, Millis limit) {
    return RunUntil([&] { return StatusOf(host, RouteOf(version)) == kOk; },
                    limit);
  }

  static Millis Now() { return base::Clock::Monotonic().Now(); }
  void RunFor(Millis time) {
    RunUntil([] { return false; }, time);
  }
  /// Lets the election of the reader come to rest.
  void Settle() { RunFor(Millis(2000)); }

  /// The daemon that has begun to read the operators' topic and not stopped;
  /// null if there is not exactly one.
  Host* Reader() {
    Host* reader = nullptr;
    for (Host& host : hosts) {
      const auto count = [&host](const std::string& event) {
        const std::string lines =
            host.daemon->LoggedLines("name=" + event + " topic=operator");
        return std::count(lines.begin(), lines.end(), '\n');
      };
      if (count("store_reader_started") > count("store_reader_stopped")) {
        if (reader) {
          return nullptr;
        }
        reader = &host;
      }
    }
    return reader;
  }

  /// Publishes a change and returns how long each daemon took until it served
  /// the new route, in the daemons' order; the patience for one that did not.
  std::vector<int64_t> TimesToForce() {
    Publish();
    const Millis published = Now();
    std::vector<int64_t> times(hosts.size(), kPatience.count());
    for (bool all = false; !all && Now() - published < kPatience;) {
      all = true;
      for (size_t i = 0; i < hosts.size(); ++i) {
        const bool waits = times[i] == kPatience.count();
        if (waits && StatusOf(hosts[i], RouteOf(version)) == kOk) {
          times[i] = (Now() - published).count();
        }
        all = all && times[i] != kPatience.count();
      }
      RunFor(Millis(10));
    }
    return times;
  }

  FakeUpstream upstream;
  std::vector<Host> hosts;
  int version = 0;
  int beat = 0;
  int requests = 0;
  bool ended = false;
  bool beats = false;
};

TEST_CASE("changes are in force while the reader can't read their topic",
          "[in_force]") {
  const auto fault = GENERATE(StoreFault::kHang, StoreFault::kReset,
                              StoreFault::kRefuse, StoreFault::kLate);
  CAPTURE(static_cast<int>(fault));
  ChangesFixture fixture;
  fixture.Reader()->door->Fail(kOperatorTopic, fault);
  for (int i = 0; i < 3; ++i) {
    const std::vector<int64_t> times = fixture.TimesToForce();
    CAPTURE(i, times);
    for (const int64_t time : times) {
      CHECK(time <= kChangeDelay.count());
    }
    fixture.RunFor(Millis(500));
  }
}

TEST_CASE("changes are in force while no delegate can read their topic",
          "[in_force]") {
  const auto fault = GENERATE(StoreFault::kHang, StoreFault::kRefuse);
  CAPTURE(static_cast<int>(fault));
  ChangesFixture fixture(1, 3);
  for (const ChangesFixture::Host& host : fixture.hosts) {
    if (!host.name.ends_with("3")) {
      host.door->Fail(kOperatorTopic, fault);
    }
  }
  for (int i = 0; i < 3; ++i) {
    const std::vector<int64_t> times = fixture.TimesToForce();
    CAPTURE(i, times);
    for (const int64_t time : times) {
      CHECK(time <= kChangeDelay.count());
    }
  }
}

// The replica stayed at the end that it had, and took no record from before it.
TEST_CASE("changes are in force after the store came back older",
          "[in_force]") {
  ChangesFixture fixture;
  for (int i = 0; i < 3; ++i) {
    fixture.Publish();
  }
  fixture.Settle();
  fixture.store.LoseRecords(kOperatorTopic);
  fixture.Publish();
  fixture.Settle();
  for (int i = 0; i < 2; ++i) {
    const std::vector<int64_t> times = fixture.TimesToForce();
    CAPTURE(i, times);
    for (const int64_t time : times) {
      CHECK(time <= kChangeDelay.count());
    }
  }
}

TEST_CASE(
    "a daemon refuses no route by a configuration older than a change "
    "may take",
    "[in_force]") {
  ChangesFixture fixture(1, 1);
  ChangesFixture::Host& host = fixture.hosts.front();
  CHECK(fixture.StatusOf(host, "none") == kNotFound);
  host.door->FailAll(StoreFault::kHang);
  fixture.Publish();
  const Millis published = ChangesFixture::Now();
  int refused = 0;
  while (ChangesFixture::Now() - published < kPatience) {
    const bool late = ChangesFixture::Now() - published > kChangeDelay;
    const int status =
        fixture.StatusOf(host, ChangesFixture::RouteOf(fixture.version));
    refused += late && status == kNotFound ? 1 : 0;
    fixture.RunFor(Millis(20));
  }
  CHECK(refused == 0);
}

}  // namespace
}  // namespace dandelion::test
