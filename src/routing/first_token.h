#pragma once

#include <cstdint>

#include "base/clock.h"

namespace dandelion::routing {

/// Predicts the time to a generation's first token from the prompt tokens that
/// its engine still has to process, and learns how fast engines process them.
///
/// Made for bursts of prompts: an engine with a free slot and free memory may
/// have seconds of prompts to process, and everybody behind them is late.
class FirstTokenModel {
 public:
  /// Time to process a prompt token, as a share of the time to generate one,
  /// that is assumed before anything was learned.
  static constexpr double kDefaultShare = 0.01;

  /// Returns the time to process `prompt_tokens` on an engine that needs
  /// `token_ms` to generate one.
  double PrefillMs(int64_t prompt_tokens, double token_ms) const {
    return static_cast<double>(prompt_tokens) * token_ms * share_;
  }
  /// Records that the first token came after `time`, when `prompt_tokens` were
  /// to be processed, with those of the generation itself.
  void Record(int64_t prompt_tokens, double token_ms, base::Millis time);

  /// Time for a prompt token, as a share of that to generate one.
  double share() const { return share_; }

 private:
  double share_ = kDefaultShare;
};

/// How late a generation's first token may come.
struct FirstTokenBound {
  /// Time left for the prompts before it and its own. A generation that is late
  /// already has no such limit.
  double total_ms = 0;
  /// Time left for the prompts before it.
  double ahead_ms = 0;
};

}  // namespace dandelion::routing
