// Failures of processes in a fleet of daemons and stand-ins. Expectations are
// checked against the responses and the events that the stand-ins recorded.
#include <catch2/catch.hpp>

#include <csignal>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "test/support.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;

// Time within which a change of state must be in effect at all daemons.
constexpr int64_t kMaxPropagationMs = 3000;

// Checks that each token "NONCE.GENERATION.INDEX " was received once and in
// order, and that all come from one generation.
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

// Returns the first engine that received work; an empty string if none did.
std::string FindWorkingEngine(Fleet& fleet) {
  for (int i = 1; i <= 4; ++i) {
    const std::string name = absl::StrCat("engine-", i);
    for (const Json& event : fleet.GetEvents(name)) {
      if (event.at("what") == "work") {
        return name;
      }
    }
  }
  return {};
}

// Streams 100 tokens and sets a fault at their engine after the first 10.
Answer StreamWithEngineFault(Fleet& fleet, const Json& fault) {
  Answer answer;
  bool ended = false;
  size_t tokens_received = 0;
  Call call = MakeCompletion("n", 100, true);
  call.on_token = [&tokens_received](size_t tokens) {
    tokens_received = tokens;
  };
  const auto run = [&]() -> Task<void> {
    answer = co_await fleet.Send("host-1", call);
    ended = true;
  };
  fleet.Spawn(run());
  REQUIRE(fleet.RunUntil([&] { return tokens_received >= 10; }));
  fleet.InjectFault(FindWorkingEngine(fleet), fault);
  REQUIRE(fleet.RunUntil([&] { return ended; }, Millis(25'000)));
  return answer;
}

// Returns the number of generations that an engine received after `time_ms`.
int64_t CountWorkSince(Fleet& fleet, const std::string& name, int64_t time_ms) {
  int64_t count = 0;
  for (const Json& event : fleet.GetEvents(name)) {
    const bool is_later = event.at("time_ms").get<int64_t>() > time_ms;
    count += event.at("what") == "work" && is_later ? 1 : 0;
  }
  return count;
}

/// Callers that send requests to the given hosts, one after the other each,
/// until they are stopped. Streams and non-streamed requests alternate.
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

  /// Stops the callers and waits for the responses to their last requests.
  void Stop() {
    stopped_ = true;
    fleet_.RunUntil([this] { return running_ == 0; }, Millis(30'000));
  }
  /// Number of requests that have ended, without those whose connection failed
  /// before any response.
  int sent() const { return sent_; }
  /// Number of requests that were answered completely.
  int completed() const { return completed_; }
  /// A line for each request that was not answered completely.
  const std::string& failures() const { return failures_; }

 private:
  Task<void> Caller(std::string host, int number) {
    for (int i = 0; !stopped_; ++i) {
      const std::string nonce = absl::StrCat("c", number, "-", i);
      const bool streams = i % 2 == 0;
      Call call = MakeCompletion(nonce, streams ? 12 : 3, streams);
      call.label = streams ? "" : "short";
      const Answer answer = co_await fleet_.Send(host, call);
      // A connection that fails without any response does not count: the load
      // balancer would retry the request at another host.
      if (answer.status == 0 && answer.body.empty() && answer.tokens.empty()) {
        co_await base::SleepFor(Millis(5));
        continue;
      }
      ++sent_;
      const bool has_expected_content =
          streams ? answer.tokens.size() == 12
                  : answer.body.find(nonce) != std::string::npos;
      completed_ += answer.done && has_expected_content ? 1 : 0;
      if (!answer.done || !has_expected_content) {
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
  int completed_ = 0;
  std::string failures_;
};

/// Requests that run beside a test, and their answers by key.
class Requests {
 public:
  explicit Requests(Fleet& fleet) : fleet_(fleet) {}

  void Start(const std::string& host, const std::string& key, Call call) {
    ++started_;
    fleet_.Spawn(Run(host, key, std::move(call)));
  }
  /// Waits until all have ended.
  bool Finish() {
    return fleet_.RunUntil([this] { return answers_.size() == started_; },
                           Millis(25'000));
  }
  const std::map<std::string, Answer>& answers() const { return answers_; }

 private:
  Task<void> Run(std::string host, std::string key, Call call) {
    const Answer answer = co_await fleet_.Send(host, call);
    answers_[key] = answer;
  }

  Fleet& fleet_;
  size_t started_ = 0;
  std::map<std::string, Answer> answers_;
};

TEST_CASE("a stream resumes after its connection falls silent", "[stream]") {
  Fleet fleet;
  fleet.PublishTablesAndWait();
  const Answer answer = StreamWithEngineFault(fleet, {{"silence", true}});
  CHECK(answer.done);
  CHECK(answer.tokens.size() == 100);
  CheckTokens(answer.tokens, "n");
}

TEST_CASE("repeated tokens of a resumed stream are dropped", "[stream]") {
  Fleet fleet;
  fleet.PublishTablesAndWait();
  const Answer answer =
      StreamWithEngineFault(fleet, {{"cut", true}, {"repeat", 5}});
  CHECK(answer.tokens.size() == 100);
  CheckTokens(answer.tokens, "n");
}

TEST_CASE("a stream that skips a token is read again from the missing token",
          "[stream]") {
  Fleet fleet;
  fleet.PublishTablesAndWait();
  const Answer answer = StreamWithEngineFault(fleet, {{"gaps", 1}});
  CHECK(answer.tokens.size() == 100);
  CheckTokens(answer.tokens, "n");
}

TEST_CASE("a lost generation is reported and not continued by another one",
          "[stream]") {
  Fleet fleet;
  fleet.PublishTablesAndWait();
  const Answer answer = StreamWithEngineFault(fleet, {{"restart", true}});
  CHECK_FALSE(answer.done);
  CHECK(answer.error_kind == "generation_lost");
  CheckTokens(answer.tokens, "n");
}

TEST_CASE("a non-streamed answer arrives after two restarts of its engine",
          "[stream]") {
  Fleet fleet;
  fleet.PublishTablesAndWait();
  Answer answer;
  bool ended = false;
  const auto run = [&]() -> Task<void> {
    Call call = MakeCompletion("n", 60, false);
    answer = co_await fleet.Send("host-1", call);
    ended = true;
  };
  fleet.Spawn(run());
  for (int restarts = 0; restarts < 2; ++restarts) {
    std::string engine;
    REQUIRE(fleet.RunUntil([&] {
      for (int i = 1; i <= 4; ++i) {
        const std::string name = absl::StrCat("engine-", i);
        if (fleet.GetJson(name, "/v1/load").value("running", 0) > 0) {
          engine = name;
          return true;
        }
      }
      return false;
    }));
    fleet.InjectFault(engine, {{"restart", true}});
    // Load reports lag: wait until they no longer include the lost generation.
    REQUIRE(fleet.RunUntil([&] {
      return fleet.GetJson(engine, "/v1/load").value("running", 0) == 0;
    }));
  }
  REQUIRE(fleet.RunUntil([&] { return ended; }, Millis(25'000)));
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

TEST_CASE("an answer arrives after its engine restarts before the first token",
          "[stream]") {
  Fleet fleet(Json{{"step_base_ms", 2000}});
  fleet.PublishTablesAndWait();
  const bool streams = GENERATE(false, true);
  Requests requests(fleet);
  requests.Start("host-1", "n", MakeCompletion("n", 2, streams));
  REQUIRE(fleet.RunUntil([&] { return !FindWorkingEngine(fleet).empty(); }));
  fleet.InjectFault(FindWorkingEngine(fleet), {{"restart", true}});
  REQUIRE(requests.Finish());
  const Answer& answer = requests.answers().at("n");
  CHECK(answer.done);
  const std::string text =
      streams ? absl::StrJoin(answer.tokens, "") : answer.body;
  CHECK(text.find(".1 ") != std::string::npos);
}

// Makes a completion request whose prompt crashes each engine at the first
// token. Prompts of all `nonce` have the same long prefix.
Call MakeCrashingCompletion(int nonce) {
  constexpr size_t kPrefixBytes = 1024;
  Call call;
  call.body =
      Json({{"prompt", absl::StrCat(std::string(kPrefixBytes, 'p'),
                                    "[[crash=1]][[nonce=", nonce, "]]")}})
          .dump();
  return call;
}

int CountCrashes(Fleet& fleet) {
  int crashes = 0;
  for (int i = 1; i <= 4; ++i) {
    for (const Json& event : fleet.GetEvents(absl::StrCat("engine-", i))) {
      crashes += event.at("what") == "crashed" ? 1 : 0;
    }
  }
  return crashes;
}

TEST_CASE("a generation lost before its first token is answered as complete",
          "[stream]") {
  Fleet fleet;
  fleet.PublishTablesAndWait();
  const Answer answer = fleet.SendAndWait("host-1", MakeCrashingCompletion(1));
  CHECK(answer.status >= 400);
  CHECK(answer.error_kind == "generation_lost");
  CHECK(CountCrashes(fleet) >= 1);
}

TEST_CASE("prompts with one prefix crash one engine after the other",
          "[stream]") {
  Fleet fleet;
  fleet.PublishTablesAndWait();
  constexpr int kRequests = 10;
  for (int i = 0; i < kRequests; ++i) {
    const Answer answer =
        fleet.SendAndWait("host-1", MakeCrashingCompletion(i));
    CHECK(answer.status >= 400);
  }
  constexpr int kMaxCrashes = 5;
  CHECK(CountCrashes(fleet) <= kMaxCrashes);
  const Answer sound =
      fleet.SendAndWait("host-1", MakeCompletion("n", 5, false));
  CHECK(sound.status == 200);
}

TEST_CASE("a caller resumes in another data centre after its daemon is killed",
          "[stream]") {
  Fleet fleet;
  fleet.PublishTablesAndWait();
  Answer first;
  bool ended = false;
  size_t tokens_received = 0;
  Call call = MakeCompletion("n", 100, true);
  call.on_token = [&tokens_received](size_t tokens) {
    tokens_received = tokens;
  };
  const auto run = [&]() -> Task<void> {
    first = co_await fleet.Send("host-1", call);
    ended = true;
  };
  fleet.Spawn(run());
  REQUIRE(fleet.RunUntil([&] { return tokens_received >= 10; }));
  fleet.Signal("host-1", SIGKILL);
  REQUIRE(fleet.RunUntil([&] { return ended; }));
  Call resume = MakeCompletion("n", 100, true);
  resume.last_id = first.last_id;
  const Answer rest = fleet.SendAndWait("host-4", resume);
  std::vector<std::string> all = first.tokens;
  all.insert(all.end(), rest.tokens.begin(), rest.tokens.end());
  CHECK(all.size() == 100);
  CheckTokens(all, "n");

  resume.organisation = "another";
  const Answer other_organisation = fleet.SendAndWait("host-4", resume);
  CHECK(other_organisation.error_kind == "unauthorised");
  CHECK(other_organisation.ran == "no");
}

// Slots leased before the restart may exceed the cold limit unless their
// leases are revoked.
TEST_CASE("a restarted engine never gets more than its cold slots", "[cold]") {
  Fleet fleet(Json{{"warming_ms", 2000}});
  fleet.PublishTablesAndWait();
  Traffic traffic(fleet, {"host-1", "host-2", "host-3", "host-4"}, 24);
  REQUIRE(fleet.RunUntil([&] { return traffic.sent() > 100; }));
  SECTION("under load") {
    fleet.InjectFault("engine-1", {{"restart", true}});
  }
  SECTION("while the owner of its slots is killed") {
    const std::string owner =
        fleet.GetStatus("host-1").at("upstreams").at(1).at("owner");
    fleet.Signal(owner, SIGKILL);
    fleet.InjectFault("engine-1", {{"restart", true}});
  }
  SECTION("while the owner of its slots is stopped for longer than a lease") {
    const std::string owner =
        fleet.GetStatus("host-1").at("upstreams").at(1).at("owner");
    fleet.Signal(owner, SIGSTOP);
    fleet.InjectFault("engine-1", {{"restart", true}});
    const int64_t resume_at_ms = fleet.NowMs() + kMaxPropagationMs;
    REQUIRE(fleet.RunUntil([&] { return fleet.NowMs() > resume_at_ms; }));
    fleet.Signal(owner, SIGCONT);
  }
  const int64_t end = fleet.NowMs() + 5000;
  REQUIRE(fleet.RunUntil([&] { return fleet.NowMs() > end; }));
  traffic.Stop();
  int64_t highest_cold = 0;
  int64_t highest = 0;
  for (const Json& event : fleet.GetEvents("engine-1")) {
    CHECK(event.at("what") != "fell_over");
    if (event.at("what") == "work") {
      const int64_t concurrency = event.at("concurrency");
      int64_t& maximum = event.at("cold").get<bool>() ? highest_cold : highest;
      maximum = std::max(maximum, concurrency);
    }
  }
  CHECK(highest_cold <= 2);
  CHECK(highest <= 8);
}

TEST_CASE("a drained data centre receives no new work after 3 s", "[out]") {
  Fleet fleet;
  fleet.PublishTablesAndWait();
  Traffic traffic(fleet, {"host-1", "host-2", "host-3", "host-4"}, 16);
  REQUIRE(fleet.RunUntil([&] { return traffic.sent() > 50; }));
  REQUIRE(fleet.RunDandelionctl({"drain", "data_centre/dc-b"}) == 0);
  const int64_t deadline_ms = fleet.NowMs() + kMaxPropagationMs;
  REQUIRE(fleet.RunUntil([&] { return fleet.NowMs() > deadline_ms + 1000; }));
  CHECK(CountWorkSince(fleet, "engine-3", deadline_ms) == 0);
  CHECK(CountWorkSince(fleet, "engine-4", deadline_ms) == 0);
  const int before = traffic.completed();
  REQUIRE(fleet.RunDandelionctl({"restore", "data_centre/dc-b"}) == 0);
  const int64_t restored_ms = fleet.NowMs();
  CHECK(fleet.RunUntil(
      [&] { return CountWorkSince(fleet, "engine-3", restored_ms) > 0; }));
  traffic.Stop();
  CHECK(traffic.completed() > before);
  INFO(traffic.failures());
  CHECK(traffic.completed() == traffic.sent());
}

TEST_CASE("a leaving upstream receives no new work after 3 s", "[leaving]") {
  Fleet fleet;
  fleet.PublishTablesAndWait();
  Traffic traffic(fleet, {"host-1", "host-2", "host-3", "host-4"}, 16);
  REQUIRE(fleet.RunUntil([&] { return traffic.sent() > 50; }));
  const int64_t start = fleet.NowMs();
  int64_t lag = 0;
  SECTION("announced by the engine") {
    fleet.InjectFault("engine-1", {{"leaving", true}});
  }
  SECTION("announced by the host list") {
    Json hosts = Json::array({{{"id", "engine-1"}, {"state", "leaving"}}});
    for (int i = 1; i <= 4; ++i) {
      hosts.push_back({{"id", absl::StrCat("host-", i)}});
    }
    fleet.InjectFault("platform", {{"hosts", hosts}});
    // The stand-in publishes changes of the host list after a second.
    lag = 1000;
  }
  SECTION("drained by an operator") {
    REQUIRE(fleet.RunDandelionctl({"drain", "upstream/engine-1"}) == 0);
  }
  const int64_t deadline_ms = start + lag + kMaxPropagationMs;
  REQUIRE(fleet.RunUntil([&] { return fleet.NowMs() > deadline_ms + 1000; }));
  traffic.Stop();
  CHECK(CountWorkSince(fleet, "engine-1", deadline_ms) == 0);
  INFO(traffic.failures());
  CHECK(traffic.completed() == traffic.sent());
}

// Every duplicate of a registration is sent to all daemons at once, while
// connections to the service, the log or the claiming daemon fail.
TEST_CASE("a registration runs at most once, and 'ran: no' is never wrong",
          "[once]") {
  Fleet fleet;
  fleet.PublishTablesAndWait();
  const std::vector<std::string> hosts = {"host-1", "host-2", "host-3",
                                          "host-4"};
  std::map<std::string, std::set<std::string>> outcomes;
  int pending = 0;
  const auto send = [&](std::string host, std::string key) -> Task<void> {
    const Call call = MakeRegistration(key);
    const Answer answer = co_await fleet.Send(host, call);
    outcomes[key].insert(answer.status == 201 ? "yes" : answer.ran);
    if (answer.status != 201) {
      UNSCOPED_INFO(key << " at " << host << ": " << answer.status << " "
                        << answer.body);
    }
    --pending;
  };
  const auto send_to_all_hosts = [&](const std::string& key) {
    for (const std::string& host : hosts) {
      ++pending;
      fleet.Spawn(send(host, key));
    }
  };
  send_to_all_hosts("calm");
  REQUIRE(fleet.RunUntil([&] { return pending == 0; }, Millis(25'000)));
  fleet.InjectFault("archive-1", {{"drop_after", 1}});
  send_to_all_hosts("answer-lost");
  REQUIRE(fleet.RunUntil([&] { return pending == 0; }, Millis(25'000)));
  fleet.InjectFault("archive-1", {{"drop_before", 1}});
  send_to_all_hosts("dropped-before");
  REQUIRE(fleet.RunUntil([&] { return pending == 0; }, Millis(25'000)));
  fleet.InjectFault("archive-1", {{"refuse", true}});
  send_to_all_hosts("refused");
  REQUIRE(fleet.RunUntil([&] { return pending == 0; }, Millis(25'000)));
  fleet.InjectFault("archive-1", {{"refuse", false}});
  fleet.InjectFault("platform", {{"lose_answers", 2}});
  send_to_all_hosts("append-answer-lost");
  REQUIRE(fleet.RunUntil([&] { return pending == 0; }, Millis(25'000)));
  fleet.InjectFault("platform", {{"outage", true}});
  send_to_all_hosts("outage");
  REQUIRE(fleet.RunUntil([&] { return pending == 0; }, Millis(25'000)));
  // Requests without an idempotency key do not need the platform.
  CHECK(fleet.SendAndWait("host-1", MakeCompletion("n", 3, false)).status ==
        200);
  fleet.InjectFault("platform", {{"outage", false}});
  fleet.InjectFault("archive-1", {{"delay_ms", 400}});
  send_to_all_hosts("claimant-killed");
  REQUIRE(fleet.RunUntil([&] { return pending == 4; }));
  fleet.Signal("host-2", SIGKILL);
  REQUIRE(fleet.RunUntil([&] { return pending == 0; }, Millis(25'000)));

  const Json executions = fleet.GetJson("archive-1", "/executions");
  for (const auto& [key, answers] : outcomes) {
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
  CHECK(outcomes["calm"] == std::set<std::string>{"yes"});
  CHECK(outcomes["outage"] == std::set<std::string>{"no"});
  CHECK(outcomes["refused"] == std::set<std::string>{"no"});
  CHECK(outcomes["answer-lost"] == std::set<std::string>{"unknown"});
}

TEST_CASE("a service that asked for a pause gets requests in it", "[once]") {
  Fleet fleet;
  fleet.PublishTablesAndWait();
  fleet.InjectFault("archive-1", {{"refuse", true}, {"pause_s", 60}});
  constexpr int kCalls = 5;
  for (int i = 0; i < kCalls; ++i) {
    Call call = MakeRegistration("");
    call.body = Json({{"key", absl::StrCat("paused-", i)}}).dump();
    const Answer answer = fleet.SendAndWait("host-1", call);
    CHECK(answer.status == 429);
    CHECK(answer.ran == "no");
  }
  int refused = 0;
  for (const Json& entry : fleet.GetJson("archive-1", "/record")) {
    refused += entry.value("what", "") == "refused" ? 1 : 0;
  }
  CHECK(refused == 1);
}

TEST_CASE("a rolling restart of all daemons breaks no request", "[stop]") {
  Fleet fleet;
  fleet.PublishTablesAndWait();
  Traffic traffic(fleet, {"host-1", "host-2", "host-3", "host-4"}, 12);
  REQUIRE(fleet.RunUntil([&] { return traffic.sent() > 30; }));
  for (const std::string host : {"host-1", "host-2", "host-3", "host-4"}) {
    fleet.Signal(host, SIGTERM);
    // The daemon drains and exits while the callers continue.
    REQUIRE(fleet.RunUntil([&] { return fleet.GetStatus(host).empty(); },
                           Millis(20'000)));
    CHECK(fleet.Wait(host) == 0);
    fleet.Start(host);
    REQUIRE(fleet.RunUntil(
        [&] { return fleet.GetStatus(host).value("ready", false); },
        Millis(20'000)));
  }
  traffic.Stop();
  INFO(traffic.failures());
  CHECK(traffic.completed() == traffic.sent());
}

// Returns the requests of a daemon that are in progress at the archive.
int64_t CountAtArchive(Fleet& fleet, const std::string& host) {
  const Json status = fleet.GetStatus(host);
  for (const Json& upstream : status.value("upstreams", Json::array())) {
    if (upstream.at("id") == "archive-1") {
      return upstream.at("in_flight");
    }
  }
  return 0;
}

bool IsDraining(Fleet& fleet, const std::string& host) {
  return fleet.GetStatus(host).value("readiness", "") == "draining";
}

// Longer than `kShortDrain`.
constexpr Millis kLongCall(15'000);
const Json kShortDrain = {{"drain_timeout_ms", 2000}};

TEST_CASE("a request that outlasts a drain, or waits through it, is answered",
          "[stop]") {
  Fleet fleet(Json::object(), kShortDrain);
  fleet.PublishTablesAndWait();
  fleet.InjectFault("archive-1", {{"delay_ms", kLongCall.count()}});
  Requests requests(fleet);
  constexpr int kCalls = 24;
  for (int i = 0; i < kCalls; ++i) {
    const std::string key = absl::StrCat("call-", i);
    requests.Start("host-1", key, MakeRegistration(key));
  }
  REQUIRE(fleet.RunUntil([&] {
    const Json status = fleet.GetStatus("host-1");
    const int64_t queued = status.value("queued", 0);
    const int64_t sent = CountAtArchive(fleet, "host-1");
    return queued > 0 && sent > 0 && queued + sent == kCalls;
  }));
  fleet.Signal("host-1", SIGTERM);
  REQUIRE(requests.Finish());
  CHECK(fleet.Wait("host-1") == 1);
  fleet.InjectFault("archive-1", {{"delay_ms", 0}});
  std::string sent;
  std::string waited;
  for (const auto& [key, answer] : requests.answers()) {
    INFO(key << ": " << answer.status << " " << answer.body);
    const bool not_run = answer.status == 503 && answer.ran == "no";
    const bool unknown = answer.status == 502 && answer.ran == "unknown";
    CHECK((not_run || unknown));
    (not_run ? waited : sent) = key;
  }
  REQUIRE_FALSE(sent.empty());
  REQUIRE_FALSE(waited.empty());
  CHECK(fleet.SendAndWait("host-2", MakeRegistration(waited)).status == 201);
  CHECK(fleet.SendAndWait("host-2", MakeRegistration(sent)).ran == "unknown");
}

TEST_CASE("a request that waits for its duplicate's outcome is answered",
          "[stop]") {
  Fleet fleet(Json::object(), kShortDrain);
  fleet.PublishTablesAndWait();
  fleet.InjectFault("archive-1", {{"delay_ms", kLongCall.count()}});
  Requests requests(fleet);
  requests.Start("host-2", "first", MakeRegistration("key"));
  REQUIRE(fleet.RunUntil([&] { return CountAtArchive(fleet, "host-2") == 1; }));
  Requests duplicates(fleet);
  duplicates.Start("host-1", "second", MakeRegistration("key"));
  REQUIRE(fleet.RunUntil(
      [&] { return fleet.GetStatus("host-1").value("in_flight", 0) == 1; }));
  fleet.Signal("host-1", SIGTERM);
  REQUIRE(duplicates.Finish());
  const Answer& answer = duplicates.answers().at("second");
  CHECK(answer.error_kind == "in_progress");
  CHECK(answer.ran == "unknown");
}

TEST_CASE("a complete answer that outlasts a drain ends with an error",
          "[stop]") {
  Fleet fleet(Json::object(), kShortDrain);
  fleet.PublishTablesAndWait();
  Call call = MakeCompletion("n", 1500, false);
  call.label = "short";
  Requests requests(fleet);
  requests.Start("host-1", "n", call);
  REQUIRE(fleet.RunUntil([&] { return !FindWorkingEngine(fleet).empty(); }));
  fleet.Signal("host-1", SIGTERM);
  REQUIRE(requests.Finish());
  CHECK(fleet.Wait("host-1") == 1);
  const Answer& answer = requests.answers().at("n");
  CHECK(answer.status == 502);
  CHECK(answer.error_kind == "draining");
  CHECK(answer.ran == "yes");
}

TEST_CASE("a generation whose retry is too late for a drain has run",
          "[stop]") {
  Fleet fleet(Json::object(),
              {{"drain_timeout_ms", 20'000}, {"request_timeout_ms", 60'000}});
  fleet.PublishTablesAndWait();
  Call call = MakeCompletion("n", 1500, false);
  call.label = "short";
  Requests requests(fleet);
  requests.Start("host-1", "n", call);
  REQUIRE(fleet.RunUntil([&] { return !FindWorkingEngine(fleet).empty(); }));
  fleet.Signal("host-1", SIGTERM);
  REQUIRE(fleet.RunUntil([&] { return IsDraining(fleet, "host-1"); }));
  fleet.InjectFault(FindWorkingEngine(fleet), {{"restart", true}});
  REQUIRE(requests.Finish());
  const Answer& answer = requests.answers().at("n");
  CHECK(answer.status == 502);
  CHECK(answer.error_kind == "draining");
  CHECK(answer.ran == "yes");
  CHECK(fleet.Wait("host-1") == 0);
}

TEST_CASE("a stream that outlasts a drain is resumed at another daemon",
          "[stop]") {
  Fleet fleet(Json::object(), kShortDrain);
  fleet.PublishTablesAndWait();
  constexpr int kTokens = 600;
  size_t tokens_received = 0;
  Call call = MakeCompletion("n", kTokens, true);
  call.on_token = [&tokens_received](size_t tokens) {
    tokens_received = tokens;
  };
  Requests requests(fleet);
  requests.Start("host-1", "n", call);
  REQUIRE(fleet.RunUntil([&] { return tokens_received >= 10; }));
  fleet.Signal("host-1", SIGTERM);
  REQUIRE(requests.Finish());
  CHECK(fleet.Wait("host-1") == 1);
  const Answer& first = requests.answers().at("n");
  CHECK(first.error_kind == "draining");
  Call resume = MakeCompletion("n", kTokens, true);
  resume.last_id = first.last_id;
  const Answer rest = fleet.SendAndWait("host-4", resume);
  std::vector<std::string> all = first.tokens;
  all.insert(all.end(), rest.tokens.begin(), rest.tokens.end());
  CHECK(all.size() == kTokens);
  CheckTokens(all, "n");
}

TEST_CASE("a stopping daemon takes only what ends before its drain does",
          "[stop]") {
  Fleet fleet(Json::object(), {{"drain_notice_ms", 4000},
                               {"drain_timeout_ms", 60'000},
                               {"request_timeout_ms", 90'000}});
  fleet.PublishTablesAndWait();
  fleet.Signal("host-1", SIGTERM);
  REQUIRE(fleet.RunUntil([&] { return IsDraining(fleet, "host-1"); }));
  const Answer call = fleet.SendAndWait("host-1", MakeRegistration("key"));
  CHECK(call.status == 503);
  CHECK(call.error_kind == "draining");
  CHECK(call.ran == "no");
  CHECK(fleet.GetJson("archive-1", "/executions").value("key", 0) == 0);
  const Answer unlimited =
      fleet.SendAndWait("host-1", MakeCompletion("u", 3, false));
  CHECK(unlimited.error_kind == "draining");
  CHECK(unlimited.ran == "no");
  Call limited = MakeCompletion("l", 3, false);
  Json body = Json::parse(limited.body);
  body["max_tokens"] = 3;
  limited.body = body.dump();
  CHECK(fleet.SendAndWait("host-1", limited).status == 200);
  CHECK(fleet.SendAndWait("host-1", MakeCompletion("s", 3, true)).done);
  CHECK(fleet.Wait("host-1") == 0);
}

TEST_CASE("dandelionctl goes on at the next daemon when one is stopping",
          "[stop]") {
  Fleet fleet(Json::object(),
              {{"drain_notice_ms", 3000}, {"drain_timeout_ms", 5000}});
  fleet.PublishTablesAndWait();
  fleet.Signal("host-1", SIGTERM);
  REQUIRE(fleet.RunUntil([&] { return IsDraining(fleet, "host-1"); }));
  const std::string to =
      absl::StrCat(fleet.address("host-1"), ",", fleet.address("host-2"));
  CHECK(fleet.RunDandelionctl({"send", "--stream", "--to", to, "--organisation",
                               "formulation", "--prompt", "[[tokens=3]]"}) ==
        0);
}

TEST_CASE("an operator's drain cuts nothing", "[stop]") {
  Fleet fleet(Json::object(), {{"drain_timeout_ms", 1000}});
  fleet.PublishTablesAndWait();
  fleet.InjectFault("archive-1", {{"delay_ms", 3000}});
  Requests requests(fleet);
  requests.Start("host-1", "key", MakeRegistration("key"));
  REQUIRE(fleet.RunUntil([&] { return CountAtArchive(fleet, "host-1") == 1; }));
  fleet.DrainByOperator("host-1");
  REQUIRE(requests.Finish());
  CHECK(requests.answers().at("key").status == 201);
  fleet.Signal("host-1", SIGTERM);
  CHECK(fleet.Wait("host-1") == 0);
}

TEST_CASE("an accepted configuration reaches every daemon within 5 s",
          "[config]") {
  Fleet fleet;
  fleet.PublishTablesAndWait();
  const auto installed_on_all_hosts = [&fleet](int64_t version) {
    for (int i = 1; i <= 4; ++i) {
      if (fleet.GetStatus(absl::StrCat("host-", i)).value("version", 0) <
          version) {
        return false;
      }
    }
    return true;
  };
  constexpr Millis kMaxInstallTime(5000);
  SECTION("with a platform outage after one daemon installed it") {
    REQUIRE(fleet.RunDandelionctl({"drain", "upstream/engine-4"}) == 0);
    REQUIRE(fleet.RunUntil([&] {
      for (int i = 1; i <= 4; ++i) {
        if (fleet.GetStatus(absl::StrCat("host-", i)).value("version", 0) ==
            2) {
          return true;
        }
      }
      return false;
    }));
    fleet.InjectFault("platform", {{"outage", true}});
    CHECK(fleet.RunUntil([&] { return installed_on_all_hosts(2); },
                         kMaxInstallTime));
  }
  SECTION("with the response to the append lost") {
    fleet.InjectFault("platform", {{"lose_answers", 1}});
    REQUIRE(fleet.RunDandelionctl({"drain", "upstream/engine-4"}) == 0);
    CHECK(fleet.RunUntil([&] { return installed_on_all_hosts(2); },
                         kMaxInstallTime));
  }
  SECTION("at a daemon that starts during an outage and has peers") {
    fleet.Signal("host-2", SIGKILL);
    fleet.InjectFault("platform", {{"outage", true}});
    fleet.Start("host-2");
    CHECK(fleet.RunUntil([&] { return installed_on_all_hosts(1); },
                         kMaxInstallTime));
    CHECK(fleet.GetStatus("host-2").value("ready", false));
  }
}

}  // namespace
}  // namespace dandelion::test
