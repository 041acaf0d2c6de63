#pragma once

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "test/raw-bytes-support.h"

// Answers that are broken in their status line, a field line, or how their body
// ends (RFC 9112, sections 4 to 6) must not reach a caller, and sound ones that
// look unusual must.

namespace dandelion::test {

inline constexpr char kAnswerRoute[] = "write";
/// More than the sockets buffer, so that an upload is still being written as
/// long as nobody reads it.
inline constexpr size_t kLongUpload = 4'000'000;

/// A plain request that may run once, and one for a stream.
inline const std::vector<fleet::RequestKind> kKinds = {
    fleet::RequestKind::kNonIdempotent, fleet::RequestKind::kGeneration};

/// A route, and an upstream that answers all its requests with fixed bytes.
struct AnswerFixture : ForwardFixture {
  explicit AnswerFixture(fleet::RequestKind kind) {
    AddRoute(kAnswerRoute, kind).timeout = kLongTime;
    Publish();
  }

  /// Returns the caller's answer if the upstream sends `answer`.
  absl::StatusOr<http::Response> Pass(RawAnswer answer,
                                      size_t request_bytes = 8) {
    AddRawUpstream("u-1", kAnswerRoute, std::move(answer));
    http::Request request = CallerRequestFor(kAnswerRoute, "r-1", kLongTime);
    request.body = std::string(request_bytes, 'q');
    return SendRequest(std::move(request));
  }
};

/// Checks that the caller got an error of the daemon's own.
inline void CheckRefused(const absl::StatusOr<http::Response>& response) {
  REQUIRE(response.ok());
  CHECK(response->status == 502);
  CHECK(response->headers.Find("X-Dandeliondyke-Response-Seal").empty());
}

/// Returns the body of an answer: text, or the events of a stream.
inline std::string WholeBody(fleet::RequestKind kind) {
  return kind == fleet::RequestKind::kGeneration ? EventsUpTo(3)
                                                 : "the whole answer";
}

/// Returns a sealed answer whose status line is `status_line`.
inline std::string AnswerWithStatusLine(const std::string& status_line,
                                        const std::string& body) {
  const std::string answer = RawAnswerTo("r-1", body);
  return status_line + answer.substr(answer.find("\r\n"));
}

/// Returns a sealed answer whose body ends with its connection, with another
/// line in its head: before all field lines, or after them.
inline std::string AnswerWithLine(const std::string& line,
                                  bool first,
                                  const std::string& body) {
  std::string head = RawHead("r-1", "");
  head.insert(first ? head.find("\r\n") + 2 : head.size() - 2, line + "\r\n");
  return head + body;
}

}  // namespace dandelion::test
