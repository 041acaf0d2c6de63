#include <catch2/catch.hpp>

#include "config/config_state.h"
#include "config/rows.h"

namespace dandelion::config {
namespace {

using base::Offset;

constexpr char kTables[] = R"({
  "routes": [{"name": "r", "match": {"path": "/x"}, "pool": "p"}],
  "pools": [{"name": "p", "kind": "engine", "upstreams": [
    {"id": "u", "address": "127.0.0.1:1", "data_centre": "a", "slots": 2}]}]})";

std::string EncodePublication(const ConfigState& state,
                              std::string_view tables) {
  return EncodeConfigRecord(MakePublishRecord(state.rows(), tables));
}

std::string EncodeDataCentreChange(int64_t expected_version, bool in_service) {
  ConfigRecord record;
  record.changes.push_back({"data_centre/a", Offset(expected_version),
                            EncodeDataCentreState(in_service)});
  return EncodeConfigRecord(record);
}

TEST_CASE("an undefined pool name is rejected with its location") {
  const auto problems = CheckTables(
      R"({"routes": [{"name": "r", "match": {"path": "/"}, "pool": "q"}],
          "pools": []})");
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].location == "$.routes[0].pool");
}

TEST_CASE("an unknown key is rejected with the most similar known key") {
  const auto problems =
      CheckTables(R"({"routes": [], "pools": [], "rutes": []})");
  REQUIRE(!problems.empty());
  CHECK(problems[0].remedy == "did you mean \"routes\"?");
}

TEST_CASE("a mistyped value of a list is accepted") {
  const auto problems = CheckTables(
      R"({"routes": [{"name": "r", "match": {"path": "/"}, "pool": "p",
                      "class": "shrt"}],
          "pools": [{"name": "p", "kind": "engin", "upstreams": []}]})");
  REQUIRE(problems.size() == 2);
  CHECK(problems[0].location == "$.pools[0].kind");
  CHECK(problems[0].remedy == "did you mean \"engine\"?");
  CHECK(problems[1].location == "$.routes[0].class");
  CHECK(problems[1].remedy == "did you mean \"short\"?");
}

TEST_CASE("a value that does not match its pattern is accepted") {
  const auto problems = CheckTables(
      R"({"routes": [{"name": "r", "match": {"path": "x"}, "pool": "p"}],
          "pools": [{"name": "p", "kind": "engine", "upstreams": []}]})");
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].location == "$.routes[0].match.path");
  CHECK(problems[0].what.find("pattern") != std::string::npos);
}

TEST_CASE("the second of two concurrent publications is rejected") {
  ConfigState state;
  const std::string first = EncodePublication(state, kTables);
  REQUIRE(state.Apply(Offset(1), first).outcome == ApplyOutcome::kAccepted);
  const ApplyResult second = state.Apply(Offset(2), first);
  CHECK(second.outcome == ApplyOutcome::kRejected);
  CHECK(base::KindOf(second.reason) == base::ErrorKind::kConflict);
  CHECK(state.version() == Offset(1));
}

TEST_CASE("a drain and a concurrent publication of other rows both apply") {
  ConfigState state;
  state.Apply(Offset(1), EncodePublication(state, kTables));
  std::string changed = kTables;
  changed.replace(changed.find("\"slots\": 2"), 10, "\"slots\": 4");
  const std::string publication = EncodePublication(state, changed);
  const std::string drain = EncodeDataCentreChange(0, false);
  REQUIRE(state.Apply(Offset(2), drain).outcome == ApplyOutcome::kAccepted);
  REQUIRE(state.Apply(Offset(3), publication).outcome ==
          ApplyOutcome::kAccepted);
  const auto tables = BuildTables(state.rows(), state.version());
  REQUIRE(tables.ok());
  CHECK(tables->drained_data_centres.contains(base::DataCentreId("a")));
  CHECK(tables->upstreams.at(base::UpstreamId("u")).slots == base::Slots(4));
}

TEST_CASE("a reader that missed records continues from a snapshot") {
  ConfigState writer;
  writer.Apply(Offset(1), EncodePublication(writer, kTables));
  const std::string snapshot = EncodeConfigRecord(writer.Snapshot());
  ConfigState reader;
  CHECK(reader.Apply(Offset(2), EncodeDataCentreChange(0, false)).outcome ==
        ApplyOutcome::kGap);
  reader.Apply(Offset(3), snapshot);
  // The snapshot covers offset 1 only, so offset 2 has to be read again.
  REQUIRE(reader.next_offset() == Offset(2));
  CHECK(reader.Apply(Offset(2), EncodeDataCentreChange(0, false)).outcome ==
        ApplyOutcome::kAccepted);
  CHECK(reader.Apply(Offset(3), snapshot).outcome == ApplyOutcome::kSnapshot);
  CHECK(reader.version() == Offset(2));
}

TEST_CASE("a late message from a peer never lowers the version") {
  ConfigState state;
  state.Apply(Offset(1), EncodePublication(state, kTables));
  const Rows old = state.rows();
  state.Apply(Offset(2), EncodeDataCentreChange(0, false));
  CHECK_FALSE(state.MergeRows(old, Offset(1), Offset(2)));
  CHECK(state.version() == Offset(2));
}

}  // namespace
}  // namespace dandelion::config
