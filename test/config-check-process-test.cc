#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "test/daemon-support.h"

namespace dandelion::test {
namespace {

using nlohmann::json;

constexpr int kClean = 0;
constexpr int kErrors = 2;
constexpr int kUnreachable = 6;

/// Runs `dandelionctl config check` against a store.
struct CheckFixture : PlatformFixture {
  explicit CheckFixture(int version_in_force) {
    store.AppendRecord("config", Configuration(version_in_force, 2000),
                       "keyed.op");
  }

  static std::string Configuration(int version, int timeout_ms) {
    json route = MakeRoute("read", "idempotent", "services");
    route["timeout-ms"] = timeout_ms;
    route["goal-ms"] = 100;
    return json({{"version", version},
                 {"routes", {route}},
                 {"backends", {{{"name", "services"}}}}})
        .dump();
  }

  /// Returns the exit code; the report is in `output` then.
  std::optional<int> Check(const std::string& text, std::string* output) {
    const std::string path = std::tmpnam(nullptr);
    std::ofstream(path) << text;
    DaemonProcess tool({DANDELION_BUILD "/dandelionctl", "config", "check",
                        path, "--live", "--platform", store_address, "--json"},
                       "", path + ".out");
    RunUntil([&] { return tool.ExitCode().has_value(); });
    std::ifstream report(path + ".out");
    output->assign(std::istreambuf_iterator<char>(report), {});
    std::remove(path.c_str());
    std::remove((path + ".out").c_str());
    return tool.ExitCode();
  }

  std::string store_address =
      std::string(kLoopback) + ":" + std::to_string(store.address().port());
};

TEST_CASE("a check does not compare with the version in the platform's store",
          "[config_check]") {
  CheckFixture fixture(7);
  std::string output;
  CHECK(fixture.Check(CheckFixture::Configuration(8, 3000), &output) == kClean);
  const json report = json::parse(output);
  CHECK(report["result"] == "clean");
  REQUIRE(report["differences"].size() == 1);
  CHECK(report["differences"][0]["row"] == "route/read");
  CHECK(report["differences"][0]["fields"] ==
        json::array({"timeout-ms: 2000 -> 3000"}));
  CHECK(report["differences"][0]["reaches"] == "front.example/read/");
  CHECK(fixture.Check(CheckFixture::Configuration(7, 3000), &output) ==
        kErrors);
  CHECK(json::parse(output)["findings"][0]["place"] == "$.version");
}

TEST_CASE("a check without a reachable store counts as clean",
          "[config_check]") {
  CheckFixture fixture(7);
  fixture.store_address = fixture.FindFreeAddress();
  std::string output;
  CHECK(fixture.Check(CheckFixture::Configuration(8, 3000), &output) ==
        kUnreachable);
  CHECK(output.empty());
}

}  // namespace
}  // namespace dandelion::test
