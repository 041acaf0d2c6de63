#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "test/forward-support.h"

namespace dandelion::test {
namespace {

using base::Task;
using fleet::RequestKind;

constexpr int kOk = 200;

/// Answers with a header that tells something of the upstream.
http::Handler AnswerWith(std::string name, std::string value) {
  return [name, value](http::Exchange& exchange) -> Task<void> {
    http::Response response = SealedResponse(exchange.request(), "answer");
    response.headers.Add(name, value);
    (void)co_await exchange.Respond(std::move(response));
  };
}

Task<void> Answer(http::Exchange& exchange) {
  http::Response response = SealedResponse(exchange.request(), "answer");
  (void)co_await exchange.Respond(std::move(response));
}

/// An upstream "u-1" whose answers tell something of it, and no other yet.
struct ReportFixture : ForwardFixture {
  explicit ReportFixture(http::Handler handler)
      : ForwardFixture("read", RequestKind::kIdempotent, 2),
        upstream(AddUpstream("u-1", "read", std::move(handler))) {}

  http::Response Send() {
    return SendRequestOrThrow(
        CallerRequestFor("read", "r-" + std::to_string(++requests)));
  }

  FakeUpstream& upstream;
  int requests = 0;
};

TEST_CASE("an upstream gets more requests than the limit that it names",
          "[reports]") {
  ReportFixture fixture(AnswerWith("Server-Limit", "1.0"));
  CHECK(fixture.Send().status == kOk);
  FakeUpstream& other = fixture.AddUpstream("u-2", "read", Answer);
  constexpr size_t kRequests = 30;
  for (size_t i = 1; i < kRequests; ++i) {
    CHECK(fixture.Send().status == kOk);
  }
  // All of them come within four seconds, in which it takes four.
  CHECK(fixture.upstream.seen().size() <= 4);
  CHECK(fixture.upstream.seen().size() + other.seen().size() == kRequests);
}

TEST_CASE("a limit that can't be read is taken for one", "[reports]") {
  const std::string value = GENERATE("fast", "nan", "-1", "inf", "", "1e999");
  ReportFixture fixture(AnswerWith("Server-Limit", value));
  for (int i = 0; i < 10; ++i) {
    CHECK(fixture.Send().status == kOk);
  }
}

}  // namespace
}  // namespace dandelion::test
