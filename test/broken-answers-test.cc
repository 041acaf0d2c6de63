#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "test/broken-answers-support.h"

namespace dandelion::test {
namespace {

using fleet::RequestKind;

// Status lines.

const std::vector<std::string> kInvalidStatusCodes = {"000", "001", "099",
                                                      "600", "999"};

TEST_CASE("an answer with an invalid status code is not passed on",
          "[answers]") {
  const RequestKind kind = GENERATE(from_range(kKinds));
  const std::string status = GENERATE(from_range(kInvalidStatusCodes));
  CAPTURE(status);
  AnswerFixture fixture(kind);
  CheckRefused(fixture.Pass(
      {AnswerWithStatusLine("HTTP/1.1 " + status + " OK", WholeBody(kind))}));
  CHECK(fixture.health.FailureRate(base::UpstreamId("u-1")) > 0);
}

TEST_CASE("an answer with a malformed status line is not passed on",
          "[answers]") {
  const RequestKind kind = GENERATE(from_range(kKinds));
  const std::string line =
      GENERATE(as<std::string>(), "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
               "HTTP/1.1 200OK", "HTTP/1.1 -20 OK", "HTTP/1.1 0x2 OK",
               "HTTP/1.1 2 0 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
               "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\nK", "HTTP/1.1 200 O\rK",
               "HTTP/1.1 200 O\x7fK", "HTTP/2.0 200 OK", "HTTP/11 200 OK",
               "http/1.1 200 OK", "HTTP/1.1", "", " HTTP/1.1 200 OK", "200 OK");
  CAPTURE(line);
  AnswerFixture fixture(kind);
  CheckRefused(fixture.Pass({AnswerWithStatusLine(line, WholeBody(kind))}));
}

TEST_CASE("an answer with an unusual status is passed on", "[answers]") {
  const std::string status =
      GENERATE(as<std::string>(), "218", "299", "418", "499", "529", "599");
  CAPTURE(status);
  AnswerFixture fixture(RequestKind::kNonIdempotent);
  const auto response = fixture.Pass(
      {AnswerWithStatusLine("HTTP/1.1 " + status + " \xc3\xa4", "whole")});
  REQUIRE(response.ok());
  CHECK(response->status == std::stoi(status));
  CHECK(response->body == "whole");
}

TEST_CASE("an answer after interim heads is passed on", "[answers]") {
  const RequestKind kind = GENERATE(from_range(kKinds));
  AnswerFixture fixture(kind);
  const auto response =
      fixture.Pass({"HTTP/1.1 100 Continue\r\n\r\n"
                    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                    "HTTP/1.1 199 \r\nX: 1\r\n\r\n" +
                    RawAnswerTo("r-1", WholeBody(kind))});
  REQUIRE(response.ok());
  CHECK(response->status == 200);
  CHECK(response->body == WholeBody(kind));
  CHECK_FALSE(response->headers.Has("Link"));
}

TEST_CASE("a head with an invalid status code is not skipped as an interim one",
          "[answers]") {
  AnswerFixture fixture(RequestKind::kNonIdempotent);
  CheckRefused(
      fixture.Pass({"HTTP/1.1 000 \r\n\r\n" + RawAnswerTo("r-1", "whole")}));
}

// Field lines.

/// Lines whose field name is no token (RFC 9110, section 5.6.2).
const std::vector<std::string> kInvalidFieldLines = {
    "X Bad: 1",
    "X-Bad : 1",
    "X-Bad\t: 1",
    "X\tBad: 1",
    "X\x01"
    "Bad: 1",
    std::string("X\0Bad: 1", 8),
    "X\x1f"
    "Bad: 1",
    "X\x7f"
    "Bad: 1",
    "X\x80"
    "Bad: 1",
    "X\rBad: 1",
    "X\nBad: 1",
    "X(Bad): 1",
    ": 1",
    "X-Bad",
    "Content-Length : 3",
    "Content-Length\t: 3",
    "Content Length: 3",
    "\x0b"
    "Content-Length: 3"};

TEST_CASE("an answer with a malformed field name is not passed on",
          "[answers]") {
  const RequestKind kind = GENERATE(from_range(kKinds));
  const bool first = GENERATE(true, false);
  const std::string line = GENERATE(from_range(kInvalidFieldLines));
  CAPTURE(line, first);
  AnswerFixture fixture(kind);
  CheckRefused(fixture.Pass({AnswerWithLine(line, first, WholeBody(kind))}));
}

TEST_CASE("an answer with a field name after a blank is not passed on",
          "[answers]") {
  const RequestKind kind = GENERATE(from_range(kKinds));
  const bool first = GENERATE(true, false);
  const std::string line = GENERATE(
      as<std::string>(), " X-Bad: 1", "\tX-Bad: 1", "  Content-Length: 3",
      " Transfer-Encoding: chunked", " ", "X-Good:\r\n 1");
  CAPTURE(line, first);
  AnswerFixture fixture(kind);
  CheckRefused(fixture.Pass({AnswerWithLine(line, first, WholeBody(kind))}));
}

TEST_CASE("an answer with a control byte in a value is not passed on",
          "[answers]") {
  const bool first = GENERATE(true, false);
  const std::string value =
      GENERATE(as<std::string>(), "a\x01z", std::string("a\0z", 3), "a\rz",
               "a\nz", "a\x7fz", "a\nContent-Length: 3");
  CAPTURE(value, first);
  AnswerFixture fixture(RequestKind::kNonIdempotent);
  CheckRefused(fixture.Pass({AnswerWithLine("X-Bad: " + value, first, "ab")}));
}

TEST_CASE("an answer with unusual field lines is passed on", "[answers]") {
  const bool first = GENERATE(true, false);
  const std::string name =
      GENERATE(as<std::string>(), "x", "1", "!#$%&'*+-.^_`|~", "X_Under.Score",
               "Content-Length-2");
  const std::string value =
      GENERATE(as<std::string>(), "", "a\tb", "a: b", "\xc3\xa4", "\"q\\\"\"");
  CAPTURE(name, value, first);
  AnswerFixture fixture(RequestKind::kNonIdempotent);
  const auto response =
      fixture.Pass({AnswerWithLine(name + ":" + value + " \t", first, "ab")});
  REQUIRE(response.ok());
  CHECK(response->status == 200);
  CHECK(response->body == "ab");
  CHECK(response->headers.Find(name) == value);
}

// How a body ends.

TEST_CASE("an answer in a transfer coding that is not undone is not passed on",
          "[answers]") {
  const RequestKind kind = GENERATE(from_range(kKinds));
  const std::string framing = GENERATE(
      as<std::string>(), "Transfer-Encoding: gzip\r\n",
      "Transfer-Encoding: identity\r\n", "Transfer-Encoding: \r\n",
      "Transfer-Encoding: chunked, gzip\r\n",
      "Transfer-Encoding: chunked, chunked\r\n",
      "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: \"chunked\"\r\n",
      "Transfer-Encoding: gzip\r\nContent-Length: 3\r\n",
      "Content-Length: 3\r\nTransfer-Encoding: gzip\r\n");
  CAPTURE(framing);
  AnswerFixture fixture(kind);
  CheckRefused(fixture.Pass({RawHead("r-1", framing) + WholeBody(kind)}));
}

TEST_CASE("a chunked answer in another transfer coding is not passed on",
          "[answers]") {
  const RequestKind kind = GENERATE(from_range(kKinds));
  const std::string framing =
      GENERATE(as<std::string>(), "Transfer-Encoding: gzip, chunked\r\n",
               "Transfer-Encoding: chunked;q=1\r\n",
               "Transfer-Encoding: gzip;q=\"a\", chunked\r\n",
               "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
               "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
               "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
               "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
               "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n");
  CAPTURE(framing);
  AnswerFixture fixture(kind);
  CheckRefused(fixture.Pass(
      {RawHead("r-1", framing) + "f\r\n" + EventText(1) + "\r\n0\r\n\r\n"}));
}

TEST_CASE("an HTTP/1.0 answer in chunks is not passed on", "[answers]") {
  AnswerFixture fixture(RequestKind::kNonIdempotent);
  std::string answer = RawHead("r-1", kChunked) + "3\r\nabc\r\n0\r\n\r\n";
  answer.replace(answer.find("1.1"), 3, "1.0");
  CheckRefused(fixture.Pass({answer}));
}

TEST_CASE("an answer with a malformed length is not passed on", "[answers]") {
  const std::string length =
      GENERATE(as<std::string>(), "", "-3", "+3", "3.0", "0x3", "3 3", "3;3",
               "3, 4", "3,", ",", "a", "99999999999999999999",
               "18446744073709551616", "3\r\nContent-Length: 4");
  CAPTURE(length);
  AnswerFixture fixture(RequestKind::kNonIdempotent);
  CheckRefused(fixture.Pass(
      {RawHead("r-1", "Content-Length: " + length + "\r\n") + "abc"}));
}

TEST_CASE("an answer whose length stands twice has it once for its caller",
          "[answers]") {
  // Shorter and longer than what is buffered before an answer is passed on.
  const size_t size = GENERATE(3, 300'000);
  const std::string digits = std::to_string(size);
  const std::string length =
      GENERATE_COPY(digits + ", " + digits, "0" + digits,
                    digits + "\r\nContent-Length: " + digits);
  AnswerFixture fixture(RequestKind::kNonIdempotent);
  const std::string body(size, 'a');
  const auto response = fixture.Pass(
      {RawHead("r-1", "Content-Length: " + length + "\r\n") + body});
  REQUIRE(response.ok());
  CHECK(response->status == 200);
  CHECK(response->body == body);
  CHECK(response->headers.Count("Content-Length") == 1);
  CHECK(response->headers.Find("Content-Length") == digits);
}

TEST_CASE("an answer with malformed chunks does not look complete",
          "[answers]") {
  const std::string body = GENERATE(
      as<std::string>(), "3\r\nabc0\r\n\r\n", "3\nabc\r\n0\r\n\r\n",
      "4\r\nabc\r\n0\r\n\r\n", "2\r\nabc\r\n0\r\n\r\n",
      "-3\r\nabc\r\n0\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n",
      " 3\r\nabc\r\n0\r\n\r\n", "\r\n\r\n",
      "10000000000000003\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n", "3\r\nabc\r\n0",
      "3\r\nabc\r\n0\r\n", "3\r\nabc\r\n0\r\nX Bad: 1\r\n\r\n");
  CAPTURE(body);
  AnswerFixture fixture(RequestKind::kNonIdempotent);
  CheckRefused(fixture.Pass({RawHead("r-1", kChunked) + body}));
}

TEST_CASE("a chunked answer with extensions and a trailer is passed on",
          "[answers]") {
  const std::string coding = GENERATE(as<std::string>(), "chunked", "Chunked",
                                      " chunked ", "chunked,");
  CAPTURE(coding);
  AnswerFixture fixture(RequestKind::kNonIdempotent);
  const auto response =
      fixture.Pass({RawHead("r-1", "Transfer-Encoding: " + coding + "\r\n") +
                    "3;a=\"b\"\r\nabc\r\n000\r\nX-Trailer: 1\r\n\r\n"});
  REQUIRE(response.ok());
  CHECK(response->status == 200);
  CHECK(response->body == "abc");
}

}  // namespace
}  // namespace dandelion::test
