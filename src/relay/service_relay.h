#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/task.h"
#include "claims/claim_service.h"
#include "http/client.h"
#include "http/connection_group.h"
#include "relay/retry_budget.h"
#include "routing/dispatcher.h"
#include "telemetry/metrics.h"

namespace dandelion::relay {

/// A caller's request to a plain service.
struct ServiceCall {
  routing::PlacementRequest work;
  std::string method;
  /// Path and query.
  std::string target;
  std::string content_type;
  std::string body;
  /// The caller's Idempotency-Key; empty if it sent none.
  std::string key;
};

/// The service's answer, or why there is none, and whether the request ran.
struct ServiceResult {
  absl::StatusOr<http::Response> response;
  base::Ran ran = base::Ran::kNo;
  /// The answer is a stored one, to an earlier request with the same key.
  bool replayed = false;
};

/// Sends requests to plain services. Idempotent requests are retried on other
/// upstreams after a failure. Others run at most once: those with an
/// Idempotency-Key are protected by a claim in the log, and those without one
/// are not retried once a byte may have been sent.
class ServiceRelay {
 public:
  /// Sends of one request, the first included.
  static constexpr int kMaxAttempts = 4;

  /// The connections of all sends are in the group `sends`. Once it is closed,
  /// every call is given its final result.
  ServiceRelay(base::Clock clock,
               routing::Dispatcher& dispatcher,
               http::Client& client,
               http::ConnectionGroup& sends,
               claims::ClaimService& claims,
               telemetry::Metrics& metrics);

  /// Sends the request, with retries, and returns the final result.
  base::Task<ServiceResult> Run(ServiceCall call);

 private:
  /// Runs a request under a claim on its Idempotency-Key.
  base::Task<ServiceResult> RunWithClaim(const ServiceCall& call);
  base::Task<ServiceResult> RunWithRetries(const ServiceCall& call,
                                           const std::string& attempt);
  /// Sends the request to one upstream, whose ID is stored in `used` once one
  /// was chosen.
  base::Task<ServiceResult> AttemptOnce(const ServiceCall& call,
                                        const std::string& attempt,
                                        base::UpstreamId* used);

  base::Clock clock_;
  routing::Dispatcher& dispatcher_;
  http::Client& client_;
  http::ConnectionGroup& sends_;
  claims::ClaimService& claims_;
  telemetry::Metrics& metrics_;
  RetryBudget budget_;
};

}  // namespace dandelion::relay
