#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "test/daemon-support.h"

namespace dandelion::test {
namespace {

using base::Task;
using nlohmann::json;

constexpr int kOk = 200;
constexpr size_t kLargeValue = 600'000;
constexpr char kNewest[] = "/v1/log-newest";
constexpr char kOperatorTopic[] = "keyed.op";
constexpr char kUpstreamsTopic[] = "keyed.servers";

// Ends of keys with a meaning in a query, in JSON or in neither of them.
std::vector<std::string> HostileKeyEnds() {
  return {"02%#",
          "05&b=",
          "%",
          "%41",
          "%zz",
          "#",
          "+ /?",
          "&after=z",
          "&has-more=",
          "\"\\\"",
          "\r\n\tX: y",
          std::string("\0\x01\x7f", 3),
          "\xc3\xa9\xe2\x82\xac",
          "\xff\xfe\xc3",
          "\xed\xa0\x80",
          std::string(250, '%')};
}

/// Returns `count` keys that sort before those of the test's own records; every
/// one needs care in a query or in JSON. The empty key is among them.
std::vector<std::string> HostileKeys(size_t count) {
  // So that a full page ends with the first of them.
  constexpr size_t kShift = 13;
  const std::vector<std::string> ends = HostileKeyEnds();
  std::vector<std::string> keys = {""};
  while (keys.size() < count) {
    const std::string number = std::to_string(1000 + keys.size());
    keys.push_back(
        (number + ends[(keys.size() + kShift) % ends.size()]).substr(0, 255));
  }
  return keys;
}

// A value that another writer may have written.
std::string HostileValue(size_t number) {
  static const std::vector<std::string> kValues = {
      "{}",  "[]",    "null",         "\xff\xfe", "{\"addr\": 7}",
      "[[[", "1e999", "{\"key\": []", "\"text\"", std::string(1, '\0')};
  return kValues[number % kValues.size()];
}

/// With an upstream that answers at once, and daemons without seeds, which find
/// each other in the store.
struct PagesFixture : PlatformFixture {
  PagesFixture()
      : upstream(context.get_executor(),
                 [](http::Exchange& exchange) { return Answer(exchange); }) {
    WriteConfig(1, {"first"});
    store.AppendRecord("u-1",
                       MakeUpstreamEntry("services", upstream, 100).dump(),
                       kUpstreamsTopic);
  }
  ~PagesFixture() {
    daemons.clear();
    upstream.CloseAll();
    EndTasks();
  }

  static Task<void> Answer(http::Exchange& exchange) {
    (void)co_await exchange.Respond(
        SealedResponse(exchange.request(), "answer"));
  }

  void WriteConfig(int version, const std::vector<std::string>& routes) {
    json config = {{"version", version},
                   {"routes", json::array()},
                   {"backends", {{{"name", "services"}}}}};
    for (const std::string& route : routes) {
      config["routes"].push_back(MakeRoute(route, "idempotent", "services"));
    }
    store.AppendRecord("config", config.dump(), kOperatorTopic);
  }
  void WriteHostileKeys(const std::string& topic, size_t count) {
    size_t number = 0;
    for (const std::string& key : HostileKeys(count)) {
      store.AppendRecord(key, HostileValue(++number), topic);
    }
  }
  void WriteHostileKeysToAllTopics(size_t count) {
    for (const char* topic : {kOperatorTopic, kUpstreamsTopic, "keyed.daemons",
                              "keyed.status", "keyed.quarantine"}) {
      WriteHostileKeys(topic, count);
    }
  }

  void StartDaemons(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      more_settings["host"] = "front-" + std::to_string(i + 1);
      daemons.push_back(std::make_unique<RunningDaemon>(*this));
    }
  }
  /// Kills the processes.
  void KillDaemons() { daemons.clear(); }

  /// Returns the status of a request, or -1 without one.
  int Send(const RunningDaemon& daemon, const std::string& route) {
    const auto status = std::make_shared<int>(0);
    http::Request request =
        CallerRequestFor(route, "r-" + std::to_string(++requests));
    base::Spawn(context.get_executor(),
                Fetch(daemon.address, std::move(request), status));
    RunUntil([&] { return *status != 0; });
    return *status;
  }
  static Task<void> Fetch(tcp::endpoint daemon,
                          http::Request request,
                          std::shared_ptr<int> status) {
    http::Client client;
    const http::FetchResult fetched =
        co_await client.Fetch(daemon, std::move(request), http::FetchLimits());
    *status = fetched.response.ok() ? fetched.response->status : -1;
  }
  /// Whether all daemons come to serve `route` while they run.
  bool AllServe(const std::string& route) {
    return RunUntil([&] {
      return std::all_of(
          daemons.begin(), daemons.end(),
          [&](const auto& daemon) { return Send(*daemon, route) == kOk; });
    });
  }
  bool AllRun() {
    return std::none_of(daemons.begin(), daemons.end(), [](const auto& daemon) {
      return daemon->process->ExitCode();
    });
  }
  std::string StoreLines() const {
    return daemons.empty() ? "" : daemons[0]->LoggedLines("name=store_");
  }

  FakeUpstream upstream;
  std::vector<std::unique_ptr<RunningDaemon>> daemons;
  int requests = 0;
};

struct PageCase {
  PageOptions options;
  size_t keys = 0;
};

// With pages of one item every key ends a page. A store that replaces bytes of
// keys is tried only with pages of many items: it can't go on after such a key.
PageCase MakePageCase(size_t number) {
  constexpr size_t kFewKeys = 40;
  constexpr size_t kManyKeys = 1300;
  PageCase page_case;
  page_case.keys = number < 2 ? kFewKeys : kManyKeys;
  page_case.options.items = number < 2 ? 1 : PageOptions::kMaxItems;
  page_case.options.key_order =
      number == 1 ? KeyOrder::kDescending : KeyOrder::kAscending;
  page_case.options.key_bytes =
      number == 3 ? KeyBytes::kReplaced : KeyBytes::kRaw;
  return page_case;
}

// Daemons stayed without a configuration, as a page ended with a key that a
// query can't hold as it is.
TEST_CASE("a daemon gets ready whatever the keys in the store",
          "[pages][pages_start]") {
  const PageCase page_case = MakePageCase(GENERATE(0, 1, 2, 3));
  PagesFixture fixture;
  fixture.store.SetPageOptions(page_case.options);
  fixture.WriteHostileKeysToAllTopics(page_case.keys);
  fixture.StartDaemons(2);
  CAPTURE(page_case.keys);
  const bool served = fixture.AllServe("first");
  CAPTURE(fixture.StoreLines());
  CHECK(served);
  CHECK(fixture.AllRun());
}

// Running daemons follow the log and saw nothing wrong until all were started
// again.
TEST_CASE("daemons start again after hostile keys were written",
          "[pages][pages_restart]") {
  PagesFixture fixture;
  fixture.StartDaemons(2);
  REQUIRE(fixture.AllServe("first"));
  fixture.WriteHostileKeysToAllTopics(40);
  REQUIRE(fixture.AllServe("first"));
  fixture.KillDaemons();
  fixture.StartDaemons(2);
  const bool served = fixture.AllServe("first");
  CAPTURE(fixture.StoreLines());
  CHECK(served);
  CHECK(fixture.AllRun());
}

// A daemon that lagged behind the log's first record kept an old configuration
// for ever.
TEST_CASE("a daemon reads hostile keys again after the log was truncated",
          "[pages][pages_truncated]") {
  PagesFixture fixture;
  fixture.StartDaemons(1);
  REQUIRE(fixture.AllServe("first"));
  fixture.WriteHostileKeysToAllTopics(40);
  fixture.WriteConfig(2, {"first", "second"});
  REQUIRE(fixture.AllServe("second"));
  // At once, so that the daemon reads neither record from the log.
  fixture.store.AppendRecord("1001#", "{}", kOperatorTopic);
  fixture.store.AppendRecord("1001#", "{}", kUpstreamsTopic);
  fixture.WriteConfig(3, {"first", "third"});
  fixture.store.TruncateHistory();
  const bool served = fixture.AllServe("third");
  CAPTURE(fixture.StoreLines());
  CHECK(served);
  CHECK(fixture.daemons[0]->HasLogged("store_gap"));
  CHECK(fixture.AllRun());
}

size_t ResidentKilobytes(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  constexpr std::string_view kField = "VmRSS:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kField)) {
      return std::stoul(line.substr(kField.size()));
    }
  }
  return 0;
}

// A page of a large value under one of two keys, in turn, with more to come.
FakeStore::Hook AlternatePages(std::shared_ptr<size_t> pages) {
  return
      [pages](const http::Request& request) -> std::optional<http::Response> {
        ++*pages;
        const std::string key = request.Query("after") == "a" ? "b" : "a";
        return http::JsonResponse(
            kOk, json({{"items",
                        {{{"key", key},
                          {"value", std::string(kLargeValue, 'A')},
                          {"offset", 0}}}},
                       {"has-more", true},
                       {"end", 2}})
                     .dump());
      };
}

/// Watches one daemon while it reads pages.
struct CycleFixture : PagesFixture {
  static constexpr size_t kMaxGrowthKilobytes = 96 * 1024;
  static constexpr size_t kMaxPages = 400;

  void Start() {
    StartDaemons(1);
    REQUIRE(RunUntil([this] { return store.CountRequests(kNewest) > 0; }));
    resident_before = Resident();
    REQUIRE(resident_before > 0);
  }
  size_t Resident() { return ResidentKilobytes(daemons[0]->process->pid()); }
  size_t Growth() {
    return std::max(Resident(), resident_before) - resident_before;
  }
  bool IsBounded() {
    return store.CountRequests(kNewest) <= kMaxPages &&
           Growth() <= kMaxGrowthKilobytes;
  }

  size_t resident_before = 0;
};

// A daemon read pages that come round again without end, and kept them until
// its memory was exhausted.
TEST_CASE("pages that come round again end the read and not the daemon",
          "[pages][pages_cycle]") {
  CycleFixture fixture;
  const auto pages = std::make_shared<size_t>(0);
  fixture.store.SetNewestHook(AlternatePages(pages));
  fixture.Start();
  // Either the daemon goes on reading, or it says that reads fail.
  fixture.RunUntil([&] {
    return !fixture.IsBounded() || fixture.daemons[0]->HasLogged("store_lost");
  });
  CAPTURE(*pages, fixture.Growth(), fixture.StoreLines());
  CHECK(fixture.daemons[0]->HasLogged("store_lost"));
  CHECK(fixture.IsBounded());
  CHECK(fixture.AllRun());
  // It serves as soon as the store's pages have an end.
  fixture.store.SetNewestHook(nullptr);
  CHECK(fixture.AllServe("first"));
}

// The first key names the second one as it stands in a query, and the second
// one names what is before the first.
TEST_CASE("keys that name each other in a query are read once",
          "[pages][pages_cycle]") {
  CycleFixture fixture;
  fixture.store.SetPageOptions({.items = PageOptions::kMaxItems});
  for (const char* key : {"b%26", "b&x", "b&y"}) {
    fixture.store.AppendRecord(key, std::string(kLargeValue, 'A'),
                               kOperatorTopic);
  }
  fixture.Start();
  bool served = false;
  fixture.RunUntil([&] {
    served = fixture.Send(*fixture.daemons[0], "first") == kOk;
    return served || !fixture.IsBounded();
  });
  CAPTURE(fixture.store.CountRequests(kNewest), fixture.Growth(),
          fixture.StoreLines());
  CHECK(served);
  CHECK(fixture.IsBounded());
  CHECK(fixture.AllRun());
}

// A daemon kept values of other writers that no part of it reads, until its
// memory was exhausted.
TEST_CASE("large values of keys that name nothing take no memory",
          "[pages][pages_values]") {
  constexpr size_t kKeys = 200;
  constexpr size_t kRecordBytes = 250'000;
  constexpr size_t kMaxKilobytes = 48 * 1024;
  CycleFixture fixture;
  fixture.store.SetPageOptions({.items = PageOptions::kMaxItems});
  for (const char* topic : {kOperatorTopic, kUpstreamsTopic}) {
    for (const std::string& key : HostileKeys(kKeys)) {
      fixture.store.AppendRecord(key, std::string(kRecordBytes, 'A'), topic);
    }
  }
  fixture.Start();
  const bool served = fixture.AllServe("first");
  CAPTURE(fixture.Growth(), fixture.StoreLines());
  CHECK(served);
  CHECK(fixture.Growth() <= kMaxKilobytes);
  CHECK(fixture.AllRun());
}

}  // namespace
}  // namespace dandelion::test
