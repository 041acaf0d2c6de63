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
  /// Keep the copy that was made; the stream goes on there once it breaks.
  kKeepCopy,
};

/// Decides after a copy that took `took`; `have_copy` tells that an earlier one
/// of this run was made.
///
/// Load pattern: many runs leave one engine over one link. A run is stopped
/// only when its last copy will be short, since a long one before it in the
/// queue would hold up the caller. An engine that is gone before the last copy
/// leaves the one before it: only what it lacks is read again.
CopyStep AfterCopy(relay::CopyOutcome outcome,
                   base::Millis took,
                   bool have_copy);

}  // namespace dandelion::moving
