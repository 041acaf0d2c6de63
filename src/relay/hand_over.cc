#include "relay/hand_over.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "relay/forwarder.h"
#include "relay/upstream_call.h"
#include "telemetry/events.h"

namespace dandelion::relay {
namespace {

using base::HostId;
using base::Millis;
using base::Task;
using membership::ReachDirectory;
using telemetry::CounterId;
using telemetry::Emit;
using telemetry::Event;

// Upstreams that can't be reached before the request goes to another daemon.
constexpr int kUnsentToLeave = 2;
// Daemons to which one request is handed, as long as none takes it.
constexpr int kMaxPeers = 3;
constexpr Millis kPeerConnectTimeout{200};

http::Response MakeHead(const http::Response& head) {
  http::Response response;
  response.status = head.status;
  response.headers = http::WithoutHopByHopHeaders(head.headers);
  return response;
}

// Passes the body on as it comes.
Task<ForwardResult> PassOn(const ForwardServices& services,
                           ForwardCallPtr call,
                           UpstreamReply& reply) {
  ForwardResult result;
  http::Connection& connection = *reply.connection;
  absl::StatusOr<std::string_view> piece = co_await connection.ReadSome(
      call->OperationTimeout(services.clock.Now()));
  if (!piece.ok()) {
    result.end = call->EndReasonOr(SendOutcome::kBroken);
    result.reason = std::string(piece.status().message());
    co_return result;
  }
  result.end = SendOutcome::kAnswered;
  result.status = reply.head.status;
  call->answer_started = true;
  const bool is_head_request = call->exchange.request().method == "HEAD";
  http::Response head = MakeHead(reply.head);
  if (piece->empty() && !is_head_request) {
    head.headers.Remove("Content-Length");
    (void)co_await call->exchange.Respond(std::move(head));
    co_return result;
  }
  absl::Status written = co_await call->exchange.StartStream(std::move(head));
  while (written.ok() && piece.ok() && !piece->empty()) {
    written = co_await call->exchange.Write(*piece);
    if (written.ok()) {
      piece = co_await connection.ReadSome(
          call->OperationTimeout(services.clock.Now()));
    }
  }
  if (written.ok() && piece.ok()) {
    (void)co_await call->exchange.Finish();
    co_return result;
  }
  result.reason = written.ok()
                      ? "the other daemon broke its answer off"
                      : "the answer could not be written to the caller";
  call->exchange.Abort();
  co_return result;
}

Task<UpstreamReply> CallPeer(const ForwardServices& services,
                             ForwardCallPtr call,
                             const ReachDirectory::Peer& peer) {
  const Millis now = services.clock.Now();
  const Millis left = std::max(Millis(1), call->deadline() - now);
  UpstreamCall send;
  send.address = peer.callers;
  send.request = services.protocol.make_handed_over_request(
      call->exchange.request(), {call->admitted.catalogue->version, left});
  send.body = call->exchange.request().body;
  send.id = call->admitted.caller.id;
  send.connect_timeout = std::min(left, kPeerConnectTimeout);
  send.response_timeout = call->OperationTimeout(now);
  send.on_connection = [call](http::Connection* connection) {
    call->SetConnection(connection);
  };
  UpstreamReply reply =
      co_await CallUpstream(services.protocol, std::move(send));
  if (reply.end == SendOutcome::kBroken) {
    reply.end = call->EndReasonOr(SendOutcome::kBroken);
  }
  co_return reply;
}

// Whether the peer says that it has not sent the request and can't.
bool IsRefused(const UpstreamReply& reply) {
  return reply.end == SendOutcome::kAnswered &&
         reply.answer.refused_hand_over && !reply.answer.has_seal;
}

Task<ForwardResult> HandTo(const ForwardServices& services,
                           ForwardCallPtr call,
                           const ReachDirectory::Peer& peer) {
  ReachDirectory& peers = services.hand_over->peers;
  peers.Begin(peer.id);
  const absl::Cleanup ended = [&] {
    call->SetConnection(nullptr);
    peers.End(peer.id);
  };
  const Millis started = services.clock.Now();
  UpstreamReply reply = co_await CallPeer(services, call, peer);
  if (reply.end == SendOutcome::kNotSent) {
    peers.RecordFailure(peer.id);
  } else if (IsRefused(reply)) {
    reply.connection->Close();
    reply.end = SendOutcome::kNotSent;
    reply.reason = "the other daemon can't reach the pool, either";
  }
  ForwardResult result;
  result.end = reply.end;
  result.reason = reply.reason;
  const int status = reply.has_head ? reply.head.status : 0;
  if (reply.end == SendOutcome::kAnswered) {
    result = co_await PassOn(services, call, reply);
  }
  // Attempts at daemons are none at upstreams.
  call->history.may_have_run |= !DidNotRun(result.end);
  Emit(Event::kHandedOver,
       {{"request", call->admitted.caller.id.value()},
        {"pool", call->pool.value()},
        {"peer", peer.id.value()},
        {"end", std::string(ToString(result.end))},
        {"status", absl::StrCat(status)},
        {"reason", result.reason},
        {"waited_ms", absl::StrCat((started - call->arrived).count())},
        {"took_ms", absl::StrCat((services.clock.Now() - started).count())}});
  services.metrics.Add(result.end == SendOutcome::kAnswered
                           ? CounterId::kHandOvers
                           : CounterId::kHandOversFailed);
  co_return result;
}

}  // namespace

bool MayHandOver(const ForwardServices& services, const ForwardCall& call) {
  return services.hand_over && !call.admitted.caller.handed_over &&
         !call.answer_started && !call.ended() && call.history.sent == 0 &&
         !call.history.may_have_run &&
         services.hand_over->peers.HasPeer(call.pool);
}

bool HandsOverFirst(const ForwardServices& services, const ForwardCall& call) {
  return MayHandOver(services, call) &&
         services.hand_over->reach.IsLost(call.pool) &&
         !services.hand_over->reach.TakeTrial(call.pool, services.clock.Now());
}

bool LeavesToPeer(const ForwardServices& services, const ForwardCall& call) {
  if (!MayHandOver(services, call)) {
    return false;
  }
  return services.hand_over->reach.IsLost(call.pool) ||
         call.history.unsent >= kUnsentToLeave;
}

bool RefusesHandedOver(const ForwardServices& services,
                       const ForwardCall& call) {
  return services.hand_over && call.admitted.caller.handed_over &&
         services.hand_over->reach.IsLost(call.pool) &&
         !services.hand_over->reach.TakeTrial(call.pool, services.clock.Now());
}

Task<ForwardResult> HandOver(const ForwardServices& services,
                             ForwardCallPtr call) {
  ForwardResult result;
  result.reason = "no other daemon takes the request";
  std::set<HostId> excluded;
  for (int tries = 0; tries < kMaxPeers && !call->ended(); ++tries) {
    const std::optional<ReachDirectory::Peer> peer =
        services.hand_over->peers.Choose(call->pool, excluded,
                                         services.hand_over->random);
    if (!peer) {
      break;
    }
    excluded.insert(peer->id);
    result = co_await HandTo(services, call, *peer);
    if (result.end != SendOutcome::kNotSent) {
      break;
    }
  }
  if (result.end == SendOutcome::kNotSent) {
    result.end = call->EndReasonOr(SendOutcome::kNotSent);
  }
  co_return result;
}

void RecordReach(const ForwardServices& services,
                 const ForwardCall& call,
                 const base::UpstreamId& upstream,
                 SendOutcome end,
                 bool has_head) {
  if (!services.hand_over) {
    return;
  }
  routing::UpstreamReach& reach = services.hand_over->reach;
  const Millis now = services.clock.Now();
  if (has_head) {
    reach.RecordAnswer(call.pool, now);
  } else if (end == SendOutcome::kNotSent || end == SendOutcome::kBroken ||
             end == SendOutcome::kTimedOut) {
    reach.RecordFailure(call.pool, upstream,
                        services.placer.CountUpstreams(call.pool), now);
  }
}

}  // namespace dandelion::relay
