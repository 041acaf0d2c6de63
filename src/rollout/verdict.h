#pragma once

#include <string>

#include "rollout/types.h"

namespace dandelion::rollout {

/// What the counts say about the target version.
enum class Finding {
  /// Too few answers to tell.
  kUnknown,
  /// As good as the old version on every route.
  kSound,
  /// Fails or slows down more of its requests than the old version does.
  kBad,
};

struct Verdict {
  Finding finding = Finding::kUnknown;
  /// The evidence, for the log.
  std::string reason;
};

/// Compares the target version with the old one, route by route and at the same
/// time, so that what harms both is not held against the target version.
///
/// Made for versions that fail a part of their requests, or answer a part of
/// them several times slower, on all routes or on one. The old version may fail
/// a part as well, and upstreams of one version differ in speed by two or more.
Verdict Judge(const Counts& counts);

}  // namespace dandelion::rollout
