#include <catch2/catch.hpp>

#include <functional>

#include "routing/learned_capacity.h"

namespace dandelion::test {
namespace {

using base::Millis;
using routing::LearnedCapacity;

constexpr int64_t kSlots = 24;
constexpr Millis kStep{50};

/// An upstream whose time for a unit depends on its load, and what is learned
/// of it.
struct CapacityFixture {
  /// Runs with `running` requests for `time`.
  void Run(int64_t running, Millis time) {
    for (const Millis end = now + time; now < end; now = now + kStep) {
      learned.Record(running, ms_at(running), now);
    }
  }
  int64_t Limit() const { return learned.LimitFor(kSlots, now); }

  std::function<double(int64_t running)> ms_at = [](int64_t) { return 8.0; };
  LearnedCapacity learned;
  Millis now{1000};
};

TEST_CASE("nothing is known and everything is allowed", "[capacity]") {
  const CapacityFixture fixture;
  CHECK_FALSE(fixture.learned.AverageMs(fixture.now));
  CHECK(fixture.Limit() == kSlots);
}

// A third of the engines turn four times slower without notice.
TEST_CASE("an upstream that turns slow counts as fast for long", "[capacity]") {
  CapacityFixture fixture;
  fixture.Run(5, Millis(5000));
  REQUIRE(fixture.learned.AverageMs(fixture.now) == Approx(8));
  fixture.ms_at = [](int64_t) { return 32.0; };
  fixture.Run(5, Millis(500));
  CHECK(*fixture.learned.AverageMs(fixture.now) > 24);
  fixture.ms_at = [](int64_t) { return 8.0; };
  fixture.Run(5, Millis(500));
  CHECK(*fixture.learned.AverageMs(fixture.now) < 16);
}

// A service that slows down whenever much is sent there.
TEST_CASE("an upstream whose times vary counts as an even one", "[capacity]") {
  CapacityFixture fixture;
  CHECK(fixture.learned.DeviationMs(fixture.now) == 0);
  fixture.Run(5, Millis(5000));
  CHECK(fixture.learned.DeviationMs(fixture.now) == 0);
  int times = 0;
  fixture.ms_at = [&times](int64_t) { return ++times % 2 == 0 ? 8.0 : 32.0; };
  fixture.Run(5, Millis(5000));
  CHECK(fixture.learned.DeviationMs(fixture.now) > 8);
  fixture.ms_at = [](int64_t) { return 8.0; };
  fixture.Run(5, Millis(5000));
  CHECK(fixture.learned.DeviationMs(fixture.now) < 1);
}

TEST_CASE("a slow upstream that gets nothing is never tried again",
          "[capacity]") {
  CapacityFixture fixture;
  fixture.ms_at = [](int64_t) { return 32.0; };
  fixture.Run(5, Millis(5000));
  fixture.now = fixture.now + Millis(2000);
  CHECK(fixture.learned.AverageMs(fixture.now));
  fixture.now = fixture.now + Millis(15'000);
  CHECK_FALSE(fixture.learned.AverageMs(fixture.now));
}

// Some upstreams slow down long before all their slots are taken.
TEST_CASE("an upstream that slows down from half fill on is filled",
          "[capacity]") {
  CapacityFixture fixture;
  fixture.ms_at = [](int64_t running) { return running <= 9 ? 8.0 : 32.0; };
  for (const int64_t running : {2, 5, 8, 12}) {
    fixture.Run(running, Millis(1500));
  }
  CHECK(fixture.Limit() == 9);
  // It is tried with more from time to time, one request after the other.
  fixture.now = fixture.now + LearnedCapacity::kRiseInterval;
  CHECK(fixture.Limit() == 10);
  fixture.Run(10, Millis(200));
  CHECK(fixture.Limit() == 9);
  // Once it is sound again, it is filled again.
  fixture.ms_at = [](int64_t) { return 8.0; };
  fixture.now = fixture.now + LearnedCapacity::kRiseInterval;
  fixture.Run(10, Millis(1500));
  CHECK(fixture.Limit() == kSlots);
}

// A batch of engines shares its steps: each token takes longer with more
// requests, but more of them are made.
TEST_CASE("an upstream that gets more done with more requests is limited",
          "[capacity]") {
  CapacityFixture fixture;
  const double per_request = GENERATE(0.0, 0.12, 2.0);
  fixture.ms_at = [per_request](int64_t running) {
    return 7 + per_request * static_cast<double>(running);
  };
  for (const int64_t running : {1, 2, 4, 6, 9, 13, 18, 24}) {
    fixture.Run(running, Millis(1500));
  }
  CHECK(fixture.Limit() == kSlots);
}

// Times are whole milliseconds, so that those of a fast service differ by a
// factor for no reason.
TEST_CASE("a service that answers within milliseconds is limited",
          "[capacity]") {
  CapacityFixture fixture;
  fixture.ms_at = [](int64_t running) { return running <= 2 ? 1.0 : 4.0; };
  for (const int64_t running : {1, 2, 4, 6, 9}) {
    fixture.Run(running, Millis(1500));
  }
  CHECK(fixture.Limit() == kSlots);
}

TEST_CASE("a short disturbance sets a limit", "[capacity]") {
  CapacityFixture fixture;
  fixture.Run(4, Millis(1500));
  fixture.ms_at = [](int64_t) { return 32.0; };
  fixture.Run(5, Millis(600));
  CHECK(fixture.Limit() == kSlots);
}

}  // namespace
}  // namespace dandelion::test
