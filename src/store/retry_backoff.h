#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "base/clock.h"

namespace dandelion::store {

/// Pauses between calls that fail one after the other. They double up to a
/// maximum, and are shortened at random, so that the daemons of a fleet do not
/// call together when the store returns.
class RetryBackoff {
 public:
  static constexpr base::Millis kFirstPause{400};

  explicit RetryBackoff(uint32_t seed) : random_(seed) {}

  /// Returns the pause after a failure: between half of the current maximum and
  /// all of it.
  base::Millis Next(base::Millis max_pause) {
    const base::Millis pause = std::min(pause_, max_pause);
    pause_ = std::min(pause_ * 2, max_pause);
    std::uniform_int_distribution<int64_t> shortened(pause.count() / 2,
                                                     pause.count());
    return base::Millis(shortened(random_));
  }
  /// Tells of a call that succeeded.
  void Reset() { pause_ = kFirstPause; }

 private:
  std::minstd_rand random_;
  base::Millis pause_ = kFirstPause;
};

}  // namespace dandelion::store
