#pragma once

#include <cstddef>
#include <functional>

#include "base/clock.h"
#include "http/server.h"
#include "membership/transport.h"
#include "telemetry/metrics.h"

namespace dandelion::kernel {

/// Makes hooks that log and count what becomes of callers' connections.
/// `metrics` must outlive them; `connections` returns the open connections.
http::ServerHooks MakeCallerServerHooks(telemetry::Metrics& metrics,
                                        const base::Clock& clock,
                                        std::function<size_t()> connections);

/// Adds what `now` counts beyond `*exported` to the metrics.
void ExportTransportCounts(const membership::TransportCounts& now,
                           membership::TransportCounts* exported,
                           telemetry::Metrics& metrics);

/// Records a check of the event loop that ran `lag` late. A long lag is logged
/// with the messages from peers that were read since the last check.
void ReportLoopCheck(base::Millis lag,
                     const membership::TransportCounts& now,
                     membership::TransportCounts* last_check,
                     telemetry::Metrics& metrics);

}  // namespace dandelion::kernel
