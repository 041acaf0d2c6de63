#pragma once

#include "admission/part_quarantine.h"
#include "proto/peer.pb.h"

namespace dandelion::admission {

/// Returns the evidence for a heartbeat: all of it, or what is new at this
/// daemon since the last such call.
proto::PartEvidence CollectPartEvidence(PartQuarantine& quarantine,
                                        bool all,
                                        base::Millis now);

/// Applies the evidence of a peer's heartbeat.
void ApplyPartEvidence(const base::HostId& from,
                       const proto::PartEvidence& message,
                       base::Millis now,
                       PartQuarantine& quarantine);

}  // namespace dandelion::admission
