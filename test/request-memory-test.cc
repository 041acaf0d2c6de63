#include <catch2/catch.hpp>

#include <memory>

#include "http/request_memory.h"

namespace dandelion::test {
namespace {

using base::Millis;
using http::RequestMemory;

constexpr size_t kKibibyte = 1024;
constexpr size_t kLimit = 1024 * kKibibyte;
// What requests that are not small may take in all.
constexpr size_t kOrdinaryLimit = kLimit / 8 * 7;

/// A memory on a set clock, and the request of a connection.
struct MemoryFixture {
  MemoryFixture()
      : memory(
            std::make_shared<RequestMemory>(base::Clock([this] { return now; }),
                                            kLimit)) {}

  struct Arrival {
    explicit Arrival(MemoryFixture& fixture)
        : share(fixture.memory, [this] {
            refusals += holds_unread ? 1 : 0;
            return holds_unread;
          }) {
      share.Begin();
    }
    bool holds_unread = true;
    int refusals = 0;
    RequestMemory::Share share;
  };

  Millis now{1000};
  std::shared_ptr<RequestMemory> memory;
};

TEST_CASE("the request that has held most for longest does not give way",
          "[memory]") {
  MemoryFixture fixture;
  MemoryFixture::Arrival large(fixture);
  MemoryFixture::Arrival medium(fixture);
  REQUIRE(large.share.Resize(500 * kKibibyte));
  REQUIRE(medium.share.Resize(300 * kKibibyte));
  fixture.now = fixture.now + Millis(100);
  MemoryFixture::Arrival later(fixture);
  CHECK(later.share.Resize(200 * kKibibyte));
  CHECK(large.refusals == 1);
  CHECK(medium.refusals == 0);
  CHECK(fixture.memory->used() == 500 * kKibibyte);
  // What gave way may not take more.
  CHECK_FALSE(large.share.Resize(1));
}

TEST_CASE("a slow trickle holds room for ever", "[memory]") {
  MemoryFixture fixture;
  MemoryFixture::Arrival trickle(fixture);
  REQUIRE(trickle.share.Resize(400 * kKibibyte));
  fixture.now = fixture.now + Millis(10'000);
  REQUIRE(trickle.share.Resize(401 * kKibibyte));
  MemoryFixture::Arrival fast(fixture);
  CHECK(fast.share.Resize(600 * kKibibyte));
  CHECK(trickle.refusals == 1);
}

TEST_CASE("a request makes lighter ones give way", "[memory]") {
  MemoryFixture fixture;
  MemoryFixture::Arrival light(fixture);
  REQUIRE(light.share.Resize(300 * kKibibyte));
  MemoryFixture::Arrival heavy(fixture);
  REQUIRE(heavy.share.Resize(590 * kKibibyte));
  CHECK_FALSE(heavy.share.Resize(700 * kKibibyte));
  CHECK(light.refusals == 0);
  CHECK(heavy.refusals == 0);
  CHECK(fixture.memory->used() == 890 * kKibibyte);
}

TEST_CASE("a request that has arrived gives way", "[memory]") {
  MemoryFixture fixture;
  MemoryFixture::Arrival arrived(fixture);
  REQUIRE(arrived.share.Resize(kOrdinaryLimit));
  arrived.share.Complete();
  fixture.now = fixture.now + Millis(1000);
  MemoryFixture::Arrival large(fixture);
  CHECK_FALSE(large.share.Resize(100 * kKibibyte));
  CHECK(arrived.refusals == 0);
  // Small requests still have their room.
  MemoryFixture::Arrival small(fixture);
  CHECK(small.share.Resize(60 * kKibibyte));
}

TEST_CASE("a request whose answer was taken gives way or is not counted",
          "[memory]") {
  MemoryFixture fixture;
  MemoryFixture::Arrival taken(fixture);
  taken.holds_unread = false;
  REQUIRE(taken.share.Resize(500 * kKibibyte));
  MemoryFixture::Arrival unread(fixture);
  REQUIRE(unread.share.Resize(300 * kKibibyte));
  fixture.now = fixture.now + Millis(1000);
  MemoryFixture::Arrival later(fixture);
  CHECK(later.share.Resize(200 * kKibibyte));
  CHECK(taken.refusals == 0);
  CHECK(unread.refusals == 1);
  CHECK(fixture.memory->used() == 700 * kKibibyte);
  CHECK(taken.share.Resize(501 * kKibibyte));
}

TEST_CASE("memory is not returned", "[memory]") {
  MemoryFixture fixture;
  {
    MemoryFixture::Arrival first(fixture);
    REQUIRE(first.share.Resize(kOrdinaryLimit));
    first.share.Complete();
    first.share.Release();
    CHECK(fixture.memory->used() == 0);
    first.share.Begin();
    REQUIRE(first.share.Resize(kOrdinaryLimit));
  }
  CHECK(fixture.memory->used() == 0);
}

TEST_CASE("the limit for a size has no room for a request of that size",
          "[memory]") {
  constexpr size_t kBody = 4096 * kKibibyte;
  constexpr size_t kHeader = 16 * kKibibyte;
  MemoryFixture fixture;
  fixture.memory->SetLimit(RequestMemory::LimitFor(kBody, kHeader));
  MemoryFixture::Arrival alone(fixture);
  CHECK(alone.share.Resize(2 * kBody + 32 * kHeader));
}

}  // namespace
}  // namespace dandelion::test
