#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::telemetry {

/// Durations that are recorded as histograms, per organisation and request
/// class.
enum class Timing { kFirstToken, kBetweenTokens, kStall, kCompleteAnswer };

/// Counters without labels.
enum class CounterId {
  kRetries,
  kResumes,
  kGenerationsLost,
  kUpstreamPreemptions,
  kTokens,
  kPeerMessagesSent,
  kPeerMessagesReceived,
  kPeerBytesSent,
  kPeerBytesReceived,
  kLogAppends,
  kLogReads,
  kClaimsWon,
  kOutcomesUnknown,
  kPartsQuarantined,
  kConnectionsAccepted,
  kConnectionsRejected,
  kConnectionsDisplaced,
  kMemoryRefusals,
  kAcceptFailures,
  kPeerSeconds,
  kTakeUps,
  kTakeUpsOfUnknownOrigin,
  kHandOvers,
  kHandOversFailed,
};

/// The daemon's metrics.
class Metrics {
 public:
  /// The first `max_organisations` organisations get a label of their own; all
  /// later ones share the label "other".
  explicit Metrics(size_t max_organisations);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Records a duration in the histogram of `timing`.
  void Observe(Timing timing,
               const base::OrganisationId& organisation,
               std::string_view request_class,
               double seconds);
  void Add(CounterId counter, double amount = 1);
  /// Counts a rejected request under its error kind.
  void AddRejection(std::string_view kind);
  /// Counts a message between daemons. `direction` is "sent" or "received";
  /// `remote` tells that it crosses data centres.
  void AddPeerTraffic(std::string_view direction,
                      std::string_view kind,
                      bool remote,
                      size_t bytes);
  void SetConfigVersion(base::Offset version);
  void SetLeasedSlots(double slots);
  void SetInFlight(double requests);
  void SetQueued(double requests);
  void SetConnections(double connections);
  /// Memory of callers' requests that arrive or are in progress.
  void SetRequestMemory(double bytes);
  /// Time by which the event loop last ran a task late.
  void SetLoopLag(double seconds);
  /// Share of a pool's requests that goes to the version that is rolled out.
  void SetRolloutShare(const base::PoolName& pool, double share);
  /// Requests that an upstream was found to take at once.
  void SetUpstreamLimit(const base::UpstreamId& upstream, double limit);
  /// Requests of a pool that is rolled out, by version and what became of them.
  void SetRolloutRequests(const base::PoolName& pool,
                          std::string_view version,
                          std::string_view outcome,
                          double requests);
  /// The current value of a counter.
  double ValueOf(CounterId counter) const;

  /// All metrics in the Prometheus text format.
  std::string SerializeAsText() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dandelion::telemetry
