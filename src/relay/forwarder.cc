#include "relay/forwarder.h"

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "relay/send_once.h"
#include "relay/stream_forward.h"
#include "relay/take_up.h"
#include "telemetry/events.h"

namespace dandelion::relay {
namespace {

using base::Millis;
using base::Task;
using telemetry::Emit;
using telemetry::Event;
using telemetry::Timing;

// Rejected callers are told to retry at random times that are spread over at
// least this interval.
constexpr Millis kRetrySpread{800};
// Shortest time after which a rejected caller is told to retry.
constexpr Millis kMinRetryAfter{300};
constexpr int kUnavailable = 503;

// Returns when a rejected caller should retry: once capacity is predicted, plus
// a random delay.
Millis RetryAfter(std::optional<Millis> capacity_in) {
  static std::minstd_rand random{std::random_device()()};
  const Millis soonest =
      std::max(kMinRetryAfter, capacity_in.value_or(Millis(0)));
  const Millis spread = std::max(kRetrySpread, capacity_in.value_or(Millis(0)));
  std::uniform_int_distribution<int64_t> delay(0, spread.count());
  return soonest + Millis(delay(random));
}

// Returns when the caller of a request that was not sent should retry.
Millis RetryAfter(const ForwardResult& end) {
  switch (end.end) {
    case SendOutcome::kStopping:
      return kRetryAtOtherDaemon;
    case SendOutcome::kQuarantined:
      return kRetryQuarantined;
    default:
      return RetryAfter(end.capacity_in);
  }
}

}  // namespace

Forwarder::Forwarder(ForwardServices services)
    : services_(std::move(services)) {}

Task<void> Forwarder::Handle(http::Exchange& exchange) {
  const Millis arrived = services_.clock.Now();
  const absl::StatusOr<CallerRequest> parsed =
      services_.protocol.parse_caller_request(exchange.request());
  const AdmissionState state = services_.admission_state();
  std::variant<AdmittedRequest, Rejection> admission =
      Admit(exchange.request(), parsed, state);
  if (const Rejection* rejection = std::get_if<Rejection>(&admission)) {
    Emit(Event::kForwardRefused,
         {{"request", parsed.ok() ? parsed->id.value() : ""},
          {"status", absl::StrCat(rejection->status)},
          {"reason", rejection->reason},
          {"config",
           absl::StrCat(state.catalogue ? state.catalogue->version : 0)},
          {"config_age_ms", absl::StrCat(state.catalogue_age.count())}});
    co_await Reject(exchange, *rejection);
    co_return;
  }
  const auto call = std::make_shared<ForwardCall>(
      services_.executor, exchange,
      std::get<AdmittedRequest>(std::move(admission)), arrived);
  if (state.stops_in) {
    Emit(Event::kForwardTakenWhileStopping,
         {{"request", call->admitted.caller.id.value()},
          {"route", call->admitted.route.name.value()},
          {"stops_in_ms", absl::StrCat(state.stops_in->count())},
          {"longest_ms", absl::StrCat(call->admitted.longest.count())},
          {"limit_ms", absl::StrCat(call->admitted.time_left.count())},
          {"output_limit",
           absl::StrCat(call->admitted.caller.max_output_tokens)},
          {"output_expected",
           absl::StrCat(
               call->admitted.caller.expected_output_tokens.value_or(0))}});
  }
  calls_.insert(call.get());
  const absl::Cleanup remove_call = [this, &call] { calls_.erase(call.get()); };
  call->Watch(arrived);
  co_await Forward(call);
  call->Finish();
}

std::variant<AdmittedRequest, Rejection> Forwarder::Admit(
    const http::Request& request,
    const absl::StatusOr<CallerRequest>& parsed,
    const AdmissionState& state) {
  std::variant<AdmittedRequest, Rejection> admission =
      AdmitRequest(request, parsed, state);
  const bool handed_over = parsed.ok() && parsed->handed_over;
  if (auto* rejection = std::get_if<Rejection>(&admission)) {
    rejection->refuses_hand_over =
        handed_over && rejection->status == kUnavailable;
    return admission;
  }
  auto* admitted = std::get_if<AdmittedRequest>(&admission);
  // An older configuration must not decide on what a newer one has admitted.
  if (handed_over && state.catalogue->version < *parsed->handed_over) {
    return Rejection{kUnavailable, "the configuration here is older",
                     kRetryAtOtherDaemon, true};
  }
  const Millis now = services_.clock.Now();
  const std::vector<base::PartId>& parts = admitted->caller.shared_parts;
  const std::optional<base::PartId> part =
      services_.quarantine.FindQuarantined(parts, now);
  if (!part) {
    return admission;
  }
  admitted->tests_quarantine = services_.quarantine.TryTrial(parts, now);
  if (!admitted->tests_quarantine) {
    return Rejection{kUnavailable,
                     absl::StrCat(absl::string_view(kQuarantineReason.data(),
                                                    kQuarantineReason.size()),
                                  ": ", part->value()),
                     kRetryQuarantined};
  }
  return admission;
}

void Forwarder::RejectUnsendable() {
  const Millis now = services_.clock.Now();
  for (ForwardCall* call : calls_) {
    const bool may_send = services_.stop.Allows(call->admitted.longest, now) &&
                          !IsQuarantined(services_, *call);
    if (!call->answer_started && !may_send) {
      call->EndWait();
    }
  }
}

void Forwarder::EndUnanswered() {
  for (ForwardCall* call : calls_) {
    if (!call->answer_started) {
      call->EndForStop();
    }
  }
}

void Forwarder::LogUnfinished() const {
  const Millis now = services_.clock.Now();
  for (const ForwardCall* call : calls_) {
    Emit(Event::kRequestCut,
         {{"request", call->admitted.caller.id.value()},
          {"route", call->admitted.route.name.value()},
          {"age_ms", absl::StrCat((now - call->arrived).count())},
          {"sent", absl::StrCat(call->history.sent)},
          {"answering", call->answer_started ? "1" : "0"}});
  }
}

Task<void> Forwarder::Forward(ForwardCallPtr call) {
  const fleet::Pool* pool = SelectPool(*call);
  const bool takes_up =
      call->admitted.route.kind == fleet::RequestKind::kGeneration &&
      call->admitted.caller.takes_up;
  if (takes_up) {
    pool = co_await SelectPoolOfOrigin(services_, call);
  }
  if (takes_up && (!pool || call->ended())) {
    ForwardResult unknown;
    unknown.end = call->EndReasonOr(SendOutcome::kOriginUnknown);
    unknown.reason =
        "it is not known which version began the stream, or its pool is gone";
    co_await RespondWithFailure(call, std::move(unknown));
    co_return;
  }
  if (!pool) {
    ForwardResult no_pool;
    no_pool.end = SendOutcome::kNotSent;
    no_pool.reason = "the route has no defined pool";
    co_await RespondWithFailure(call, std::move(no_pool));
    co_return;
  }
  call->pool = pool->name;
  ForwardResult result = co_await SendOrHandOver(call, *pool);
  if (result.end != SendOutcome::kAnswered) {
    co_await RespondWithFailure(call, std::move(result));
    co_return;
  }
  const Millis took = services_.clock.Now() - call->arrived;
  services_.metrics.Observe(Timing::kCompleteAnswer,
                            call->admitted.organisation,
                            call->admitted.route.name.value(), took.seconds());
  Emit(Event::kForwardDone,
       {{"request", call->admitted.caller.id.value()},
        {"route", call->admitted.route.name.value()},
        {"config", absl::StrCat(call->admitted.catalogue->version)},
        {"config_age_ms", absl::StrCat(call->admitted.catalogue_age.count())},
        {"status", absl::StrCat(result.status)},
        {"reason", result.reason},
        {"sent", absl::StrCat(call->history.sent)},
        {"took_ms", absl::StrCat(took.count())}});
}

Task<ForwardResult> Forwarder::SendOrHandOver(ForwardCallPtr call,
                                              const fleet::Pool& pool) {
  ForwardResult result;
  if (RefusesHandedOver(services_, *call)) {
    result.reason = "this daemon can't reach the pool, either";
    co_return result;
  }
  const bool first = HandsOverFirst(services_, *call);
  if (first) {
    result = co_await HandOver(services_, call);
  }
  if (!first || result.end == SendOutcome::kNotSent) {
    result = co_await SendToPool(call, pool);
  }
  const bool unreached = !first && result.end == SendOutcome::kNotSent &&
                         call->history.unsent > 0 &&
                         MayHandOver(services_, *call);
  if (unreached) {
    result = co_await HandOver(services_, call);
  }
  co_return result;
}

Task<ForwardResult> Forwarder::SendToPool(ForwardCallPtr call,
                                          const fleet::Pool& pool) {
  services_.retry_budget.RecordRequest(pool.name, call->arrived);
  const bool stream =
      call->admitted.route.kind == fleet::RequestKind::kGeneration &&
      pool.engine;
  ForwardResult result;
  if (stream) {
    result = co_await ForwardStream(services_, call, pool);
  } else {
    result = co_await ForwardPlain(services_, call, pool);
  }
  co_return result;
}

Task<void> Forwarder::RespondWithFailure(ForwardCallPtr call,
                                         ForwardResult end) {
  const Millis took = services_.clock.Now() - call->arrived;
  Rejection rejection;
  rejection.status = FinalStatus(call->history, end.end);
  rejection.reason = std::move(end.reason);
  if (rejection.status == kUnavailable) {
    rejection.retry_after = RetryAfter(end);
    rejection.refuses_hand_over =
        call->admitted.caller.handed_over &&
        (call->history.unsent > 0 || RefusesHandedOver(services_, *call));
  }
  Emit(Event::kRequestFailed,
       {{"request", call->admitted.caller.id.value()},
        {"route", call->admitted.route.name.value()},
        {"end", std::string(ToString(end.end))},
        {"status", absl::StrCat(rejection.status)},
        {"reason", rejection.reason},
        {"sent", absl::StrCat(call->history.sent)},
        {"room_in_ms",
         end.capacity_in ? absl::StrCat(end.capacity_in->count()) : ""},
        {"took_ms", absl::StrCat(took.count())}});
  if (call->caller_gone()) {
    call->exchange.Abort();
    co_return;
  }
  call->answer_started = true;
  co_await Reject(call->exchange, std::move(rejection));
}

Task<void> Forwarder::Reject(http::Exchange& exchange, Rejection rejection) {
  services_.metrics.AddRejection(absl::StrCat(rejection.status));
  http::Response answer = services_.protocol.make_rejection(
      rejection.status, rejection.reason, rejection.retry_after);
  if (rejection.refuses_hand_over) {
    services_.protocol.mark_refused_hand_over(&answer);
  }
  (void)co_await exchange.Respond(std::move(answer));
}

}  // namespace dandelion::relay
