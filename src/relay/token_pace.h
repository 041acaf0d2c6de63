#pragma once

#include <optional>

namespace dandelion::relay {

/// The mean time per token of an answer, which its first `kEvents` times stand
/// for.
class TokenPace {
 public:
  static constexpr int kEvents = 16;

  /// Records a time in milliseconds. Returns the mean in milliseconds with the
  /// time that completes it, and nothing before and after.
  std::optional<double> Record(double token_ms) {
    sum_ms_ += token_ms;
    return ++times_ == kEvents ? std::optional(sum_ms_ / kEvents)
                               : std::nullopt;
  }

 private:
  int times_ = 0;
  double sum_ms_ = 0;
};

}  // namespace dandelion::relay
