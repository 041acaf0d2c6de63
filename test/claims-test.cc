#include <catch2/catch.hpp>

#include "claims/claim_table.h"

namespace dandelion::claims {
namespace {

using base::Offset;

ClaimStep MakeStep(ClaimStep::Kind kind, std::string attempt) {
  ClaimStep step;
  step.kind = kind;
  step.identity = "id";
  step.attempt = std::move(attempt);
  return step;
}

std::string EncodeClaim(std::string attempt) {
  return EncodeSteps({MakeStep(ClaimStep::Kind::kClaim, std::move(attempt))});
}

TEST_CASE("the first claim in log order wins") {
  ClaimTable table;
  table.Apply(Offset(1), EncodeClaim("a"));
  table.Apply(Offset(2), EncodeClaim("b"));
  CHECK(table.Find("id")->winner.attempt == "a");
}

TEST_CASE("only the winning attempt can release a claim") {
  ClaimTable table;
  table.Apply(Offset(1), EncodeClaim("a"));
  table.Apply(Offset(2),
              EncodeSteps({MakeStep(ClaimStep::Kind::kRelease, "b")}));
  REQUIRE(table.Find("id") != nullptr);
  table.Apply(Offset(3),
              EncodeSteps({MakeStep(ClaimStep::Kind::kRelease, "a")}));
  CHECK(table.Find("id") == nullptr);
}

TEST_CASE("an outcome cannot be released or replaced") {
  ClaimTable table;
  table.Apply(Offset(1), EncodeClaim("a"));
  ClaimStep outcome = MakeStep(ClaimStep::Kind::kOutcome, "a");
  outcome.outcome = {true, 201, "text/plain", std::string("\0\xff", 2)};
  table.Apply(Offset(2), EncodeSteps({outcome}));
  table.Apply(Offset(3),
              EncodeSteps({MakeStep(ClaimStep::Kind::kRelease, "a")}));
  table.Apply(Offset(4), EncodeClaim("b"));
  REQUIRE(table.Find("id")->finished);
  CHECK(table.Find("id")->outcome.body == std::string("\0\xff", 2));
}

TEST_CASE("identities whose records the log dropped are removed") {
  ClaimTable table;
  table.Apply(Offset(1), EncodeClaim("a"));
  table.RemoveOlderThan(Offset(1));
  CHECK(table.size() == 1);
  table.RemoveOlderThan(Offset(2));
  CHECK(table.size() == 0);
}

}  // namespace
}  // namespace dandelion::claims
