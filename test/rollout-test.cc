#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

#include "rollout/plan.h"
#include "rollout/verdict.h"
#include "rollout/version_choice.h"
#include "test/rollout-fleet.h"

namespace dandelion::test {
namespace {

using base::Millis;
using rollout::Finding;
using rollout::State;

constexpr Millis kLimit{20'000};
// From the pages.
constexpr double kExposedShare = 0.1;
constexpr double kExposedSlack = 50;
constexpr uint64_t kSeeds = 50;

RolloutFleet::Options WithTarget(const VersionBehaviour& behaviour,
                                 uint64_t seed) {
  RolloutFleet::Options options;
  options.seed = seed;
  options.target = behaviour;
  return options;
}

VersionBehaviour Failing(double share) {
  VersionBehaviour behaviour;
  behaviour.failing = share;
  return behaviour;
}

TEST_CASE("a bad version exceeds its exposure or is not reverted in time",
          "[rollout]") {
  VersionBehaviour behaviour;
  SECTION("fails a part at once") {
    behaviour = Failing(GENERATE(0.2, 0.6));
  }
  SECTION("fails later") {
    behaviour = Failing(0.4);
    behaviour.from = Millis(GENERATE(5000, 9000));
  }
  SECTION("fails on one route") {
    behaviour = Failing(0.4);
    behaviour.route = "draft";
  }
  SECTION("fails under load") {
    behaviour = Failing(0.4);
    // A fifth below what each old upstream carries.
    behaviour.above_rate = 16;
  }
  SECTION("is slow") {
    behaviour.slow = 0.5;
  }
  double largest_share = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RolloutFleet fleet(WithTarget(behaviour, seed));
    fleet.RunFor(Millis(2000));
    fleet.sent = 0;
    fleet.Order();
    fleet.RunFor(kLimit);
    INFO("seed " << seed);
    REQUIRE(fleet.recorded);
    CHECK(fleet.recorded->state == State::kReverted);
    const auto sent = static_cast<double>(fleet.sent);
    const auto exposed = static_cast<double>(fleet.exposed);
    CHECK(exposed <= kExposedShare * sent + kExposedSlack);
    CHECK(fleet.too_late == 0);
    largest_share = std::max(largest_share, (exposed - kExposedSlack) / sent);
    for (size_t daemon = 0; daemon < 8; ++daemon) {
      CHECK(fleet.StateAt(daemon) == State::kReverted);
    }
  }
  WARN("largest exposure beyond the slack: " << largest_share);
}

TEST_CASE("a good version is not completed in time", "[rollout]") {
  int completed = 0;
  size_t largest_counts_bytes = 0;
  size_t largest_sums_bytes = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RolloutFleet::Options options = WithTarget(VersionBehaviour(), seed);
    // Both versions fail a part of their requests, and one upstream of the
    // target version has crashed.
    options.failing_anyway = 0.14;
    RolloutFleet fleet(options);
    fleet.RunFor(Millis(2000));
    fleet.Order();
    fleet.crashing.insert(base::UpstreamId("u-9"));
    fleet.RunFor(kLimit);
    const bool in_time =
        fleet.recorded && fleet.recorded->state == State::kCompleted;
    if (!in_time) {
      WARN("seed " << seed << ": " << fleet.last_reason);
    }
    completed += in_time ? 1 : 0;
    largest_counts_bytes =
        std::max(largest_counts_bytes, fleet.largest_counts_bytes);
    largest_sums_bytes = std::max(largest_sums_bytes, fleet.largest_sums_bytes);
  }
  // Two routes and two versions.
  CHECK(largest_counts_bytes < 1024);
  CHECK(largest_sums_bytes < 1024);
  WARN("largest message with counts: "
       << largest_counts_bytes << " bytes, with sums: " << largest_sums_bytes);
  // A good version that is reverted by chance costs the operator a second
  // order; it must stay rare.
  CHECK(completed >= static_cast<int>(kSeeds) - 1);
}

// While the share of the target version grows, a larger part of its answers
// than of the old version's falls into a bad moment late in the roll-out.
TEST_CASE("what harms both versions for a while reverts a good one",
          "[rollout]") {
  Spell spell;
  spell.from = Millis(GENERATE(2000, 5000, 9000));
  spell.until = spell.from + Millis(GENERATE(500, 2000));
  SECTION("both are slow") {
    spell.slowdown = 8;
  }
  SECTION("both fail a part") {
    spell.failing = 0.5;
  }
  CAPTURE(spell.from.count(), spell.until.count());
  int completed = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RolloutFleet::Options options = WithTarget(VersionBehaviour(), seed);
    options.spell = spell;
    RolloutFleet fleet(options);
    fleet.RunFor(Millis(2000));
    fleet.Order();
    fleet.RunFor(kLimit);
    const bool in_time =
        fleet.recorded && fleet.recorded->state == State::kCompleted;
    if (!in_time) {
      UNSCOPED_INFO("seed " << seed << ": " << fleet.last_reason);
    }
    completed += in_time ? 1 : 0;
  }
  CHECK(completed >= static_cast<int>(kSeeds) - 1);
}

// Another delegate may speak for a data centre, and know only what its daemons
// have done since they started.
TEST_CASE("counts that fall hide what a version does from then on",
          "[rollout]") {
  const base::RouteName route("check");
  Millis now(1000);
  rollout::RolloutPlan plan(
      {base::PoolName("pool"), base::SoftwareVersion("8"), kLimit, 0}, now,
      rollout::ExposureBound());
  rollout::Evidence evidence;
  evidence.target_upstreams = 8;
  const auto answer = [&](int64_t good_at_target, int64_t bad_at_target) {
    auto& old = evidence.counts.side(rollout::Side::kOld).routes[route];
    auto& target = evidence.counts.side(rollout::Side::kTarget).routes[route];
    old.sent += 100;
    old.answered += 90;
    old.failed += 10;
    target.sent += good_at_target + bad_at_target;
    target.answered += good_at_target;
    target.failed += bad_at_target;
    now = now + Millis(600);
    return plan.Next(now, evidence).state;
  };
  for (int i = 0; i < 10; ++i) {
    REQUIRE(answer(27, 3) == State::kRunning);
  }
  evidence.counts = {};
  CHECK(answer(1, 0) == State::kRunning);
  State state = State::kRunning;
  // No more than what it had failed before.
  for (int i = 0; i < 3; ++i) {
    state = answer(0, 9);
  }
  CHECK(state == State::kReverted);
}

TEST_CASE("a version that crashes its upstreams is completed", "[rollout]") {
  RolloutFleet fleet(WithTarget(VersionBehaviour(), 1));
  fleet.RunFor(Millis(2000));
  fleet.Order();
  for (size_t i = 8; i < 16; ++i) {
    fleet.crashing.insert(base::UpstreamId("u-" + std::to_string(i)));
  }
  fleet.RunFor(kLimit);
  CHECK(fleet.recorded->state == State::kReverted);
}

TEST_CASE("a roll-out ends with its decider", "[rollout]") {
  const bool is_bad = GENERATE(false, true);
  VersionBehaviour behaviour = Failing(is_bad ? 0.5 : 0);
  behaviour.from = Millis(8000);
  RolloutFleet fleet(WithTarget(behaviour, 3));
  fleet.RunFor(Millis(2000));
  fleet.Order();
  fleet.RunFor(Millis(6000));
  CHECK(fleet.StateAt(5) == State::kRunning);
  // Daemon 1 takes over a few seconds after daemon 0 has died.
  fleet.deciders.clear();
  fleet.cut_off.insert(0);
  fleet.RunFor(Millis(3000));
  // Without a fresh decision nothing goes to the target version.
  CHECK(fleet.daemon(5).RuleFor(base::PoolName("pool"), fleet.now())->share ==
        0);
  fleet.deciders.insert(1);
  fleet.RunFor(kLimit - Millis(9000));
  REQUIRE(fleet.recorded);
  CHECK(fleet.recorded->state ==
        (is_bad ? State::kReverted : State::kCompleted));
  CHECK(fleet.ended_at < fleet.now());
}

TEST_CASE("two deciders disagree about a final state", "[rollout]") {
  const bool is_bad = GENERATE(false, true);
  RolloutFleet fleet(WithTarget(Failing(is_bad ? 0.5 : 0), 4));
  fleet.deciders.insert(1);
  fleet.RunFor(Millis(2000));
  fleet.Order();
  fleet.RunFor(kLimit);
  const State expected = is_bad ? State::kReverted : State::kCompleted;
  CHECK(fleet.recorded->state == expected);
  for (size_t daemon = 0; daemon < 8; ++daemon) {
    CHECK(fleet.StateAt(daemon) == expected);
  }
}

TEST_CASE("a completion is announced before the store has it", "[rollout]") {
  RolloutFleet fleet(WithTarget(VersionBehaviour(), 5));
  fleet.RunFor(Millis(2000));
  fleet.Order();
  fleet.RunFor(Millis(10'000));
  fleet.store_down = true;
  fleet.RunFor(kLimit);
  CHECK(fleet.recorded->state == State::kRunning);
  CHECK(fleet.StateAt(5) == State::kMoving);
  fleet.store_down = false;
  fleet.lost_answers = 1;
  fleet.RunFor(Millis(1500));
  CHECK(fleet.recorded->state == State::kCompleted);
  CHECK(fleet.StateAt(5) == State::kCompleted);
}

TEST_CASE("a reversal waits for the store", "[rollout]") {
  RolloutFleet fleet(WithTarget(Failing(0.5), 6));
  fleet.RunFor(Millis(2000));
  fleet.Order();
  fleet.RunFor(Millis(1000));
  fleet.store_down = true;
  fleet.RunFor(Millis(10'000));
  CHECK(fleet.recorded->state == State::kRunning);
  CHECK(fleet.StateAt(5) == State::kReverted);
  fleet.store_down = false;
  fleet.RunFor(Millis(1000));
  CHECK(fleet.recorded->state == State::kReverted);
}

TEST_CASE("a final state is lost when all daemons start again", "[rollout]") {
  RolloutFleet fleet(WithTarget(Failing(0.5), 7));
  fleet.RunFor(Millis(2000));
  fleet.Order();
  fleet.RunFor(GENERATE(Millis(1200), Millis(10'000)));
  for (size_t daemon = 0; daemon < 8; ++daemon) {
    fleet.Restart(daemon);
  }
  const int64_t exposed = fleet.exposed;
  fleet.RunFor(Millis(10'000));
  // What was not decided yet is reverted too: nobody knows what it has had.
  CHECK(fleet.recorded->state == State::kReverted);
  CHECK(fleet.StateAt(5) == State::kReverted);
  CHECK(fleet.exposed == exposed);
}

TEST_CASE("a daemon that starts during a roll-out sends more than the fleet",
          "[rollout]") {
  RolloutFleet fleet(WithTarget(VersionBehaviour(), 8));
  fleet.RunFor(Millis(2000));
  fleet.Order();
  fleet.RunFor(Millis(5000));
  const base::PoolName pool("pool");
  const double share = fleet.daemon(4).RuleFor(pool, fleet.now())->share;
  CHECK(share > 0);
  fleet.Restart(5);
  CHECK(fleet.daemon(5).RuleFor(pool, fleet.now())->share == 0);
  fleet.RunFor(Millis(1500));
  CHECK(fleet.daemon(5).RuleFor(pool, fleet.now())->share ==
        fleet.daemon(4).RuleFor(pool, fleet.now())->share);
}

TEST_CASE("an order that is removed or repeated keeps the old decision",
          "[rollout]") {
  RolloutFleet fleet(WithTarget(Failing(0.5), 9));
  fleet.RunFor(Millis(2000));
  fleet.Order();
  fleet.RunFor(Millis(8000));
  CHECK(fleet.recorded->state == State::kReverted);
  fleet.RemoveOrder();
  const base::PoolName pool("pool");
  CHECK_FALSE(fleet.daemon(2).RuleFor(pool, fleet.now()));
  // The same version once more, with a later order.
  fleet.Order();
  CHECK(fleet.daemon(2).RuleFor(pool, fleet.now())->share == 0);
  fleet.RunFor(Millis(8000));
  CHECK(fleet.recorded->state == State::kReverted);
  CHECK(fleet.recorded->order_offset == 1);
}

// The load of each upstream of the target version is that of an old one.

fleet::Upstream MakeUpstream(const std::string& id,
                             const std::string& version) {
  fleet::Upstream upstream;
  upstream.id = base::UpstreamId(id);
  upstream.entry.version = base::SoftwareVersion(version);
  return upstream;
}

struct Versions {
  Versions() {
    for (int i = 0; i < 20; ++i) {
      all.push_back(MakeUpstream("old-" + std::to_string(i), "1"));
      all.push_back(MakeUpstream("new-" + std::to_string(i), "2"));
    }
    for (const fleet::Upstream& upstream : all) {
      usable.push_back(&upstream);
    }
  }
  std::vector<fleet::Upstream> all;
  std::vector<const fleet::Upstream*> usable;
};

TEST_CASE("a share of the requests goes to all target upstreams", "[rollout]") {
  const Versions versions;
  const rollout::VersionRule rule = {base::SoftwareVersion("2"), 0.1, true};
  const rollout::VersionChoice canary =
      rollout::ChooseVersions(rule, 0.05, false, versions.usable);
  REQUIRE(canary.preferred.size() == 2);
  CHECK(canary.preferred[0]->entry.version == rule.target);
  CHECK(canary.others.size() == 20);
  // All others, and retries, stay with the old version.
  for (const bool is_retry : {false, true}) {
    const rollout::VersionChoice old = rollout::ChooseVersions(
        rule, is_retry ? 0.05 : 0.5, is_retry, versions.usable);
    CHECK(old.preferred.size() == 20);
    CHECK(old.preferred[0]->entry.version != rule.target);
    CHECK(old.others.empty());
  }
}

TEST_CASE("a pool without its old version is not served", "[rollout]") {
  Versions versions;
  std::erase_if(versions.usable, [](const fleet::Upstream* upstream) {
    return upstream->entry.version.value() == "1";
  });
  const bool reverted = GENERATE(false, true);
  const rollout::VersionRule rule = {base::SoftwareVersion("2"), 0, !reverted};
  const rollout::VersionChoice choice =
      rollout::ChooseVersions(rule, 0.5, false, versions.usable);
  CHECK(choice.preferred.size() == (reverted ? 0 : 20));
}

}  // namespace
}  // namespace dandelion::test
