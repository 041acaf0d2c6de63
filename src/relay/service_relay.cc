#include "relay/service_relay.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "http/server.h"
#include "telemetry/events.h"

namespace dandelion::relay {

using admission::SlotHolder;
using base::ErrorKind;
using base::MakeError;
using base::Millis;
using base::Ran;
using base::Task;
using claims::ClaimResult;
using telemetry::CounterId;
using telemetry::Emit;
using telemetry::Event;

namespace {

constexpr int kServerError = 500;

// Returns whether the service states that it rejected the request without
// running it. A status alone does not prove this, because a proxy may send it
// after the service has run the request.
constexpr int kUnavailable = 503;

// Whether the service states that it did not run the request `id`. On a
// connection that has carried other requests, an answer that names none may be
// a late one to an earlier request.
bool IsMarkedNotRun(const http::Response& response,
                    const base::RequestId& id,
                    bool reused_connection) {
  if (response.headers.Find("X-Ran") != "no") {
    return false;
  }
  return !reused_connection ||
         response.headers.Find("X-Request-Id") == id.value();
}

// Returns a hash by which a reuse of the key for another request is detected.
std::string Fingerprint(const ServiceCall& call) {
  const std::string text =
      absl::StrCat(call.method, " ", call.target, "\n", call.body);
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return absl::StrCat(absl::Hex(hash.high64), absl::Hex(hash.low64));
}

ServiceResult NotRunResult(ErrorKind kind,
                           std::string_view what,
                           std::string_view remedy) {
  return ServiceResult{MakeError(kind, what, remedy), Ran::kNo, false};
}

}  // namespace

ServiceRelay::ServiceRelay(base::Clock clock,
                           routing::Dispatcher& dispatcher,
                           http::Client& client,
                           http::ConnectionGroup& sends,
                           claims::ClaimService& claims,
                           telemetry::Metrics& metrics)
    : clock_(std::move(clock)),
      dispatcher_(dispatcher),
      client_(client),
      sends_(sends),
      claims_(claims),
      metrics_(metrics) {}

Task<ServiceResult> ServiceRelay::Run(ServiceCall call) {
  budget_.OnRequest(call.work.organisation, call.work.route.pool);
  const bool is_read = call.method == "GET" || call.method == "HEAD";
  const bool idempotent = call.work.route.idempotent || is_read;
  ServiceResult result;
  if (!idempotent && !call.key.empty()) {
    result = co_await RunWithClaim(call);
  } else {
    result = co_await RunWithRetries(call, "");
  }
  if (result.ran == Ran::kUnknown) {
    metrics_.Add(CounterId::kOutcomesUnknown);
  }
  co_return result;
}

Task<ServiceResult> ServiceRelay::RunWithClaim(const ServiceCall& call) {
  const std::string identity =
      claims::RequestIdentity{call.work.organisation, call.work.route.name,
                              call.key}
          .ToKey();
  ClaimResult claim =
      co_await claims_.Acquire(identity, Fingerprint(call), call.work.deadline);
  switch (claim.kind) {
    case ClaimResult::Kind::kWon:
      break;
    case ClaimResult::Kind::kDone: {
      http::Response response;
      response.status = claim.outcome.status;
      response.headers.Add("Content-Type", claim.outcome.content_type);
      response.body = std::move(claim.outcome.body);
      co_return ServiceResult{std::move(response), Ran::kYes, true};
    }
    case ClaimResult::Kind::kUnknown:
      co_return ServiceResult{
          MakeError(ErrorKind::kOutcomeUnknown,
                    "an earlier request with this key may have run",
                    "read the state back before using a new key"),
          Ran::kUnknown, false};
    case ClaimResult::Kind::kInProgress:
      co_return ServiceResult{
          MakeError(ErrorKind::kInProgress,
                    "an earlier request with this key is still running",
                    "retry with the same key"),
          Ran::kUnknown, false};
    case ClaimResult::Kind::kKeyReused:
      co_return NotRunResult(ErrorKind::kInvalidRequest,
                             "the key was used for a different request",
                             "use a new Idempotency-Key for a new request");
    case ClaimResult::Kind::kUnavailable:
      co_return NotRunResult(
          ErrorKind::kClaimUnavailable,
          "the platform's log can't store a claim now",
          "retry with the same key once the platform is back");
  }
  metrics_.Add(CounterId::kClaimsWon);
  ServiceResult result = co_await RunWithRetries(call, claim.attempt);
  if (result.ran == Ran::kNo) {
    claims_.Release(identity, claim.attempt);
    co_return result;
  }
  claims::Outcome outcome;
  if (result.response.ok()) {
    outcome.known = true;
    outcome.status = result.response->status;
    outcome.content_type =
        std::string(result.response->headers.Find("Content-Type"));
    outcome.body = result.response->body;
  }
  claims_.RecordOutcome(identity, claim.attempt, std::move(outcome));
  co_return result;
}

// Sends the request to one upstream after another until one answers, the limits
// on retries are reached, or a retry could run the request twice.
Task<ServiceResult> ServiceRelay::RunWithRetries(const ServiceCall& call,
                                                 const std::string& attempt) {
  ServiceCall current = call;
  const bool may_run_twice =
      attempt.empty() && (call.work.route.idempotent || call.method == "GET");
  Ran ran_before = Ran::kNo;
  for (int tries = 1;; ++tries) {
    base::UpstreamId used;
    ServiceResult result = co_await AttemptOnce(current, attempt, &used);
    const bool failed =
        !result.response.ok() || result.response->status >= kServerError;
    const bool may_retry = may_run_twice || result.ran == Ran::kNo;
    if (result.ran == Ran::kNo && !attempt.empty()) {
      claims_.RevertSend(attempt);
    }
    if (!failed || !may_retry || used.empty() || tries >= kMaxAttempts ||
        clock_.Now() >= call.work.deadline ||
        !budget_.TrySpend(call.work.organisation, call.work.route.pool)) {
      if (result.ran == Ran::kNo) {
        result.ran = ran_before;
      }
      co_return result;
    }
    if (result.ran != Ran::kNo) {
      ran_before = result.ran;
    }
    metrics_.Add(CounterId::kRetries);
    const std::string reason =
        result.response.ok() ? absl::StrCat(result.response->status)
                             : std::string(result.response.status().message());
    Emit(Event::kRequestRetried,
         {{"request", call.work.id.value()},
          {"organisation", call.work.organisation.value()},
          {"upstream", used.value()},
          {"reason", reason}});
    dispatcher_.explanations().AddLine(
        call.work.id,
        absl::StrCat("retried after ", used.value(), " failed: ", reason));
    current.work.excluded = {used};
  }
}

Task<ServiceResult> ServiceRelay::AttemptOnce(const ServiceCall& call,
                                              const std::string& attempt,
                                              base::UpstreamId* used) {
  absl::StatusOr<std::unique_ptr<routing::SlotPlacement>> placement =
      co_await dispatcher_.Place(call.work);
  if (!placement.ok() && !call.work.excluded.empty()) {
    routing::PlacementRequest without_exclusion = call.work;
    without_exclusion.excluded.clear();
    placement = co_await dispatcher_.Place(without_exclusion);
  }
  if (!placement.ok()) {
    co_return ServiceResult{placement.status(), Ran::kNo, false};
  }
  *used = (*placement)->upstream().id;
  http::Request request;
  request.method = call.method;
  request.target = call.target;
  request.headers.Add("X-Request-Id", call.work.id.value());
  request.headers.Add("X-Organisation", call.work.organisation.value());
  if (!call.content_type.empty()) {
    request.headers.Add("Content-Type", call.content_type);
  }
  if (!call.key.empty()) {
    request.headers.Add("Idempotency-Key", call.key);
  }
  request.body = call.body;
  boost::asio::ip::tcp::endpoint endpoint;
  http::ParseEndpoint((*placement)->upstream().address, &endpoint);
  http::FetchLimits limits;
  limits.response_timeout =
      std::max(Millis(1), call.work.deadline - clock_.Now());
  limits.group = &sends_;
  limits.total_timeout = limits.response_timeout;
  limits.new_connection = !call.work.route.idempotent;
  if (!attempt.empty() && !claims_.BeginSend(attempt)) {
    co_return NotRunResult(ErrorKind::kClaimUnavailable,
                           "the claim is too old to send the request under it",
                           "retry with the same key");
  }
  const Millis started = clock_.Now();
  http::FetchResult fetched =
      co_await client_.Fetch(endpoint, std::move(request), limits);
  ServiceResult result{std::move(fetched.response), Ran::kYes, false};
  if (!result.response.ok()) {
    result.ran = fetched.may_have_been_sent ? Ran::kUnknown : Ran::kNo;
    if (sends_.closed()) {
      result.response = MakeError(
          ErrorKind::kDraining, "the daemon stopped before the answer arrived",
          "see whether the request ran, and send it to another daemon");
      co_return result;
    }
    (*placement)->SetOutcome(SlotHolder::RequestOutcome::kFailure);
    co_return result;
  }
  const std::string_view echoed = result.response->headers.Find("X-Request-Id");
  if (!echoed.empty() && echoed != call.work.id.value()) {
    result.response = MakeError(
        ErrorKind::kBadAnswer, "the answer belongs to another request",
        "check the proxies between the daemon and the service");
    result.ran = Ran::kUnknown;
    (*placement)->SetOutcome(SlotHolder::RequestOutcome::kFailure);
    co_return result;
  }
  const std::optional<Millis> pause =
      http::FindRetryAfter(result.response->headers);
  if (pause && result.response->status == kUnavailable) {
    dispatcher_.RecordPause(*used, *pause);
  }
  if (IsMarkedNotRun(*result.response, call.work.id,
                     fetched.reused_connection)) {
    result.ran = Ran::kNo;
    (*placement)->SetOutcome(SlotHolder::RequestOutcome::kNeutral);
    co_return result;
  }
  const bool server_error = result.response->status >= kServerError;
  (*placement)
      ->SetOutcome(server_error ? SlotHolder::RequestOutcome::kFailure
                                : SlotHolder::RequestOutcome::kSuccess);
  if (server_error && !call.work.route.idempotent) {
    result.ran = Ran::kUnknown;
  }
  metrics_.Observe(telemetry::Timing::kCompleteAnswer, call.work.organisation,
                   call.work.route.request_class,
                   (clock_.Now() - started).seconds());
  co_return result;
}

}  // namespace dandelion::relay
