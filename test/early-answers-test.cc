#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>

#include "test/broken-answers-support.h"

namespace dandelion::test {
namespace {

using fleet::RequestKind;

// Answers that come before their upload was read.

TEST_CASE("an early answer that is reset does not look complete", "[answers]") {
  const RequestKind kind = GENERATE(from_range(kKinds));
  AnswerFixture fixture(kind);
  const std::string part = kind == RequestKind::kGeneration
                               ? EventsUpTo(GENERATE(1, 3))
                               : std::string(GENERATE(6, 300'000), 'a');
  RawAnswer answer{RawHead("r-1", GENERATE(as<std::string>(), "", kUnframed)) +
                   part};
  // A server that ends with unread bytes of the upload resets the connection
  // as well.
  answer.reset = GENERATE(true, false);
  const auto response = fixture.Pass(std::move(answer), kLongUpload);
  // Only an answer that was not begun can be replaced by a failure.
  CHECK((!response.ok() || response->status == 502));
  CHECK(fixture.health.FailureRate(base::UpstreamId("u-1")) > 0);
}

TEST_CASE(
    "an early answer that is reset after its head was read does not look "
    "complete",
    "[answers]") {
  const RequestKind kind = GENERATE(from_range(kKinds));
  AnswerFixture fixture(kind);
  RawAnswer answer{RawHead("r-1", kUnframed) + WholeBody(kind)};
  answer.held = true;
  answer.reset = true;
  RawUpstream& upstream =
      fixture.AddRawUpstream("u-1", kAnswerRoute, std::move(answer));
  http::Request request = CallerRequestFor(kAnswerRoute, "r-1", kLongTime);
  request.body = std::string(kLongUpload, 'q');
  std::optional<absl::StatusOr<http::Response>> response;
  fixture.StartRequest(std::move(request),
                       [&response](absl::StatusOr<http::Response> received) {
                         response = std::move(received);
                       });
  REQUIRE(fixture.RunUntil([&] { return upstream.connections() == 1; }));
  fixture.RunUntilIdle();
  CHECK_FALSE(response);
  upstream.EndHeld();
  REQUIRE(fixture.RunUntil([&response] { return response.has_value(); }));
  CHECK((!response->ok() || (*response)->status == 502));
}

TEST_CASE("an early answer that is reset is repeated where that is allowed",
          "[answers]") {
  ForwardFixture fixture;
  PublishRetryableRoute(fixture, RequestKind::kIdempotent);
  RawAnswer answer{RawHead("r-1", kUnframed) + "par"};
  answer.reset = true;
  fixture.AddRawUpstream("u-1", "draft", std::move(answer));
  fixture.AddUpstream("u-2", "draft", RespondWithAnswer);
  // Makes the first upstream the first choice.
  const routing::LoadReservation busy(fixture.loads, base::UpstreamId("u-2"),
                                      {1, 5000, 0, 0});
  http::Request request = CallerRequestFor("draft", "r-1", kLongTime);
  request.body = std::string(kLongUpload, 'q');
  const auto response = fixture.SendRequest(std::move(request));
  REQUIRE(response.ok());
  CHECK(response->status == 200);
  CHECK(response->body != "par");
}

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
