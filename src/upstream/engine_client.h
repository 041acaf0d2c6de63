#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "admission/slot_owner.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/task.h"
#include "http/client.h"
#include "http/connection_group.h"

namespace dandelion::upstream {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// The parameters of a generation that an engine is asked to start.
struct GenerationRequest {
  /// Identifies the generation on the engine.
  base::GenerationId id;
  /// The caller's request, which the engine must name in its response.
  base::RequestId request;
  std::string prompt;
  base::Tokens prompt_tokens;
  /// Maximum length of the answer; 0 leaves it to the engine.
  base::Tokens max_tokens;
  /// The engine preempts generations with lower values last.
  int priority = 0;
};

/// A token with its index in the answer, counted from 0.
struct Token {
  int64_t index = 0;
  std::string text;
};

/// The tokens that one read of a stream returned.
struct TokenBatch {
  std::vector<Token> tokens;
  /// Whether the answer is complete.
  bool done = false;
};

/// The open response stream of a generation.
class GenerationStream {
 public:
  virtual ~GenerationStream() = default;
  /// Waits for more tokens or the end of the answer. Fails if neither is
  /// complete within `timeout`.
  virtual base::Task<absl::StatusOr<TokenBatch>> ReadNext(
      base::Millis timeout) = 0;
  /// The incarnation that the engine reported; empty if it reported none.
  virtual const base::Incarnation& incarnation() const = 0;
};

/// The result of opening a generation's stream.
struct OpenResult {
  absl::StatusOr<std::unique_ptr<GenerationStream>> stream;
  /// Whether any byte of the request may have reached the engine.
  bool may_have_been_sent = false;
  /// Whether the engine responded that it does not have the generation.
  bool unknown_generation = false;
  /// Whether the engine rejected the request with any other error status.
  bool rejected = false;
  /// The engine wants no other request from this daemon for so long.
  std::optional<base::Millis> pause = {};
};

/// A client of the engines' HTTP API. `client` must outlive it, and `streams`
/// it and its streams.
class EngineClient {
 public:
  /// The connections of all streams are in the group `streams`.
  EngineClient(http::Client& client,
               http::ConnectionGroup& streams,
               base::HostId self);

  /// Starts a generation and opens its stream.
  base::Task<OpenResult> Start(Endpoint engine, GenerationRequest request);
  /// Opens the stream of a generation that was started before, from token
  /// `from` on, over a new connection.
  base::Task<OpenResult> Resume(Endpoint engine,
                                base::GenerationId id,
                                int64_t from);
  /// Asks the engine to stop a generation; failures are ignored.
  base::Task<void> Cancel(Endpoint engine, base::GenerationId id);
  /// Reads the upstream's load report. Fails if the upstream does not respond.
  /// A service without a load report counts as reachable.
  base::Task<absl::StatusOr<admission::UpstreamReport>> FetchLoadReport(
      Endpoint upstream);

 private:
  base::Task<OpenResult> OpenStream(Endpoint engine, http::Request request);

  http::Client& client_;
  http::ConnectionGroup& streams_;
  base::HostId self_;
};

}  // namespace dandelion::upstream
