#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "test/daemon-support.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;
using nlohmann::json;

constexpr char kOperatorTopic[] = "keyed.op";
constexpr char kUpstreamsTopic[] = "keyed.servers";
constexpr size_t kDataCentres = 3;
constexpr size_t kHosts = 7;
// Consecutive versions move a route through these pools, which tells by which
// of them a request was handled.
constexpr int kPools = 8;
constexpr int kKeptRoutes = 10;
// Bounds of the rules: a change is in force, a key that was taken away is not
// served, and a daemon without disturbance is in touch, after these times.
constexpr Millis kChangeDelay{2000};
constexpr Millis kKeyLifetime{5000};
constexpr Millis kContactTime{3000};
// A request that is sent this long after an answer must not be handled by an
// older version than that.
constexpr Millis kRollbackSlack{100};
constexpr Millis kProbeInterval{150};
constexpr Millis kProbePatience{3000};
// A store that is this late, as this process had no processor, is disturbed.
constexpr Millis kMaxLag{200};
constexpr int kOk = 200;
constexpr int kUnauthorised = 401;
constexpr int kNotFound = 404;

int NumberFromEnvironment(const char* name, int otherwise) {
  const char* value = std::getenv(name);
  return value ? std::atoi(value) : otherwise;
}

std::string PoolOf(int version) {
  return absl::StrCat("pool-", version % kPools);
}
std::string KeyOf(int version) {
  return absl::StrCat("key-", version);
}

/// Daemon processes in several data centres, each with a way to the store of
/// its own, an operator who makes changes, and a random series of disturbances.
struct Soak : PlatformFixture {
  struct Host {
    std::string name;
    json settings;
    std::unique_ptr<StoreDoor> door;
    std::unique_ptr<RunningDaemon> daemon;
    /// Counts the starts of its process.
    int incarnation = 0;
    bool stopped = false;
    bool door_fails = false;
    /// The end of its last disturbance.
    Millis harmed_at;
    /// The newest version by which this process has handled a request.
    int seen_version = 0;
    Millis seen_at;

    bool IsHarmed() const { return !daemon || stopped || door_fails; }
  };

  enum class Kind { kAddedRoute, kMovedRoute, kNewKey, kOldKey };
  struct Probe {
    std::unique_ptr<Caller> caller;
    Kind kind;
    size_t host;
    int incarnation;
    Millis sent_at;
    /// The newest version that must be in force, and what it was sent for.
    int required;
    int subject;
    int seen_version;
  };
  struct Change {
    Millis at;
    std::function<void()> apply;
  };

  explicit Soak(unsigned seed) : random(seed) {
    store.HonourWaits();
    PageOptions pages;
    pages.items = PageOptions::kMaxItems;
    store.SetPageOptions(pages);
    for (int i = 0; i < kPools; ++i) {
      const std::string answer = PoolOf(i);
      upstreams.push_back(std::make_unique<FakeUpstream>(
          context.get_executor(),
          [answer](http::Exchange& exchange) -> Task<void> {
            http::Response response =
                SealedResponse(exchange.request(), answer);
            (void)co_await exchange.Respond(std::move(response));
          }));
    }
    Publish();
    WriteEntries();
    hosts.resize(kHosts);
    for (size_t i = 0; i < kHosts; ++i) {
      hosts[i].door =
          std::make_unique<StoreDoor>(context.get_executor(), store);
      hosts[i].settings = SettingsOf(i);
      Start(hosts[i]);
    }
    base::Spawn(context.get_executor(), Beat());
  }
  ~Soak() {
    ended = true;
    RunUntil([this] { return !beats; });
    probes.clear();
    for (Host& host : hosts) {
      host.daemon.reset();
      CloseDoor(*host.door);
    }
    hosts.clear();
    for (const auto& upstream : upstreams) {
      upstream->CloseAll();
    }
    EndTasks();
  }

  /// The first two daemons of each data centre are its delegates.
  json SettingsOf(size_t index) {
    const std::string data_centre(
        1, static_cast<char>('a' + index % kDataCentres));
    const size_t of_data_centre = index / kDataCentres;
    hosts[index].name = absl::StrCat(data_centre, "-", of_data_centre + 1);
    json settings = {
        {"host", hosts[index].name},
        {"data_centre", data_centre},
        {"store",
         absl::StrCat(kLoopback, ":", hosts[index].door->address().port())},
        {"processor_share", of_data_centre < 2 ? 0.5 : 0.2}};
    for (const char* name :
         {"callers", "readiness", "metrics", "peer_address"}) {
      settings[name] = FindFreeAddress();
    }
    return settings;
  }

  static Millis Now() { return base::Clock::Monotonic().Now(); }
  int Random(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  }
  void After(int ms, std::function<void()> apply) {
    changes.push_back({Now() + Millis(ms), std::move(apply)});
  }
  void Note(const std::string& what) {
    notes += absl::StrCat((Now() - started_at).count(), " ", what, "\n");
  }

  void Start(Host& host) {
    more_settings = host.settings;
    host.daemon = std::make_unique<RunningDaemon>(*this);
    host.harmed_at = Now();
    host.stopped = false;
    host.seen_version = 0;
    ++host.incarnation;
  }

  void WriteEntries() {
    ++beat;
    for (int i = 0; i < kPools; ++i) {
      json entry = MakeUpstreamEntry(PoolOf(i), *upstreams[i], 1000);
      entry["seq"] = beat;
      store.AppendRecord(absl::StrCat("u-", i), entry.dump(), kUpstreamsTopic);
    }
  }
  Task<void> Beat() {
    constexpr Millis kBeat{200};
    beats = true;
    while (!ended) {
      WriteEntries();
      co_await base::SleepFor(kBeat);
    }
    beats = false;
  }

  /// Publishes the next version: it adds a route and a key, moves a route, and
  /// takes the key before the last one away.
  void Publish() {
    ++version;
    json routes = json::array();
    json pools = json::array();
    for (int i = std::max(1, version - kKeptRoutes); i <= version; ++i) {
      routes.push_back(
          MakeRoute(absl::StrCat("v", i), "idempotent", PoolOf(version)));
      routes.back()["public"] = true;
    }
    routes.push_back(MakeRoute("moved", "idempotent", PoolOf(version)));
    routes.back()["public"] = true;
    routes.push_back(MakeRoute("keyed", "idempotent", PoolOf(version)));
    for (int i = 0; i < kPools; ++i) {
      pools.push_back({{"name", PoolOf(i)}});
    }
    config = json({{"version", version},
                   {"routes", routes},
                   {"backends", pools},
                   {"tenants",
                    {{{"name", "one"},
                      {"api-keys", {KeyOf(version), KeyOf(version - 1)}}}}}})
                 .dump();
    store.AppendRecord("config", config, kOperatorTopic);
    acknowledged_at.push_back(Now());
    Note(absl::StrCat("version ", version));
  }

  /// The newest version that must be in force for a request sent at `at`.
  int RequiredAt(Millis at) const {
    int required = 0;
    for (size_t i = 0; i < acknowledged_at.size(); ++i) {
      if (acknowledged_at[i] + kChangeDelay < at) {
        required = static_cast<int>(i) + 1;
      }
    }
    return required;
  }
  bool IsInTouch(const Host& host, Millis sent_at) const {
    return !host.IsHarmed() && host.harmed_at + kContactTime < sent_at &&
           disturbed_at + kContactTime < sent_at && !store_is_older;
  }

  void Send(size_t index, Kind kind) {
    Host& host = hosts[index];
    Probe probe{std::make_unique<Caller>(context),
                kind,
                index,
                host.incarnation,
                Now(),
                RequiredAt(Now()),
                0,
                host.seen_at + kRollbackSlack < Now() ? host.seen_version : 0};
    std::string route = "moved";
    std::string headers;
    switch (kind) {
      case Kind::kAddedRoute:
        probe.subject = probe.required;
        route = absl::StrCat("v", probe.subject);
        break;
      case Kind::kMovedRoute:
        break;
      case Kind::kNewKey:
        probe.subject = probe.required;
        break;
      case Kind::kOldKey:
        probe.subject = LastRemovedKey();
        break;
    }
    if (kind == Kind::kNewKey || kind == Kind::kOldKey) {
      route = "keyed";
      headers =
          absl::StrCat("Authorization: Token ", KeyOf(probe.subject), "\r\n");
    }
    const bool has_subject = kind == Kind::kMovedRoute || probe.subject > 0;
    if (has_subject && probe.caller->SendRequest(host.daemon->address,
                                                 ++requests, route, headers)) {
      probes.push_back(std::move(probe));
    }
  }
  /// The newest version whose key must not be served any more.
  int LastRemovedKey() const {
    for (int key = version; key > 0; --key) {
      const size_t removed_by = static_cast<size_t>(key) + 2;
      if (removed_by <= acknowledged_at.size() &&
          acknowledged_at[removed_by - 1] + kKeyLifetime < Now()) {
        return key;
      }
    }
    return 0;
  }

  void Fail(const Probe& probe, const std::string& what) {
    Host& host = hosts[probe.host];
    const std::string text = absl::StrCat(
        (probe.sent_at - started_at).count(), " ", host.name, ": ", what,
        ", required ", probe.required, ", newest ", version, "\n");
    Note("FAILED " + text);
    if (failures++ == 0) {
      first_failure = text;
      for (const Host& each : hosts) {
        if (each.daemon) {
          logs += "== " + each.name + "\n" +
                  each.daemon->LoggedLines("topic=operator") +
                  each.daemon->LoggedLines("name=config_installed") +
                  each.daemon->LoggedLines("name=peer_") +
                  each.daemon->LoggedLines("name=forward_refused");
        }
      }
    }
  }

  /// The newest version that may have chosen the pool that answered.
  int VersionOf(const std::string& answer) const {
    for (int candidate = version; candidate > 0; --candidate) {
      if (answer.ends_with(PoolOf(candidate))) {
        return candidate;
      }
    }
    return 0;
  }

  void Judge(const Probe& probe) {
    Host& host = hosts[probe.host];
    if (host.incarnation != probe.incarnation) {
      return;
    }
    const bool in_touch = IsInTouch(host, probe.sent_at);
    const int status = probe.caller->Status();
    ++answers;
    judged += in_touch ? 1 : 0;
    const bool served = status == kOk || probe.kind == Kind::kOldKey;
    unavailable += in_touch && !served ? 1 : 0;
    if (probe.kind == Kind::kOldKey) {
      if (status == kOk) {
        Fail(probe, absl::StrCat("served key ", probe.subject));
      }
      return;
    }
    if (in_touch && (status == kNotFound || status == kUnauthorised)) {
      // A key may have been taken away since.
      const bool may_be_gone =
          probe.kind == Kind::kNewKey && probe.subject + 2 <= version;
      if (!may_be_gone) {
        Fail(probe, absl::StrCat("status ", status, " for ", probe.subject));
      }
      return;
    }
    if (status != kOk) {
      return;
    }
    const int by = VersionOf(probe.caller->received());
    if (in_touch && by < probe.required) {
      Fail(probe, absl::StrCat("handled by version ", by));
    }
    if (by < probe.seen_version) {
      Fail(probe,
           absl::StrCat("went back from ", probe.seen_version, " to ", by));
    }
    if (by > host.seen_version) {
      host.seen_version = by;
      host.seen_at = Now();
    }
  }
  static bool IsAnswered(const Probe& probe) {
    const int status = probe.caller->Status();
    return status != 0 && (status != kOk || probe.caller->received().find(
                                                "pool-") != std::string::npos);
  }
  void JudgeAnswers() {
    std::erase_if(probes, [this](const Probe& probe) {
      const bool answered = IsAnswered(probe);
      if (answered) {
        Judge(probe);
      }
      return answered || Now() - probe.sent_at > kProbePatience;
    });
  }

  void MendDoor(size_t index) {
    hosts[index].door->Mend();
    hosts[index].door_fails = false;
    hosts[index].harmed_at = Now();
    Note("mended " + hosts[index].name);
  }
  void FailDoor(size_t index) {
    constexpr StoreFault kFaults[] = {StoreFault::kHang, StoreFault::kReset,
                                      StoreFault::kRefuse, StoreFault::kLate};
    Host& host = hosts[index];
    if (host.door_fails) {
      return;
    }
    const StoreFault fault = kFaults[Random(0, 3)];
    const int what = Random(0, 2);
    host.door_fails = true;
    if (what == 0) {
      host.door->FailAll(fault);
    } else {
      host.door->Fail(what == 1 ? kOperatorTopic : kUpstreamsTopic, fault);
    }
    Note(absl::StrCat("door of ", host.name, " fault ", static_cast<int>(fault),
                      " what ", what));
    After(Random(500, 6000), [this, index] { MendDoor(index); });
  }
  /// The daemons that read the operators' topic.
  std::vector<size_t> Readers() const {
    std::vector<size_t> readers;
    for (size_t i = 0; i < hosts.size(); ++i) {
      if (!hosts[i].daemon) {
        continue;
      }
      const auto count = [&](const std::string& event) {
        const std::string lines =
            hosts[i].daemon->LoggedLines("name=" + event + " topic=operator");
        return std::count(lines.begin(), lines.end(), '\n');
      };
      if (count("store_reader_started") > count("store_reader_stopped")) {
        readers.push_back(i);
      }
    }
    return readers;
  }
  void FailDoors() {
    std::vector<size_t> chosen;
    switch (Random(0, 5)) {
      case 0:
        for (size_t i = 0; i < 2 * kDataCentres; ++i) {
          chosen.push_back(i);
        }
        break;
      case 1:
        for (size_t i = 0; i < hosts.size(); ++i) {
          chosen.push_back(i);
        }
        break;
      case 2:
      case 3:
        chosen = Readers();
        break;
      default:
        chosen.push_back(RandomHost());
    }
    for (const size_t index : chosen) {
      FailDoor(index);
    }
  }
  size_t RandomHost() {
    return static_cast<size_t>(Random(0, static_cast<int>(hosts.size()) - 1));
  }

  void Kill() {
    const size_t index = RandomHost();
    Host& host = hosts[index];
    if (!host.daemon || host.stopped) {
      return;
    }
    Note("killed " + host.name);
    host.daemon.reset();
    After(Random(100, 3000), [this, index] {
      Note("started " + hosts[index].name);
      Start(hosts[index]);
    });
  }
  void Freeze() {
    const size_t index = RandomHost();
    Host& host = hosts[index];
    if (!host.daemon || host.stopped) {
      return;
    }
    Note("stopped " + host.name);
    host.daemon->process->SendSignal(SIGSTOP);
    host.stopped = true;
    After(Random(1000, 6000), [this, index] {
      Note("continued " + hosts[index].name);
      hosts[index].daemon->process->SendSignal(SIGCONT);
      hosts[index].stopped = false;
      hosts[index].harmed_at = Now();
    });
  }
  /// The store loses the newest records, which are written again soon.
  void LoseNewest() {
    if (store_is_older) {
      return;
    }
    Note("store came back older");
    store_is_older = true;
    store.LoseNewest(kOperatorTopic, static_cast<size_t>(Random(0, 2)));
    if (Random(0, 1) == 0) {
      store.LoseNewest(kUpstreamsTopic, static_cast<size_t>(Random(0, 100)));
    }
    After(Random(10, 1500), [this] {
      Note("written again");
      store.AppendRecord("config", config, kOperatorTopic);
      store_is_older = false;
      disturbed_at = Now();
    });
  }
  void Disturb() {
    switch (Random(0, 9)) {
      case 0:
        Note("truncated");
        store.TruncateHistory();
        break;
      case 1:
        LoseNewest();
        break;
      case 2:
      case 3:
        Kill();
        break;
      case 4:
      case 5:
        Freeze();
        break;
      default:
        FailDoors();
    }
    After(Random(300, 4000), [this] { Disturb(); });
  }
  void PublishAgain() {
    // What was lost is written again first.
    if (!store_is_older) {
      Publish();
    }
    After(Random(500, 2500), [this] { PublishAgain(); });
  }
  void ProbeAll() {
    for (size_t i = 0; i < hosts.size(); ++i) {
      if (hosts[i].daemon && !hosts[i].stopped) {
        Send(i, static_cast<Kind>(next_kind));
      }
    }
    next_kind = (next_kind + 1) % 4;
    After(static_cast<int>(kProbeInterval.count()) / 4, [this] { ProbeAll(); });
  }

  void Run(Millis time) {
    started_at = Now();
    disturbed_at = Now();
    After(3000, [this] { Disturb(); });
    PublishAgain();
    ProbeAll();
    Millis last = Now();
    context.restart();
    while (Now() - started_at < time) {
      context.run_one_for(std::chrono::milliseconds(5));
      context.poll();
      context.restart();
      NoteLag(last);
      last = Now();
      std::vector<Change> due;
      std::erase_if(changes, [&](Change& change) {
        const bool is_due = change.at <= last;
        if (is_due) {
          due.push_back(change);
        }
        return is_due;
      });
      for (const Change& change : due) {
        change.apply();
      }
      JudgeAnswers();
    }
  }
  void NoteLag(Millis last) {
    if (Now() - last > kMaxLag) {
      Note(absl::StrCat("lag ", (Now() - last).count()));
      disturbed_at = Now();
      ++lags;
    }
  }

  std::mt19937 random;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams;
  std::vector<Host> hosts;
  std::vector<Probe> probes;
  std::vector<Change> changes;
  /// By version, from 1.
  std::vector<Millis> acknowledged_at;
  std::string config;
  std::string notes;
  std::string logs;
  std::string first_failure;
  Millis started_at;
  Millis disturbed_at;
  bool store_is_older = false;
  int version = 0;
  int beat = 0;
  int requests = 0;
  int next_kind = 0;
  int answers = 0;
  int judged = 0;
  int unavailable = 0;
  int failures = 0;
  int lags = 0;
  bool ended = false;
  bool beats = false;
};

TEST_CASE("changes are in force at daemons in touch whatever happens to others",
          "[soak]") {
  const int seed = NumberFromEnvironment("SOAK_SEED", 1);
  const int seconds = NumberFromEnvironment("SOAK_SECONDS", 45);
  Soak soak(static_cast<unsigned>(seed));
  soak.Run(Millis(seconds * 1000));
  std::cout << absl::StrCat("seed ", seed, ": ", soak.version, " versions, ",
                            soak.answers, " answers, ", soak.judged,
                            " in touch (", soak.unavailable,
                            " of them not served), ", soak.lags, " lags, ",
                            soak.failures, " failures\n");
  if (soak.failures > 0) {
    std::cout << soak.notes << soak.logs;
  }
  CAPTURE(seed, soak.first_failure);
  CHECK(soak.failures == 0);
  CHECK(soak.judged > 0);
}

}  // namespace
}  // namespace dandelion::test
