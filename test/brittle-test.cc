#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "proto/peer.pb.h"
#include "routing/self_report_exchange.h"
#include "routing/self_reports.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::UpstreamId;
using routing::DaemonRank;
using routing::SelfReport;
using routing::SelfReports;
using routing::UpstreamRoom;

const UpstreamId kUpstream("u-1");
constexpr int64_t kStartedAt = 7;
constexpr int64_t kSlots = 6;
constexpr Millis kServiceTime{50};
constexpr Millis kSecond{1000};

SelfReport Brittle(double rejections) {
  SelfReport report;
  report.rejections_per_second = rejections;
  return report;
}

/// A daemon that sends to the upstream.
struct Sender {
  Sender(DaemonRank rank, bool is_known) {
    SelfReports::Hooks hooks;
    hooks.on_leaving = [](const UpstreamId&, std::string_view) {};
    hooks.on_limit = [](const UpstreamId&, std::optional<double>) {};
    hooks.on_pause = [](const UpstreamId&, Millis) {};
    rank.is_known = is_known;
    hooks.rank = [rank](const UpstreamId&) { return rank; };
    hooks.on_brittle = [this](const UpstreamId&, std::optional<double>) {
      ++notices;
    };
    hooks.room = [this](const UpstreamId&) {
      return UpstreamRoom{kSlots, in_flight};
    };
    reports = std::make_unique<SelfReports>(hooks);
    reports->OnListed(kUpstream, kStartedAt, Millis(0));
  }

  /// Sends as long as it may, and returns how many.
  int SendAllowed(Millis now) {
    int sent = 0;
    // Without a bound, as many as callers ask for.
    constexpr int kMost = 20;
    while (sent < kMost && reports->MaySend(kUpstream, now)) {
      reports->RecordSend(kUpstream, now);
      ++in_flight;
      ++sent;
    }
    return sent;
  }

  std::unique_ptr<SelfReports> reports;
  int64_t in_flight = 0;
  int notices = 0;
};

/// Daemons that know nothing of each other's requests, and an upstream that all
/// of them send to, on one clock.
class BrittleFixture {
 public:
  BrittleFixture(size_t daemons, double rejections) : rejections_(rejections) {
    for (size_t rank = 0; rank < daemons; ++rank) {
      fleet_.push_back(
          std::make_unique<Sender>(DaemonRank{rank, daemons}, true));
      fleet_.back()->reports->RecordAnswer(kUpstream, Brittle(rejections),
                                           Millis(0));
    }
  }

  /// All daemons send as much as they may until `end`.
  void Run(Millis end) {
    for (; now_ < end; now_ = now_ + Millis(1)) {
      AnswerDue();
      for (const auto& daemon : fleet_) {
        for (int sent = daemon->SendAllowed(now_); sent > 0; --sent) {
          Arrive(*daemon);
        }
      }
    }
  }

  size_t MostRejectionsInASecond() const {
    size_t most = 0;
    size_t first = 0;
    for (size_t last = 0; last < rejected_at_.size(); ++last) {
      while (rejected_at_[last] - rejected_at_[first] >= kSecond) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  /// Requests that the upstream keeps waiting.
  size_t waiting_room = 0;
  int served = 0;

 private:
  struct Answer {
    Millis at;
    Sender* to;
    bool rejected;
  };

  void Arrive(Sender& sender) {
    // The time that the rejection takes to the daemon.
    constexpr Millis kOnWay{7};
    const auto slots = static_cast<size_t>(kSlots);
    if (running_.size() < slots) {
      running_.push_back({now_ + kServiceTime, &sender, false});
    } else if (queue_.size() < waiting_room) {
      queue_.push_back(&sender);
    } else {
      rejected_at_.push_back(now_);
      turned_away_.push_back({now_ + kOnWay, &sender, true});
    }
  }

  void AnswerDue() {
    const auto answer_if_due = [this](const Answer& answer) {
      if (answer.at > now_) {
        return false;
      }
      --answer.to->in_flight;
      answer.to->reports->RecordAnswer(kUpstream, Brittle(rejections_), now_);
      if (answer.rejected) {
        answer.to->reports->RecordRejection(kUpstream, now_);
      }
      served += answer.rejected ? 0 : 1;
      return true;
    };
    std::erase_if(running_, answer_if_due);
    std::erase_if(turned_away_, answer_if_due);
    while (!queue_.empty() && running_.size() < static_cast<size_t>(kSlots)) {
      running_.push_back({now_ + kServiceTime, queue_.front(), false});
      queue_.erase(queue_.begin());
    }
  }

  double rejections_;
  std::vector<std::unique_ptr<Sender>> fleet_;
  Millis now_{0};
  std::vector<Answer> running_;
  std::vector<Answer> turned_away_;
  std::vector<Sender*> queue_;
  std::vector<Millis> rejected_at_;
};

// Demand exceeds what the upstream can serve, and all daemons send at the same
// moment.
TEST_CASE("a brittle upstream that lets nobody wait rejects more than it bears",
          "[brittle]") {
  const auto daemons = static_cast<size_t>(GENERATE(1, 8, 62));
  const int rejections = GENERATE(0, 1, 3, 20);
  BrittleFixture fixture(daemons, rejections);
  fixture.waiting_room = 10;
  fixture.Run(Millis(1000));
  fixture.waiting_room = 0;
  const int served_before = fixture.served;
  fixture.Run(Millis(6000));
  CHECK(fixture.MostRejectionsInASecond() <= static_cast<size_t>(rejections));
  // Nine tenths of what its slots can serve: a slot is taken again when the
  // daemon has the answer.
  constexpr int kServable = 5000 / 50 * kSlots;
  CHECK(fixture.served - served_before >= kServable * 9 / 10);
}

TEST_CASE("an upstream that is no longer brittle is spared", "[brittle]") {
  Sender sender(DaemonRank(), true);
  SelfReports& reports = *sender.reports;
  reports.RecordAnswer(kUpstream, Brittle(0), Millis(0));
  CHECK(sender.SendAllowed(Millis(0)) == kSlots);
  // An answer from before may come after the first that says so.
  reports.RecordAnswer(kUpstream, SelfReport(), Millis(500));
  CHECK_FALSE(reports.MaySend(kUpstream, Millis(500)));
  reports.RecordAnswer(kUpstream, SelfReport(), Millis(1500));
  CHECK(reports.MaySend(kUpstream, Millis(1500)));
  CHECK(sender.notices == 2);
}

TEST_CASE("an upstream that was brittle before it restarted is spared",
          "[brittle]") {
  Sender sender(DaemonRank(), true);
  sender.reports->RecordAnswer(kUpstream, Brittle(0), Millis(0));
  CHECK(sender.SendAllowed(Millis(0)) == kSlots);
  sender.reports->OnListed(kUpstream, kStartedAt + 1, Millis(10));
  CHECK(sender.reports->MaySend(kUpstream, Millis(10)));
}

TEST_CASE("a brittle upstream that nobody answers for is spared for good",
          "[brittle]") {
  Sender sender(DaemonRank(), true);
  sender.reports->RecordAnswer(kUpstream, Brittle(0), Millis(0));
  CHECK(sender.SendAllowed(Millis(0)) == kSlots);
  constexpr Millis kLifetime{30'000};
  CHECK_FALSE(sender.reports->MaySend(kUpstream, kLifetime));
  CHECK(sender.reports->MaySend(kUpstream, kLifetime + Millis(1)));
}

TEST_CASE("a daemon that does not know the others yet sends to a brittle one",
          "[brittle]") {
  Sender sender(DaemonRank(), false);
  sender.reports->RecordAnswer(kUpstream, Brittle(20), Millis(0));
  CHECK(sender.SendAllowed(Millis(0)) == 0);
}

TEST_CASE("a full brittle upstream gets no control calls", "[brittle]") {
  Sender sender(DaemonRank(), true);
  sender.reports->RecordAnswer(kUpstream, Brittle(0), Millis(0));
  CHECK(sender.SendAllowed(Millis(0)) == kSlots);
  CHECK(sender.reports->MayCall(kUpstream, Millis(0)));
}

TEST_CASE("daemons don't tell each other of brittle upstreams", "[brittle]") {
  Sender teller({0, 2}, true);
  Sender told({1, 2}, true);
  const auto share = [&](Millis now) {
    proto::FleetBeat heartbeat;
    routing::AddSelfReports(*teller.reports, true, now, &heartbeat);
    routing::ApplySelfReports(heartbeat, now, *told.reports);
  };
  SelfReport limit;
  limit.requests_per_second = 0;
  told.reports->RecordAnswer(kUpstream, limit, Millis(0));
  teller.reports->RecordAnswer(kUpstream, Brittle(0), Millis(100));
  CHECK(teller.reports->has_changes());
  share(Millis(200));
  // The teller has heard of no limit, which does not end the limit.
  CHECK_FALSE(told.reports->MayCall(kUpstream, Millis(200)));
  told.reports->RecordAnswer(kUpstream, Brittle(0), Millis(1500));
  CHECK(told.SendAllowed(Millis(1500)) == kSlots / 2);
  // What it has heard itself since is newer.
  told.reports->RecordAnswer(kUpstream, SelfReport(), Millis(3000));
  share(Millis(3100));
  CHECK(told.reports->MaySend(kUpstream, Millis(3100)));
}

}  // namespace
}  // namespace dandelion::test
