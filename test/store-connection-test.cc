#include <catch2/catch.hpp>

#include <vector>

#include "platform/store_client.h"
#include "test/forward-support.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;

// A daemon that takes over from the reader has not called for a while. The call
// hung on its old connection, and the change came a second later.
TEST_CASE("the first read waits for a connection that died while idle",
          "[in_force]") {
  ForwardFixture fixture;
  RawAnswer page{
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Content-Length: 37\r\n\r\n"
      R"({"items":[],"has-more":false,"end":0})"};
  page.held = true;
  RawUpstream remote(fixture.executor(), page);
  http::Client client;
  platform::StoreClient reader(client, [&] { return remote.address(); });
  std::vector<int64_t> times;
  const auto read = [&](Millis after) -> Task<void> {
    co_await base::SleepFor(after);
    const Millis begun = base::Clock::Monotonic().Now();
    const auto update = co_await reader.ReadNewest(store::Topic::kOperator);
    CHECK(update.ok());
    times.push_back((base::Clock::Monotonic().Now() - begun).count());
  };
  constexpr Millis kIdle{1200};
  base::Spawn(fixture.executor(), read(Millis(0)));
  base::Spawn(fixture.executor(), read(kIdle));
  REQUIRE(fixture.RunUntil([&times] { return times.size() == 2; }));
  CHECK(times.back() < 500);
  remote.EndHeld();
  fixture.RunUntilIdle();
}

}  // namespace
}  // namespace dandelion::test
