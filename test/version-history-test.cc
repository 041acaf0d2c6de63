#include <catch2/catch.hpp>

#include "fleet/version_history.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::SoftwareVersion;
using base::UpstreamId;
using fleet::VersionHistory;

const base::PoolName kPool("p");
const SoftwareVersion kOld("1");
const SoftwareVersion kNew("2");

/// A history on a set clock, of a list that holds "u-1" of version 1.
struct HistoryFixture {
  HistoryFixture() { List("u-1", kOld); }

  void List(const std::string& id, const SoftwareVersion& version) {
    fleet::UpstreamEntry entry;
    entry.pool = kPool;
    entry.version = version;
    upstreams.ApplyEntry(UpstreamId(id), entry, now);
  }
  // Records the list each second until `end`.
  void RecordUntil(Millis end, bool is_verified = true) {
    for (; now <= end; now = now + Millis(1000)) {
      upstreams.Prune(now);
      verified_at = is_verified ? now : verified_at;
      history.Record(upstreams, verified_at, now);
    }
    now = end;
  }
  std::optional<SoftwareVersion> OnlySince(Millis since) const {
    return history.OnlyVersion(kPool, since, now);
  }

  Millis now{0};
  Millis verified_at{0};
  VersionHistory history;
  fleet::UpstreamList upstreams{
      {[this](const fleet::Upstream& upstream) {
         history.RecordListed(upstream, now);
       },
       [](const fleet::Upstream&, std::string_view) {},
       [](const UpstreamId&) {}}};
};

TEST_CASE("a version is named from before the list was known", "[order]") {
  HistoryFixture fixture;
  CHECK_FALSE(fixture.OnlySince(Millis(0)));
  fixture.now = Millis(5000);
  fixture.RecordUntil(Millis(20'000));
  CHECK_FALSE(fixture.OnlySince(Millis(4999)));
  CHECK(fixture.OnlySince(Millis(5000)) == kOld);
  CHECK_FALSE(fixture.history.OnlyVersion(base::PoolName("other"), Millis(5000),
                                          fixture.now));
}

TEST_CASE("one of two versions is named", "[order]") {
  HistoryFixture fixture;
  fixture.RecordUntil(Millis(20'000));
  fixture.List("u-2", kNew);
  CHECK_FALSE(fixture.OnlySince(Millis(0)));
  CHECK_FALSE(fixture.OnlySince(fixture.now));
  // The old one leaves, and is listed for a while as one that has left.
  fixture.upstreams.MarkLeaving(UpstreamId("u-1"), "draining", fixture.now);
  fixture.RecordUntil(Millis(100'000));
  const Millis gone = Millis(20'000) + fleet::UpstreamList::kRemovedRetention +
                      VersionHistory::kMaxGap;
  CHECK_FALSE(fixture.OnlySince(Millis(20'000)));
  CHECK_FALSE(fixture.OnlySince(gone - Millis(1000)));
  CHECK(fixture.OnlySince(gone + Millis(1000)) == kNew);
}

TEST_CASE("a version is named that was listed between two records only",
          "[order]") {
  HistoryFixture fixture;
  fixture.RecordUntil(Millis(20'000));
  fixture.now = Millis(20'300);
  fixture.List("u-2", kNew);
  fixture.now = Millis(20'600);
  // It restarts at the version that all others have.
  fleet::UpstreamEntry entry = fixture.upstreams.Find(UpstreamId("u-2"))->entry;
  entry.started_at = 1;
  entry.version = kOld;
  fixture.upstreams.ApplyEntry(UpstreamId("u-2"), entry, fixture.now);
  fixture.now = Millis(21'000);
  fixture.RecordUntil(Millis(30'000));
  CHECK_FALSE(fixture.OnlySince(Millis(20'500)));
  CHECK(fixture.OnlySince(Millis(25'000)) == kOld);
}

TEST_CASE("a gap in what is known of the list is passed over", "[order]") {
  HistoryFixture fixture;
  fixture.RecordUntil(Millis(20'000));
  SECTION("the store and all peers were silent") {
    fixture.now = Millis(21'000);
    fixture.RecordUntil(Millis(24'000), false);
    CHECK_FALSE(fixture.OnlySince(Millis(24'000)));
    fixture.now = Millis(25'000);
  }
  SECTION("the process was held up") {
    fixture.now = Millis(25'000);
    CHECK_FALSE(fixture.OnlySince(Millis(20'000)));
  }
  fixture.RecordUntil(Millis(60'000));
  CHECK_FALSE(fixture.OnlySince(Millis(24'999)));
  CHECK(fixture.OnlySince(Millis(25'000)) == kOld);
}

TEST_CASE("a version is named by a list that is older than the take-up",
          "[order]") {
  HistoryFixture fixture;
  fixture.RecordUntil(Millis(20'000));
  const auto only = [&fixture](Millis until) {
    return fixture.history.OnlyVersion(kPool, Millis(5000), until);
  };
  CHECK(only(fixture.verified_at) == kOld);
  CHECK_FALSE(only(fixture.verified_at + Millis(1)));
  SECTION("the store and all peers are silent for less than the gap") {
    fixture.RecordUntil(Millis(22'000), false);
    CHECK_FALSE(only(Millis(22'000)));
  }
  SECTION("the process was held up and its list is old") {
    fixture.now = Millis(22'500);
    fixture.history.Record(fixture.upstreams, Millis(20'000), fixture.now);
    CHECK_FALSE(only(Millis(22'500)));
  }
}

TEST_CASE("a time is named that the history does not reach back to",
          "[order]") {
  HistoryFixture fixture;
  fixture.RecordUntil(VersionHistory::kRetention);
  CHECK_FALSE(fixture.OnlySince(Millis(0)));
  CHECK(fixture.OnlySince(VersionHistory::kMaxGap + Millis(1)) == kOld);
}

}  // namespace
}  // namespace dandelion::test
