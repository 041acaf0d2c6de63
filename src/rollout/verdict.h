#pragma once

#include <string>
#include <vector>

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
/// time, so that what harms both is not held against the target version: the
/// answers of each of `periods` are compared with each other only, however
/// large the target version's share of them is. `all` is what the whole
/// roll-out has shown so far; it tells how the old version usually does, for
/// periods in which it answered little.
///
/// Made for versions that fail a part of their requests, or answer a part of
/// them several times slower, on all routes or on one. The old version may fail
/// a part as well, and upstreams of one version differ in speed by two or more.
Verdict Judge(const Counts& all, const std::vector<const Counts*>& periods);

}  // namespace dandelion::rollout
