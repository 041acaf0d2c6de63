#pragma once

#include <optional>

#include "base/clock.h"
#include "relay/platform_protocol.h"
#include "routing/upstream_choice.h"

namespace dandelion::relay {

/// Returns the expected size of a generation before it runs: the caller's
/// estimate with a margin, limited by the caller's maximum.
routing::GenerationSize EstimateSize(const CallerRequest& caller);

/// Returns how long a generation of this size takes on an engine of typical
/// speed.
base::Millis EstimateDuration(const routing::GenerationSize& size);

/// Returns how long a generation takes on a slow and crowded engine if its
/// output is as long as the caller allows. Empty if the caller set no limit.
std::optional<base::Millis> LongestDuration(const CallerRequest& caller);

}  // namespace dandelion::relay
