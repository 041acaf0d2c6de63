#include <catch2/catch.hpp>

#include "test/forward-support.h"

namespace dandelion::test {
namespace {

using base::Task;
using fleet::RequestKind;

Task<void> AnswerWhole(http::Exchange& exchange) {
  http::Response response = Sealed(exchange.request(), "answer");
  (void)co_await exchange.Respond(std::move(response));
}

TEST_CASE("a plain request is passed on whole", "[forward]") {
  ForwardRig rig;
  rig.AddRoute("read", RequestKind::kIdempotent);
  rig.Publish();
  FakeUpstream& upstream = rig.AddUpstream("u-1", "read", AnswerWhole);
  http::Request request = CallerRequestFor("read", "r-1");
  request.headers.Add("Kv-From", "127.0.0.1:1/stolen");
  request.headers.Add("X-Dandeliondyke-Tenant", "somebody");
  const auto response = rig.Ask(request);
  REQUIRE(response.ok());
  CHECK(response->status == 200);
  CHECK(response->body == "answer");
  CHECK(response->headers.Find("X-Dandeliondyke-Response-Seal") == "seal");
  REQUIRE(upstream.seen().size() == 1);
  const http::Request& seen = upstream.seen()[0];
  CHECK(seen.method == "POST");
  CHECK(seen.target == "/read/1");
  CHECK(seen.body == "question");
  CHECK(seen.headers.Find("Host") == "front.example");
  CHECK(seen.headers.Find("X-Dandeliondyke-Expect-Instance") == "u-1");
  CHECK_FALSE(seen.headers.Has("Kv-From"));
  CHECK_FALSE(seen.headers.Has("X-Dandeliondyke-Tenant"));
}

}  // namespace
}  // namespace dandelion::test
