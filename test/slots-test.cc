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

/// An owner of one upstream on a set clock.
struct Fixture {
  Millis now{10'000};
  base::Clock clock{[this] { return now; }};
  SlotOwner owner{clock};

  explicit Fixture(int64_t warm = 8, int64_t cold = 2) {
    owner.Own(kUpstream, {Slots(warm), Slots(cold)}, /*settled=*/true);
    Report("run-1", /*cold=*/true);
  }

  void Report(const std::string& incarnation, bool cold, int64_t running = 0) {
    UpstreamReport report;
    report.incarnation = base::Incarnation(incarnation);
    report.reachable = true;
    report.cold = cold;
    report.running = running;
    owner.OnReport(kUpstream, report);
  }

  int64_t Ask(const std::string& holder,
              int64_t needed,
              int64_t holding,
              int64_t in_flight,
              int64_t successes = 0) {
    SlotAsk ask;
    ask.upstream = kUpstream;
    ask.needed = Slots(needed);
    ask.holding = Slots(holding);
    ask.in_flight = Slots(in_flight);
    ask.successes = successes;
    return owner.OnAsk(HostId(holder), 1, ask, 1, 1).slots.count();
  }
};

TEST_CASE("a just started upstream is leased up to its cold limit only") {
  Fixture fixture;
  CHECK(fixture.Ask("a", 8, 0, 0) == 2);
  CHECK(fixture.Ask("b", 8, 0, 0) == 0);
}

TEST_CASE("the budget grows by successes once the upstream is warm") {
  Fixture fixture;
  fixture.Report("run-1", /*cold=*/false);
  fixture.Ask("a", 8, 0, 0);
  CHECK(fixture.Ask("a", 8, 2, 2, /*successes=*/2) == 4);
  CHECK(fixture.Ask("a", 8, 4, 4, /*successes=*/4) == 8);
}

TEST_CASE("a new incarnation is cold again") {
  Fixture fixture;
  fixture.Report("run-1", /*cold=*/false);
  fixture.Ask("a", 8, 2, 2, 8);
  fixture.Report("run-2", /*cold=*/false);
  CHECK(fixture.owner.Budget(kUpstream) == Slots(2));
}

TEST_CASE("slots of a lapsed holder stay taken while they may still run") {
  Fixture fixture;
  CHECK(fixture.Ask("a", 2, 0, 0) == 2);
  fixture.now = fixture.now + SlotOwner::kLeaseTtl + Millis(1);
  fixture.Report("run-1", true, /*running=*/2);
  CHECK(fixture.Ask("b", 2, 0, 0) == 0);
  fixture.now = fixture.now + Millis(1500);
  fixture.Report("run-1", true, /*running=*/0);
  CHECK(fixture.Ask("b", 2, 0, 0) == 2);
}

TEST_CASE("a new owner grants only what holders already have") {
  Millis now(10'000);
  SlotOwner owner(base::Clock([&now] { return now; }));
  owner.Own(kUpstream, {Slots(8), Slots(8)}, /*settled=*/false);
  UpstreamReport report;
  report.reachable = true;
  report.incarnation = base::Incarnation("run-1");
  owner.OnReport(kUpstream, report);
  SlotAsk ask;
  ask.upstream = kUpstream;
  ask.needed = Slots(5);
  ask.holding = Slots(3);
  CHECK(owner.OnAsk(HostId("a"), 1, ask, 1, 1).slots == Slots(3));
  now = now + SlotOwner::kLeaseTtl;
  CHECK(owner.OnAsk(HostId("a"), 2, ask, 1, 1).slots == Slots(5));
}

TEST_CASE("the shares of all sides of a split stay within the limit") {
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

TEST_CASE("a paused holder's lease ends before the owner's") {
  Millis now(10'000);
  SlotHolder holder(base::Clock([&now] { return now; }));
  holder.OpenRound(HostId("o"), 1);
  now = now + Millis(500);
  SlotGrant grant;
  grant.upstream = kUpstream;
  grant.slots = Slots(1);
  grant.ttl = SlotOwner::kLeaseTtl;
  REQUIRE(holder.OnGrants(HostId("o"), 1, {grant}));
  now = Millis(10'000) + SlotOwner::kLeaseTtl;
  CHECK_FALSE(holder.TryTake(kUpstream));
}

TEST_CASE("an answer to an earlier round is ignored") {
  Millis now(10'000);
  SlotHolder holder(base::Clock([&now] { return now; }));
  holder.OpenRound(HostId("o"), 1);
  holder.OpenRound(HostId("o"), 2);
  SlotGrant grant;
  grant.upstream = kUpstream;
  grant.slots = Slots(1);
  grant.ttl = SlotOwner::kLeaseTtl;
  CHECK_FALSE(holder.OnGrants(HostId("o"), 1, {grant}));
  CHECK(holder.Free(kUpstream) == 0);
}

}  // namespace
}  // namespace dandelion::admission
