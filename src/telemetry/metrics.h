#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::telemetry {

/// The times that are kept as histograms per organisation and class.
enum class Timing { kFirstToken, kBetweenTokens, kStall, kWholeAnswer };

/// Plain counters.
enum class Count {
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
};

/// The daemon's metrics, in the Prometheus text format.
class Metrics {
 public:
  /// Organisations beyond `organisations` are counted as "other".
  explicit Metrics(size_t organisations);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Observe(Timing timing,
               const base::OrganisationId& organisation,
               std::string_view request_class,
               double seconds);
  void Add(Count count, double amount = 1);
  void AddRefusal(std::string_view kind);
  void SetConfigVersion(base::Offset version);
  void SetLeasedSlots(double slots);
  void SetInFlight(double requests);
  void SetQueued(double requests);
  double ValueOf(Count count) const;

  std::string Text() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dandelion::telemetry
