#pragma once

#include <memory>

#include "absl/status/status.h"
#include "base/task.h"
#include "kernel/settings.h"

namespace dandelion::kernel {

/// One daemon: all services, wired together and started in order.
class Daemon {
 public:
  Daemon(const base::Executor& executor, Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Starts every service. Fails with the first service that cannot start.
  absl::Status Start();

  /// Finishes what is in flight and takes no more. Returns whether everything
  /// was finished before the drain timeout.
  base::Task<bool> Drain();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dandelion::kernel
