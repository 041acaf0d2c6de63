#include "base/clock.h"

#include <chrono>

namespace dandelion::base {

Clock Clock::Monotonic() {
  return Clock([] {
    const auto since_start =
        std::chrono::steady_clock::now().time_since_epoch();
    return Millis(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_start)
            .count());
  });
}

}  // namespace dandelion::base
