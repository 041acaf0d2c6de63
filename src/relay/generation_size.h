#pragma once

#include <optional>

#include "base/clock.h"
#include "relay/platform_protocol.h"
#include "routing/upstream_choice.h"

namespace dandelion::relay {

/// Returns the expected size of a generation before it runs: the caller's
/// estimate with a margin, limited by the caller's maximum.
routing::GenerationSize EstimateSize(const CallerRequest& caller);

/// Returns the expected output of a generation that has produced
/// `produced_tokens` already: more than was expected before, as one that has
/// exceeded its estimate often exceeds it by far. Within the caller's limit.
int64_t ExpectedOutput(const routing::GenerationSize& size,
                       int64_t produced_tokens,
                       int64_t max_output_tokens);

/// Returns how long a generation of this size takes on an engine of typical
/// speed.
base::Millis EstimateDuration(const routing::GenerationSize& size);

/// Returns how long a generation takes on a slow and crowded engine if its
/// output is as long as the caller allows. Empty if the caller set no limit.
std::optional<base::Millis> LongestDuration(const CallerRequest& caller);

}  // namespace dandelion::relay
