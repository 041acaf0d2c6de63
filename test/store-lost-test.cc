#include <catch2/catch.hpp>

#include <string>

#include "test/daemon-support.h"

namespace dandelion::test {
namespace {

constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;

// Whether the daemon has logged `event` of `topic`, with `text` in its line.
bool HasLoggedOf(const RunningDaemon& daemon,
                 const std::string& event,
                 const std::string& topic,
                 const std::string& text = "") {
  const std::string lines = daemon.LoggedLines("topic=" + topic);
  for (size_t at = lines.find("name=" + event); at != std::string::npos;
       at = lines.find("name=" + event, at + 1)) {
    if (lines.substr(at, lines.find('\n', at) - at).find(text) !=
        std::string::npos) {
      return true;
    }
  }
  return false;
}

// The failure of one topic hid the failure of the other, and the log did not
// tell why a daemon had no configuration.
TEST_CASE("the log tells of each topic that can't be read, and why",
          "[store_lost]") {
  PlatformFixture fixture;
  fixture.store.FailWith(kUnavailable);
  RunningDaemon daemon(fixture);
  for (const char* topic : {"operator", "upstreams"}) {
    CAPTURE(topic, daemon.LoggedLines("name=store_"));
    CHECK(fixture.RunUntil([&] {
      return HasLoggedOf(daemon, "store_lost", topic, "status 503");
    }));
  }
  fixture.store.FailWith(0);
  for (const char* topic : {"operator", "upstreams"}) {
    CAPTURE(topic, daemon.LoggedLines("name=store_"));
    CHECK(fixture.RunUntil(
        [&] { return HasLoggedOf(daemon, "store_back", topic); }));
  }
}

TEST_CASE("the log tells why reads fail now, if that has changed",
          "[store_lost]") {
  PlatformFixture fixture;
  fixture.store.FailWith(kUnavailable);
  RunningDaemon daemon(fixture);
  REQUIRE(fixture.RunUntil([&] {
    return HasLoggedOf(daemon, "store_lost", "operator", "status 503");
  }));
  fixture.store.FailWith(kNotFound);
  CHECK(fixture.RunUntil([&] {
    return HasLoggedOf(daemon, "store_lost", "operator", "status 404");
  }));
}

}  // namespace
}  // namespace dandelion::test
