#include <catch2/catch.hpp>

#include "config/fold.h"
#include "config/rows.h"

namespace dandelion::config {
namespace {

using base::Offset;

constexpr char kTables[] = R"({
  "routes": [{"name": "r", "match": {"path": "/x"}, "pool": "p"}],
  "pools": [{"name": "p", "kind": "engine", "upstreams": [
    {"id": "u", "address": "127.0.0.1:1", "data_centre": "a", "slots": 2}]}]})";

std::string EncodePublication(const Fold& state, std::string_view tables) {
  return Encode(MakeRecord(state.rows(), tables));
}

std::string EncodeDataCentreChange(int64_t replaces, bool in_service) {
  ConfigRecord record;
  record.changes.push_back(
      {"data_centre/a", Offset(replaces), DataCentreValue(in_service)});
  return Encode(record);
}

TEST_CASE("an undefined pool name is rejected with its location") {
  const auto problems = CheckTables(
      R"({"routes": [{"name": "r", "match": {"path": "/"}, "pool": "q"}],
          "pools": []})");
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].place == "$.routes[0].pool");
}

TEST_CASE("an unknown key is rejected with the most similar known key") {
  const auto problems =
      CheckTables(R"({"routes": [], "pools": [], "rutes": []})");
  REQUIRE(!problems.empty());
  CHECK(problems[0].remedy == "did you mean \"routes\"?");
}

TEST_CASE("the second of two concurrent publications is rejected") {
  Fold state;
  const std::string first = EncodePublication(state, kTables);
  REQUIRE(state.Apply(Offset(1), first).folded == Folded::kAccepted);
  const FoldResult second = state.Apply(Offset(2), first);
  CHECK(second.folded == Folded::kRejected);
  CHECK(base::KindOf(second.reason) == base::ErrorKind::kLostRace);
  CHECK(state.version() == Offset(1));
}

TEST_CASE("a drain and a concurrent publication of other rows both apply") {
  Fold state;
  state.Apply(Offset(1), EncodePublication(state, kTables));
  std::string changed = kTables;
  changed.replace(changed.find("\"slots\": 2"), 10, "\"slots\": 4");
  const std::string publication = EncodePublication(state, changed);
  const std::string drain = EncodeDataCentreChange(0, false);
  REQUIRE(state.Apply(Offset(2), drain).folded == Folded::kAccepted);
  REQUIRE(state.Apply(Offset(3), publication).folded == Folded::kAccepted);
  const auto tables = BuildTables(state.rows(), state.version());
  REQUIRE(tables.ok());
  CHECK(tables->out_of_service.contains(base::DataCentreId("a")));
  CHECK(tables->upstreams.at(base::UpstreamId("u")).slots == base::Slots(4));
}

TEST_CASE("a reader that missed records continues from a snapshot") {
  Fold writer;
  writer.Apply(Offset(1), EncodePublication(writer, kTables));
  const std::string snapshot = Encode(writer.Snapshot());
  Fold reader;
  CHECK(reader.Apply(Offset(2), EncodeDataCentreChange(0, false)).folded ==
        Folded::kGap);
  reader.Apply(Offset(3), snapshot);
  // The snapshot covers offset 1 only, so offset 2 has to be read again.
  REQUIRE(reader.next() == Offset(2));
  CHECK(reader.Apply(Offset(2), EncodeDataCentreChange(0, false)).folded ==
        Folded::kAccepted);
  CHECK(reader.Apply(Offset(3), snapshot).folded == Folded::kSnapshot);
  CHECK(reader.version() == Offset(2));
}

TEST_CASE("a late message from a peer never lowers the version") {
  Fold state;
  state.Apply(Offset(1), EncodePublication(state, kTables));
  const Rows old = state.rows();
  state.Apply(Offset(2), EncodeDataCentreChange(0, false));
  CHECK_FALSE(state.MergeRows(old, Offset(1), Offset(2)));
  CHECK(state.version() == Offset(2));
}

}  // namespace
}  // namespace dandelion::config
