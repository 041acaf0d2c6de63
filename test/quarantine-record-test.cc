#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include "admission/quarantine_record.h"
#include "proto/peer.pb.h"
#include "test/daemon-support.h"

namespace dandelion::test {
namespace {

using admission::PartQuarantine;
using base::HostId;
using base::Millis;
using base::PartId;
using base::Task;
using base::UpstreamId;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
// Requests with a part that crashes engines which may reach them.
constexpr int kMaxCrashes = 5;
// Those of them that may come later, from daemons that start again.
constexpr int kMaxLateCrashes = 3;
const std::string kCrashingPart = "bad0";

PartQuarantine MakeQuarantine() {
  return PartQuarantine(HostId("a"),
                        {[](const PartId&, const UpstreamId&) {},
                         [](const PartId&, int64_t) {}, [](const PartId&) {}});
}

/// Lets a part crash engines until it is quarantined.
void QuarantinePart(PartQuarantine& quarantine, Millis* now) {
  const admission::PartList parts = {PartId(kCrashingPart)};
  for (int i = 0; i < kMaxCrashes; ++i) {
    *now = *now + Millis(1000);
    quarantine.RecordBreak(UpstreamId("u-" + std::to_string(i)), parts, *now);
    quarantine.Tick(*now + PartQuarantine::kProofWait);
  }
  REQUIRE(quarantine.FindQuarantined(parts, *now));
}

TEST_CASE("a restart of all daemons forgets what crashes engines",
          "[quarantine_record]") {
  PartQuarantine before = MakeQuarantine();
  Millis now(10'000);
  QuarantinePart(before, &now);
  constexpr admission::UnixMs kWritten = 1'700'000'000'000;
  const std::string record =
      admission::EncodeQuarantines(before, now, kWritten);
  const admission::PartList parts = {PartId(kCrashingPart)};
  SECTION("it is restored, with its age") {
    // The clocks may differ, also backwards.
    const int64_t passed = GENERATE(-5'000, 0, 60'000);
    PartQuarantine after = MakeQuarantine();
    REQUIRE(admission::RestoreQuarantines(record, Millis(100),
                                          kWritten + passed, after));
    CHECK(after.FindQuarantined(parts, Millis(100)));
    CHECK_FALSE(after.TryTrial(parts, Millis(100)));
    CHECK(admission::IdentifyQuarantines(after, now) ==
          admission::IdentifyQuarantines(before, now));
  }
  SECTION("it is not kept for ever") {
    PartQuarantine after = MakeQuarantine();
    REQUIRE(admission::RestoreQuarantines(
        record, Millis(100),
        kWritten + PartQuarantine::kQuarantineMemory.count() + 10'000, after));
    CHECK_FALSE(after.FindQuarantined(parts, Millis(100)));
  }
  SECTION("ages beyond all bounds are old, not new") {
    proto::StoredQuarantines stored;
    REQUIRE(stored.ParseFromString(record));
    const int64_t written = GENERATE(INT64_MIN, INT64_MIN + 1, int64_t{0});
    stored.set_written_at_unix_ms(written);
    proto::QuarantinedParts* quarantined =
        stored.mutable_evidence()->mutable_quarantines(0);
    quarantined->set_break_age_ms(INT64_MAX);
    quarantined->set_trial_age_ms(INT64_MAX);
    PartQuarantine after = MakeQuarantine();
    REQUIRE(admission::RestoreQuarantines(stored.SerializeAsString(),
                                          Millis(100), kWritten, after));
    CHECK_FALSE(after.FindQuarantined(parts, Millis(100)));
  }
  SECTION("a record that can't be read restores nothing") {
    PartQuarantine after = MakeQuarantine();
    CHECK_FALSE(admission::RestoreQuarantines("\xff\xff no record", Millis(100),
                                              kWritten, after));
    CHECK(after.quarantine_count() == 0);
  }
}

/// A daemon process in front of engines that crash at a part of prompts.
struct RestartFixture : PlatformFixture {
  RestartFixture() {
    constexpr int kEngines = 8;
    store.AppendRecord(
        "config",
        json({{"version", 1},
              {"routes", {MakeRoute("draft", "stream", "engines")}},
              {"backends",
               {{{"name", "engines"},
                 {"engine", {{"slots", 10}, {"kv-cap-tokens", 100'000}}}}}}})
            .dump(),
        "keyed.op");
    for (int i = 0; i < kEngines; ++i) {
      engines.push_back(std::make_unique<FakeUpstream>(
          context.get_executor(), [this](http::Exchange& exchange) {
            return AnswerOrCrash(exchange);
          }));
      store.AppendRecord(
          "u-" + std::to_string(i),
          MakeUpstreamEntry("engines", *engines.back(), 10).dump(),
          "keyed.servers");
    }
    daemon = std::make_unique<RunningDaemon>(*this);
  }
  ~RestartFixture() {
    daemon.reset();
    for (const auto& engine : engines) {
      engine->CloseAll();
    }
    EndTasks();
  }

  Task<void> AnswerOrCrash(http::Exchange& exchange) {
    http::Response head = SealedResponse(exchange.request(), "");
    const std::string parts(
        exchange.request().headers.Find("X-Dandeliondyke-Prefix-Hash"));
    (void)co_await exchange.StartStream(std::move(head));
    if (parts.find(kCrashingPart) != std::string::npos) {
      ++crashes;
      exchange.Abort();
      co_return;
    }
    (void)co_await exchange.Write(EventText(1));
    (void)co_await exchange.Finish();
  }

  /// Sends a request whose prompt has `part`; returns its status, or -1.
  int Send(const std::string& part) {
    const auto status = std::make_shared<int>(0);
    http::Request request =
        CallerRequestFor("draft", "r-" + std::to_string(++requests));
    request.headers.Add("X-Dandeliondyke-Token-Count", "100,50");
    request.headers.Add("X-Dandeliondyke-Prefix-Hash",
                        part + ":40,own" + std::to_string(requests) + ":60");
    base::Spawn(context.get_executor(),
                Fetch(daemon->address, std::move(request), status));
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
  bool WaitUntilServing() {
    return RunUntil([this] { return Send("50a4d") == kOk; });
  }

  std::vector<std::unique_ptr<FakeUpstream>> engines;
  std::unique_ptr<RunningDaemon> daemon;
  int requests = 0;
  int crashes = 0;
};

TEST_CASE("a daemon that starts again sends what crashes engines",
          "[quarantine_record]") {
  RestartFixture fixture;
  REQUIRE(fixture.WaitUntilServing());
  // Crashes within a moment count as one with a common cause, so requests go
  // on until the part is rejected.
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.Send(kCrashingPart) == kUnavailable; }));
  REQUIRE(fixture.RunUntil([&] {
    return !fixture.store.NewestValue("parts", "keyed.quarantine").empty();
  }));
  const int before = fixture.crashes;
  fixture.daemon.reset();
  fixture.daemon = std::make_unique<RunningDaemon>(fixture);
  REQUIRE(fixture.WaitUntilServing());
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.daemon->HasLogged("quarantines_restored"); }));
  for (int i = 0; i < 2 * kMaxLateCrashes; ++i) {
    CHECK(fixture.Send(kCrashingPart) == kUnavailable);
  }
  CHECK(fixture.crashes - before <= kMaxLateCrashes);
  CHECK(fixture.Send("50a4d") == kOk);
}

}  // namespace
}  // namespace dandelion::test
