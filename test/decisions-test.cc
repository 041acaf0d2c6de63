#include <catch2/catch.hpp>

#include <optional>
#include <vector>

#include "admission/fair_queue.h"
#include "admission/wait_predictor.h"
#include "migration/copy_step.h"
#include "migration/target_choice.h"
#include "relay/attempt_rules.h"
#include "relay/event_splitter.h"
#include "relay/generation_size.h"
#include "relay/placer.h"
#include "relay/request_admission.h"
#include "routing/load_exchange.h"
#include "routing/load_reservation.h"
#include "routing/upstream_choice.h"
#include "routing/upstream_health.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::UpstreamId;
using migration::ChooseNextStep;
using migration::CopyStep;
using relay::KvCacheCopyOutcome;
using relay::SendHistory;
using relay::SendOutcome;
using routing::TimeSource;
using routing::Work;

TEST_CASE("a generation is stopped only after a short copy", "[moving]") {
  CHECK(ChooseNextStep(KvCacheCopyOutcome::kCopied, Millis(400), true) ==
        CopyStep::kCopyAgain);
  CHECK(ChooseNextStep(KvCacheCopyOutcome::kCopied, Millis(20), true) ==
        CopyStep::kStopAndCopy);
}

TEST_CASE("a migration goes on though no engine can copy the generation",
          "[moving]") {
  const bool have_copy = GENERATE(true, false);
  CHECK(ChooseNextStep(KvCacheCopyOutcome::kInexpressibleId, Millis(0),
                       have_copy) == CopyStep::kGiveUp);
}

TEST_CASE("a copy is kept if its source engine is gone", "[moving]") {
  CHECK(ChooseNextStep(KvCacheCopyOutcome::kUnknown, Millis(900), true) ==
        CopyStep::kKeepCopy);
  CHECK(ChooseNextStep(KvCacheCopyOutcome::kUnknown, Millis(900), false) ==
        CopyStep::kOtherTarget);
  CHECK(ChooseNextStep(KvCacheCopyOutcome::kTargetUnavailable, Millis(3),
                       false) == CopyStep::kOtherTarget);
}

/// Returns an engine whose load is one generation of `tokens`, or nothing if
/// that is 0.
routing::UpstreamCandidate MakeEngine(const std::string& id,
                                      int64_t tokens,
                                      double token_ms,
                                      bool is_local = true) {
  routing::UpstreamCandidate candidate;
  candidate.id = UpstreamId(id);
  candidate.same_data_centre = is_local;
  candidate.slots = 24;
  candidate.load = {tokens > 0 ? 1 : 0, tokens, 0, 0};
  candidate.speed.average_ms = token_ms;
  return candidate;
}

constexpr int64_t kEngineMemoryTokens = 34'000;

TEST_CASE("a migration prefers the source engine's data centre", "[moving]") {
  const migration::MigrationSize size{4000, 500, 220, 3};
  const std::vector<migration::MigrationTarget> targets = {
      {MakeEngine("remote and empty", 0, 6), false},
      {MakeEngine("local and half full", 14'000, 6), true}};
  CHECK(migration::ChooseTarget(targets, size, kEngineMemoryTokens) ==
        size_t{1});
}

TEST_CASE("a migration avoids a target that receives other copies",
          "[moving]") {
  const migration::MigrationSize size{4000, 500, 220, 3};
  routing::UpstreamCandidate receiving =
      MakeEngine("receiving three copies", 12'000, 6);
  receiving.load.arriving_tokens = 12'000;
  const std::vector<migration::MigrationTarget> targets = {
      {receiving, true},
      {MakeEngine("similarly full, no copies", 14'000, 6), true}};
  CHECK(migration::ChooseTarget(targets, size, kEngineMemoryTokens) ==
        size_t{1});
}

TEST_CASE("a migration never goes to a full engine", "[moving]") {
  const migration::MigrationSize size{4000, 500, 220, 3};
  const std::vector<migration::MigrationTarget> targets = {
      {MakeEngine("local and full", 31'000, 6), true},
      {MakeEngine("remote and empty", 0, 6), false}};
  CHECK(migration::ChooseTarget(targets, size, kEngineMemoryTokens) ==
        size_t{1});
  CHECK_FALSE(migration::ChooseTarget({targets[0]}, size, kEngineMemoryTokens));
}

TEST_CASE("a generation goes to the fastest engine that has capacity",
          "[placement]") {
  const routing::GenerationSize generation{3000, 1000};
  CHECK(routing::ChooseEngine(
            {MakeEngine("slow", 0, 14), MakeEngine("fast", 8000, 6)},
            generation, kEngineMemoryTokens) == size_t{1});
  CHECK(routing::ChooseEngine(
            {MakeEngine("slow", 0, 14), MakeEngine("fast", 30'000, 6)},
            generation, kEngineMemoryTokens) == size_t{0});
}

TEST_CASE("a generation prefers an engine in the local data centre",
          "[placement]") {
  const routing::GenerationSize generation{3000, 1000};
  CHECK(routing::ChooseEngine({MakeEngine("remote", 0, 6, false),
                               MakeEngine("local", 9000, 6, true)},
                              generation, kEngineMemoryTokens) == size_t{1});
}

TEST_CASE("a generation that fits no engine is not placed", "[placement]") {
  const routing::GenerationSize generation{3000, 1000};
  CHECK_FALSE(routing::ChooseEngine({MakeEngine("full", 30'000, 6)}, generation,
                                    kEngineMemoryTokens));
}

// Half of the plain services turn four times slower under a steady load.
TEST_CASE("a slow service gets requests that a fast one has room for",
          "[placement]") {
  constexpr int64_t kServiceSlots = 6;
  const auto make_service = [](const std::string& id, int64_t running,
                               double answer_ms) {
    routing::UpstreamCandidate candidate;
    candidate.id = UpstreamId(id);
    candidate.same_data_centre = true;
    candidate.slots = kServiceSlots;
    candidate.load.running = running;
    candidate.speed.average_ms = answer_ms;
    return candidate;
  };
  const routing::UpstreamCandidate slow = make_service("slow", 0, 120);
  for (int64_t running = 0; running < kServiceSlots; ++running) {
    CAPTURE(running);
    CHECK(routing::ChooseService({slow, make_service("fast", running, 30)}) ==
          1);
  }
  // All slots of the fast one are taken.
  CHECK(routing::ChooseService(
            {slow, make_service("fast", kServiceSlots, 30)}) == 0);
  // One whose times vary slows down at loads that nobody hears of in time.
  routing::UpstreamCandidate varying = make_service("varying", 1, 30);
  varying.speed.deviation_ms = 30;
  CHECK(routing::ChooseService({varying, make_service("even", 3, 40)}) == 1);
  // Of services that are alike, the one with less load.
  CHECK(routing::ChooseService(
            {make_service("a", 2, 30), make_service("b", 1, 30)}) == 1);
}

// Times are measured in whole milliseconds, and nearby services answer sooner.
TEST_CASE("services that answer at once look free however full or broken",
          "[placement]") {
  const auto make_service = [](const std::string& id, int64_t running,
                               std::optional<double> answer_ms) {
    routing::UpstreamCandidate candidate;
    candidate.id = UpstreamId(id);
    candidate.same_data_centre = true;
    candidate.slots = 10;
    candidate.load.running = running;
    candidate.speed.average_ms = answer_ms;
    return candidate;
  };
  const routing::UpstreamCandidate busy = make_service("busy", 9, 0);
  const routing::UpstreamCandidate idle = make_service("idle", 0, 0);
  CHECK(routing::ChooseService({busy, idle}) == 1);
  CHECK(routing::ChooseService({busy, make_service("other", 0, 0.4)}) == 1);
  routing::UpstreamCandidate remote = idle;
  remote.same_data_centre = false;
  CHECK(routing::ChooseService({remote, idle}) == 1);
  // It sends its head at once, and then breaks off.
  routing::UpstreamCandidate broken = idle;
  broken.failure_rate = routing::UpstreamHealth::kNewestWeight;
  CHECK(routing::ChooseService({broken, idle}) == 1);
  // Nothing is known of the one that is new.
  for (const double other_ms : {0.4, 5.0, 200.0}) {
    CAPTURE(other_ms);
    std::vector<routing::UpstreamCandidate> candidates = {
        broken, make_service("slow", 10, other_ms),
        make_service("new", 0, std::nullopt)};
    routing::AssumeTypicalSpeed(candidates);
    CHECK(routing::ChooseService(candidates) == 2);
  }
}

TEST_CASE("engines that make a token at once look free however full",
          "[placement]") {
  const routing::GenerationSize generation{3000, 1000};
  CHECK(routing::ChooseEngine(
            {MakeEngine("full", 25'000, 0), MakeEngine("idle", 0, 0)},
            generation, kEngineMemoryTokens) == size_t{1});
}

TEST_CASE("peers learn of new, changed and ended loads", "[loads]") {
  const routing::UpstreamHealth::Hooks no_op_hooks{
      [](const UpstreamId&, Millis) {}, [](const UpstreamId&) {}};
  routing::LoadTracker own;
  routing::LoadTracker other;
  routing::UpstreamHealth own_health(no_op_hooks);
  routing::UpstreamHealth other_health(no_op_hooks);
  Millis now(0);
  const base::Clock clock([&now] { return now; });
  routing::LoadExchange own_exchange(own, own_health, clock);
  routing::LoadExchange other_exchange(other, other_health, clock);
  const base::HostId peer("a");
  const UpstreamId id("u-1");
  const auto send_loads = [&](bool all) {
    proto::FleetBeat heartbeat;
    heartbeat.set_all_loads(all);
    own_exchange.StartRound();
    own_exchange.AddLoads(proto::OWN, base::HostId("b"), all, &heartbeat);
    other_exchange.ApplyMemberLoads(peer, heartbeat);
  };
  own_health.RecordTime(id, Work::kToken, TimeSource::kOwn, {1}, 6.5, now);
  routing::LoadReservation reservation(own, id, {1, 4000, 3000, 0});
  send_loads(false);
  CHECK(other.TotalLoad(id).tokens == 4000);
  CHECK(other_health.Learned(id, Work::kToken).AverageMs(now) == 6.5);
  // It is not told back to the data centre as this daemon's own.
  CHECK_FALSE(other_health.RecentMs(id, Work::kToken, TimeSource::kOwn, now));
  CHECK(other_health.RecentMs(id, Work::kToken, TimeSource::kMember, now) ==
        6.5);
  reservation.MarkPromptProcessed();
  send_loads(false);
  CHECK(other.TotalLoad(id).unread_tokens == 0);
  // Old times are not passed on as if they were new.
  now = now + routing::UpstreamHealth::kRecentTime + Millis(1);
  proto::FleetBeat heartbeat;
  own_exchange.AddLoads(proto::OWN, base::HostId("b"), true, &heartbeat);
  REQUIRE(heartbeat.loads_size() == 1);
  CHECK(heartbeat.loads(0).token_us() == 0);
  reservation.Release();
  send_loads(false);
  CHECK(other.TotalLoad(id) == routing::Load());
  // A heartbeat with all loads corrects what a lost one left out of date.
  other.SetMemberLoad(peer, id, {3, 9000, 0, 0});
  send_loads(true);
  CHECK(other.TotalLoad(id) == routing::Load());
}

/// A placer on a simulated clock with one upstream, "u-1" of pool "p".
struct PlacerFixture {
  explicit PlacerFixture(Millis cold_remaining = Millis(0)) {
    fleet::UpstreamEntry entry;
    entry.pool = base::PoolName("p");
    entry.slots = 100;
    entry.cold_remaining = cold_remaining;
    upstreams.ApplyEntry(UpstreamId("u-1"), entry, now);
    request.pool.name = entry.pool;
  }

  Millis now{0};
  fleet::UpstreamList upstreams{
      {[](const fleet::Upstream&) {},
       [](const fleet::Upstream&, std::string_view) {},
       [](const UpstreamId&) {}}};
  routing::LoadTracker loads;
  routing::UpstreamHealth health{
      {[](const UpstreamId&, Millis) {}, [](const UpstreamId&) {}}};
  routing::SelfReports self_reports{
      {[](const UpstreamId&, std::string_view) {},
       [](const UpstreamId&, std::optional<double>) {},
       [](const UpstreamId&, Millis) {},
       [this](const UpstreamId&) { return rank; }}};
  routing::DaemonRank rank{0, 4};
  relay::Placer placer{base::Clock([this] { return now; }),
                       base::DataCentreId("dc-a"),
                       upstreams,
                       loads,
                       health,
                       self_reports,
                       {[this](const UpstreamId&) { return rank; }}};
  relay::PlaceRequest request;
};

TEST_CASE("the cold limit of an upstream is divided among daemons",
          "[placement]") {
  PlacerFixture fixture(Millis(5000));
  fixture.request.pool.cold_requests_per_second = 12;
  const auto place_all = [&fixture] {
    std::vector<migration::Place> places;
    while (auto place = fixture.placer.TryPlace(fixture.request)) {
      places.push_back(std::move(*place));
    }
    return places.size();
  };
  CHECK(place_all() == 3);  // 12 per second for four daemons
  fixture.now = Millis(500);
  CHECK(place_all() == 0);
  fixture.now = Millis(1100);
  CHECK(place_all() == 3);
  fixture.now = Millis(6000);
  CHECK(fixture.placer.TryPlace(fixture.request));
  CHECK(fixture.placer.TryPlace(fixture.request));
}

// A request whose remaining upstreams cannot take it keeps its queue from
// moving, so that a long wait is predicted. Requests that other upstreams can
// take must not be rejected for that wait.
TEST_CASE("a request that no upstream can take does not block others",
          "[waiting]") {
  PlacerFixture fixture;
  fleet::UpstreamEntry other = fixture.upstreams.Find(UpstreamId("u-1"))->entry;
  other.slots = 0;
  fixture.upstreams.ApplyEntry(UpstreamId("u-2"), other, fixture.now);
  relay::PlaceRequest stuck = fixture.request;
  stuck.excluded.insert(UpstreamId("u-1"));
  stuck.wait_until = Millis(60'000);
  bool gave_up = false;
  const auto on_place = [&gave_up](std::optional<migration::Place> place) {
    gave_up = !place;
  };
  stuck.organisation = base::OrganisationId("stuck");
  REQUIRE(fixture.placer.Place(stuck, on_place).ticket);
  // The queue has not moved for longer than the next request may wait, but
  // "u-1" can take that request.
  fixture.now = Millis(10'000);
  fixture.request.wait_until = fixture.now + Millis(200);
  const relay::PlaceResult answer =
      fixture.placer.Place(fixture.request, nullptr);
  CHECK(answer.place);
  CHECK_FALSE(answer.ticket);
  relay::PlaceRequest impatient = stuck;
  impatient.wait_until = fixture.now + Millis(200);
  const relay::PlaceResult rejected = fixture.placer.Place(impatient, nullptr);
  CHECK_FALSE(rejected.place);
  CHECK_FALSE(rejected.ticket);
  CHECK(rejected.capacity_in > Millis(200));
  // Once "u-2" leaves, the waiting request has no upstream left to wait for.
  fixture.upstreams.MarkLeaving(UpstreamId("u-2"), "gone", fixture.now);
  fixture.placer.DispatchWaiting();
  CHECK(gave_up);
}

TEST_CASE("a service gets no more requests than it has slots", "[placement]") {
  routing::UpstreamCandidate service;
  service.slots = 2;
  service.load.running = 2;
  CHECK_FALSE(routing::ChooseService({service}));
  service.load.running = 1;
  CHECK(routing::ChooseService({service}));
}

TEST_CASE("consecutive failures eject an upstream, a success readmits it",
          "[health]") {
  int ejected = 0;
  int readmitted = 0;
  routing::UpstreamHealth health({[&](const UpstreamId&, Millis) { ++ejected; },
                                  [&](const UpstreamId&) { ++readmitted; }});
  const UpstreamId id("u-1");
  for (int i = 0; i < routing::UpstreamHealth::kFailuresToEject; ++i) {
    CHECK_FALSE(health.IsEjected(id, Millis(i)));
    health.RecordAttempt(id, routing::AttemptOutcome::kFailure, Millis(i));
  }
  CHECK(health.IsEjected(id, Millis(10)));
  const Millis ejection_end =
      Millis(10) + routing::UpstreamHealth::kInitialEjection;
  CHECK_FALSE(health.IsEjected(id, ejection_end));
  health.RecordAttempt(id, routing::AttemptOutcome::kFailure, ejection_end);
  CHECK(health.IsEjected(id, ejection_end + Millis(2000)));
  health.RecordAttempt(id, routing::AttemptOutcome::kSuccess,
                       ejection_end + Millis(4000));
  CHECK_FALSE(health.IsEjected(id, ejection_end + Millis(4000)));
  CHECK(ejected == 2);
  CHECK(readmitted == 1);
}

fleet::Route MakeRoute(fleet::RequestKind kind, int max_upstreams) {
  fleet::Route route;
  route.kind = kind;
  route.max_upstreams = max_upstreams;
  return route;
}

TEST_CASE("a request that may have run is retried only if idempotent",
          "[attempts]") {
  const fleet::Route write = MakeRoute(fleet::RequestKind::kNonIdempotent, 3);
  const fleet::Route read = MakeRoute(fleet::RequestKind::kIdempotent, 3);
  SendHistory broken;
  broken.RecordSend(SendOutcome::kBroken);
  CHECK_FALSE(relay::MayRetry(write, broken));
  CHECK(relay::MayRetry(read, broken));
  CHECK(relay::FinalStatus(broken, SendOutcome::kBroken) == 502);
  CHECK(relay::FinalStatus(broken, SendOutcome::kTimedOut) == 504);
  SendHistory rejected;
  rejected.RecordSend(SendOutcome::kNotRun);
  CHECK(relay::MayRetry(write, rejected));
  CHECK(relay::FinalStatus(rejected, SendOutcome::kNotRun) == 503);
}

TEST_CASE("a request is sent to no more upstreams than its route allows",
          "[attempts]") {
  const fleet::Route once = MakeRoute(fleet::RequestKind::kIdempotent, 1);
  SendHistory history;
  history.RecordSend(SendOutcome::kOtherUpstream);
  CHECK(relay::MayRetry(once, history));
  history.RecordSend(SendOutcome::kNotRun);
  CHECK_FALSE(relay::MayRetry(once, history));
}

TEST_CASE("retries stay within this daemon's share of the retry budget",
          "[attempts]") {
  relay::PoolRetryBudget limit({0.2, 50, Millis(10'000)});
  const base::PoolName pool("p");
  constexpr int kRequests = 100;
  constexpr size_t kDaemons = 10;
  for (int i = 0; i < kRequests; ++i) {
    limit.RecordRequest(pool, Millis(i));
  }
  int retries = 0;
  while (limit.TrySpend(pool, Millis(200), kDaemons)) {
    ++retries;
  }
  CHECK(retries > 0);
  CHECK(retries <= 25);  // 0.2 * 100 + 50 / 10
  // In the next window there are no requests, so only the share of the slack is
  // left.
  int later_retries = 0;
  while (limit.TrySpend(pool, Millis(20'000), kDaemons)) {
    ++later_retries;
  }
  CHECK(later_retries <= 5);
}

TEST_CASE("a wait is predicted from the speed of its queue", "[waiting]") {
  admission::WaitPredictor predictor;
  CHECK_FALSE(predictor.Predict(0, 10, Millis(0)));
  predictor.RecordQueueState(true, Millis(0));
  CHECK_FALSE(predictor.Predict(0, 10, Millis(100)));
  predictor.RecordDispatch(10, Millis(500));
  predictor.RecordDispatch(10, Millis(1000));
  // A cost of 20 was served in one second. The request costs 10 and waits
  // behind a cost of 30.
  CHECK(predictor.Predict(30, 10, Millis(1000)) == Millis(2000));
  // Nothing was served in the 3 s window, so the prediction assumes that one
  // such request is.
  CHECK(predictor.Predict(30, 10, Millis(9000)) == Millis(12'000));
  predictor.RecordQueueState(false, Millis(9000));
  CHECK_FALSE(predictor.Predict(0, 10, Millis(9900)));
}

TEST_CASE("a large request is passed over a limited number of times",
          "[waiting]") {
  admission::FairQueue queue(10, 2);
  const auto push = [&queue](uint64_t ticket, const char* organisation,
                             double cost) {
    admission::Waiter waiter;
    waiter.ticket = ticket;
    waiter.organisation = base::OrganisationId(organisation);
    waiter.cost = cost;
    REQUIRE(queue.Push(waiter));
  };
  push(1, "large", 100);
  for (uint64_t i = 2; i < 8; ++i) {
    push(i, "small", 10);
  }
  std::vector<uint64_t> admitted;
  const auto admit_up_to = [&](double capacity) {
    queue.Dispatch(Millis(0), [&](const admission::Waiter& waiter) {
      if (waiter.cost > capacity) {
        return false;
      }
      capacity -= waiter.cost;
      admitted.push_back(waiter.ticket);
      return true;
    });
  };
  // The first small request is ahead of the large one in fair order. The next
  // two pass it over, which is the limit.
  admit_up_to(10);
  admit_up_to(10);
  admit_up_to(10);
  CHECK(admitted == std::vector<uint64_t>{2, 3, 4});
  // From now on nothing is admitted until the large request fits.
  admit_up_to(10);
  CHECK(admitted.size() == 3);
  admit_up_to(100);
  CHECK(admitted.back() == 1);
}

/// A configuration with one key, a route that needs it and a public one, and a
/// request that matches the former.
struct GateFixture {
  GateFixture() {
    fleet::Route route = MakeRoute(fleet::RequestKind::kIdempotent, 1);
    route.host = "front.example";
    route.path_prefix = "/read/";
    route.timeout = Millis(400);
    catalogue.routes.push_back(route);
    route.path_prefix = "/read/public/";
    route.is_public = true;
    catalogue.routes.push_back(route);
    catalogue.organisation_by_key["key"] = {base::OrganisationId("org"), 1};
    catalogue.needs_keys = true;
    request.target = "/read/1?x=/other/";
    request.headers.Add("Host", "front.example");
  }

  /// Admits or rejects the request with a configuration of this age.
  /// Returns the status of the rejection, or 200 if there is none.
  int StatusOf(const std::string& key, Millis age) {
    relay::CallerRequest caller;
    caller.key = key;
    caller.deadline = deadline;
    caller.expected_output_tokens = expected_output;
    caller.max_output_tokens = output_limit;
    const relay::AdmissionState state{
        std::make_shared<const fleet::Catalogue>(catalogue), age, Millis(4000),
        Millis(2000), stops_in};
    passed = relay::AdmitRequest(request, caller, state);
    const auto* rejection = std::get_if<relay::Rejection>(&passed);
    return rejection ? rejection->status : 200;
  }

  fleet::Catalogue catalogue;
  std::optional<Millis> stops_in;
  Millis deadline{1000};
  int64_t expected_output = 0;
  int64_t output_limit = 0;
  http::Request request;
  std::variant<relay::AdmittedRequest, relay::Rejection> passed;
};

TEST_CASE("a key is accepted only while the configuration is recent",
          "[gate]") {
  GateFixture fixture;
  CHECK(fixture.StatusOf("key", Millis(100)) == 200);
  const auto& entry = std::get<relay::AdmittedRequest>(fixture.passed);
  CHECK(entry.organisation == base::OrganisationId("org"));
  CHECK(entry.priority == 1);
  CHECK(entry.time_left == Millis(400));
  CHECK(fixture.StatusOf("other", Millis(100)) == 401);
  CHECK(fixture.StatusOf("", Millis(100)) == 401);
  CHECK(fixture.StatusOf("key", Millis(4001)) == 503);
  // An outdated configuration cannot show that a key is invalid either.
  CHECK(fixture.StatusOf("other", Millis(4001)) == 503);
}

TEST_CASE("routes and keys are denied only while no change can be missing",
          "[gate]") {
  GateFixture fixture;
  CHECK(fixture.StatusOf("other", Millis(1999)) == 401);
  CHECK(fixture.StatusOf("other", Millis(2000)) == 503);
  CHECK(fixture.StatusOf("", Millis(2000)) == 503);
  CHECK(fixture.StatusOf("key", Millis(2000)) == 200);
  fixture.request.target = "/none/1";
  CHECK(fixture.StatusOf("key", Millis(1999)) == 404);
  CHECK(fixture.StatusOf("key", Millis(2000)) == 503);
}

TEST_CASE("a stopping daemon rejects requests that it could not finish",
          "[gate]") {
  GateFixture fixture;
  fixture.catalogue.routes[0].kind = fleet::RequestKind::kGeneration;
  fixture.expected_output = 1000;
  CHECK(fixture.StatusOf("key", Millis(100)) == 200);
  fixture.stops_in = Millis(4000);
  CHECK(fixture.StatusOf("key", Millis(100)) == 503);
  CHECK(std::get<relay::Rejection>(fixture.passed).retry_after.has_value());
  fixture.expected_output = 10;
  CHECK(fixture.StatusOf("key", Millis(100)) == 200);
  // Shortly before the stop it takes no request at all.
  fixture.catalogue.routes[0].kind = fleet::RequestKind::kIdempotent;
  CHECK(fixture.StatusOf("key", Millis(100)) == 200);
  fixture.stops_in = Millis(100);
  CHECK(fixture.StatusOf("key", Millis(100)) == 503);
}

// Estimates of an output are often far too short.
TEST_CASE("a stopping daemon rejects a generation whose limit does not fit",
          "[gate]") {
  GateFixture fixture;
  fixture.catalogue.routes[0].kind = fleet::RequestKind::kGeneration;
  fixture.catalogue.routes[0].timeout = Millis(60'000);
  fixture.expected_output = 10;
  fixture.output_limit = 2000;
  fixture.deadline = Millis(39'000);
  CHECK(fixture.StatusOf("key", Millis(100)) == 200);
  fixture.stops_in = Millis(7000);
  CHECK(fixture.StatusOf("key", Millis(100)) == 503);
  // Without a limit the output may take until the caller's deadline.
  fixture.output_limit = 0;
  CHECK(fixture.StatusOf("key", Millis(100)) == 503);
  fixture.deadline = Millis(6000);
  CHECK(fixture.StatusOf("key", Millis(100)) == 200);
  fixture.deadline = Millis(39'000);
  fixture.output_limit = 20;
  CHECK(fixture.StatusOf("key", Millis(100)) == 200);
}

TEST_CASE("the longest path prefix wins and public routes need no key",
          "[gate]") {
  GateFixture fixture;
  fixture.request.target = "/read/public/1";
  CHECK(fixture.StatusOf("", Millis(9000)) == 200);
  fixture.request.target = "/reads/1";
  CHECK(fixture.StatusOf("key", Millis(100)) == 404);
  CHECK(fixture.StatusOf("key", Millis(9000)) == 503);
}

TEST_CASE("events are split at blank lines for any chunk size", "[events]") {
  const std::string text =
      "x-version: 2\nid: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\nid: 9\nda";
  for (size_t chunk_size = 1; chunk_size < text.size(); ++chunk_size) {
    relay::EventSplitter splitter;
    std::string joined;
    std::vector<int64_t> ids;
    for (size_t at = 0; at < text.size(); at += chunk_size) {
      for (const relay::StreamEvent& event :
           splitter.Append(std::string_view(text).substr(at, chunk_size))) {
        joined += event.bytes;
        ids.push_back(event.id.value_or(0));
      }
    }
    CHECK(ids == std::vector<int64_t>{7, 8});
    CHECK(joined + std::string(splitter.incomplete()) == text);
  }
}

// Many prompts at once: an engine has a free slot and memory, and seconds of
// prompts to process.

routing::UpstreamCandidate MakeBusyEngine(const std::string& id,
                                          int64_t unread_tokens) {
  routing::UpstreamCandidate candidate = MakeEngine(id, 8000, 10);
  candidate.load.unread_tokens = unread_tokens;
  return candidate;
}

TEST_CASE("a generation waits at an engine behind too many prompts",
          "[first_token]") {
  const routing::FirstTokenModel model;
  const routing::GenerationSize check = {2000, 10, true};
  // 0.1 ms for each prompt token: 1.2 s, with its own 0.2 s.
  const std::vector<routing::UpstreamCandidate> busy = {
      MakeBusyEngine("busy", 10'000)};
  CHECK(routing::ChooseEngine(busy, check, kEngineMemoryTokens, model,
                              routing::FirstTokenBound{1300, 1300}));
  CHECK_FALSE(routing::ChooseEngine(busy, check, kEngineMemoryTokens, model,
                                    routing::FirstTokenBound{1100, 1100}));
  // One that is late already must not make others late.
  CHECK_FALSE(routing::ChooseEngine(busy, check, kEngineMemoryTokens, model,
                                    routing::FirstTokenBound{30'000, 300}));
  // Without a target it is placed as before.
  CHECK(routing::ChooseEngine(busy, check, kEngineMemoryTokens, model));
  // An engine that has nothing to do is never too busy.
  CHECK(routing::ChooseEngine({MakeEngine("idle", 0, 10)}, check,
                              kEngineMemoryTokens, model,
                              routing::FirstTokenBound{1, 1}));
}

TEST_CASE("the speed of prompts is not learned", "[first_token]") {
  constexpr int64_t kTokens = 3000;
  constexpr double kTokenMs = 10;
  routing::FirstTokenModel model;
  // Three times as slow as assumed, but for one long wait of each four.
  for (int i = 0; i < 200; ++i) {
    model.Record(kTokens, kTokenMs, Millis(i % 4 == 0 ? 20'000 : 900));
  }
  const double prefill_ms = model.PrefillMs(kTokens, kTokenMs);
  CHECK(prefill_ms > 600);
  CHECK(prefill_ms < 1400);
}

TEST_CASE("those that are late go before those that can be on time",
          "[waiting]") {
  admission::FairQueue queue(10);
  const auto push = [&queue](uint64_t ticket, bool is_short, Millis late_at) {
    admission::Waiter waiter;
    waiter.ticket = ticket;
    waiter.organisation = base::OrganisationId("a");
    waiter.is_short = is_short;
    waiter.late_at = late_at;
    REQUIRE(queue.Push(waiter));
  };
  push(1, true, Millis(100));
  push(2, false, Millis(900));
  push(3, true, Millis(700));
  push(4, true, Millis(600));
  std::vector<uint64_t> order;
  queue.Dispatch(Millis(200), [&order](const admission::Waiter& waiter) {
    order.push_back(waiter.ticket);
    return true;
  });
  // Short ones before long ones, those with the least time left first, and
  // the late one last.
  CHECK(order == std::vector<uint64_t>{4, 3, 2, 1});
  CHECK(queue.size() == 0);
}

TEST_CASE("a late request waits for ever beside one that fits nowhere",
          "[waiting]") {
  admission::FairQueue queue(10);
  admission::Waiter large;
  large.ticket = 1;
  large.organisation = base::OrganisationId("a");
  admission::Waiter late;
  late.ticket = 2;
  late.organisation = base::OrganisationId("a");
  late.late_at = Millis(10);
  REQUIRE(queue.Push(large));
  REQUIRE(queue.Push(late));
  std::vector<uint64_t> admitted;
  queue.Dispatch(Millis(20), [&admitted](const admission::Waiter& waiter) {
    if (waiter.ticket == 1) {
      return false;
    }
    admitted.push_back(waiter.ticket);
    return true;
  });
  CHECK(admitted == std::vector<uint64_t>{2});
  CHECK(queue.on_time_size() == 1);
}

TEST_CASE("an output beyond its estimate is taken to end at once", "[size]") {
  const routing::GenerationSize size = {1000, 100, false};
  CHECK(relay::ExpectedOutput(size, 50, 0) == 100);
  CHECK(relay::ExpectedOutput(size, 200, 0) > 200);
  CHECK(relay::ExpectedOutput(size, 200, 220) == 220);
}

}  // namespace
}  // namespace dandelion::test
