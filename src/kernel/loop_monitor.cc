#include "kernel/loop_monitor.h"

#include <algorithm>
#include <utility>

namespace dandelion::kernel {

using base::Millis;

LoopMonitor::LoopMonitor(base::Clock clock,
                         std::function<void(Millis)> on_check)
    : clock_(std::move(clock)), on_check_(std::move(on_check)) {}

base::Task<void> LoopMonitor::Run() {
  for (;;) {
    const Millis due = clock_.Now() + kInterval;
    co_await base::SleepFor(kInterval);
    lag_ = std::max(Millis(0), clock_.Now() - due);
    on_check_(lag_);
  }
}

}  // namespace dandelion::kernel
