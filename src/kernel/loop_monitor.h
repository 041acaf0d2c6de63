#pragma once

#include <functional>
#include <optional>

#include "base/clock.h"
#include "base/task.h"

namespace dandelion::kernel {

/// Measures by how much the event loop runs its tasks late. A host that is
/// overloaded, suspended or busy with one long task shows as lag.
class LoopMonitor {
 public:
  /// Time between two checks.
  static constexpr base::Millis kInterval{100};
  /// Shortest lag that is reported.
  static constexpr base::Millis kReportedLag{250};
  /// A daemon that lags by more is not ready: callers give a new connection
  /// about a second.
  static constexpr base::Millis kMaxReadyLag{1000};

  /// `on_check` is called at each check with the lag, which may be zero.
  LoopMonitor(base::Clock clock, std::function<void(base::Millis)> on_check);

  /// Checks until the executor stops.
  base::Task<void> Run();

  /// The lag at the last check.
  base::Millis lag() const { return lag_; }

 private:
  base::Clock clock_;
  std::function<void(base::Millis)> on_check_;
  base::Millis lag_{0};
};

}  // namespace dandelion::kernel
