#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/task.h"
#include "kernel/settings.h"
#include "relay/resume_token.h"
#include "relay/retry_budget.h"
#include "routing/dispatcher.h"
#include "telemetry/metrics.h"
#include "upstream/engine_client.h"

namespace dandelion::relay {

/// A caller's generation request.
struct GenerationCall {
  routing::WorkRequest work;
  std::string prompt;
  base::Tokens max_tokens;
  /// Tokens that no longer may be taken back once they were passed on. A call
  /// that keeps them until the end can start anew on another engine.
  bool restartable = false;
};

/// Passes tokens on to the caller, in order and each once. A failure ends the
/// relay: the caller has gone.
using TokenSink = std::function<base::Task<absl::Status>(
    const ResumePoint& point,
    const std::vector<upstream::Token>& tokens)>;

/// How a relay ended.
struct RelayResult {
  absl::Status status;
  base::Ran ran = base::Ran::kNo;
  int64_t tokens = 0;
};

/// Answers a request from exactly one generation. A broken or silent
/// connection is resumed at the next token; a lost generation is started anew
/// elsewhere only if the caller has seen none of it.
class GenerationRelay {
 public:
  /// A generation whose engine does not answer is taken as lost after this.
  static constexpr base::Millis kLostAfter{15'000};
  static constexpr base::Millis kResumePause{100};
  /// A gap between tokens beyond this counts as stalled.
  static constexpr base::Millis kStallBound{200};

  GenerationRelay(base::Clock clock,
                  const kernel::Tuning& tuning,
                  routing::Dispatcher& dispatcher,
                  upstream::EngineClient& engines,
                  telemetry::Metrics& metrics);

  /// Runs a call to its end. `restart` is called before a restartable call's
  /// tokens come again from the first.
  base::Task<RelayResult> Run(GenerationCall call,
                              TokenSink sink,
                              std::function<void()> restart);

  /// Goes on with a generation that another connection, perhaps at another
  /// daemon, was reading.
  base::Task<RelayResult> Resume(routing::WorkRequest work,
                                 ResumePoint point,
                                 int64_t from,
                                 TokenSink sink);

 private:
  struct Progress;
  enum class ReadEnd { kDone, kLost, kCallerGone, kDeadline };

  base::Task<ReadEnd> ReadToEnd(Progress& progress, const TokenSink& sink);
  base::Task<bool> Reconnect(Progress& progress);
  base::Task<absl::Status> Deliver(Progress& progress,
                                   const std::vector<upstream::Token>& tokens,
                                   const TokenSink& sink,
                                   bool* gap);
  base::Task<RelayResult> RunOnce(const GenerationCall& call,
                                  const TokenSink& sink,
                                  bool* retry,
                                  base::UpstreamId* used);
  void Note(const routing::WorkRequest& work, std::string line);

  base::Clock clock_;
  const kernel::Tuning& tuning_;
  routing::Dispatcher& dispatcher_;
  upstream::EngineClient& engines_;
  telemetry::Metrics& metrics_;
  RetryBudget budget_;
};

}  // namespace dandelion::relay
