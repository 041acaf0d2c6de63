#include "base/clock.h"

#include <chrono>
#include <ctime>

namespace dandelion::base {

int64_t UnixNowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Clock Clock::Monotonic() {
  return Clock([] {
    const auto since_epoch =
        std::chrono::steady_clock::now().time_since_epoch();
    return Millis(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
            .count());
  });
}

Clock Clock::BootTime() {
  return Clock([] {
    constexpr int64_t kMsPerSecond = 1000;
    constexpr int64_t kNsPerMs = 1'000'000;
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Millis(now.tv_sec * kMsPerSecond + now.tv_nsec / kNsPerMs);
  });
}

}  // namespace dandelion::base
