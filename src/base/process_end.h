#pragma once

#include <cstdio>
#include <cstdlib>

namespace dandelion::base {

/// Flushes the C streams and exits without running destructors. Unfinished
/// tasks refer to services, and services to the executor of the tasks, so no
/// order of destruction is safe.
[[noreturn]] inline void EndProcess(int exit_code) {
  std::fflush(nullptr);
  std::_Exit(exit_code);
}

}  // namespace dandelion::base
