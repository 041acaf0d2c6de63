#pragma once

namespace dandelion::base {

/// Makes the C library return large blocks to the system as soon as they are
/// freed. By default it keeps blocks of sizes that were freed before, so that
/// the process would go on holding what a burst of large requests took. To be
/// called before other threads start.
void ReturnLargeBlocks();

}  // namespace dandelion::base
