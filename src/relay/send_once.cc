#include "relay/send_once.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "relay/take_up.h"
#include "telemetry/events.h"

namespace dandelion::relay {
namespace {

using base::Millis;
using base::Task;
using routing::AttemptOutcome;
using telemetry::Emit;
using telemetry::Event;

constexpr Millis kServiceConnectTimeout{150};
constexpr Millis kEngineConnectTimeout{250};
constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;

void RecordHealth(const ForwardServices& services,
                  const migration::Place& place,
                  SendOutcome end,
                  Millis now) {
  switch (end) {
    case SendOutcome::kAnswered:
      services.health.RecordAttempt(place.upstream, AttemptOutcome::kSuccess,
                                    now);
      break;
    case SendOutcome::kNotSent:
    case SendOutcome::kBroken:
      services.health.RecordAttempt(place.upstream, AttemptOutcome::kFailure,
                                    now);
      break;
    case SendOutcome::kTimedOut:
      services.health.RecordAttempt(place.upstream,
                                    AttemptOutcome::kUnresponsive, now);
      break;
    case SendOutcome::kOtherUpstream:
    case SendOutcome::kNotRun:
    case SendOutcome::kCallerGone:
    case SendOutcome::kStopping:
    case SendOutcome::kQuarantined:
    case SendOutcome::kOriginUnknown:
    case SendOutcome::kVersionGone:
      break;
  }
}

// Counts the attempt for its pool's roll-out, if there is one.
void RecordForRollout(const ForwardServices& services,
                      const ForwardCall& call,
                      const migration::Place& place,
                      const UpstreamReply& reply,
                      Millis took) {
  const base::RouteName& route = call.admitted.route.name;
  const bool has_head = reply.head.status != 0;
  switch (reply.end) {
    case SendOutcome::kAnswered:
      if (reply.head.status >= kFirstServerError) {
        services.rollouts.RecordFailure(place.upstream, route);
      } else {
        services.rollouts.RecordAnswer(place.upstream, route, took);
      }
      break;
    case SendOutcome::kTimedOut:
      services.rollouts.RecordFailure(place.upstream, route);
      break;
    case SendOutcome::kBroken:
      if (has_head) {
        services.rollouts.RecordFailure(place.upstream, route);
      } else {
        services.rollouts.RecordBreak(place.upstream);
      }
      break;
    default:
      break;
  }
}

// Records what the upstream said of itself, if the answer is its own, or that
// another upstream has its address.
void RecordSelfReport(const ForwardServices& services,
                      const migration::Place& place,
                      const UpstreamReply& reply,
                      Millis now) {
  if (reply.end == SendOutcome::kAnswered ||
      reply.end == SendOutcome::kNotRun) {
    services.self_reports.RecordAnswer(place.upstream, reply.answer.self, now);
    if (reply.end == SendOutcome::kNotRun &&
        reply.head.status == kUnavailable) {
      services.self_reports.RecordRejection(place.upstream, now);
    }
  } else if (reply.end == SendOutcome::kOtherUpstream) {
    services.self_reports.RecordEnded(place.upstream);
  }
}

}  // namespace

Task<UpstreamReply> SendOnce(const ForwardServices& services,
                             ForwardCallPtr call,
                             const migration::Place& place,
                             std::optional<KvCacheCopy> copy,
                             std::optional<int64_t> after_event) {
  const Millis started = services.clock.Now();
  const Millis left = std::max(Millis(1), call->deadline() - started);
  UpstreamRequestOptions options;
  options.upstream = place.upstream;
  options.organisation = call->admitted.organisation;
  options.deadline_left = left;
  options.copy = std::move(copy);
  options.after_event = after_event;
  options.is_urgent = call->is_urgent;
  const bool engine =
      call->admitted.route.kind == fleet::RequestKind::kGeneration;
  UpstreamCall send;
  send.address = place.address;
  send.upstream = place.upstream;
  send.requires_version = call->admitted.caller.requires_version;
  send.request = services.protocol.make_upstream_request(
      call->exchange.request(), options);
  send.body = call->exchange.request().body;
  send.id = call->admitted.caller.id;
  send.connect_timeout =
      std::min(left, engine ? kEngineConnectTimeout : kServiceConnectTimeout);
  send.response_timeout = call->OperationTimeout(started);
  send.on_connection = [call](http::Connection* connection) {
    call->SetConnection(connection);
  };
  NoteOrigin(services, *call, place);
  services.rollouts.RecordSend(place.upstream, call->admitted.route.name);
  UpstreamReply reply =
      co_await CallUpstream(services.protocol, std::move(send));
  if (reply.end == SendOutcome::kBroken) {
    reply.end = call->EndReasonOr(SendOutcome::kBroken);
  }
  if (reply.end != SendOutcome::kAnswered) {
    call->SetConnection(nullptr);
  }
  call->history.RecordSend(reply.end);
  const Millis now = services.clock.Now();
  RecordHealth(services, place, reply.end, now);
  RecordReach(services, *call, place.upstream, reply.end, reply.has_head);
  RecordSelfReport(services, place, reply, now);
  RecordForRollout(services, *call, place, reply, now - started);
  if (reply.end == SendOutcome::kAnswered && !engine) {
    services.placer.RecordAnswerTime(place, now - started);
  }
  Emit(Event::kForwardPlaced,
       {{"request", call->admitted.caller.id.value()},
        {"upstream", place.upstream.value()},
        {"version", place.version.value()},
        {"end", std::string(ToString(reply.end))},
        {"status", absl::StrCat(reply.head.status)},
        {"reason", reply.reason},
        {"shared_parts", JoinPartIds(call->admitted.caller.shared_parts)},
        {"prefill_tokens", absl::StrCat(place.prefill_tokens)},
        {"token_ms", absl::StrCat(place.token_ms)},
        {"running", absl::StrCat(place.load_before.running)},
        {"load_tokens", absl::StrCat(place.load_before.tokens)},
        {"waited_ms", absl::StrCat((started - call->arrived).count())},
        {"took_ms", absl::StrCat((now - started).count())}});
  co_return reply;
}

std::string JoinPartIds(const std::vector<base::PartId>& parts) {
  return absl::StrJoin(parts, ",",
                       [](std::string* out, const base::PartId& part) {
                         absl::StrAppend(out, part.value());
                       });
}

const fleet::Pool* SelectPool(const ForwardCall& call) {
  // Derived from the request ID, so that every daemon selects the same pool.
  constexpr double kResolution = 1e6;
  const size_t hash = std::hash<std::string>()(call.admitted.caller.id.value());
  const double position =
      static_cast<double>(hash % static_cast<size_t>(kResolution)) /
      kResolution;
  return fleet::ChoosePool(*call.admitted.catalogue, call.admitted.route,
                           position);
}

double DrawVersion(const ForwardCall& call) {
  // Independent of the point by which the pool is selected.
  constexpr uint64_t kSeed = 1;
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  const std::string& id = call.admitted.caller.id.value();
  return static_cast<double>(
             XXH3_64bits_withSeed(id.data(), id.size(), kSeed)) /
         kRange;
}

bool MaySend(const ForwardServices& services, const ForwardCall& call) {
  return call.answer_started ||
         services.stop.Allows(call.admitted.longest, services.clock.Now());
}

bool IsQuarantined(const ForwardServices& services, const ForwardCall& call) {
  return !call.admitted.tests_quarantine &&
         services.quarantine
             .FindQuarantined(call.admitted.caller.shared_parts,
                              services.clock.Now())
             .has_value();
}

Task<WaitResult> WaitForSend(const ForwardServices& services,
                             ForwardCallPtr call,
                             PlaceRequest request) {
  WaitResult wait;
  if (MaySend(services, *call)) {
    wait = co_await WaitForPlace(services.placer, services.clock, request,
                                 call->wake);
  }
  wait.version_gone =
      !wait.place && request.begun_at && !services.placer.HasUsable(request);
  // The daemon may have begun to stop during the wait.
  if (!MaySend(services, *call)) {
    wait.place.reset();
    wait.stopping = true;
  }
  if (IsQuarantined(services, *call)) {
    wait.place.reset();
    wait.quarantined = true;
  }
  co_return std::move(wait);
}

SendOutcome UnsentOutcome(const WaitResult& wait) {
  if (wait.stopping) {
    return SendOutcome::kStopping;
  }
  if (wait.quarantined) {
    return SendOutcome::kQuarantined;
  }
  return wait.version_gone ? SendOutcome::kVersionGone : SendOutcome::kNotSent;
}

std::string UnsentReason(const WaitResult& wait) {
  if (wait.stopping) {
    return std::string(kStoppingReason);
  }
  if (wait.quarantined) {
    return std::string(kQuarantineReason);
  }
  return wait.version_gone
             ? "no upstream of the version that began the stream serves"
             : "no upstream has enough free capacity";
}

void RecordBrokenAnswer(const ForwardServices& services,
                        const ForwardCall& call,
                        const base::UpstreamId& upstream) {
  const SendOutcome end = call.EndReasonOr(SendOutcome::kBroken);
  if (end != SendOutcome::kCallerGone && end != SendOutcome::kStopping) {
    services.rollouts.RecordBreak(upstream);
    services.health.RecordAttempt(upstream, AttemptOutcome::kFailure,
                                  services.clock.Now());
  }
}

bool TryRetry(const ForwardServices& services,
              const ForwardCall& call,
              const fleet::Pool& pool,
              SendOutcome end) {
  if (call.ended() || !MaySend(services, call) ||
      IsQuarantined(services, call) ||
      !MayRetry(call.admitted.route, call.history)) {
    return false;
  }
  if (end == SendOutcome::kNotSent && LeavesToPeer(services, call)) {
    return false;
  }
  // A send without a connection caused no load, so its retry is free.
  const bool retry = end == SendOutcome::kNotSent ||
                     services.retry_budget.TrySpend(
                         pool.name, services.clock.Now(), services.daemons());
  Emit(Event::kForwardRetried, {{"request", call.admitted.caller.id.value()},
                                {"pool", pool.name.value()},
                                {"end", std::string(ToString(end))},
                                {"sent", absl::StrCat(call.history.sent)},
                                {"again", retry ? "1" : "0"}});
  return retry;
}

std::optional<migration::Place> PlaceRetry(const ForwardServices& services,
                                           const ForwardCall& call,
                                           const PlaceRequest& request,
                                           SendOutcome end) {
  if (services.placer.FindCandidates(request).empty() ||
      !TryRetry(services, call, request.pool, end)) {
    return std::nullopt;
  }
  return services.placer.TryPlace(request);
}

}  // namespace dandelion::relay
