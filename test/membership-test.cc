#include <catch2/catch.hpp>

#include <deque>
#include <memory>

#include "membership/membership.h"

namespace dandelion::membership {
namespace {

using base::DataCentreId;
using base::HostId;
using base::Millis;

/// Daemons whose messages arrive at once, on a set clock.
class FakeFleet {
 public:
  explicit FakeFleet(std::vector<Member> members)
      : members_(std::move(members)) {
    for (const Member& member : members_) {
      Start(member);
    }
  }

  void Run(Millis time) {
    const Millis end = now_ + time;
    while (now_ < end) {
      now_ = now_ + Membership::kHeartbeatInterval;
      for (auto& [id, node] : nodes_) {
        node->Tick();
      }
      Deliver();
    }
  }

  void Kill(const HostId& id) { nodes_.erase(id); }
  /// Messages between the two data centres are lost, or not any more.
  void Part(bool parted) { parted_ = parted; }
  Membership& At(const HostId& id) { return *nodes_.at(id); }

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
    nodes_[self.id] = std::make_unique<Membership>(
        self, base::Incarnation("run"), others,
        base::Clock([this] { return now_; }), hooks);
  }

  DataCentreId PlaceOf(const HostId& id) const {
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
      const bool lost = parted_ && PlaceOf(message.from) != PlaceOf(message.to);
      const auto to = nodes_.find(message.to);
      if (!lost && to != nodes_.end()) {
        to->second->OnHeartbeat(message.from, base::Incarnation("run"),
                                message.envelope.heartbeat());
      }
    }
  }

  Millis now_{100'000};
  std::vector<Member> members_;
  std::map<HostId, std::unique_ptr<Membership>> nodes_;
  std::deque<Message> messages_;
  bool parted_ = false;
};

const DataCentreId kA("a");
const DataCentreId kB("b");
const HostId kA1("a1");
const HostId kA2("a2");
const HostId kB1("b1");
const HostId kB2("b2");

std::vector<Member> TwoByTwo() {
  return {{kA1, kA}, {kA2, kA}, {kB1, kB}, {kB2, kB}};
}

TEST_CASE("all daemons see each other, also between data centres") {
  FakeFleet fleet(TwoByTwo());
  fleet.Run(Millis(4000));
  CHECK(fleet.At(kA1).Up().size() == 3);
  CHECK(fleet.At(kB2).Up().size() == 3);
}

TEST_CASE("a dead daemon is not kept up by its remote peers' echoes") {
  FakeFleet fleet(TwoByTwo());
  fleet.Run(Millis(4000));
  fleet.Kill(kA1);
  fleet.Run(Membership::kSummaryTimeout + Millis(4000));
  CHECK_FALSE(fleet.At(kA2).IsUp(kA1));
  CHECK_FALSE(fleet.At(kB1).IsUp(kA1));
  CHECK_FALSE(fleet.At(kB2).IsUp(kA1));
  const base::UpstreamId upstream("u");
  CHECK(fleet.At(kB1).OwnerOf(upstream, kA) == kA2);
}

TEST_CASE("a parted data centre is seen as down, and as up once rejoined") {
  FakeFleet fleet(TwoByTwo());
  fleet.Run(Millis(4000));
  fleet.Part(true);
  fleet.Run(Membership::kSummaryTimeout + Millis(2000));
  CHECK_FALSE(fleet.At(kB1).IsUp(kA1));
  CHECK(fleet.At(kB1).IsUp(kB2));
  fleet.Part(false);
  fleet.Run(Millis(4000));
  CHECK(fleet.At(kB1).IsUp(kA1));
}

TEST_CASE("word of a leaving upstream reaches every daemon within 3 s") {
  FakeFleet fleet(TwoByTwo());
  fleet.Run(Millis(4000));
  const base::UpstreamId upstream("u");
  const base::Incarnation run("run-1");
  fleet.At(kA1).MarkLeaving(upstream, run);
  fleet.Run(Millis(2800));
  CHECK(fleet.At(kB1).IsLeaving(upstream, run));
  CHECK(fleet.At(kB2).IsLeaving(upstream, run));
  CHECK_FALSE(fleet.At(kB2).IsLeaving(upstream, base::Incarnation("run-2")));
}

TEST_CASE("the roster forgets an unlisted daemon only after its grace time") {
  FakeFleet fleet(TwoByTwo());
  fleet.Run(Millis(4000));
  fleet.Kill(kA1);
  fleet.At(kA2).OnHostList({kA2, kB1, kB2});
  fleet.Run(Millis(3000));
  CHECK(fleet.At(kA2).VisibilityOf(kA).roster == 2);
  fleet.Run(Membership::kRosterGrace);
  fleet.At(kA2).OnHostList({kA2, kB1, kB2});
  CHECK(fleet.At(kA2).VisibilityOf(kA).roster == 1);
}

}  // namespace
}  // namespace dandelion::membership
