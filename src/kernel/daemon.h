#pragma once

#include <memory>

#include "absl/status/status.h"
#include "base/task.h"
#include "kernel/settings.h"

namespace dandelion::kernel {

/// Owns the services of a daemon, connects them and starts them in order.
class Daemon {
 public:
  Daemon(const base::Executor& executor, Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Starts every service. Returns the error of the first that cannot start.
  absl::Status Start();

  /// Reports not ready, stops accepting connections after
  /// `Tuning::drain_notice`, and finishes the requests in progress. Returns
  /// false if `Tuning::drain_timeout` passes first.
  base::Task<bool> Drain();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dandelion::kernel
