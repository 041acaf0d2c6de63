// Failures of real processes, judged by the stand-ins' own records.
#include <catch2/catch.hpp>

#include <csignal>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "test/support.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;

constexpr int64_t kFewSecondsMs = 3000;

// Each token is "NONCE.GENERATION.INDEX ": once, in order, one generation.
void CheckTokens(const std::vector<std::string>& tokens,
                 const std::string& nonce) {
  std::set<std::string> generations;
  for (size_t i = 0; i < tokens.size(); ++i) {
    const std::vector<std::string> parts = absl::StrSplit(tokens[i], '.');
    REQUIRE(parts.size() == 3);
    REQUIRE(parts[0] == nonce);
    generations.insert(parts[1]);
    REQUIRE(parts[2] == absl::StrCat(i, " "));
  }
  CHECK(generations.size() <= 1);
}

std::string EngineOf(Fleet& fleet) {
  for (int i = 1; i <= 4; ++i) {
    const std::string name = absl::StrCat("engine-", i);
    for (const Json& event : fleet.Record(name)) {
      if (event.at("what") == "work") {
        return name;
      }
    }
  }
  return {};
}

// Starts a stream of 100 tokens and brings about a fault after 10 of them.
Answer StreamWithFault(Fleet& fleet, const Json& fault) {
  Answer answer;
  bool ended = false;
  size_t seen = 0;
  Call call = Completion("n", 100, true);
  call.on_token = [&seen](size_t tokens) { seen = tokens; };
  const auto run = [&]() -> Task<void> {
    answer = co_await fleet.Send("host-1", call);
    ended = true;
  };
  fleet.Spawn(run());
  REQUIRE(fleet.Until([&] { return seen >= 10; }));
  fleet.Fault(EngineOf(fleet), fault);
  REQUIRE(fleet.Until([&] { return ended; }, Millis(25'000)));
  return answer;
}

int64_t WorkSince(Fleet& fleet, const std::string& name, int64_t time_ms) {
  int64_t count = 0;
  for (const Json& event : fleet.Record(name)) {
    const bool late = event.at("time_ms").get<int64_t>() > time_ms;
    count += event.at("what") == "work" && late ? 1 : 0;
  }
  return count;
}

/// Callers that send requests to given hosts until they are told to stop.
class Traffic {
 public:
  Traffic(Fleet& fleet, std::vector<std::string> hosts, int callers)
      : fleet_(fleet) {
    for (int i = 0; i < callers; ++i) {
      ++running_;
      fleet.Spawn(Caller(hosts[static_cast<size_t>(i) % hosts.size()], i));
    }
  }
  ~Traffic() { Stop(); }
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  void Stop() {
    stopped_ = true;
    fleet_.Until([this] { return running_ == 0; }, Millis(30'000));
  }
  int sent() const { return sent_; }
  int whole() const { return whole_; }
  /// The answers that were not whole.
  const std::string& failures() const { return failures_; }

 private:
  Task<void> Caller(std::string host, int number) {
    for (int i = 0; !stopped_; ++i) {
      const std::string nonce = absl::StrCat("c", number, "-", i);
      const bool streams = i % 2 == 0;
      Call call = Completion(nonce, streams ? 12 : 3, streams);
      call.label = streams ? "" : "short";
      const Answer answer = co_await fleet_.Send(host, call);
      // A refused connection is the balancer's to retry elsewhere.
      if (answer.status == 0 && answer.body.empty() && answer.tokens.empty()) {
        co_await base::Delay(Millis(5));
        continue;
      }
      ++sent_;
      const bool has_nonce = streams
                                 ? answer.tokens.size() == 12
                                 : answer.body.find(nonce) != std::string::npos;
      whole_ += answer.done && has_nonce ? 1 : 0;
      if (!answer.done || !has_nonce) {
        failures_ += absl::StrCat(host, " ", nonce, ": ", answer.status, " ",
                                  answer.error_kind, " ", answer.tokens.size(),
                                  " tokens ", answer.body.substr(0, 200), "\n");
      }
    }
    --running_;
  }

  Fleet& fleet_;
  bool stopped_ = false;
  int running_ = 0;
  int sent_ = 0;
  int whole_ = 0;
  std::string failures_;
};

TEST_CASE("a stream survives a connection that goes silent for good",
          "[stream]") {
  Fleet fleet;
  fleet.Open();
  const Answer answer = StreamWithFault(fleet, {{"silence", true}});
  CHECK(answer.done);
  CHECK(answer.tokens.size() == 100);
  CheckTokens(answer.tokens, "n");
}

TEST_CASE("tokens that a resumed stream repeats are dropped", "[stream]") {
  Fleet fleet;
  fleet.Open();
  const Answer answer = StreamWithFault(fleet, {{"cut", true}, {"repeat", 5}});
  CHECK(answer.tokens.size() == 100);
  CheckTokens(answer.tokens, "n");
}

TEST_CASE("a stream with a gap is read again from the gap", "[stream]") {
  Fleet fleet;
  fleet.Open();
  const Answer answer = StreamWithFault(fleet, {{"gaps", 1}});
  CHECK(answer.tokens.size() == 100);
  CheckTokens(answer.tokens, "n");
}

TEST_CASE("a lost generation is told, and never continued by another",
          "[stream]") {
  Fleet fleet;
  fleet.Open();
  const Answer answer = StreamWithFault(fleet, {{"restart", true}});
  CHECK_FALSE(answer.done);
  CHECK(answer.error_kind == "generation_lost");
  CheckTokens(answer.tokens, "n");
}

TEST_CASE("a whole answer arrives although its engine dies twice", "[stream]") {
  Fleet fleet;
  fleet.Open();
  Answer answer;
  bool ended = false;
  const auto run = [&]() -> Task<void> {
    Call call = Completion("n", 60, false);
    answer = co_await fleet.Send("host-1", call);
    ended = true;
  };
  fleet.Spawn(run());
  for (int deaths = 0; deaths < 2; ++deaths) {
    std::string engine;
    REQUIRE(fleet.Until([&] {
      for (int i = 1; i <= 4; ++i) {
        const std::string name = absl::StrCat("engine-", i);
        if (fleet.Get(name, "/v1/load").value("running", 0) > 0) {
          engine = name;
          return true;
        }
      }
      return false;
    }));
    fleet.Fault(engine, {{"restart", true}});
    // The report lags: wait until it no longer shows the lost generation.
    REQUIRE(fleet.Until([&] {
      return fleet.Get(engine, "/v1/load").value("running", 0) == 0;
    }));
  }
  REQUIRE(fleet.Until([&] { return ended; }, Millis(25'000)));
  CHECK(answer.status == 200);
  CHECK(answer.body.find(".59 ") != std::string::npos);
  std::set<std::string> generations;
  const std::string text =
      Json::parse(answer.body)["choices"][0]["text"].get<std::string>();
  for (const auto word : absl::StrSplit(text, ' ', absl::SkipEmpty())) {
    const std::vector<std::string> parts = absl::StrSplit(word, '.');
    generations.insert(parts.at(1));
  }
  CHECK(generations.size() == 1);
}

TEST_CASE("a caller resumes in another data centre after a SIGKILL",
          "[stream]") {
  Fleet fleet;
  fleet.Open();
  Answer first;
  bool ended = false;
  size_t seen = 0;
  Call call = Completion("n", 100, true);
  call.on_token = [&seen](size_t tokens) { seen = tokens; };
  const auto run = [&]() -> Task<void> {
    first = co_await fleet.Send("host-1", call);
    ended = true;
  };
  fleet.Spawn(run());
  REQUIRE(fleet.Until([&] { return seen >= 10; }));
  fleet.Signal("host-1", SIGKILL);
  REQUIRE(fleet.Until([&] { return ended; }));
  Call resume = Completion("n", 100, true);
  resume.last_id = first.last_id;
  const Answer rest = fleet.Ask("host-4", resume);
  std::vector<std::string> all = first.tokens;
  all.insert(all.end(), rest.tokens.begin(), rest.tokens.end());
  CHECK(all.size() == 100);
  CheckTokens(all, "n");

  resume.organisation = "another";
  const Answer stranger = fleet.Ask("host-4", resume);
  CHECK(stranger.error_kind == "unauthorised");
  CHECK(stranger.ran == "no");
}

TEST_CASE("a restarted engine is never given more than it bears cold",
          "[cold]") {
  Fleet fleet(Json{{"warming_ms", 2000}});
  fleet.Open();
  Traffic traffic(fleet, {"host-1", "host-2", "host-3", "host-4"}, 24);
  REQUIRE(fleet.Until([&] { return traffic.sent() > 100; }));
  SECTION("under load") {
    fleet.Fault("engine-1", {{"restart", true}});
  }
  SECTION("while the owner of its slots is killed") {
    const std::string owner =
        fleet.StatusOf("host-1").at("upstreams").at(1).at("owner");
    fleet.Signal(owner, SIGKILL);
    fleet.Fault("engine-1", {{"restart", true}});
  }
  SECTION("while the owner of its slots is frozen past its lease") {
    const std::string owner =
        fleet.StatusOf("host-1").at("upstreams").at(1).at("owner");
    fleet.Signal(owner, SIGSTOP);
    fleet.Fault("engine-1", {{"restart", true}});
    const int64_t thaw = fleet.Now() + kFewSecondsMs;
    REQUIRE(fleet.Until([&] { return fleet.Now() > thaw; }));
    fleet.Signal(owner, SIGCONT);
  }
  const int64_t end = fleet.Now() + 5000;
  REQUIRE(fleet.Until([&] { return fleet.Now() > end; }));
  traffic.Stop();
  int64_t highest_cold = 0;
  int64_t highest = 0;
  for (const Json& event : fleet.Record("engine-1")) {
    CHECK(event.at("what") != "fell_over");
    if (event.at("what") == "work") {
      const int64_t concurrency = event.at("concurrency");
      int64_t& most = event.at("cold").get<bool>() ? highest_cold : highest;
      most = std::max(most, concurrency);
    }
  }
  CHECK(highest_cold <= 2);
  CHECK(highest <= 8);
}

TEST_CASE("a data centre that was taken out receives no new work after 3 s",
          "[out]") {
  Fleet fleet;
  fleet.Open();
  Traffic traffic(fleet, {"host-1", "host-2", "host-3", "host-4"}, 16);
  REQUIRE(fleet.Until([&] { return traffic.sent() > 50; }));
  REQUIRE(fleet.Tool({"drain", "data_centre/dc-b"}) == 0);
  const int64_t bound = fleet.Now() + kFewSecondsMs;
  REQUIRE(fleet.Until([&] { return fleet.Now() > bound + 1000; }));
  CHECK(WorkSince(fleet, "engine-3", bound) == 0);
  CHECK(WorkSince(fleet, "engine-4", bound) == 0);
  const int before = traffic.whole();
  REQUIRE(fleet.Tool({"restore", "data_centre/dc-b"}) == 0);
  const int64_t back = fleet.Now();
  CHECK(fleet.Until([&] { return WorkSince(fleet, "engine-3", back) > 0; }));
  traffic.Stop();
  CHECK(traffic.whole() > before);
  INFO(traffic.failures());
  CHECK(traffic.whole() == traffic.sent());
}

TEST_CASE("a leaving upstream receives no new work after 3 s", "[leaving]") {
  Fleet fleet;
  fleet.Open();
  Traffic traffic(fleet, {"host-1", "host-2", "host-3", "host-4"}, 16);
  REQUIRE(fleet.Until([&] { return traffic.sent() > 50; }));
  const int64_t start = fleet.Now();
  int64_t lag = 0;
  SECTION("by the engine's word") {
    fleet.Fault("engine-1", {{"leaving", true}});
  }
  SECTION("by the host list's word") {
    Json hosts = Json::array({{{"id", "engine-1"}, {"state", "leaving"}}});
    for (int i = 1; i <= 4; ++i) {
      hosts.push_back({{"id", absl::StrCat("host-", i)}});
    }
    fleet.Fault("platform", {{"hosts", hosts}});
    // The stand-in's list lags by a second.
    lag = 1000;
  }
  SECTION("by the table") {
    REQUIRE(fleet.Tool({"drain", "upstream/engine-1"}) == 0);
  }
  const int64_t bound = start + lag + kFewSecondsMs;
  REQUIRE(fleet.Until([&] { return fleet.Now() > bound + 1000; }));
  traffic.Stop();
  CHECK(WorkSince(fleet, "engine-1", bound) == 0);
  INFO(traffic.failures());
  CHECK(traffic.whole() == traffic.sent());
}

TEST_CASE("a registration runs at most once, and not run means not run",
          "[once]") {
  Fleet fleet;
  fleet.Open();
  const std::vector<std::string> hosts = {"host-1", "host-2", "host-3",
                                          "host-4"};
  std::map<std::string, std::set<std::string>> said;
  int pending = 0;
  const auto send = [&](std::string host, std::string key) -> Task<void> {
    const Call call = Registration(key);
    const Answer answer = co_await fleet.Send(host, call);
    said[key].insert(answer.status == 201 ? "yes" : answer.ran);
    if (answer.status != 201) {
      UNSCOPED_INFO(key << " at " << host << ": " << answer.status << " "
                        << answer.body);
    }
    --pending;
  };
  const auto everywhere = [&](const std::string& key) {
    for (const std::string& host : hosts) {
      ++pending;
      fleet.Spawn(send(host, key));
    }
  };
  everywhere("calm");
  REQUIRE(fleet.Until([&] { return pending == 0; }, Millis(25'000)));
  fleet.Fault("archive-1", {{"drop_after", 1}});
  everywhere("answer-lost");
  REQUIRE(fleet.Until([&] { return pending == 0; }, Millis(25'000)));
  fleet.Fault("archive-1", {{"drop_before", 1}});
  everywhere("dropped-before");
  REQUIRE(fleet.Until([&] { return pending == 0; }, Millis(25'000)));
  fleet.Fault("archive-1", {{"refuse", true}});
  everywhere("refused");
  REQUIRE(fleet.Until([&] { return pending == 0; }, Millis(25'000)));
  fleet.Fault("archive-1", {{"refuse", false}});
  fleet.Fault("platform", {{"lose_answers", 2}});
  everywhere("append-answer-lost");
  REQUIRE(fleet.Until([&] { return pending == 0; }, Millis(25'000)));
  fleet.Fault("platform", {{"outage", true}});
  everywhere("outage");
  REQUIRE(fleet.Until([&] { return pending == 0; }, Millis(25'000)));
  // Other work goes on without the platform.
  CHECK(fleet.Ask("host-1", Completion("n", 3, false)).status == 200);
  fleet.Fault("platform", {{"outage", false}});
  fleet.Fault("archive-1", {{"delay_ms", 400}});
  everywhere("claimant-killed");
  REQUIRE(fleet.Until([&] { return pending == 4; }));
  fleet.Signal("host-2", SIGKILL);
  REQUIRE(fleet.Until([&] { return pending == 0; }, Millis(25'000)));

  const Json executions = fleet.Get("archive-1", "/executions");
  for (const auto& [key, answers] : said) {
    INFO(key);
    const int count = executions.value(key, 0);
    CHECK(count <= 1);
    if (answers.contains("yes")) {
      CHECK(count == 1);
    }
    if (answers == std::set<std::string>{"no"}) {
      CHECK(count == 0);
    }
  }
  CHECK(said["calm"] == std::set<std::string>{"yes"});
  CHECK(said["outage"] == std::set<std::string>{"no"});
  CHECK(said["refused"] == std::set<std::string>{"no"});
  CHECK(said["answer-lost"] == std::set<std::string>{"unknown"});
}

TEST_CASE("a rolling stop of all daemons cuts no request", "[stop]") {
  Fleet fleet;
  fleet.Open();
  Traffic traffic(fleet, {"host-1", "host-2", "host-3", "host-4"}, 12);
  REQUIRE(fleet.Until([&] { return traffic.sent() > 30; }));
  for (const std::string host : {"host-1", "host-2", "host-3", "host-4"}) {
    fleet.Signal(host, SIGTERM);
    // The process ends by itself; callers go on meanwhile.
    REQUIRE(fleet.Until([&] { return fleet.StatusOf(host).empty(); },
                        Millis(20'000)));
    CHECK(fleet.Wait(host) == 0);
    fleet.Start(host);
    REQUIRE(
        fleet.Until([&] { return fleet.StatusOf(host).value("ready", false); },
                    Millis(20'000)));
  }
  traffic.Stop();
  INFO(traffic.failures());
  CHECK(traffic.whole() == traffic.sent());
}

TEST_CASE("an accepted configuration is in force everywhere within 5 s",
          "[config]") {
  Fleet fleet;
  fleet.Open();
  const auto everywhere = [&fleet](int64_t version) {
    for (int i = 1; i <= 4; ++i) {
      if (fleet.StatusOf(absl::StrCat("host-", i)).value("version", 0) <
          version) {
        return false;
      }
    }
    return true;
  };
  constexpr Millis kWithin(5000);
  SECTION("with the platform gone once one daemon knows it") {
    REQUIRE(fleet.Tool({"drain", "upstream/engine-4"}) == 0);
    REQUIRE(fleet.Until([&] {
      for (int i = 1; i <= 4; ++i) {
        if (fleet.StatusOf(absl::StrCat("host-", i)).value("version", 0) == 2) {
          return true;
        }
      }
      return false;
    }));
    fleet.Fault("platform", {{"outage", true}});
    CHECK(fleet.Until([&] { return everywhere(2); }, kWithin));
  }
  SECTION("with the answer to the append lost") {
    fleet.Fault("platform", {{"lose_answers", 1}});
    REQUIRE(fleet.Tool({"drain", "upstream/engine-4"}) == 0);
    CHECK(fleet.Until([&] { return everywhere(2); }, kWithin));
  }
  SECTION("at a daemon that starts during an outage, beside peers") {
    fleet.Signal("host-2", SIGKILL);
    fleet.Fault("platform", {{"outage", true}});
    fleet.Start("host-2");
    CHECK(fleet.Until([&] { return everywhere(1); }, kWithin));
    CHECK(fleet.StatusOf("host-2").value("ready", false));
  }
}

}  // namespace
}  // namespace dandelion::test
