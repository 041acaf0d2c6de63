#pragma once

#include "base/clock.h"
#include "relay/dialect.h"

namespace dandelion::moving {

/// What a mover does next.
enum class CopyStep {
  /// Copy what is new while the run goes on.
  kCopyAgain,
  /// Stop the run and copy the rest: the caller waits only for this.
  kStopAndCopy,
  /// Ask the same engine once more, a little later.
  kWait,
  /// Choose another engine.
  kOtherTarget,
};

/// Decides after a copy that took `took`.
///
/// Load pattern: many runs leave one engine over one link. A run is stopped
/// only when its last copy will be short, since a long one before it in the
/// queue would hold up the caller.
CopyStep AfterCopy(relay::CopyOutcome outcome, base::Millis took);

}  // namespace dandelion::moving
