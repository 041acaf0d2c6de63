#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "admission/part_quarantine.h"

namespace dandelion::admission {
namespace {

using base::HostId;
using base::Millis;
using base::PartId;
using base::UpstreamId;

PartList Parts(std::initializer_list<const char*> names) {
  PartList parts;
  for (const char* name : names) {
    parts.emplace_back(name);
  }
  return parts;
}

UpstreamId Upstream(int number) {
  return UpstreamId(absl::StrCat("u", number));
}

/// One daemon with a clock that the test sets.
struct Daemon {
  explicit Daemon(const std::string& name = "a")
      : host(name), quarantine(host, MakeHooks()) {}
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  PartQuarantine::Hooks MakeHooks() {
    PartQuarantine::Hooks hooks;
    hooks.on_suspected = [this](const PartId& part, const UpstreamId&) {
      suspected.push_back(part.value());
    };
    hooks.on_quarantined = [this](const PartId& part, int64_t) {
      quarantined.push_back(part.value());
    };
    hooks.on_cleared = [this](const PartId& part) {
      cleared.push_back(part.value());
    };
    return hooks;
  }

  void Advance(Millis time) {
    now = now + time;
    quarantine.Tick(now);
  }
  void Break(int upstream, const PartList& parts) {
    quarantine.RecordBreak(Upstream(upstream), parts, now);
  }
  void LateBreak(int upstream, const PartList& parts) {
    quarantine.RecordBreak(Upstream(upstream), parts, now,
                           BreakStage::kContentSent);
  }
  void Sound(const PartList& parts) { quarantine.RecordSound(parts, now); }
  bool Rejects(const PartList& parts) const {
    return quarantine.FindQuarantined(parts, now).has_value();
  }
  bool TryTrial(const PartList& parts) {
    return quarantine.TryTrial(parts, now);
  }
  bool IsSuspect(const PartList& parts) const {
    return quarantine.IsSuspect(parts, now);
  }

  HostId host;
  Millis now{1'000'000};
  std::vector<std::string> suspected;
  std::vector<std::string> quarantined;
  std::vector<std::string> cleared;
  PartQuarantine quarantine;
};

/// Daemons that exchange evidence, each with a clock of its own.
struct DaemonFleet {
  explicit DaemonFleet(int count) {
    for (int i = 0; i < count; ++i) {
      daemons.push_back(std::make_unique<Daemon>(absl::StrCat("host-", i)));
      daemons.back()->now = Millis(1'000'000 + INT64_C(77'777'777) * i);
    }
    is_cut_off.resize(daemons.size());
  }

  Daemon& operator[](size_t index) { return *daemons[index]; }

  void Deliver(size_t from, bool all) {
    if (is_cut_off[from] ||
        (!all && !daemons[from]->quarantine.has_changes())) {
      return;
    }
    const PartEvidence evidence =
        daemons[from]->quarantine.CollectEvidence(all, daemons[from]->now);
    for (size_t to = 0; to < daemons.size(); ++to) {
      if (to != from && !is_cut_off[to]) {
        daemons[to]->quarantine.ApplyPeerEvidence(daemons[from]->host, evidence,
                                                  daemons[to]->now);
      }
    }
  }
  // Changes are delivered every step, complete lists every 40 steps.
  void Advance(Millis time) {
    constexpr Millis kStep{30};
    constexpr int kStepsPerFullList = 40;
    for (Millis left = time; left > Millis(0); left = left - kStep) {
      ++steps;
      for (size_t i = 0; i < daemons.size(); ++i) {
        daemons[i]->Advance(std::min(left, kStep));
        Deliver(i, steps % kStepsPerFullList == 0);
      }
    }
  }
  bool AllReject(const PartList& parts) const {
    return std::all_of(daemons.begin(), daemons.end(), [&](const auto& daemon) {
      return daemon->Rejects(parts);
    });
  }
  bool AnyRejects(const PartList& parts) const {
    return std::any_of(daemons.begin(), daemons.end(), [&](const auto& daemon) {
      return daemon->Rejects(parts);
    });
  }

  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<bool> is_cut_off;
  int steps = 0;
};

const Millis kSecond{1000};

TEST_CASE("a part that crashes every engine is rejected after two crashes",
          "[quarantine]") {
  Daemon daemon;
  daemon.Sound(Parts({"shared"}));
  daemon.Break(1, Parts({"shared", "bad"}));
  CHECK(daemon.suspected == std::vector<std::string>{"bad"});
  CHECK(daemon.IsSuspect(Parts({"bad"})));
  daemon.Advance(kSecond);
  CHECK_FALSE(daemon.Rejects(Parts({"shared", "bad"})));
  daemon.Break(2, Parts({"shared", "bad"}));
  daemon.Advance(Millis(30));
  CHECK(daemon.quarantined == std::vector<std::string>{"bad"});
  CHECK(daemon.Rejects(Parts({"shared", "bad"})));
  CHECK(daemon.Rejects(Parts({"other", "bad", "more"})));
  CHECK_FALSE(daemon.Rejects(Parts({"shared"})));
  CHECK_FALSE(daemon.IsSuspect(Parts({"shared"})));
}

// Guards against a part that crashes engines just after the first events and
// is never rejected.
TEST_CASE("a part that crashes engines after the first events is let through",
          "[quarantine]") {
  DaemonFleet fleet(3);
  for (int i = 0; i < 4; ++i) {
    CHECK_FALSE(fleet.AnyRejects(Parts({"bad"})));
    // Half of the engines come back under the same name.
    fleet[static_cast<size_t>(i) % 3].LateBreak(i % 2,
                                                Parts({"caller", "bad"}));
    fleet[0].Sound(Parts({"caller"}));
    fleet.Advance(kSecond * 3);
  }
  CHECK(fleet.AllReject(Parts({"caller", "bad"})));
  CHECK_FALSE(fleet.AnyRejects(Parts({"caller"})));
}

// Guards against rare parts that are rejected because engines crashed for other
// reasons while their answers were young.
TEST_CASE("crashes after the first events soon reject a part", "[quarantine]") {
  Daemon daemon;
  SECTION("three engines") {
    for (int i = 0; i < 3; ++i) {
      daemon.LateBreak(i, Parts({"rare"}));
      daemon.Advance(kSecond * 3);
    }
  }
  SECTION("one engine that crashes again and again") {
    for (int i = 0; i < 8; ++i) {
      daemon.LateBreak(1, Parts({"rare"}));
      daemon.Advance(kSecond * 3);
    }
  }
  SECTION("all engines at once") {
    for (int i = 0; i < 8; ++i) {
      daemon.LateBreak(i, Parts({"rare"}));
    }
    daemon.Advance(kSecond * 3);
  }
  SECTION("crashes of which another part is the cause") {
    for (int i = 0; i < 5; ++i) {
      daemon.Break(i, Parts({"bad"}));
      daemon.LateBreak(i, Parts({"rare"}));
      daemon.Advance(kSecond * 3);
    }
    CHECK(daemon.Rejects(Parts({"bad"})));
  }
  CHECK_FALSE(daemon.Rejects(Parts({"rare"})));
}

// Guards against crashes that are forgotten because many young answers broke.
TEST_CASE("late breaks displace evidence of early ones", "[quarantine]") {
  Daemon daemon;
  for (int crash = 0; crash < 2; ++crash) {
    for (size_t i = 0; i < PartQuarantine::kMaxRequestsPerCrash; ++i) {
      daemon.LateBreak(crash, Parts({absl::StrCat("p", i).c_str()}));
    }
    daemon.Break(crash, Parts({"bad"}));
    daemon.Advance(kSecond);
  }
  CHECK(daemon.Rejects(Parts({"bad"})));
  for (int i = 0; i < 100; ++i) {
    daemon.LateBreak(10 + i, Parts({absl::StrCat("q", i).c_str()}));
    daemon.Advance(kSecond);
  }
  const PartEvidence evidence =
      daemon.quarantine.CollectEvidence(true, daemon.now);
  CHECK(std::count_if(evidence.crashes.begin(), evidence.crashes.end(),
                      [](const PartEvidence::Crash& crash) {
                        return crash.requests.contains(Parts({"bad"}));
                      }) == 2);
}

TEST_CASE("one failing upstream is no evidence against a part",
          "[quarantine]") {
  Daemon daemon;
  for (int i = 0; i < 10; ++i) {
    daemon.Break(1, Parts({"fresh"}));
    daemon.Advance(Millis(5000));
  }
  CHECK_FALSE(daemon.Rejects(Parts({"fresh"})));
}

TEST_CASE("a popular part is never rejected, however many engines crash",
          "[quarantine]") {
  Daemon daemon;
  for (int i = 0; i < 40; ++i) {
    daemon.Sound(Parts({"popular"}));
    daemon.Break(i, Parts({"popular", "bad"}));
    daemon.Advance(kSecond);
  }
  CHECK_FALSE(daemon.Rejects(Parts({"popular"})));
  CHECK_FALSE(daemon.Rejects(Parts({"popular", "other"})));
  CHECK(daemon.Rejects(Parts({"popular", "bad"})));
}

TEST_CASE("a crash of a whole data centre rejects no part", "[quarantine]") {
  Daemon daemon;
  for (int i = 0; i < 20; ++i) {
    daemon.Break(i, Parts({"session"}));
    daemon.Advance(Millis(10));
  }
  daemon.Advance(Millis(5000));
  CHECK_FALSE(daemon.Rejects(Parts({"session"})));
}

TEST_CASE("proof outlives its time for crashes that it covered",
          "[quarantine]") {
  Daemon daemon;
  daemon.Sound(Parts({"shared"}));
  daemon.Break(1, Parts({"shared"}));
  daemon.Advance(kSecond);
  daemon.Break(2, Parts({"shared"}));
  daemon.Advance(PartQuarantine::kProofTime * 2);
  CHECK_FALSE(daemon.Rejects(Parts({"shared"})));
}

TEST_CASE("parts seen only together are rejected only together",
          "[quarantine]") {
  Daemon daemon;
  daemon.Break(1, Parts({"rare", "bad"}));
  daemon.Advance(kSecond);
  daemon.Break(2, Parts({"rare", "bad"}));
  daemon.Advance(Millis(30));
  CHECK(daemon.Rejects(Parts({"rare", "bad"})));
  CHECK_FALSE(daemon.Rejects(Parts({"rare"})));
  CHECK_FALSE(daemon.Rejects(Parts({"rare", "other"})));

  SECTION("a sound answer on one of them leaves the other") {
    daemon.Sound(Parts({"rare"}));
    daemon.Advance(Millis(30));
    CHECK(daemon.Rejects(Parts({"bad"})));
    CHECK_FALSE(daemon.Rejects(Parts({"rare"})));
  }
  SECTION("a further crash with one of them singles it out") {
    daemon.Break(3, Parts({"second", "bad"}));
    daemon.Advance(kSecond);
    CHECK(daemon.Rejects(Parts({"third", "bad"})));
    CHECK_FALSE(daemon.Rejects(Parts({"rare", "other"})));
    CHECK_FALSE(daemon.Rejects(Parts({"second"})));
  }
}

TEST_CASE("a part that was only near the crashes of another is not rejected",
          "[quarantine]") {
  Daemon daemon;
  for (int i = 0; i < 3; ++i) {
    daemon.Break(i, Parts({"bad"}));
    if (i < 2) {
      daemon.Break(i, Parts({"session"}));
    }
    daemon.Advance(Millis(300));
  }
  daemon.Advance(kSecond);
  CHECK(daemon.Rejects(Parts({"bad"})));
  CHECK_FALSE(daemon.Rejects(Parts({"session"})));
}

TEST_CASE("requests without a bad part go on when their prefix was in crashes",
          "[quarantine]") {
  Daemon daemon;
  for (int i = 0; i < 2; ++i) {
    daemon.Break(i, Parts({"cold", "bad"}));
    daemon.Break(i, Parts({"cold", absl::StrCat("s", i).c_str()}));
    daemon.Advance(kSecond);
  }
  CHECK(daemon.Rejects(Parts({"cold", "bad"})));
  CHECK_FALSE(daemon.Rejects(Parts({"cold", "s9"})));
}

TEST_CASE("crashes that nine daemons saw once each reject the part at all",
          "[quarantine]") {
  DaemonFleet fleet(9);
  fleet[0].Sound(Parts({"shared"}));
  fleet[1].Break(1, Parts({"shared", "bad"}));
  fleet.Advance(Millis(300));
  fleet[2].Break(2, Parts({"shared", "bad"}));
  fleet.Advance(Millis(600));
  CHECK(fleet.AllReject(Parts({"shared", "bad"})));
  CHECK_FALSE(fleet.AnyRejects(Parts({"shared"})));
  CHECK(fleet[8].quarantined == std::vector<std::string>{"bad"});
}

TEST_CASE("a part that only a peer has proven is not rejected",
          "[quarantine]") {
  DaemonFleet fleet(9);
  fleet[5].Sound(Parts({"shared"}));
  for (int i = 0; i < 9; ++i) {
    fleet[0].Break(i, Parts({"shared"}));
    fleet.Advance(Millis(400));
    CHECK_FALSE(fleet.AnyRejects(Parts({"shared"})));
  }
  fleet.Advance(PartQuarantine::kProofTime * 2);
  CHECK_FALSE(fleet.AnyRejects(Parts({"shared"})));
}

TEST_CASE("a daemon that was cut off learns of a quarantine", "[quarantine]") {
  DaemonFleet fleet(3);
  fleet.is_cut_off[2] = true;
  fleet[0].Break(1, Parts({"bad"}));
  fleet.Advance(Millis(300));
  fleet[1].Break(2, Parts({"bad"}));
  fleet.Advance(kSecond);
  CHECK(fleet[1].Rejects(Parts({"bad"})));
  CHECK_FALSE(fleet[2].Rejects(Parts({"bad"})));
  fleet.is_cut_off[2] = false;
  fleet.Advance(Millis(1500));
  CHECK(fleet[2].Rejects(Parts({"bad"})));
}

TEST_CASE("a quarantine outlives the restart of the daemons that saw crashes",
          "[quarantine]") {
  DaemonFleet fleet(3);
  fleet[0].Break(1, Parts({"bad"}));
  fleet.Advance(Millis(300));
  fleet[0].Break(2, Parts({"bad"}));
  fleet.Advance(kSecond);
  fleet.daemons[0] = std::make_unique<Daemon>("host-0");
  CHECK_FALSE(fleet[0].Rejects(Parts({"bad"})));
  fleet.Advance(Millis(1500));
  CHECK(fleet[0].Rejects(Parts({"bad"})));
}

TEST_CASE("a quarantine made while a proof was cut off is lifted by it",
          "[quarantine]") {
  DaemonFleet fleet(3);
  fleet[2].Sound(Parts({"shared"}));
  fleet.is_cut_off[2] = true;
  fleet[0].Break(1, Parts({"shared"}));
  fleet.Advance(Millis(300));
  fleet[0].Break(2, Parts({"shared"}));
  fleet.Advance(kSecond);
  CHECK(fleet[1].Rejects(Parts({"shared"})));
  fleet.is_cut_off[2] = false;
  fleet.Advance(Millis(3000));
  CHECK_FALSE(fleet.AnyRejects(Parts({"shared"})));
  CHECK(fleet[1].cleared == std::vector<std::string>{"shared"});
}

TEST_CASE("a single request tests a quarantined part after minutes",
          "[quarantine]") {
  DaemonFleet fleet(9);
  fleet[0].Break(1, Parts({"bad"}));
  fleet.Advance(Millis(300));
  fleet[0].Break(2, Parts({"bad"}));
  fleet.Advance(kSecond);
  int trials = 0;
  size_t trial_at = 0;
  const auto run = [&](Millis time) {
    const Millis end = fleet[0].now + time;
    for (size_t i = 0; fleet[0].now < end; i = (i + 1) % 9) {
      if (fleet[i].TryTrial(Parts({"bad"}))) {
        ++trials;
        trial_at = i;
      }
      fleet.Advance(Millis(150));
    }
  };
  run(PartQuarantine::kTrialDelay - Millis(20'000));
  CHECK(trials == 0);
  run(PartQuarantine::kTrialSpread + Millis(30'000));
  CHECK(trials == 1);
  CHECK(fleet.AllReject(Parts({"bad"})));

  SECTION("another crash starts a longer wait") {
    fleet[trial_at].Break(3, Parts({"bad"}));
    run(PartQuarantine::kTrialDelay);
    CHECK(trials == 1);
    CHECK(fleet.AllReject(Parts({"bad"})));
  }
  SECTION("a sound answer ends the quarantine at all daemons") {
    fleet[trial_at].Sound(Parts({"bad"}));
    fleet.Advance(kSecond);
    CHECK_FALSE(fleet.AnyRejects(Parts({"bad"})));
    CHECK(fleet[0].cleared == std::vector<std::string>{"bad"});
  }
}

TEST_CASE("evidence against parts is bounded", "[quarantine]") {
  Daemon daemon;
  for (int i = 0; i < 2000; ++i) {
    PartList parts;
    for (int k = 0; k < 40; ++k) {
      parts.emplace_back(absl::StrCat("p", i, "-", k));
    }
    daemon.Break(i, parts);
    daemon.Break(i + 1, parts);
    daemon.Sound(Parts({"shared"}));
    daemon.Advance(kSecond);
  }
  const PartEvidence evidence =
      daemon.quarantine.CollectEvidence(true, daemon.now);
  CHECK(evidence.crashes.size() <= PartQuarantine::kMaxCrashes);
  CHECK(evidence.quarantines.size() <= PartQuarantine::kMaxQuarantines);
  for (const PartEvidence::Crash& crash : evidence.crashes) {
    CHECK(crash.requests.size() <= PartQuarantine::kMaxRequestsPerCrash);
  }
  daemon.Advance(PartQuarantine::kQuarantineMemory + kSecond);
  CHECK(daemon.quarantine.CollectEvidence(true, daemon.now).empty());
}

TEST_CASE("a crash is passed on once and without times of day",
          "[quarantine]") {
  Daemon daemon;
  daemon.Break(1, Parts({"bad"}));
  daemon.Advance(Millis(40));
  REQUIRE(daemon.quarantine.has_changes());
  const PartEvidence evidence =
      daemon.quarantine.CollectEvidence(false, daemon.now);
  REQUIRE(evidence.crashes.size() == 1);
  CHECK(evidence.crashes[0].age == Millis(40));
  CHECK_FALSE(daemon.quarantine.has_changes());
  CHECK(daemon.quarantine.CollectEvidence(false, daemon.now).empty());

  Daemon peer("b");
  peer.now = Millis(5);
  peer.quarantine.ApplyPeerEvidence(daemon.host, evidence, peer.now);
  CHECK(peer.IsSuspect(Parts({"bad"})));
  // The peer may be a delegate: it passes the crash on, once.
  REQUIRE(peer.quarantine.has_changes());
  const PartEvidence passed_on =
      peer.quarantine.CollectEvidence(false, peer.now);
  CHECK(passed_on.crashes.size() == 1);
  peer.quarantine.ApplyPeerEvidence(daemon.host, evidence, peer.now);
  CHECK_FALSE(peer.quarantine.has_changes());
  daemon.quarantine.ApplyPeerEvidence(peer.host, passed_on, daemon.now);
  CHECK_FALSE(daemon.quarantine.has_changes());
}

}  // namespace
}  // namespace dandelion::admission
