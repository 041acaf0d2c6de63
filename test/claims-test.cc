#include <catch2/catch.hpp>

#include "claims/claim_fold.h"

namespace dandelion::claims {
namespace {

using base::Offset;

ClaimStep Step(ClaimStep::Kind kind, std::string attempt) {
  ClaimStep step;
  step.kind = kind;
  step.identity = "id";
  step.attempt = std::move(attempt);
  return step;
}

std::string Claiming(std::string attempt) {
  return EncodeSteps({Step(ClaimStep::Kind::kClaim, std::move(attempt))});
}

TEST_CASE("the first claim in log order wins") {
  ClaimFold fold;
  fold.Apply(Offset(1), Claiming("a"));
  fold.Apply(Offset(2), Claiming("b"));
  CHECK(fold.Find("id")->winner.attempt == "a");
}

TEST_CASE("only the winner's release frees the identity") {
  ClaimFold fold;
  fold.Apply(Offset(1), Claiming("a"));
  fold.Apply(Offset(2), EncodeSteps({Step(ClaimStep::Kind::kRelease, "b")}));
  REQUIRE(fold.Find("id") != nullptr);
  fold.Apply(Offset(3), EncodeSteps({Step(ClaimStep::Kind::kRelease, "a")}));
  CHECK(fold.Find("id") == nullptr);
}

TEST_CASE("an outcome cannot be released or replaced") {
  ClaimFold fold;
  fold.Apply(Offset(1), Claiming("a"));
  ClaimStep outcome = Step(ClaimStep::Kind::kOutcome, "a");
  outcome.outcome = {true, 201, "text/plain", std::string("\0\xff", 2)};
  fold.Apply(Offset(2), EncodeSteps({outcome}));
  fold.Apply(Offset(3), EncodeSteps({Step(ClaimStep::Kind::kRelease, "a")}));
  fold.Apply(Offset(4), Claiming("b"));
  REQUIRE(fold.Find("id")->finished);
  CHECK(fold.Find("id")->outcome.body == std::string("\0\xff", 2));
}

TEST_CASE("identities whose records the log dropped are forgotten") {
  ClaimFold fold;
  fold.Apply(Offset(1), Claiming("a"));
  fold.Expire(Offset(1));
  CHECK(fold.size() == 1);
  fold.Expire(Offset(2));
  CHECK(fold.size() == 0);
}

}  // namespace
}  // namespace dandelion::claims
