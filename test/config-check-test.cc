// Checks of configurations before they are sent. Each finding has a file that
// has the fault and a similar one that has not.
#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/syntax.h"
#include "config/tables_check.h"
#include "platform/catalogue_check.h"

namespace dandelion::test {
namespace {

using config::CheckReport;
using config::Finding;
using nlohmann::json;

/// Sound tables.
const char* const kTables = R"({
  "routes": [
    {"name": "any", "match": {"path": "/v1"}, "pool": "large"},
    {"name": "own", "match": {"path": "/v1", "organisation": "acme"},
     "pool": "small"}],
  "pools": [
    {"name": "large", "kind": "engine", "upstreams": [
      {"id": "u1", "address": "127.0.0.1:1", "data_centre": "a", "slots": 4},
      {"id": "u2", "address": "127.0.0.1:2", "data_centre": "a", "slots": 4}]},
    {"name": "small", "kind": "service", "upstreams": [
      {"id": "u3", "address": "127.0.0.1:3", "data_centre": "b",
       "slots": 2}]}]})";

/// A sound configuration in the platform's form.
const char* const kCatalogue = R"({
  "version": 7,
  "routes": [
    {"name": "draft", "host": "a.example", "path-prefix": "/draft/",
     "kind": "stream", "timeout-ms": 6000, "goal-ms": 1500, "prio": 0,
     "backend": "engines", "max-attempts": 2, "can-resume": true},
    {"name": "read", "host": "a.example", "path-prefix": "/read/",
     "kind": "idempotent", "timeout-ms": 2000, "goal-ms": 200, "prio": 1,
     "split": [{"backend": "old", "weight": 90},
               {"backend": "new", "weight": 10}],
     "max-attempts": 2, "public": true}],
  "backends": [
    {"name": "engines", "cold-per-s": 47.0,
     "engine": {"slots": 24, "kv-cap-tokens": 34288, "kv-token-bytes": 163840,
                "link-mbps": 24000.0, "moves": true, "stride": 4}},
    {"name": "old"}, {"name": "new"}],
  "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
             "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
  "tenants": [{"name": "acme", "api-keys": ["k1", "k2"], "prio": 1},
              {"name": "zeta", "api-keys": ["k3"]}]})";

struct Case {
  std::string fault;
  /// JSON patches of a sound file.
  std::string faulty;
  std::string sound;
  /// "SEVERITY PLACE", in the order of the report.
  std::vector<std::string> expected;
};

std::string Patched(const char* text, const std::string& patch) {
  return json::parse(text).patch(json::parse(patch)).dump();
}

std::vector<std::string> Summarise(const CheckReport& report) {
  std::vector<std::string> lines;
  for (const Finding& finding : report.findings) {
    lines.push_back(
        (finding.severity == config::Severity::kError ? "error " : "warning ") +
        finding.problem.location);
    CHECK_FALSE(finding.problem.what.empty());
    CHECK_FALSE(finding.problem.remedy.empty());
  }
  return lines;
}

const std::vector<Case>& TablesCases() {
  static const std::vector<Case> cases = {
      {"a route that an earlier one shadows",
       R"([{"op": "remove", "path": "/routes/1/match/organisation"}])",
       R"([{"op": "replace", "path": "/routes/1/match",
            "value": {"path": "/v1", "label": "night"}}])",
       {"warning $.routes[1].match"}},
      {"a pool that no route names",
       R"([{"op": "replace", "path": "/routes/1/pool", "value": "large"}])",
       R"([{"op": "replace", "path": "/routes/0/pool", "value": "small"},
           {"op": "replace", "path": "/routes/1/pool", "value": "large"}])",
       {"warning $.pools[1].name"}},
      {"a pool without upstreams",
       R"([{"op": "remove", "path": "/pools/1/upstreams/0"}])",
       R"([{"op": "remove", "path": "/pools/0/upstreams/0"}])",
       {"warning $.pools[1].upstreams"}},
      {"a pool whose upstreams are all drained",
       R"([{"op": "add", "path": "/pools/1/upstreams/0/drained",
            "value": true}])",
       R"([{"op": "add", "path": "/pools/0/upstreams/0/drained",
            "value": true}])",
       {"warning $.pools[1].upstreams"}},
      {"two upstreams of one address",
       R"([{"op": "replace", "path": "/pools/1/upstreams/0/address",
            "value": "127.0.0.1:1"}])",
       R"([{"op": "replace", "path": "/pools/1/upstreams/0/address",
            "value": "127.0.0.2:1"}])",
       {"warning $.pools[1].upstreams[0].address"}},
      {"a name twice and a pool that is not defined",
       R"([{"op": "replace", "path": "/routes/1/name", "value": "any"},
           {"op": "replace", "path": "/routes/1/pool", "value": "smal"}])",
       R"([{"op": "replace", "path": "/routes/1/name", "value": "other"}])",
       {"error $.routes[1].name", "error $.routes[1].pool"}},
      {"a missing field and a wrong type",
       R"([{"op": "remove", "path": "/routes/0/match/path"},
           {"op": "replace", "path": "/pools/0/upstreams/1/slots",
            "value": "4"}])",
       R"([{"op": "replace", "path": "/pools/0/upstreams/1/slots",
            "value": 5}])",
       {"error $.pools[0].upstreams[1].slots", "error $.routes[0].match"}},
  };
  return cases;
}

TEST_CASE("a check of tables misses a fault or reports sound ones",
          "[config_check]") {
  CHECK(Summarise(config::CheckTablesFile(kTables, {})).empty());
  for (const Case& each : TablesCases()) {
    INFO(each.fault);
    const auto check = [](const std::string& patch) {
      return Summarise(config::CheckTablesFile(Patched(kTables, patch), {}));
    };
    CHECK(check(each.faulty) == each.expected);
    CHECK(check(each.sound).empty());
  }
}

const std::vector<Case>& CatalogueCases() {
  static const std::vector<Case> cases = {
      {"a mistyped kind, which would count as not idempotent",
       R"([{"op": "replace", "path": "/routes/1/kind", "value": "idempotnt"}])",
       R"([{"op": "replace", "path": "/routes/1/kind",
            "value": "non_idempotent"}])",
       {"error $.routes[1].kind"}},
      {"an unknown field, which would be ignored",
       R"([{"op": "add", "path": "/routes/1/time-out-ms", "value": 1}])",
       R"([{"op": "add", "path": "/routes/1/gap-aim-ms", "value": 1}])",
       {"error $.routes[1].time-out-ms"}},
      {"a time in the wrong type",
       R"([{"op": "replace", "path": "/routes/0/timeout-ms",
            "value": "6 s"}])",
       R"([{"op": "replace", "path": "/routes/0/timeout-ms",
            "value": 6000.5}])",
       {"error $.routes[0].timeout-ms"}},
      {"a route without a pool",
       R"([{"op": "remove", "path": "/routes/0/backend"},
           {"op": "remove", "path": "/backends/0"}])",
       R"([{"op": "replace", "path": "/routes/0/backend", "value": "old"},
           {"op": "remove", "path": "/backends/0"}])",
       {"error $.routes[0].backend"}},
      {"a pool beside a split, which is ignored",
       R"([{"op": "add", "path": "/routes/1/backend", "value": "old"}])",
       R"([{"op": "replace", "path": "/routes/1/split",
            "value": [{"backend": "old"}, {"backend": "new"}]}])",
       {"warning $.routes[1].backend"}},
      {"names that stand twice",
       R"([{"op": "replace", "path": "/routes/1/name", "value": "draft"},
           {"op": "replace", "path": "/tenants/1/name", "value": "acme"},
           {"op": "add", "path": "/backends/-", "value": {"name": "new"}}])",
       R"([{"op": "replace", "path": "/routes/1/name", "value": "reads"}])",
       {"error $.backends[3].name", "error $.routes[1].name",
        "error $.tenants[1].name"}},
      {"a key of two organisations",
       R"([{"op": "add", "path": "/tenants/1/api-keys/-", "value": "k2"}])",
       R"([{"op": "add", "path": "/tenants/1/api-keys/-", "value": "k4"}])",
       {"error $.tenants[1].api-keys[1]"}},
      {"a key that is empty and one that stands twice",
       R"([{"op": "replace", "path": "/tenants/0/api-keys",
            "value": ["k1", "", "k1"]}])",
       R"([{"op": "replace", "path": "/tenants/0/api-keys",
            "value": ["k1", "K1"]}])",
       {"error $.tenants[0].api-keys[1]", "warning $.tenants[0].api-keys[2]"}},
      {"an organisation that nobody can use",
       R"([{"op": "replace", "path": "/tenants/1/api-keys", "value": []}])",
       R"([{"op": "remove", "path": "/tenants/1"}])",
       {"warning $.tenants[1].api-keys"}},
      {"organisations that no route asks for",
       R"([{"op": "add", "path": "/routes/0/public", "value": true}])",
       R"([{"op": "add", "path": "/routes/0/public", "value": true},
           {"op": "remove", "path": "/tenants"}])",
       {"warning $.tenants"}},
      {"a route that an earlier one shadows",
       R"([{"op": "replace", "path": "/routes/1/path-prefix",
            "value": "/draft/"},
           {"op": "replace", "path": "/routes/1/host",
            "value": "A.example"}])",
       R"([{"op": "replace", "path": "/routes/1/path-prefix",
            "value": "/draft/read/"}])",
       {"warning $.routes[1].path-prefix"}},
      {"a host with a port",
       R"([{"op": "replace", "path": "/routes/0/host",
            "value": "a.example:80"}])",
       R"([{"op": "replace", "path": "/routes/0/host",
            "value": "b.example"}])",
       {"error $.routes[0].host"}},
      {"a prefix that ends within a segment",
       R"([{"op": "replace", "path": "/routes/0/path-prefix",
            "value": "/draft"}])",
       R"([{"op": "replace", "path": "/routes/0/path-prefix", "value": "/"}])",
       {"error $.routes[0].path-prefix"}},
      {"a service that is resumed",
       R"([{"op": "add", "path": "/routes/1/can-resume", "value": true}])",
       R"([{"op": "add", "path": "/routes/1/can-resume", "value": false}])",
       {"warning $.routes[1].can-resume"}},
      {"a target beyond the time limit",
       R"([{"op": "replace", "path": "/routes/0/goal-ms", "value": 6001}])",
       R"([{"op": "replace", "path": "/routes/0/goal-ms", "value": 6000}])",
       {"warning $.routes[0].goal-ms"}},
      {"no time and no attempt",
       R"([{"op": "replace", "path": "/routes/0/timeout-ms", "value": 0},
           {"op": "replace", "path": "/routes/0/max-attempts", "value": 0}])",
       R"([{"op": "replace", "path": "/routes/0/timeout-ms", "value": 1500},
           {"op": "replace", "path": "/routes/0/max-attempts", "value": 1}])",
       {"error $.routes[0].max-attempts", "error $.routes[0].timeout-ms"}},
      {"pools that are not defined or not named",
       R"([{"op": "replace", "path": "/routes/1/split/1/backend",
            "value": "newer"}])",
       R"([{"op": "replace", "path": "/routes/1/split/1/backend",
            "value": "newer"},
           {"op": "replace", "path": "/backends/2/name", "value": "newer"}])",
       {"error $.routes[1].split", "warning $.backends[2].name"}},
      {"weights that give one pool nothing",
       R"([{"op": "replace", "path": "/routes/1/split/1/weight",
            "value": 0}])",
       R"([{"op": "replace", "path": "/routes/1/split/1/weight",
            "value": 1}])",
       {"warning $.routes[1].split"}},
      {"weights that give nobody anything",
       R"([{"op": "replace", "path": "/routes/1/split", "value":
            [{"backend": "old", "weight": 0}]},
           {"op": "remove", "path": "/backends/2"}])",
       R"([{"op": "replace", "path": "/routes/1/split", "value":
            [{"backend": "old", "weight": 1}]},
           {"op": "remove", "path": "/backends/2"}])",
       {"error $.routes[1].split"}},
      {"shares that do not add up",
       R"([{"op": "replace", "path": "/routes/1/split", "value":
            [{"backend": "old", "weight": 0.9},
             {"backend": "new", "weight": 0.01}]}])",
       R"([{"op": "replace", "path": "/routes/1/split", "value":
            [{"backend": "old", "weight": 0.9},
             {"backend": "new", "weight": 0.1}]}])",
       {"warning $.routes[1].split"}},
      {"engines without slots or memory",
       R"([{"op": "replace", "path": "/backends/0/engine/slots", "value": 0},
           {"op": "remove", "path": "/backends/0/engine/kv-cap-tokens"}])",
       R"([{"op": "replace", "path": "/backends/0/engine/slots",
            "value": 1}])",
       {"error $.backends[0].engine.kv-cap-tokens",
        "error $.backends[0].engine.slots"}},
      {"moves over a link of no speed",
       R"([{"op": "remove", "path": "/backends/0/engine/link-mbps"}])",
       R"([{"op": "remove", "path": "/backends/0/engine/link-mbps"},
           {"op": "replace", "path": "/backends/0/engine/moves",
            "value": false}])",
       {"warning $.backends[0].engine.moves"}},
      {"a body beyond the daemons' memory",
       R"([{"op": "replace", "path": "/limits/max-body-bytes",
            "value": 48000001}])",
       R"([{"op": "replace", "path": "/limits/max-body-bytes",
            "value": 48000000}])",
       {"warning $.limits.max-body-bytes"}},
      {"an idle time below the time for a head",
       R"([{"op": "replace", "path": "/limits/idle-timeout-ms",
            "value": 2999}])",
       R"([{"op": "replace", "path": "/limits/idle-timeout-ms",
            "value": 3000}])",
       {"warning $.limits.idle-timeout-ms"}},
  };
  return cases;
}

TEST_CASE("a check of the platform's form misses a fault or reports sound ones",
          "[config_check]") {
  const fleet::DaemonLimits limits;
  CHECK(
      Summarise(platform::CheckCatalogueFile(kCatalogue, {}, limits)).empty());
  for (const Case& each : CatalogueCases()) {
    INFO(each.fault);
    const auto check = [&](const std::string& patch) {
      return Summarise(
          platform::CheckCatalogueFile(Patched(kCatalogue, patch), {}, limits));
    };
    CHECK(check(each.faulty) == each.expected);
    CHECK(check(each.sound).empty());
  }
}

TEST_CASE("a check ignores the limits of a daemon's settings",
          "[config_check]") {
  fleet::DaemonLimits limits;
  limits.retry_ratio = 0;
  limits.retry_slack = 0;
  limits.request_memory_bytes = 4'000'000;
  CHECK(Summarise(platform::CheckCatalogueFile(kCatalogue, {}, limits)) ==
        std::vector<std::string>{"warning $.limits.max-body-bytes",
                                 "warning $.routes[0].max-attempts",
                                 "warning $.routes[1].max-attempts"});
}

std::vector<std::string> DescribeDifferences(const CheckReport& report) {
  std::vector<std::string> lines;
  REQUIRE(report.differences);
  for (const config::Difference& each : *report.differences) {
    std::string line = each.kind == config::Difference::Kind::kAdded     ? "+"
                       : each.kind == config::Difference::Kind::kRemoved ? "-"
                                                                         : "~";
    line += each.row;
    for (const std::string& field : each.fields) {
      line += " " + field;
    }
    lines.push_back(line + " | " + each.reaches);
  }
  return lines;
}

TEST_CASE("a check does not tell what differs from the tables in force",
          "[config_check]") {
  const config::Rows in_force = config::SplitTables(kTables);
  CHECK(
      DescribeDifferences(config::CheckTablesFile(kTables, in_force)).empty());
  const std::string changed = Patched(
      kTables, R"([{"op": "replace", "path": "/pools/0/upstreams/0/slots",
                    "value": 9},
                   {"op": "remove", "path": "/routes/1"},
                   {"op": "remove", "path": "/pools/1"},
                   {"op": "add", "path": "/routes/-", "value":
                     {"name": "night", "match": {"path": "/v1", "label": "n"},
                      "pool": "large"}}])");
  CHECK(DescribeDifferences(config::CheckTablesFile(changed, in_force)) ==
        std::vector<std::string>{
            "-pool/small | /v1 of organisation acme",
            "+route/night | /v1 of label n",
            "-route/own | /v1 of organisation acme",
            "~upstream/u1 slots: 4 -> 9 | /v1, /v1 of label n; before: /v1",
            "-upstream/u3 | /v1 of organisation acme"});
}

TEST_CASE("a check does not tell what differs from the version in force",
          "[config_check]") {
  const fleet::DaemonLimits limits;
  const std::string changed =
      Patched(kCatalogue,
              R"([{"op": "replace", "path": "/version", "value": 8},
          {"op": "replace", "path": "/routes/0/timeout-ms", "value": 7000},
          {"op": "replace", "path": "/limits/max-header-bytes", "value": 8192},
          {"op": "replace", "path": "/tenants/0/api-keys/0", "value": "k9"},
          {"op": "remove", "path": "/tenants/1"}])");
  const CheckReport report =
      platform::CheckCatalogueFile(changed, kCatalogue, limits);
  CHECK(report.findings.empty());
  CHECK(DescribeDifferences(report) ==
        std::vector<std::string>{
            "~limits max-header-bytes: 16384 -> 8192 | all callers",
            "~organisation/acme api-keys: 2 -> 2 (1 new, 1 taken away) | all "
            "requests of acme",
            "-organisation/zeta | all requests of zeta",
            "~route/draft timeout-ms: 6000 -> 7000 | a.example/draft/"});
  // No key may be shown.
  CHECK(config::FormatAsText(report).find("k9") == std::string::npos);
  CHECK(config::FormatAsJson(report).find("k1") == std::string::npos);
  // Daemons ignore a version that is not above theirs.
  CHECK(Summarise(platform::CheckCatalogueFile(kCatalogue, changed, limits)) ==
        std::vector<std::string>{"error $.version"});
}

TEST_CASE("bytes that are no sound file are accepted or take much memory",
          "[config_check]") {
  struct Bytes {
    std::string text;
    std::string place;
  };
  const std::string deep = std::string(1'000'000, '[');
  const std::vector<Bytes> cases = {
      {"", "byte 1"},
      {R"({"routes": [],})", "byte 15"},
      {"{\"routes\": \"\xff\"}", "byte 13"},
      {deep, "$" +
                 [] {
                   std::string place;
                   for (size_t i = 0; i < config::kMaxDepth; ++i) {
                     place += "[0]";
                   }
                   return place;
                 }()},
      {std::string(config::kMaxFileBytes + 1, ' '), "file"},
      {R"({"routes": [], "pools": [], "routes": []})", "$.routes"},
      {"[]", "$"},
  };
  for (const Bytes& each : cases) {
    CAPTURE(each.text.substr(0, 20));
    CHECK_FALSE(platform::IsCatalogueText(each.text));
    const auto lines = Summarise(config::CheckTablesFile(each.text, {}));
    REQUIRE_FALSE(lines.empty());
    CHECK(lines.front() == "error " + each.place);
    CHECK_FALSE(
        Summarise(platform::CheckCatalogueFile(each.text, {}, {})).empty());
  }
}

// Every value in turn is replaced by values of all types.
TEST_CASE("a value of an unexpected type ends the check", "[config_check]") {
  const std::vector<json> values = {nullptr,
                                    0,
                                    -1,
                                    1.5,
                                    1e300,
                                    "",
                                    "x",
                                    true,
                                    json::array(),
                                    json::object(),
                                    json::array({nullptr})};
  const config::Rows in_force = config::SplitTables(kTables);
  for (const char* const sound : {kTables, kCatalogue}) {
    const json flat = json::parse(sound).flatten();
    for (const auto& [path, ignored] : flat.items()) {
      // The value itself, and all that holds it.
      for (json::json_pointer place(path); !place.empty(); place.pop_back()) {
        for (const json& value : values) {
          json changed = json::parse(sound);
          changed[place] = value;
          const std::string text = changed.dump();
          CAPTURE(text);
          CHECK_NOTHROW(config::CheckTablesFile(text, in_force));
          CHECK_NOTHROW(platform::CheckCatalogueFile(text, kCatalogue, {}));
          CHECK_NOTHROW(platform::CheckCatalogueFile(kCatalogue, text, {}));
        }
      }
    }
  }
}

}  // namespace
}  // namespace dandelion::test
