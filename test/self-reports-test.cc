#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
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

const UpstreamId kUpstream("u-1");
constexpr int64_t kStartedAt = 7;

SelfReport Limit(double requests_per_second) {
  SelfReport report;
  report.requests_per_second = requests_per_second;
  return report;
}

SelfReport Leaving() {
  SelfReport report;
  report.leaving = true;
  return report;
}

SelfReport Pause(Millis pause) {
  SelfReport report;
  report.pause = pause;
  return report;
}

/// Daemons that know the same upstream, on one clock.
class ReportsFixture {
 public:
  explicit ReportsFixture(size_t daemons = 1) {
    for (size_t rank = 0; rank < daemons; ++rank) {
      SelfReports::Hooks hooks;
      hooks.on_leaving = [this](const UpstreamId&, std::string_view) {
        ++leaving_notices;
      };
      hooks.on_limit = [](const UpstreamId&, std::optional<double>) {};
      hooks.on_pause = [](const UpstreamId&, Millis) {};
      hooks.rank = [this, rank, daemons](const UpstreamId&) {
        return DaemonRank{(rank + shift) % daemons, daemons};
      };
      fleet.push_back(std::make_unique<SelfReports>(hooks));
      fleet.back()->OnListed(kUpstream, kStartedAt, Millis(0));
    }
  }

  SelfReports& first() { return *fleet.front(); }

  /// Every daemon sends as much as it may in each 10 ms until `end`. Returns
  /// the times of the sends.
  std::vector<Millis> SendAsMuchAsAllowed(Millis end) {
    std::vector<Millis> sends;
    for (; now < end; now = now + Millis(10)) {
      for (const auto& daemon : fleet) {
        while (daemon->MaySend(kUpstream, now) && sends.size() < 100'000) {
          daemon->RecordSend(kUpstream, now);
          sends.push_back(now);
        }
      }
    }
    return sends;
  }

  std::vector<std::unique_ptr<SelfReports>> fleet;
  Millis now{0};
  /// By how much the ranks have changed since the start.
  size_t shift = 0;
  int leaving_notices = 0;
};

size_t MostIn(const std::vector<Millis>& sends, Millis window) {
  size_t most = 0;
  size_t first = 0;
  for (size_t last = 0; last < sends.size(); ++last) {
    while (sends[last] - sends[first] >= window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

// Daemons that come and go change the ranks of the others, so that parts of the
// limit pass from some to others.
TEST_CASE("a limit is exceeded when its parts pass to other daemons",
          "[self_reports]") {
  constexpr size_t kDaemons = 62;
  ReportsFixture fixture(kDaemons);
  for (const auto& daemon : fixture.fleet) {
    daemon->RecordAnswer(kUpstream, Limit(1), fixture.now);
  }
  std::vector<Millis> sends = fixture.SendAsMuchAsAllowed(Millis(5000));
  for (int changes = 1; changes <= 4; ++changes) {
    fixture.shift += 10;
    const std::vector<Millis> more =
        fixture.SendAsMuchAsAllowed(Millis(5000 + changes * 1500));
    sends.insert(sends.end(), more.begin(), more.end());
  }
  // One and a half times the limit, and five.
  CHECK(MostIn(sends, Millis(4000)) <= 11);
}

TEST_CASE("a limited upstream gets more than its limit from the fleet",
          "[self_reports]") {
  const auto daemons = static_cast<size_t>(GENERATE(1, 8, 82));
  const double limit = GENERATE(0.3, 1.0, 3.17, 40.0);
  ReportsFixture fixture(daemons);
  for (const auto& daemon : fixture.fleet) {
    daemon->RecordAnswer(kUpstream, Limit(limit), fixture.now);
  }
  const std::vector<Millis> sends = fixture.SendAsMuchAsAllowed(Millis(20'000));
  // The rule: in any 4 s, one and a half times the limit, and five. Two fewer
  // leave room for daemons that see different fleets for a moment.
  constexpr double kWindowSeconds = 4;
  CHECK(static_cast<double>(MostIn(sends, Millis(4000))) <=
        1.5 * limit * kWindowSeconds + 3);
  // Over a longer time the rate stays nearer to the limit, and the limit is
  // used.
  constexpr double kLongSeconds = 16;
  CHECK(static_cast<double>(MostIn(sends, Millis(16'000))) <=
        1.25 * limit * kLongSeconds + 3);
  constexpr double kSeconds = 20;
  CHECK(static_cast<double>(sends.size()) >= limit * kSeconds);
}

TEST_CASE("a limit ends when the upstream no longer names it",
          "[self_reports]") {
  ReportsFixture fixture;
  SelfReports& reports = fixture.first();
  reports.RecordAnswer(kUpstream, Limit(0.5), Millis(0));
  for (int i = 0; i < 10; ++i) {
    reports.RecordSend(kUpstream, Millis(0));
  }
  CHECK_FALSE(reports.MaySend(kUpstream, Millis(500)));
  // An answer from before the limit may come after the first that names it.
  reports.RecordAnswer(kUpstream, SelfReport(), Millis(500));
  CHECK_FALSE(reports.MaySend(kUpstream, Millis(500)));
  reports.RecordAnswer(kUpstream, SelfReport(), Millis(1500));
  CHECK(reports.MaySend(kUpstream, Millis(1500)));
}

TEST_CASE("an upstream that says it leaves gets requests before it restarts",
          "[self_reports]") {
  ReportsFixture fixture;
  SelfReports& reports = fixture.first();
  reports.RecordAnswer(kUpstream, Leaving(), Millis(0));
  reports.RecordAnswer(kUpstream, SelfReport(), Millis(10));
  reports.OnListed(kUpstream, kStartedAt, Millis(0));
  CHECK_FALSE(reports.MaySend(kUpstream, Millis(60'000)));
  CHECK_FALSE(reports.SendableAt(kUpstream, Millis(60'000)).has_value());
  CHECK(fixture.leaving_notices == 1);
  reports.OnListed(kUpstream, kStartedAt + 1, Millis(0));
  CHECK(reports.MaySend(kUpstream, Millis(60'000)));
}

TEST_CASE("an upstream gets requests in the pause that it asked for",
          "[self_reports]") {
  ReportsFixture fixture;
  SelfReports& reports = fixture.first();
  reports.RecordAnswer(kUpstream, Pause(Millis(2500)), Millis(100));
  // A later answer with a shorter pause, or without one, does not end it.
  reports.RecordAnswer(kUpstream, Pause(Millis(100)), Millis(200));
  reports.RecordAnswer(kUpstream, SelfReport(), Millis(300));
  CHECK(reports.SendableAt(kUpstream, Millis(400)) == Millis(2600));
  CHECK_FALSE(reports.MaySend(kUpstream, Millis(2599)));
  CHECK(reports.MaySend(kUpstream, Millis(2600)));
  // A pause without end must not take the upstream away for good.
  reports.RecordAnswer(kUpstream, Pause(Millis(1'000'000'000)), Millis(3000));
  CHECK(reports.MaySend(kUpstream, Millis(3000) + SelfReports::kMaxPause));
}

TEST_CASE("daemons tell each other what upstreams say of themselves",
          "[self_reports]") {
  ReportsFixture fixture(2);
  SelfReports& teller = *fixture.fleet[0];
  SelfReports& told = *fixture.fleet[1];
  const auto share = [&](Millis now) {
    proto::FleetBeat heartbeat;
    routing::AddSelfReports(teller, true, now, &heartbeat);
    routing::ApplySelfReports(heartbeat, now, told);
  };
  teller.RecordAnswer(kUpstream, Limit(0.05), Millis(0));
  CHECK(teller.has_changes());
  share(Millis(100));
  // One request in four seconds, which is the other daemon's part.
  CHECK_FALSE(told.MaySend(kUpstream, Millis(100)));
  // What the daemon has heard itself since is newer.
  told.RecordAnswer(kUpstream, SelfReport(), Millis(2000));
  share(Millis(2100));
  CHECK(told.MaySend(kUpstream, Millis(2100)));
  // A pause binds only the daemon that was told of it.
  teller.RecordAnswer(kUpstream, Pause(Millis(5000)), Millis(3000));
  share(Millis(3100));
  CHECK(told.MaySend(kUpstream, Millis(3100)));
  teller.RecordAnswer(kUpstream, Leaving(), Millis(4000));
  share(Millis(4100));
  CHECK_FALSE(told.MaySend(kUpstream, Millis(4100)));
  CHECK(fixture.leaving_notices == 2);
}

TEST_CASE("what an upstream said before it restarted binds after it",
          "[self_reports]") {
  ReportsFixture fixture(2);
  SelfReports& teller = *fixture.fleet[0];
  SelfReports& told = *fixture.fleet[1];
  teller.RecordAnswer(kUpstream, Leaving(), Millis(0));
  told.OnListed(kUpstream, kStartedAt + 1, Millis(0));
  proto::FleetBeat heartbeat;
  routing::AddSelfReports(teller, true, Millis(100), &heartbeat);
  REQUIRE(heartbeat.self_reports_size() == 1);
  routing::ApplySelfReports(heartbeat, Millis(100), told);
  CHECK(told.MaySend(kUpstream, Millis(100)));
}

TEST_CASE("what is known of upstreams that are gone is kept for good",
          "[self_reports]") {
  ReportsFixture fixture;
  SelfReports& reports = fixture.first();
  reports.RecordAnswer(kUpstream, Leaving(), Millis(0));
  const auto unlisted = [](const UpstreamId&) { return false; };
  reports.Prune(unlisted, SelfReports::kRetention);
  CHECK_FALSE(reports.CollectShared(true, SelfReports::kRetention).empty());
  const Millis later = SelfReports::kRetention + Millis(1);
  reports.Prune([](const UpstreamId&) { return true; }, later);
  CHECK_FALSE(reports.CollectShared(true, later).empty());
  reports.Prune(unlisted, later);
  CHECK(reports.CollectShared(true, later).empty());
}

TEST_CASE("the parts of a limit add up to it", "[self_reports]") {
  const auto daemons = static_cast<size_t>(GENERATE(1, 7, 82));
  const int64_t total = GENERATE(0, 1, 6, 81, 83, 500);
  int64_t sum = 0;
  for (size_t rank = 0; rank < daemons; ++rank) {
    sum += routing::ShareOf(total, {rank, daemons});
  }
  CHECK(sum == total);
}

}  // namespace
}  // namespace dandelion::test
