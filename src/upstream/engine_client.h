#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "admission/slot_owner.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/task.h"
#include "http/client.h"

namespace dandelion::upstream {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// A generation as it is asked of an engine.
struct GenerationRequest {
  base::GenerationId id;
  base::RequestId request;
  std::string prompt;
  base::Tokens prompt_tokens;
  /// 0 leaves the length to the engine.
  base::Tokens max_tokens;
  /// Lower values are preempted last.
  int priority = 0;
};

/// One token with its place in the answer, counted from 0.
struct Token {
  int64_t index = 0;
  std::string text;
};

/// What one read of a stream brought.
struct StreamPart {
  std::vector<Token> tokens;
  bool done = false;
};

/// The open end of a generation's stream.
class EngineStream {
 public:
  virtual ~EngineStream() = default;
  /// Waits for more tokens. Fails if none arrives within `timeout`.
  virtual base::Task<absl::StatusOr<StreamPart>> Next(base::Millis timeout) = 0;
  virtual const base::Incarnation& incarnation() const = 0;
};

/// The result of opening a stream.
struct OpenResult {
  absl::StatusOr<std::unique_ptr<EngineStream>> stream;
  bool may_have_left = false;
  /// The engine answered that it does not have the generation.
  bool unknown_generation = false;
  /// The engine answered that it cannot take the request now.
  bool refused = false;
};

/// The engines' dialect.
class EngineClient {
 public:
  EngineClient(http::Client& client, base::HostId self);

  base::Task<OpenResult> Start(Endpoint engine, GenerationRequest request);
  /// Reads the generation from token `from` on, over a new connection.
  base::Task<OpenResult> Resume(Endpoint engine,
                                base::GenerationId id,
                                int64_t from);
  /// Asks the engine to stop a generation; failures are ignored.
  base::Task<void> Cancel(Endpoint engine, base::GenerationId id);
  /// Fails if the upstream does not answer. A service that has no load report
  /// counts as reachable.
  base::Task<absl::StatusOr<admission::UpstreamReport>> Load(Endpoint upstream);

 private:
  base::Task<OpenResult> Open(Endpoint engine, http::Request request);

  http::Client& client_;
  base::HostId self_;
};

}  // namespace dandelion::upstream
