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

std::string Publication(const Fold& fold, std::string_view tables) {
  return Encode(MakeRecord(fold.rows(), tables));
}

std::string DataCentreChange(int64_t replaces, bool in_service) {
  ConfigRecord record;
  record.changes.push_back(
      {"data_centre/a", Offset(replaces), DataCentreValue(in_service)});
  return Encode(record);
}

TEST_CASE("a dangling pool name is refused with its place") {
  const auto problems = CheckTables(
      R"({"routes": [{"name": "r", "match": {"path": "/"}, "pool": "q"}],
          "pools": []})");
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].place == "$.routes[0].pool");
}

TEST_CASE("an unknown key is refused with the nearest known one") {
  const auto problems =
      CheckTables(R"({"routes": [], "pools": [], "rutes": []})");
  REQUIRE(!problems.empty());
  CHECK(problems[0].remedy == "did you mean \"routes\"?");
}

TEST_CASE("of two racing operators one wins and the other is told") {
  Fold fold;
  const std::string first = Publication(fold, kTables);
  REQUIRE(fold.Apply(Offset(1), first).folded == Folded::kAccepted);
  const FoldResult second = fold.Apply(Offset(2), first);
  CHECK(second.folded == Folded::kRejected);
  CHECK(base::KindOf(second.reason) == base::ErrorKind::kLostRace);
  CHECK(fold.version() == Offset(1));
}

TEST_CASE("a drain does not lose to a publication of other rows") {
  Fold fold;
  fold.Apply(Offset(1), Publication(fold, kTables));
  std::string changed = kTables;
  changed.replace(changed.find("\"slots\": 2"), 10, "\"slots\": 4");
  const std::string publication = Publication(fold, changed);
  const std::string drain = DataCentreChange(0, false);
  REQUIRE(fold.Apply(Offset(2), drain).folded == Folded::kAccepted);
  REQUIRE(fold.Apply(Offset(3), publication).folded == Folded::kAccepted);
  const auto tables = JoinRows(fold.rows(), fold.version());
  REQUIRE(tables.ok());
  CHECK(tables->out_of_service.contains(base::DataCentreId("a")));
  CHECK(tables->upstreams.at(base::UpstreamId("u")).slots == base::Slots(4));
}

TEST_CASE("a reader that missed records starts from a snapshot") {
  Fold writer;
  writer.Apply(Offset(1), Publication(writer, kTables));
  const std::string snapshot = Encode(writer.Snapshot());
  Fold reader;
  CHECK(reader.Apply(Offset(2), DataCentreChange(0, false)).folded ==
        Folded::kGap);
  reader.Apply(Offset(3), snapshot);
  // The record between the snapshot's state and the snapshot is read again.
  REQUIRE(reader.next() == Offset(2));
  CHECK(reader.Apply(Offset(2), DataCentreChange(0, false)).folded ==
        Folded::kAccepted);
  CHECK(reader.Apply(Offset(3), snapshot).folded == Folded::kSnapshot);
  CHECK(reader.version() == Offset(2));
}

TEST_CASE("a late peer message never lowers the version") {
  Fold fold;
  fold.Apply(Offset(1), Publication(fold, kTables));
  const Rows old = fold.rows();
  fold.Apply(Offset(2), DataCentreChange(0, false));
  CHECK_FALSE(fold.Adopt(old, Offset(1), Offset(2)));
  CHECK(fold.version() == Offset(2));
}

}  // namespace
}  // namespace dandelion::config
