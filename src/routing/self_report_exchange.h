#pragma once

#include "base/clock.h"
#include "proto/peer.pb.h"
#include "routing/self_reports.h"

namespace dandelion::routing {

/// Adds what this daemon knows of upstreams' reports to a heartbeat: everything
/// if `all` is set, else what has changed since the last such call.
void AddSelfReports(SelfReports& reports,
                    bool all,
                    base::Millis now,
                    proto::FleetBeat* heartbeat);

/// Applies the reports in a peer's heartbeat.
void ApplySelfReports(const proto::FleetBeat& heartbeat,
                      base::Millis now,
                      SelfReports& reports);

}  // namespace dandelion::routing
