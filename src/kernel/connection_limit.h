#pragma once

#include <cstddef>

namespace dandelion::kernel {

/// Returns how many connections of callers fit into `max_descriptors`, or into
/// the process's limit if that is 0. Each may need a connection to an upstream,
/// and peers, the platform and files need some.
size_t CallerConnectionLimit(size_t max_descriptors);

}  // namespace dandelion::kernel
