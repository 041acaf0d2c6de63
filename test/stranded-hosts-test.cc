#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

#include "membership/reach_directory.h"
#include "relay/hand_over.h"
#include "routing/upstream_reach.h"
#include "test/forward-support.h"

namespace dandelion::test {
namespace {

using base::DataCentreId;
using base::HostId;
using base::Millis;
using base::PoolName;
using fleet::RequestKind;
using membership::ReachDirectory;

constexpr char kMark[] = "X-Dandeliondyke-Handed-Over";
constexpr int kUpstreams = 3;

proto::FleetBeat StatementOf(const std::string& daemon,
                             unsigned short port,
                             const std::string& lost_pool = "") {
  proto::FleetBeat heartbeat;
  proto::DaemonReach* reach = heartbeat.add_reaches();
  reach->set_daemon(daemon);
  reach->set_callers("127.0.0.1:" + std::to_string(port));
  reach->set_data_centre("dc-a");
  reach->set_takes_callers(true);
  if (!lost_pool.empty()) {
    reach->add_lost_pools(lost_pool);
  }
  return heartbeat;
}

// Two daemons, of which the first reaches no upstream.
struct StrandedHost {
  explicit StrandedHost(RequestKind kind)
      : host("service", kind, kUpstreams), peer("service", kind, kUpstreams) {
    for (int i = 0; i < kUpstreams; ++i) {
      host.AddRawUpstream("up-" + std::to_string(i), "service", "").Close();
    }
    host.EnableHandOver();
    peer.EnableHandOver();
    host.reach_directory->Apply(StatementOf("front-2", peer.port()));
    peer.reach_directory->Apply(StatementOf("front-3", host.port()));
  }

  // Sends a request to the first daemon while both run.
  std::optional<http::Response> Send(http::Request request) {
    std::optional<absl::StatusOr<http::Response>> response;
    host.StartRequest(std::move(request),
                      [&response](absl::StatusOr<http::Response> got) {
                        response = std::move(got);
                      });
    host.RunUntil([&] {
      peer.RunUntilIdle();
      return response.has_value();
    });
    if (!response || !response->ok()) {
      return std::nullopt;
    }
    return **response;
  }

  ForwardFixture host;
  ForwardFixture peer;
};

TEST_CASE("callers of a host that reaches no upstream are served",
          "[stranded]") {
  StrandedHost hosts(RequestKind::kNonIdempotent);
  FakeUpstream& upstream =
      hosts.peer.AddUpstream("up-0", "service", RespondWithAnswer);
  constexpr int kRequests = 4;
  for (int i = 0; i < kRequests; ++i) {
    const auto response =
        hosts.Send(CallerRequestFor("service", "r-" + std::to_string(i)));
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->headers.Has("X-Dandeliondyke-Response-Seal"));
  }
  CHECK(upstream.seen().size() == kRequests);
  for (const http::Request& request : upstream.seen()) {
    CHECK_FALSE(request.headers.Has(kMark));
  }
}

TEST_CASE("a stream of a host that reaches no upstream is passed on",
          "[stranded]") {
  StrandedHost hosts(RequestKind::kGeneration);
  hosts.peer.AddUpstream("up-0", "service", StreamUpTo(5, true));
  const auto response = hosts.Send(CallerRequestFor("service", "r-1"));
  REQUIRE(response);
  CHECK(response->status == 200);
  CHECK(response->body == EventsUpTo(5));
}

TEST_CASE("a request that was handed over is not handed on", "[stranded]") {
  StrandedHost hosts(RequestKind::kIdempotent);
  for (int i = 0; i < kUpstreams; ++i) {
    hosts.peer.AddRawUpstream("up-" + std::to_string(i), "service", "").Close();
  }
  const auto response = hosts.Send(CallerRequestFor("service", "r-1"));
  REQUIRE(response);
  CHECK(response->status == 503);
  // Both have found out, so that neither hands anything over any more.
  CHECK(hosts.peer.reach->IsLost(PoolName("service")));
}

TEST_CASE("a request is not run again after a peer that took it broke off",
          "[stranded]") {
  StrandedHost hosts(RequestKind::kNonIdempotent);
  FakeUpstream& upstream = hosts.peer.AddUpstream(
      "up-0", "service", [](http::Exchange& exchange) -> base::Task<void> {
        exchange.Abort();
        co_return;
      });
  const auto response = hosts.Send(CallerRequestFor("service", "r-1"));
  REQUIRE(response);
  CHECK(response->status == 502);
  CHECK(upstream.seen().size() == 1);
}

TEST_CASE("a peer with an older configuration refuses what is handed over",
          "[stranded]") {
  StrandedHost hosts(RequestKind::kIdempotent);
  FakeUpstream& upstream =
      hosts.peer.AddUpstream("up-0", "service", RespondWithAnswer);
  hosts.host.Publish();
  const auto response = hosts.Send(CallerRequestFor("service", "r-1"));
  REQUIRE(response);
  CHECK(response->status == 503);
  CHECK_FALSE(response->headers.Has(kMark));
  CHECK(upstream.seen().empty());
}

TEST_CASE("a host that reaches its upstreams again serves by itself",
          "[stranded]") {
  StrandedHost hosts(RequestKind::kIdempotent);
  FakeUpstream& remote =
      hosts.peer.AddUpstream("up-0", "service", RespondWithAnswer);
  for (int i = 0; i < 2; ++i) {
    hosts.Send(CallerRequestFor("service", "r-" + std::to_string(i)));
  }
  REQUIRE(hosts.host.reach->IsLost(PoolName("service")));
  REQUIRE(remote.seen().size() == 2);
  for (int i = 0; i < kUpstreams; ++i) {
    hosts.host.AddUpstream("up-" + std::to_string(i), "service",
                           RespondWithAnswer);
  }
  hosts.host.AdvanceClock(routing::UpstreamReach::kTrialInterval);
  const auto response = hosts.Send(CallerRequestFor("service", "r-2"));
  REQUIRE(response);
  CHECK(response->status == 200);
  CHECK(remote.seen().size() == 2);
  CHECK_FALSE(hosts.host.reach->IsLost(PoolName("service")));
}

TEST_CASE("without a peer that reaches the pool nothing is handed over",
          "[stranded]") {
  StrandedHost hosts(RequestKind::kIdempotent);
  FakeUpstream& upstream =
      hosts.peer.AddUpstream("up-0", "service", RespondWithAnswer);
  hosts.host.AdvanceClock(Millis(1));
  hosts.host.reach_directory->Apply(
      StatementOf("front-2", hosts.peer.port(), "service"));
  const auto response = hosts.Send(CallerRequestFor("service", "r-1"));
  REQUIRE(response);
  CHECK(response->status == 503);
  CHECK(upstream.seen().empty());
}

TEST_CASE("failures at one upstream do not lose a pool of several",
          "[stranded]") {
  int lost = 0;
  std::set<base::UpstreamId> excused;
  routing::UpstreamReach reach(
      {[&](const PoolName&, size_t) { ++lost; },
       [&](const PoolName&, Millis, const std::set<base::UpstreamId>& failed) {
         excused = failed;
       }});
  const PoolName pool("service");
  const auto fail = [&](const std::string& id, int64_t at) {
    reach.RecordFailure(pool, base::UpstreamId(id), 5, Millis(at));
  };
  for (int64_t at = 0; at < 10; ++at) {
    fail("up-1", at);
  }
  fail("up-2", 10);
  CHECK_FALSE(reach.IsLost(pool));
  reach.RecordAnswer(pool, Millis(11));
  fail("up-3", 12);
  CHECK_FALSE(reach.IsLost(pool));
  fail("up-1", 13);
  // Too long after the others.
  fail("up-2", 13 + routing::UpstreamReach::kFailureLifetime.count() + 1);
  CHECK_FALSE(reach.IsLost(pool));
  fail("up-1", 6000);
  fail("up-3", 6001);
  CHECK(reach.IsLost(pool));
  CHECK(lost == 1);
  CHECK_FALSE(reach.TakeTrial(pool, Millis(6002)));
  CHECK(reach.TakeTrial(pool, Millis(6500)));
  CHECK_FALSE(reach.TakeTrial(pool, Millis(6501)));
  reach.RecordAnswer(pool, Millis(6600));
  CHECK_FALSE(reach.IsLost(pool));
  CHECK(excused.size() == 3);
}

}  // namespace
}  // namespace dandelion::test
