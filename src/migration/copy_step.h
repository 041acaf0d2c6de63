#pragma once

#include "base/clock.h"
#include "relay/platform_protocol.h"

namespace dandelion::migration {

/// The next step in the migration of a generation.
enum class CopyStep {
  /// Copy what was added since the last copy while the generation goes on.
  kCopyAgain,
  /// Stop the generation and copy the rest. The caller's stream pauses only for
  /// this copy.
  kStopAndCopy,
  /// Ask the source engine again after a short pause.
  kWait,
  /// Choose another target engine.
  kOtherTarget,
  /// End the migration; no engine can copy this generation.
  kGiveUp,
  /// Keep the copy that exists. Once the source's stream breaks, the generation
  /// continues from it.
  kKeepCopy,
};

/// Returns the next step after a KV cache copy that ended with `outcome` after
/// `took`. `have_copy` is true if any copy of this generation exists.
///
/// When many generations leave one engine, their copies queue for its link. A
/// generation is stopped only if its final copy is expected to be short, since
/// its caller waits for that copy. If the source ends before the final copy,
/// the previous one is used and only the tokens it lacks are processed again.
CopyStep ChooseNextStep(relay::KvCacheCopyOutcome outcome,
                        base::Millis took,
                        bool have_copy);

}  // namespace dandelion::migration
