#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <variant>

#include "admission/part_quarantine.h"
#include "admission/stop_deadline.h"
#include "base/clock.h"
#include "base/task.h"
#include "http/server.h"
#include "migration/migrator.h"
#include "relay/forward_call.h"
#include "relay/hand_over.h"
#include "relay/placer.h"
#include "relay/platform_protocol.h"
#include "relay/request_admission.h"
#include "relay/stream_origins.h"
#include "relay/upstream_call.h"
#include "rollout/rollouts.h"
#include "routing/upstream_health.h"
#include "telemetry/metrics.h"

namespace dandelion::relay {

/// Dependencies of a forwarder. All referenced objects must outlive it.
struct ForwardServices {
  base::Executor executor;
  base::Clock clock;
  const PlatformProtocol& protocol;
  Placer& placer;
  migration::Migrator& migrator;
  EngineControl& engines;
  routing::UpstreamHealth& health;
  routing::SelfReports& self_reports;
  PoolRetryBudget& retry_budget;
  telemetry::Metrics& metrics;
  const admission::StopDeadline& stop;
  admission::PartQuarantine& quarantine;
  rollout::Rollouts& rollouts;
  StreamOrigins& origins;
  /// Number of daemons that share the fleet's limits.
  std::function<size_t()> daemons;
  /// Returns the current state by which requests are admitted.
  std::function<AdmissionState()> admission_state;
  /// Returns the only version that can have begun any stream of the pool from
  /// `since` to `until`; nothing if there were several or it is not known. May
  /// be empty.
  std::function<std::optional<base::SoftwareVersion>(const base::PoolName&,
                                                     base::Millis since,
                                                     base::Millis until)>
      only_version = {};
  /// Returns as of when the list of upstreams was last verified to be complete.
  /// Set if `only_version` is.
  std::function<base::Millis()> upstreams_verified_at = {};
  /// Null if requests are not handed over to other daemons.
  const HandOverServices* hand_over = nullptr;
};

/// Forwards requests of any method, path and body to an upstream of their
/// route's pool, and the answers to the callers.
class Forwarder {
 public:
  explicit Forwarder(ForwardServices services);

  /// Admits and forwards one request. Returns when the caller has its final
  /// answer or the exchange was aborted.
  base::Task<void> Handle(http::Exchange& exchange);
  /// Ends the wait of each request that may no longer be sent, because the
  /// daemon stops or a part of its prompt is quarantined.
  void RejectUnsendable();
  /// Gives each request whose answer has not begun its final answer, because
  /// the daemon ends soon.
  void EndUnanswered();
  /// Logs each request that is in progress, because the daemon ends without
  /// finishing it.
  void LogUnfinished() const;

 private:
  /// Admits a request unless a part of its prompt is quarantined.
  std::variant<AdmittedRequest, Rejection> Admit(
      const http::Request& request,
      const absl::StatusOr<CallerRequest>& parsed,
      const AdmissionState& state);
  /// Answers a request that was rejected or failed.
  base::Task<void> Reject(http::Exchange& exchange, Rejection rejection);
  base::Task<void> Forward(ForwardCallPtr call);
  /// Sends the request to the pool's upstreams or hands it over to another
  /// daemon that reaches them.
  base::Task<ForwardResult> SendOrHandOver(ForwardCallPtr call,
                                           const fleet::Pool& pool);
  base::Task<ForwardResult> SendToPool(ForwardCallPtr call,
                                       const fleet::Pool& pool);
  /// Ends a request that got no answer from an upstream.
  base::Task<void> RespondWithFailure(ForwardCallPtr call, ForwardResult end);

  ForwardServices services_;
  /// The calls in progress.
  std::set<ForwardCall*> calls_;
};

}  // namespace dandelion::relay
