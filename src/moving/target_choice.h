#pragma once

#include <optional>
#include <vector>

#include "routing/placement.h"

namespace dandelion::moving {

/// What is to be moved.
struct MoveSize {
  int64_t tokens_held = 0;
  int64_t tokens_left = 0;
  /// Time to copy the memory inside a data centre.
  double copy_ms = 0;
  /// Runs that leave the same engine over the same link.
  int64_t others_leaving = 0;
};

/// An engine to which a run may move.
struct Target {
  routing::Candidate candidate;
  /// In the data centre of the engine that the run leaves.
  bool beside_source = false;
};

/// Chooses where a run moves: soon copied, with room, and fast; nothing if no
/// engine has room.
///
/// Load pattern: several engines reclaimed at once with two seconds' notice,
/// whose runs share the link of the engine that they leave, and those of the
/// engines that they go to.
std::optional<size_t> ChooseTarget(const std::vector<Target>& targets,
                                   const MoveSize& size,
                                   int64_t memory_tokens);

}  // namespace dandelion::moving
