#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include "test/daemon-support.h"

namespace dandelion::test {
namespace {

using nlohmann::json;

// Messages name the daemons that their sender knows. With a name that is not
// UTF-8 among them no peer could read them.
TEST_CASE("daemons find each other beside entries that no daemon wrote",
          "[store_peers]") {
  PlatformFixture fixture;
  const json entry = {{"address", fixture.FindFreeAddress()},
                      {"data_centre", "dc-b"}};
  for (const char* name : {"\xff\xfe", "", "a\nb", "a02%#"}) {
    fixture.store.AppendRecord(name, entry.dump(), "keyed.daemons");
  }
  fixture.store.AppendRecord("front-9", R"({"address": "#"})", "keyed.daemons");
  fixture.more_settings["host"] = "front-1";
  RunningDaemon first(fixture);
  fixture.more_settings["host"] = "front-2";
  RunningDaemon second(fixture);
  const auto hears = [](const RunningDaemon& daemon, const std::string& peer) {
    return daemon.LoggedLines("name=peer_up").find("peer=" + peer) !=
           std::string::npos;
  };
  CHECK(fixture.RunUntil(
      [&] { return hears(first, "front-2") && hears(second, "front-1"); }));
  CAPTURE(first.LoggedLines("name=peer_"), second.LoggedLines("name=peer_"));
  CHECK_FALSE(first.HasLogged("peer_message_malformed"));
  CHECK_FALSE(second.HasLogged("peer_message_malformed"));
  CHECK_FALSE(first.process->ExitCode());
  CHECK_FALSE(second.process->ExitCode());
}

}  // namespace
}  // namespace dandelion::test
