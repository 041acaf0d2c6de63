#include "kernel/connection_limit.h"

#include <sys/resource.h>

#include <algorithm>

namespace dandelion::kernel {
namespace {

// Descriptors for files, peers, the platform and control calls.
constexpr size_t kReservedDescriptors = 512;
// A caller's connection and the one to its upstream.
constexpr size_t kDescriptorsPerCaller = 2;
constexpr size_t kMinCallerConnections = 64;

}  // namespace

size_t CallerConnectionLimit(size_t max_descriptors) {
  rlimit limit{};
  if (max_descriptors == 0 && getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    max_descriptors = static_cast<size_t>(limit.rlim_cur);
  }
  const size_t free =
      max_descriptors - std::min(max_descriptors, kReservedDescriptors);
  return std::max(kMinCallerConnections, free / kDescriptorsPerCaller);
}

}  // namespace dandelion::kernel
