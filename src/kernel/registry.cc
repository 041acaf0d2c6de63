#include "kernel/registry.h"

namespace dandelion::kernel {

absl::Status Registry::Start() {
  while (started_ < entries_.size()) {
    const Entry& entry = entries_[started_];
    if (entry.hooks.start) {
      absl::Status status = entry.hooks.start();
      if (!status.ok()) {
        Stop();
        return status;
      }
    }
    ++started_;
  }
  return absl::OkStatus();
}

void Registry::Stop() {
  while (started_ > 0) {
    --started_;
    const Entry& entry = entries_[started_];
    if (entry.hooks.stop) {
      entry.hooks.stop();
    }
  }
}

}  // namespace dandelion::kernel
