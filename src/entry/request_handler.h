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

/// Serves the callers' HTTP API: matches each request to a route, passes it to
/// the relay for the kind of the route's pool, and writes the response.
class RequestHandler {
 public:
  struct Hooks {
    /// The installed tables; null until the first configuration is installed.
    std::function<std::shared_ptr<const config::Tables>()> tables;
  };

  RequestHandler(base::Clock clock,
                 const kernel::Tuning& tuning,
                 const relay::ResumeTokens& resume_tokens,
                 relay::GenerationRelay& generation_relay,
                 relay::ServiceRelay& service_relay,
                 routing::Dispatcher& dispatcher,
                 telemetry::Metrics& metrics,
                 Hooks hooks);

  /// Answers one request of a caller. Responds with problem details
  /// (`application/problem+json`) if it fails before the response has started.
  base::Task<void> Handle(http::Exchange& exchange);

 private:
  struct IncomingRequest;

  absl::StatusOr<IncomingRequest> ParseRequest(
      const http::Request& request) const;
  /// Whether the answer is sent as a stream of tokens.
  static bool IsStream(const IncomingRequest& incoming);
  /// Returns the value of `PlacementRequest::longest_run`.
  base::Millis LongestRun(const http::Request& request,
                          const IncomingRequest& incoming) const;
  /// Answers a completion request, as a stream if the caller and the route want
  /// one.
  base::Task<void> RelayGeneration(http::Exchange& exchange,
                                   IncomingRequest incoming);
  /// Streams the tokens as server-sent events.
  base::Task<void> StreamGeneration(http::Exchange& exchange,
                                    IncomingRequest incoming);
  /// Collects all tokens and sends the complete answer.
  base::Task<void> BufferGeneration(http::Exchange& exchange,
                                    IncomingRequest incoming);
  /// Continues a stream after the event in the Last-Event-ID header.
  base::Task<void> ResumeGeneration(http::Exchange& exchange,
                                    IncomingRequest incoming);
  /// Relays a request to an upstream of a service pool.
  base::Task<void> RelayServiceCall(http::Exchange& exchange,
                                    IncomingRequest incoming);
  /// Logs the request if the end of a stop cut it after it was sent.
  void LogIfCut(const IncomingRequest& incoming,
                const absl::Status& status,
                base::Ran ran,
                bool answering);
  /// Sends problem details; `retry_after_s` in seconds, 0 for no header.
  base::Task<void> RespondWithError(http::Exchange& exchange,
                                    const base::RequestId& id,
                                    absl::Status status,
                                    base::Ran ran,
                                    int64_t retry_after_s);
  relay::GenerationCall MakeGenerationCall(
      const IncomingRequest& incoming) const;
  /// Returns the Retry-After value in seconds; 0 if the error gets none.
  int64_t ComputeRetryAfter(const absl::Status& status,
                            const routing::PlacementRequest& work) const;
  /// Records that the complete answer was sent.
  void RecordCompletion(const IncomingRequest& incoming, int64_t tokens);

  base::Clock clock_;
  const kernel::Tuning& tuning_;
  const relay::ResumeTokens& resume_tokens_;
  relay::GenerationRelay& generation_relay_;
  relay::ServiceRelay& service_relay_;
  routing::Dispatcher& dispatcher_;
  telemetry::Metrics& metrics_;
  Hooks hooks_;
};

}  // namespace dandelion::entry
