#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "kernel/fleet_settings.h"
#include "platform/platform_protocol.h"
#include "platform/records.h"
#include "test/store-fixture.h"

namespace dandelion::test {
namespace {

using base::ErrorKind;
using base::Millis;
using base::Task;
using nlohmann::json;
using store::Topic;
using store::Update;

json MakeSettingsJson() {
  return {{"host", "front-1"},
          {"data_centre", "dc-a"},
          {"callers", "10.0.0.1:80"},
          {"readiness", "10.0.0.1:81"},
          {"metrics", "10.0.0.1:82"},
          {"peer_address", "10.0.0.1:7200"},
          {"seeds", {"10.0.0.2:8748"}},
          {"store", "10.0.9.9:90"},
          {"key_lifetime_ms", 5000},
          {"repeat_ratio", nullptr},
          {"store_writes_per_second", 40}};
}

TEST_CASE("settings with an invalid, unknown or missing field are rejected",
          "[settings]") {
  const auto settings = kernel::ParseFleetSettings(MakeSettingsJson().dump());
  REQUIRE(settings.ok());
  CHECK(settings->strict_max_key_age < Millis(5000));
  CHECK(settings->retry_ratio == 0.2);
  CHECK(settings->store_writes_per_second == 40);
  // Only the host of a seed counts; the port is that of `peer_address`, which
  // is the same on all hosts.
  CHECK(settings->seeds == std::vector<std::string>{"10.0.0.2:7200"});
  for (const auto& [field, value] :
       std::map<std::string, json>{{"callers", "localhost:80"},
                                   {"host", ""},
                                   {"repeat_slack", -1},
                                   {"store_writes_per_second", "many"},
                                   {"colour", "blue"}}) {
    json invalid = MakeSettingsJson();
    invalid[field] = value;
    const auto parsed = kernel::ParseFleetSettings(invalid.dump());
    CHECK(base::KindOf(parsed.status()) == ErrorKind::kInvalidSettings);
    CHECK(std::string(parsed.status().message()).find(field) !=
          std::string::npos);
  }
  json incomplete = MakeSettingsJson();
  incomplete.erase("store");
  CHECK_FALSE(kernel::ParseFleetSettings(incomplete.dump()).ok());
  CHECK_FALSE(kernel::ParseFleetSettings("{").ok());
}

json MakeEntryJson() {
  return {{"backend", "pool"}, {"addr", "10.0.0.1:80"},
          {"zone", "dc-a"},    {"slots", 24},
          {"state", "ready"},  {"cold-left-ms", 900},
          {"seq", 4},          {"born", 17}};
}

TEST_CASE("an upstream entry is parsed, its unknown fields are ignored",
          "[records]") {
  json entry_json = MakeEntryJson();
  entry_json["new-field"] = {1, 2};
  const auto entry = platform::ParseUpstreamEntry(entry_json.dump());
  REQUIRE(entry.ok());
  CHECK(entry->pool == base::PoolName("pool"));
  CHECK(entry->slots == 24);
  CHECK(entry->cold_remaining == Millis(900));
  CHECK(entry->started_at == 17);
  CHECK_FALSE(entry->leaving);
  // `seq` counts heartbeats; it is no change of the entry.
  entry_json["seq"] = 5;
  CHECK(platform::ParseUpstreamEntry(entry_json.dump()) == entry);
}

// Other programs may write to the upstreams' topic.
TEST_CASE("an invalid upstream entry is rejected", "[records]") {
  CHECK_FALSE(platform::ParseUpstreamEntry("\xff\x00garbage").ok());
  for (const auto& [field, value] :
       std::map<std::string, json>{{"addr", "nowhere"},
                                   {"addr", 7},
                                   {"state", "resting"},
                                   {"slots", "many"},
                                   {"zone", nullptr}}) {
    json invalid = MakeEntryJson();
    invalid[field] = value;
    CHECK_FALSE(platform::ParseUpstreamEntry(invalid.dump()).ok());
  }
}

// Replaces the value of `field` in a valid entry by the JSON text `value`.
std::string EntryWith(const std::string& field, const std::string& value) {
  json entry = MakeEntryJson();
  entry[field] = "@";
  std::string text = entry.dump();
  text.replace(text.find("\"@\""), 3, value);
  return text;
}

TEST_CASE("an odd entry of an upstream ends the daemon or names an upstream",
          "[records]") {
  constexpr size_t kDepth = 200'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::string deep_object = "{\"a\":" + deep + "}";
  for (const auto& [field, value] :
       std::vector<std::pair<std::string, std::string>>{
           {"slots", "1e300"},
           {"slots", "99999999999999999999999999"},
           {"slots", "-1"},
           {"slots", "1e999"},
           {"slots", deep},
           {"cold-left-ms", "1e300"},
           {"cold-left-ms", "-9223372036854775808"},
           {"cold-left-ms", deep_object},
           {"addr", "\"10.0.0.1:65536\""},
           {"addr", "\"10.0.0.1:99999999999999999999\""},
           {"addr", "\"10.0.0.1:0\""},
           {"addr", "\"10.0.0.1:-1\""},
           {"addr", "\"10.0.0.1:\""},
           {"addr", deep},
           {"state", deep_object},
           {"zone", "{}"},
           {"version", deep},
           {"version", deep_object},
           {"version", "true"}}) {
    CAPTURE(field, value.substr(0, 40));
    CHECK_FALSE(platform::ParseUpstreamEntry(EntryWith(field, value)).ok());
  }
  CHECK_FALSE(platform::ParseUpstreamEntry(deep).ok());
  CHECK_FALSE(platform::ParseUpstreamEntry(std::string(kDepth, '[')).ok());
  // A field that nobody reads may hold anything, and a start time that is no
  // time is none.
  CHECK(platform::ParseUpstreamEntry(EntryWith("new-field", deep)).ok());
  const auto entry = platform::ParseUpstreamEntry(EntryWith("born", "1e300"));
  REQUIRE(entry.ok());
  CHECK(entry->started_at == 0);
  // A version may be a number.
  const auto numbered = platform::ParseUpstreamEntry(EntryWith("version", "7"));
  REQUIRE(numbered.ok());
  CHECK(numbered->version == base::SoftwareVersion("7"));
}

TEST_CASE("a valid configuration is parsed, an incomplete one is rejected",
          "[records]") {
  json config = json::parse(R"({"version": 7, "routes": [
    {"name": "r", "host": "h", "path-prefix": "/p/", "kind": "stream",
     "timeout-ms": 6000, "goal-ms": 1500, "max-attempts": 2,
     "can-resume": true, "split": [{"backend": "a", "weight": 90},
                                   {"backend": "b", "weight": 10}]},
    {"name": "s", "host": "h", "path-prefix": "/q/", "kind": "unheard-of",
     "backend": "b"}],
    "backends": [{"name": "a", "engine": {"slots": 24, "kv-cap-tokens": 100,
                                          "stride": 4, "moves": true}},
                 {"name": "b"}],
    "tenants": [{"name": "org", "api-keys": ["k1", "k2"], "prio": 1}]})");
  const auto catalogue = platform::ParseCatalogue(config.dump());
  REQUIRE(catalogue.ok());
  const fleet::Catalogue& parsed_catalogue = **catalogue;
  CHECK(parsed_catalogue.version == 7);
  CHECK(parsed_catalogue.routes[0].pools.size() == 2);
  CHECK(parsed_catalogue.routes[0].MayRunTwice());
  // An unknown kind counts as non-idempotent.
  CHECK_FALSE(parsed_catalogue.routes[1].MayRunTwice());
  CHECK(parsed_catalogue.FindPool(base::PoolName("a"))
            ->engine->tokens_per_event == 4);
  CHECK_FALSE(parsed_catalogue.FindPool(base::PoolName("b"))->engine);
  CHECK(parsed_catalogue.organisation_by_key.at("k2").name ==
        base::OrganisationId("org"));
  config["routes"][1].erase("path-prefix");
  CHECK(base::KindOf(platform::ParseCatalogue(config.dump()).status()) ==
        ErrorKind::kInvalidTables);
}

TEST_CASE("records and removals are read from the store", "[store]") {
  StoreFixture fixture;
  fixture.store.AppendRecord("a", "1");
  fixture.store.AppendRecord("b", "2");
  const auto newest =
      fixture.Await(fixture.client.ReadNewest(Topic::kUpstreams));
  REQUIRE(newest.ok());
  CHECK(newest->snapshot);
  CHECK(newest->to == fixture.store.TopicOffset(2));
  REQUIRE(newest->records.size() == 2);
  CHECK(newest->records[1].value == "2");
  fixture.store.AppendRecord("a", "");
  const auto removal = fixture.Await(fixture.client.ReadFrom(
      Topic::kUpstreams, fixture.store.TopicOffset(2), Millis(10)));
  REQUIRE(removal.ok());
  CHECK(removal->to == fixture.store.TopicOffset(3));
  REQUIRE(removal->records.size() == 1);
  CHECK(removal->records[0].removed);
  CHECK_FALSE(removal->partial);
}

TEST_CASE("deleted history and store failures have different error kinds",
          "[store]") {
  StoreFixture fixture;
  fixture.store.AppendRecord("a", "1");
  fixture.store.AppendRecord("a", "2");
  fixture.store.TruncateHistory();
  const auto read_from = [&fixture](int64_t position) {
    return fixture
        .Await(fixture.client.ReadFrom(
            Topic::kUpstreams, fixture.store.TopicOffset(position), Millis(10)))
        .status();
  };
  CHECK(base::KindOf(read_from(0)) == ErrorKind::kConflict);
  CHECK(read_from(2).ok());
  fixture.store.FailWith(503);
  CHECK(base::KindOf(fixture.Await(fixture.client.ReadNewest(Topic::kUpstreams))
                         .status()) == ErrorKind::kPlatformUnreachable);
}

TEST_CASE("the parts of a prompt but the last are parsed", "[protocol]") {
  const relay::PlatformProtocol protocol = platform::MakePlatformProtocol();
  const auto parse = [&protocol](const std::string& parts) {
    http::Request request;
    request.headers.Add("X-Dandeliondyke-Prefix-Hash", parts);
    return protocol.parse_caller_request(request).value().shared_parts;
  };
  CHECK(parse("a1:800,b2:410,c3:250") ==
        std::vector<base::PartId>{base::PartId("a1"), base::PartId("b2")});
  CHECK(parse("a1:800").empty());
  CHECK(parse("").empty());
  CHECK(parse(",").empty());
  CHECK(parse("a1,b2:410,c3:250").empty());
  CHECK(protocol.parse_caller_request(http::Request())
            .value()
            .shared_parts.empty());
}

}  // namespace
}  // namespace dandelion::test
