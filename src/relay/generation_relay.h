#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "admission/part_quarantine.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/task.h"
#include "http/connection_group.h"
#include "kernel/settings.h"
#include "relay/resume_token.h"
#include "relay/retry_budget.h"
#include "routing/dispatcher.h"
#include "telemetry/metrics.h"
#include "upstream/engine_client.h"

namespace dandelion::relay {

/// A caller's generation request.
struct GenerationCall {
  routing::PlacementRequest work;
  std::string prompt;
  base::Tokens max_tokens;
  /// Parts of the prompt that other calls may share, and the whole of it.
  admission::PartList parts;
  /// Whether the call may start anew on another engine after tokens were
  /// delivered. True if the caller is sent nothing before the generation ends.
  bool restartable = false;
};

/// Delivers tokens to the caller, in order and each once. A failure means that
/// the caller disconnected, and ends the relay.
using TokenSink = std::function<base::Task<absl::Status>(
    const ResumePoint& point,
    const std::vector<upstream::Token>& tokens)>;

/// Result of a relay.
struct RelayResult {
  absl::Status status;
  base::Ran ran = base::Ran::kNo;
  /// Index of the next token to deliver. Without a resume this is the number of
  /// tokens delivered.
  int64_t tokens = 0;
};

/// Answers a request from exactly one generation. A stream whose connection is
/// broken or silent is resumed at the next token. A lost generation is started
/// anew on another engine only if the caller has seen none of it.
class GenerationRelay {
 public:
  /// A generation is considered lost once its engine has not answered for this
  /// time.
  static constexpr base::Millis kUnreachableTimeout{15'000};
  /// Pause between two attempts to resume a stream.
  static constexpr base::Millis kResumePause{100};
  /// Generations of one call that may be lost as they begin. The prompt may be
  /// the cause, so the call is not tried on further engines.
  static constexpr int kMaxLostStarts = 3;
  /// Pause after such a loss, in which a failure of several engines shows.
  static constexpr base::Millis kLostStartPause{300};
  /// An engine that goes on for this time after the first token has not crashed
  /// under the prompt.
  static constexpr base::Millis kSoundAfter{500};
  /// The part of a gap between tokens beyond this counts as stall time.
  static constexpr base::Millis kStallThreshold{200};

  /// `sends` is the group of the engines' streams. Once it is closed, every
  /// call is given its final result.
  GenerationRelay(base::Clock clock,
                  const kernel::Tuning& tuning,
                  const http::ConnectionGroup& sends,
                  routing::Dispatcher& dispatcher,
                  upstream::EngineClient& engines,
                  admission::PartQuarantine& quarantine,
                  telemetry::Metrics& metrics);

  /// Runs a call to its end, with retries. `restart` is called before each
  /// retry, which delivers tokens from the first on.
  base::Task<RelayResult> Run(GenerationCall call,
                              TokenSink sink,
                              std::function<void()> restart);

  /// Continues the stream of an existing generation at token `from`. The
  /// generation may have been started by another daemon.
  base::Task<RelayResult> Resume(routing::PlacementRequest work,
                                 ResumePoint point,
                                 int64_t from,
                                 TokenSink sink);

 private:
  struct Progress;
  /// How one attempt of a call ended, beside its result.
  struct Attempt {
    /// The engine, once one was chosen.
    base::UpstreamId used;
    base::Incarnation incarnation;
    /// Whether the failure allows a retry.
    bool retry = false;
    /// The engine accepted the generation and stopped before the first token.
    bool lost_start = false;
  };
  enum class ReadEnd { kDone, kLost, kCallerGone, kDeadline, kStopped };

  /// Delivers tokens until the generation has ended or can't be continued.
  base::Task<ReadEnd> ReadToEnd(Progress& progress, const TokenSink& sink);
  /// Opens a new connection to the same generation. Returns false if the
  /// generation is lost or its engine did not answer for `kUnreachableTimeout`.
  base::Task<bool> Reconnect(Progress& progress);
  /// Delivers those of `tokens` that the caller lacks. Sets `gap` if one is
  /// missing before them. Fails if the caller disconnected.
  base::Task<absl::Status> Deliver(Progress& progress,
                                   const std::vector<upstream::Token>& tokens,
                                   const TokenSink& sink,
                                   bool* gap);
  /// Runs the call on one engine.
  base::Task<RelayResult> RunOnce(const GenerationCall& call,
                                  const TokenSink& sink,
                                  Attempt* attempt);
  /// Asks the engine to stop a generation. Once `sends` is closed, does not
  /// wait until it has done so.
  base::Task<void> Cancel(const Progress& progress);
  /// Records that the engine of the attempt crashed. Returns whether the call
  /// may go on.
  bool MayGoOnAfterLostStart(const GenerationCall& call,
                             const Attempt& attempt,
                             int lost_starts);
  /// Adds a line to the explanation of the request.
  void AddExplanation(const routing::PlacementRequest& work, std::string line);

  base::Clock clock_;
  const kernel::Tuning& tuning_;
  const http::ConnectionGroup& sends_;
  routing::Dispatcher& dispatcher_;
  upstream::EngineClient& engines_;
  admission::PartQuarantine& quarantine_;
  telemetry::Metrics& metrics_;
  RetryBudget budget_;
};

}  // namespace dandelion::relay
