#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>

#include "test/broken-answers-support.h"

namespace dandelion::test {
namespace {

using fleet::RequestKind;

// Answers that come before their upload was read.

TEST_CASE("an early answer that is whole is passed on", "[answers]") {
  const RequestKind kind = GENERATE(from_range(kKinds));
  const std::string body = WholeBody(kind);
  AnswerFixture fixture(kind);
  RawAnswer answer;
  SECTION("it has no length, and its server reads the upload to its end") {
    answer.bytes = RawHead("r-1", kUnframed) + body;
    answer.shut_down = true;
    answer.read_rest = true;
  }
  SECTION("it has no length, and its server then closes the connection") {
    answer.bytes = RawHead("r-1", kUnframed) + body;
    answer.shut_down = true;
    answer.reset = GENERATE(true, false);
  }
  SECTION("it follows interim heads") {
    answer.bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 \r\n\r\n" +
                   RawAnswerTo("r-1", body);
    answer.reset = true;
  }
  SECTION("it has a length, and its server resets or closes the connection") {
    answer.bytes = RawAnswerTo("r-1", body);
    answer.reset = GENERATE(true, false);
  }
  SECTION("it has chunks, and its server resets or closes the connection") {
    const std::string size = kind == RequestKind::kGeneration ? "2d" : "10";
    REQUIRE(body.size() == std::stoul(size, nullptr, 16));
    answer.bytes =
        RawHead("r-1", kChunked) + size + "\r\n" + body + "\r\n0\r\n\r\n";
    answer.reset = GENERATE(true, false);
  }
  const auto response = fixture.Pass(std::move(answer), kLongUpload);
  REQUIRE(response.ok());
  CHECK(response->status == 200);
  CHECK(response->body == body);
}

}  // namespace
}  // namespace dandelion::test
