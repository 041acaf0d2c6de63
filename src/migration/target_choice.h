#pragma once

#include <optional>
#include <vector>

#include "routing/upstream_choice.h"

namespace dandelion::migration {

/// Size of a generation that is to be migrated.
struct MigrationSize {
  /// Tokens in the KV cache now.
  int64_t tokens_held = 0;
  /// Tokens that are still expected to be generated.
  int64_t tokens_left = 0;
  /// Milliseconds to copy the KV cache within a data centre.
  double copy_ms = 0;
  /// Other generations that leave the same engine over the same link.
  int64_t others_leaving = 0;
};

/// An engine to which a generation may be migrated.
struct MigrationTarget {
  routing::UpstreamCandidate candidate;
  /// Whether the engine is in the data centre of the source engine.
  bool in_source_data_centre = false;
};

/// Chooses the target with the lowest cost in copy time, decode time, fill
/// level and recent failures. Returns its index in `targets`, or nothing if no
/// engine has a free slot and enough memory. `memory_tokens` is the memory of
/// one engine.
///
/// Meant for several engines that are reclaimed at once with two seconds'
/// notice. Their generations compete for the link of the source and for the
/// links of the targets.
std::optional<size_t> ChooseTarget(const std::vector<MigrationTarget>& targets,
                                   const MigrationSize& size,
                                   int64_t memory_tokens);

}  // namespace dandelion::migration
