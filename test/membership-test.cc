#include <catch2/catch.hpp>

#include <deque>
#include <memory>

#include "membership/membership.h"

namespace dandelion::membership {
namespace {

using base::DataCentreId;
using base::HostId;
using base::Millis;

/// Daemons on a manual clock whose messages arrive without delay.
class FakeFleet {
 public:
  explicit FakeFleet(std::vector<Member> members)
      : members_(std::move(members)) {
    for (const Member& member : members_) {
      Start(member);
    }
  }

  /// Advances the clock by `time` in heartbeat intervals.
  void Advance(Millis time) {
    const Millis end = now_ + time;
    while (now_ < end) {
      now_ = now_ + Membership::kHeartbeatInterval;
      for (auto& [id, daemon] : daemons_) {
        daemon->Tick();
      }
      Deliver();
    }
  }

  void Kill(const HostId& id) { daemons_.erase(id); }
  /// While set, messages between data centres are lost.
  void SetPartitioned(bool partitioned) { partitioned_ = partitioned; }
  Membership& Daemon(const HostId& id) { return *daemons_.at(id); }

 private:
  struct Message {
    HostId from;
    HostId to;
    proto::Envelope envelope;
  };

  void Start(const Member& self) {
    std::vector<Member> others;
    for (const Member& member : members_) {
      if (member.id != self.id) {
        others.push_back(member);
      }
    }
    Membership::Hooks hooks;
    hooks.send = [this, from = self.id](const HostId& to,
                                        const proto::Envelope& envelope) {
      messages_.push_back({from, to, envelope});
    };
    hooks.on_change = [](const HostId&, bool) {};
    hooks.config_version = [] { return base::Offset(1); };
    hooks.on_newer_config = [](const HostId&) {};
    daemons_[self.id] = std::make_unique<Membership>(
        self, base::Incarnation("run"), others,
        base::Clock([this] { return now_; }), hooks);
  }

  DataCentreId DataCentreOf(const HostId& id) const {
    for (const Member& member : members_) {
      if (member.id == id) {
        return member.data_centre;
      }
    }
    return DataCentreId();
  }

  void Deliver() {
    while (!messages_.empty()) {
      const Message message = messages_.front();
      messages_.pop_front();
      const bool lost = partitioned_ &&
                        DataCentreOf(message.from) != DataCentreOf(message.to);
      const auto to = daemons_.find(message.to);
      if (!lost && to != daemons_.end()) {
        to->second->OnHeartbeat(message.from, base::Incarnation("run"),
                                message.envelope.heartbeat());
      }
    }
  }

  Millis now_{100'000};
  std::vector<Member> members_;
  std::map<HostId, std::unique_ptr<Membership>> daemons_;
  std::deque<Message> messages_;
  bool partitioned_ = false;
};

const DataCentreId kA("a");
const DataCentreId kB("b");
const HostId kA1("a1");
const HostId kA2("a2");
const HostId kB1("b1");
const HostId kB2("b2");

std::vector<Member> TwoHostsPerDataCentre() {
  return {{kA1, kA}, {kA2, kA}, {kB1, kB}, {kB2, kB}};
}

TEST_CASE("all daemons see each other as up, also across data centres") {
  FakeFleet fleet(TwoHostsPerDataCentre());
  fleet.Advance(Millis(4000));
  CHECK(fleet.Daemon(kA1).UpHosts().size() == 3);
  CHECK(fleet.Daemon(kB2).UpHosts().size() == 3);
}

TEST_CASE("daemons that repeat summaries do not keep a dead daemon up") {
  FakeFleet fleet(TwoHostsPerDataCentre());
  fleet.Advance(Millis(4000));
  fleet.Kill(kA1);
  fleet.Advance(Membership::kSummaryTimeout + Millis(4000));
  CHECK_FALSE(fleet.Daemon(kA2).IsUp(kA1));
  CHECK_FALSE(fleet.Daemon(kB1).IsUp(kA1));
  CHECK_FALSE(fleet.Daemon(kB2).IsUp(kA1));
  const base::UpstreamId upstream("u");
  CHECK(fleet.Daemon(kB1).SlotOwnerOf(upstream, kA) == kA2);
}

TEST_CASE(
    "a partitioned data centre is seen as down, and as up once rejoined") {
  FakeFleet fleet(TwoHostsPerDataCentre());
  fleet.Advance(Millis(4000));
  fleet.SetPartitioned(true);
  fleet.Advance(Membership::kSummaryTimeout + Millis(2000));
  CHECK_FALSE(fleet.Daemon(kB1).IsUp(kA1));
  CHECK(fleet.Daemon(kB1).IsUp(kB2));
  fleet.SetPartitioned(false);
  fleet.Advance(Millis(4000));
  CHECK(fleet.Daemon(kB1).IsUp(kA1));
}

TEST_CASE("a leaving upstream is known to every daemon within 3 s") {
  FakeFleet fleet(TwoHostsPerDataCentre());
  fleet.Advance(Millis(4000));
  const base::UpstreamId upstream("u");
  const base::Incarnation incarnation("run-1");
  fleet.Daemon(kA1).MarkLeaving(upstream, incarnation);
  fleet.Advance(Millis(2800));
  CHECK(fleet.Daemon(kB1).IsLeaving(upstream, incarnation));
  CHECK(fleet.Daemon(kB2).IsLeaving(upstream, incarnation));
  CHECK_FALSE(
      fleet.Daemon(kB2).IsLeaving(upstream, base::Incarnation("run-2")));
}

TEST_CASE("an unlisted daemon leaves the roster only after the grace time") {
  FakeFleet fleet(TwoHostsPerDataCentre());
  fleet.Advance(Millis(4000));
  fleet.Kill(kA1);
  fleet.Daemon(kA2).OnHostList({kA2, kB1, kB2});
  fleet.Advance(Millis(3000));
  CHECK(fleet.Daemon(kA2).VisibilityOf(kA).roster == 2);
  fleet.Advance(Membership::kRosterGrace);
  fleet.Daemon(kA2).OnHostList({kA2, kB1, kB2});
  CHECK(fleet.Daemon(kA2).VisibilityOf(kA).roster == 1);
}

}  // namespace
}  // namespace dandelion::membership
