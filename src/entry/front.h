#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/task.h"
#include "config/tables.h"
#include "http/server.h"
#include "kernel/settings.h"
#include "relay/generation_relay.h"
#include "relay/resume_token.h"
#include "relay/service_relay.h"
#include "routing/dispatcher.h"
#include "telemetry/metrics.h"

namespace dandelion::entry {

/// The callers' dialect: finds the route of a request, hands it to a relay
/// and writes the answer.
class Front {
 public:
  struct Hooks {
    /// The tables in force; null before the first.
    std::function<std::shared_ptr<const config::Tables>()> tables;
  };

  Front(base::Clock clock,
        const kernel::Tuning& tuning,
        const relay::ResumeTokens& tokens,
        relay::GenerationRelay& generations,
        relay::ServiceRelay& services,
        routing::Dispatcher& dispatcher,
        telemetry::Metrics& metrics,
        Hooks hooks);

  /// Answers one request of a caller.
  base::Task<void> Handle(http::Exchange& exchange);

 private:
  struct Incoming;

  absl::StatusOr<Incoming> Read(const http::Request& request) const;
  base::Task<void> Generate(http::Exchange& exchange, Incoming incoming);
  base::Task<void> StreamGeneration(http::Exchange& exchange,
                                    Incoming incoming);
  base::Task<void> WholeGeneration(http::Exchange& exchange, Incoming incoming);
  base::Task<void> ResumeGeneration(http::Exchange& exchange,
                                    Incoming incoming);
  base::Task<void> Serve(http::Exchange& exchange, Incoming incoming);
  base::Task<void> Refuse(http::Exchange& exchange,
                          const base::RequestId& id,
                          absl::Status status,
                          base::Ran ran,
                          int64_t retry_after_s);
  relay::GenerationCall CallFrom(const Incoming& incoming) const;
  int64_t RetryAfter(const absl::Status& status,
                     const routing::WorkRequest& work) const;
  void NoteDone(const Incoming& incoming, int64_t tokens);

  base::Clock clock_;
  const kernel::Tuning& tuning_;
  const relay::ResumeTokens& tokens_;
  relay::GenerationRelay& generations_;
  relay::ServiceRelay& services_;
  routing::Dispatcher& dispatcher_;
  telemetry::Metrics& metrics_;
  Hooks hooks_;
};

}  // namespace dandelion::entry
