#pragma once

#include "base/clock.h"
#include "relay/dialect.h"
#include "routing/placement.h"

namespace dandelion::relay {

/// What is known of a generation's length before it runs: the caller's estimate
/// with a margin, within the maximum.
routing::GenerationSize SizeOf(const CallerRequest& caller);

/// How long a generation of this size runs on an engine of usual speed.
base::Millis ExpectedTime(const routing::GenerationSize& size);

}  // namespace dandelion::relay
