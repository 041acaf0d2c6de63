#pragma once

#include "base/ids.h"
#include "standin/engine_model.h"

namespace dandelion::bench {

/// Number of simulated engines; engines are numbered from 0.
inline constexpr int kEngineCount = 11;

/// Returns the speed and sizes of an engine. The slowest and the fastest engine
/// differ by a factor of 2.3 in speed and by more than 3 in memory, as in a
/// fleet bought over several years.
standin::EngineParams MakeEngineParams(int engine);

/// Returns the upstream id under which the daemons know an engine.
base::UpstreamId UpstreamIdFor(int engine);

/// Returns the output tokens per second of all engines together when each runs
/// the largest batch that its slots and memory allow.
double CapacityTokensPerSecond();

}  // namespace dandelion::bench
