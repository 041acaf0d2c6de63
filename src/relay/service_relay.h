#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/task.h"
#include "claims/claim_service.h"
#include "http/client.h"
#include "relay/retry_budget.h"
#include "routing/dispatcher.h"
#include "telemetry/metrics.h"

namespace dandelion::relay {

/// A caller's request to a plain service.
struct ServiceCall {
  routing::WorkRequest work;
  std::string method;
  std::string target;
  std::string content_type;
  std::string body;
  /// The caller's Idempotency-Key; empty if it sent none.
  std::string key;
};

/// The service's answer, or why there is none and whether it ran.
struct ServiceResult {
  absl::StatusOr<http::Response> response;
  base::Ran ran = base::Ran::kNo;
  /// The answer was given before, to an earlier request with the same key.
  bool replayed = false;
};

/// Sends requests to plain services. Idempotent ones are repeated elsewhere
/// after a failure. Others are sent at most once: with a key under a claim in
/// the log, without one never again once a byte may have left.
class ServiceRelay {
 public:
  static constexpr int kMostAttempts = 4;

  ServiceRelay(base::Clock clock,
               routing::Dispatcher& dispatcher,
               http::Client& client,
               claims::ClaimService& claims,
               telemetry::Metrics& metrics);

  base::Task<ServiceResult> Run(ServiceCall call);

 private:
  base::Task<ServiceResult> RunKeyed(const ServiceCall& call);
  base::Task<ServiceResult> Attempts(const ServiceCall& call,
                                     const std::string& attempt);
  base::Task<ServiceResult> AttemptOnce(const ServiceCall& call,
                                        const std::string& attempt,
                                        base::UpstreamId* used);

  base::Clock clock_;
  routing::Dispatcher& dispatcher_;
  http::Client& client_;
  claims::ClaimService& claims_;
  telemetry::Metrics& metrics_;
  RetryBudget budget_;
};

}  // namespace dandelion::relay
