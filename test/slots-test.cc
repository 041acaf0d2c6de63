#include <catch2/catch.hpp>

#include "admission/slot_holder.h"
#include "admission/slot_owner.h"

namespace dandelion::admission {
namespace {

using base::HostId;
using base::Millis;
using base::Slots;
using base::UpstreamId;

const UpstreamId kUpstream("u");

/// The owner of one upstream, with a clock that the test sets.
struct SlotOwnerFixture {
  Millis now{10'000};
  base::Clock clock{[this] { return now; }};
  SlotOwner owner{clock};

  explicit SlotOwnerFixture(int64_t warm = 8, int64_t cold = 2) {
    owner.AddUpstream(kUpstream, {Slots(warm), Slots(cold)},
                      /*no_prior_leases=*/true);
    ReportLoad("run-1", /*cold=*/true);
  }

  void ReportLoad(const std::string& incarnation,
                  bool cold,
                  int64_t running = 0) {
    UpstreamReport report;
    report.incarnation = base::Incarnation(incarnation);
    report.reachable = true;
    report.cold = cold;
    report.running = running;
    owner.OnReport(kUpstream, report);
  }

  int64_t AskForSlots(const std::string& holder,
                      int64_t needed,
                      int64_t leased,
                      int64_t in_flight,
                      int64_t successes = 0) {
    SlotAsk ask;
    ask.upstream = kUpstream;
    ask.needed = Slots(needed);
    ask.leased = Slots(leased);
    ask.in_flight = Slots(in_flight);
    ask.successes = successes;
    return owner.OnAsk(HostId(holder), 1, ask, 1, 1).slots.count();
  }
};

TEST_CASE("a newly started upstream is leased up to its cold limit only") {
  SlotOwnerFixture fixture;
  CHECK(fixture.AskForSlots("a", 8, 0, 0) == 2);
  CHECK(fixture.AskForSlots("b", 8, 0, 0) == 0);
}

TEST_CASE("the budget grows with successes once the upstream is warm") {
  SlotOwnerFixture fixture;
  fixture.ReportLoad("run-1", /*cold=*/false);
  fixture.AskForSlots("a", 8, 0, 0);
  CHECK(fixture.AskForSlots("a", 8, 2, 2, /*successes=*/2) == 4);
  CHECK(fixture.AskForSlots("a", 8, 4, 4, /*successes=*/4) == 8);
}

TEST_CASE("a restart resets the budget to the cold limit") {
  SlotOwnerFixture fixture;
  fixture.ReportLoad("run-1", /*cold=*/false);
  fixture.AskForSlots("a", 8, 2, 2, 8);
  fixture.ReportLoad("run-2", /*cold=*/false);
  CHECK(fixture.owner.Budget(kUpstream) == Slots(2));
}

TEST_CASE(
    "slots of an expired lease stay taken while its requests may still run") {
  SlotOwnerFixture fixture;
  CHECK(fixture.AskForSlots("a", 2, 0, 0) == 2);
  fixture.now = fixture.now + SlotOwner::kLeaseTtl + Millis(1);
  fixture.ReportLoad("run-1", true, /*running=*/2);
  CHECK(fixture.AskForSlots("b", 2, 0, 0) == 0);
  fixture.now = fixture.now + Millis(1500);
  fixture.ReportLoad("run-1", true, /*running=*/0);
  CHECK(fixture.AskForSlots("b", 2, 0, 0) == 2);
}

TEST_CASE("a new owner grants no new slots until earlier leases have expired") {
  Millis now(10'000);
  SlotOwner owner(base::Clock([&now] { return now; }));
  owner.AddUpstream(kUpstream, {Slots(8), Slots(8)}, /*no_prior_leases=*/false);
  UpstreamReport report;
  report.reachable = true;
  report.incarnation = base::Incarnation("run-1");
  owner.OnReport(kUpstream, report);
  SlotAsk ask;
  ask.upstream = kUpstream;
  ask.needed = Slots(5);
  ask.leased = Slots(3);
  CHECK(owner.OnAsk(HostId("a"), 1, ask, 1, 1).slots == Slots(3));
  now = now + SlotOwner::kLeaseTtl;
  CHECK(owner.OnAsk(HostId("a"), 2, ask, 1, 1).slots == Slots(5));
}

TEST_CASE(
    "the shares of both sides of a network partition stay within the limit") {
  for (int64_t roster = 1; roster <= 18; ++roster) {
    for (int64_t limit = 1; limit <= 64; ++limit) {
      for (int64_t side = 0; side <= roster; ++side) {
        const int64_t both =
            SlotOwner::ShareOfSplit(limit, side, roster) +
            SlotOwner::ShareOfSplit(limit, roster - side, roster);
        REQUIRE(both <= limit);
      }
    }
  }
}

TEST_CASE("a lease runs from when it was asked for, not from the answer") {
  Millis now(10'000);
  SlotHolder holder(base::Clock([&now] { return now; }));
  holder.StartRound(HostId("o"), 1);
  now = now + Millis(500);
  SlotGrant grant;
  grant.upstream = kUpstream;
  grant.slots = Slots(1);
  grant.ttl = SlotOwner::kLeaseTtl;
  REQUIRE(holder.ApplyGrants(HostId("o"), 1, {grant}));
  now = Millis(10'000) + SlotOwner::kLeaseTtl;
  CHECK_FALSE(holder.TryAcquire(kUpstream));
}

TEST_CASE("an answer to an earlier round is ignored") {
  Millis now(10'000);
  SlotHolder holder(base::Clock([&now] { return now; }));
  holder.StartRound(HostId("o"), 1);
  holder.StartRound(HostId("o"), 2);
  SlotGrant grant;
  grant.upstream = kUpstream;
  grant.slots = Slots(1);
  grant.ttl = SlotOwner::kLeaseTtl;
  CHECK_FALSE(holder.ApplyGrants(HostId("o"), 1, {grant}));
  CHECK(holder.FreeSlots(kUpstream) == 0);
}

}  // namespace
}  // namespace dandelion::admission
