#pragma once

#include "admission/part_quarantine.h"
#include "telemetry/metrics.h"

namespace dandelion::kernel {

/// Makes hooks that log and count what the quarantine decides. `metrics` must
/// outlive them.
admission::PartQuarantine::Hooks MakeQuarantineHooks(
    telemetry::Metrics& metrics);

}  // namespace dandelion::kernel
