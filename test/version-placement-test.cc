#include <catch2/catch.hpp>

#include <optional>
#include <utility>
#include <vector>

#include "relay/placer.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::UpstreamId;

const base::SoftwareVersion kOld("1");
const base::SoftwareVersion kNew("2");

/// A placer on a set clock with "u-old" and "u-new", each with one slot and a
/// version of its own.
struct TwoVersions {
  TwoVersions() {
    List("u-old", kOld);
    List("u-new", kNew);
    begins.pool.name = base::PoolName("p");
    begins.wait_until = Millis(60'000);
    goes_on = begins;
    goes_on.begun_at = kOld;
  }

  void List(const std::string& id,
            const base::SoftwareVersion& version,
            int64_t started_at = 0) {
    fleet::UpstreamEntry entry;
    entry.pool = base::PoolName("p");
    entry.slots = 1;
    entry.version = version;
    entry.started_at = started_at;
    upstreams.ApplyEntry(UpstreamId(id), entry, now);
  }
  void End(const std::string& id) {
    upstreams.MarkLeaving(UpstreamId(id), "gone", now);
  }
  // Places a request that has to wait, and records the end of its wait.
  void Wait(const relay::PlaceRequest& request) {
    const auto on_place = [this](std::optional<migration::Place> place) {
      ended = true;
      got = std::move(place);
    };
    REQUIRE(placer.Place(request, on_place).ticket);
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
       [](const UpstreamId&) { return routing::DaemonRank(); }}};
  std::optional<rollout::VersionRule> rule;
  relay::Placer placer{base::Clock([this] { return now; }),
                       base::DataCentreId("dc-a"),
                       upstreams,
                       loads,
                       health,
                       self_reports,
                       {[](const UpstreamId&) { return routing::DaemonRank(); },
                        {},
                        [this](const base::PoolName&) { return rule; }}};
  relay::PlaceRequest begins;
  relay::PlaceRequest goes_on;
  bool ended = false;
  std::optional<migration::Place> got;
};

TEST_CASE("a stream that waits for its full version holds up others",
          "[order]") {
  TwoVersions fixture;
  const auto running = fixture.placer.TryPlace(fixture.goes_on);
  REQUIRE(running);
  fixture.Wait(fixture.goes_on);
  const auto placed = fixture.placer.Place(fixture.begins, nullptr);
  REQUIRE(placed.place);
  CHECK(placed.place->version == kNew);
  CHECK_FALSE(fixture.ended);
}

TEST_CASE("requests that begin take every slot that a stream waits for",
          "[order]") {
  TwoVersions fixture;
  auto at_old = fixture.placer.TryPlace(fixture.goes_on);
  auto at_new = fixture.placer.TryPlace(fixture.begins);
  REQUIRE(at_old);
  REQUIRE(at_new);
  fixture.Wait(fixture.goes_on);
  const bool has_waiting = GENERATE(false, true);
  std::optional<migration::Place> kept;
  const auto keep = [&kept](std::optional<migration::Place> place) {
    kept = std::move(place);
  };
  if (has_waiting) {
    REQUIRE(fixture.placer.Place(fixture.begins, keep).ticket);
  }
  at_old.reset();
  if (has_waiting) {
    fixture.placer.DispatchWaiting();
  } else {
    CHECK_FALSE(fixture.placer.Place(fixture.begins, keep).place);
  }
  REQUIRE(fixture.got);
  CHECK(fixture.got->version == kOld);
  CHECK_FALSE(kept);
}

TEST_CASE("a stream waits for a version that no upstream has any more",
          "[order]") {
  TwoVersions fixture;
  const auto running = fixture.placer.TryPlace(fixture.goes_on);
  fixture.Wait(fixture.goes_on);
  fixture.End("u-old");
  fixture.placer.DispatchWaiting();
  CHECK(fixture.ended);
  CHECK_FALSE(fixture.got);
  CHECK(fixture.placer.waiting() == 0);
  // Nor does another one begin to wait.
  const auto later = fixture.placer.Place(fixture.goes_on, nullptr);
  CHECK_FALSE(later.place);
  CHECK_FALSE(later.ticket);
}

TEST_CASE("a stream does not wait for entries that are soon listed again",
          "[order]") {
  TwoVersions fixture;
  fixture.End("u-old");
  fixture.End("u-new");
  fixture.Wait(fixture.goes_on);
  fixture.placer.DispatchWaiting();
  CHECK_FALSE(fixture.ended);
  fixture.List("u-old-2", kOld);
  fixture.placer.DispatchWaiting();
  REQUIRE(fixture.got);
  CHECK(fixture.got->upstream == UpstreamId("u-old-2"));
}

TEST_CASE("a stream that goes on follows its pool's roll-out", "[order]") {
  TwoVersions fixture;
  fixture.rule.emplace();
  fixture.rule->target = kNew;
  fixture.rule->share = 1;
  const auto old_stream = fixture.placer.TryPlace(fixture.goes_on);
  REQUIRE(old_stream);
  CHECK(old_stream->version == kOld);
  fixture.rule->share = 0;
  fixture.rule->target_may_replace_old = false;
  fixture.goes_on.begun_at = kNew;
  const auto new_stream = fixture.placer.TryPlace(fixture.goes_on);
  REQUIRE(new_stream);
  CHECK(new_stream->version == kNew);
}

TEST_CASE("an engine that restarted counts as of the version it had",
          "[order]") {
  TwoVersions fixture;
  const auto place = fixture.placer.TryPlace(fixture.goes_on);
  REQUIRE(place);
  CHECK_FALSE(fixture.placer.HasOtherVersion(*place));
  fixture.List("u-old", kOld, 1);
  CHECK_FALSE(fixture.placer.HasOtherVersion(*place));
  fixture.List("u-old", kNew, 2);
  CHECK(fixture.placer.HasOtherVersion(*place));
}

}  // namespace
}  // namespace dandelion::test
