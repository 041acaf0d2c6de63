#include <catch2/catch.hpp>

#include <string>

#include "test/support.h"

namespace dandelion::test {
namespace {

TEST_CASE("a caller's deeply nested prompt ends the daemon", "[outside]") {
  constexpr size_t kDepth = 200'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  Fleet fleet;
  fleet.PublishTablesAndWait();
  for (const std::string field : {"prompt", "messages", "other"}) {
    CAPTURE(field);
    Call call = MakeCompletion("n", 5, false);
    call.body = "{\"" + field + "\":" + deep + "}";
    const Answer answer = fleet.SendAndWait("host-1", call);
    CHECK(answer.status == 400);
    CHECK(answer.error_kind == "invalid_request");
  }
  const Answer sound =
      fleet.SendAndWait("host-1", MakeCompletion("n", 5, false));
  CHECK(sound.status == 200);
}

TEST_CASE("a caller that waits for ever is answered as one that does not wait",
          "[outside]") {
  Fleet fleet;
  fleet.PublishTablesAndWait();
  Call call = MakeCompletion("n", 5, false);
  call.timeout_ms = "9223372036854775807";
  CHECK(fleet.SendAndWait("host-1", call).status == 200);
}

}  // namespace
}  // namespace dandelion::test
