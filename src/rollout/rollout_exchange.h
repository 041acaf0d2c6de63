#pragma once

#include "base/clock.h"
#include "proto/peer.pb.h"
#include "rollout/rollouts.h"

namespace dandelion::rollout {

/// Adds this daemon's counts to a heartbeat, or those of its data centre.
void AddCounts(const Rollouts& rollouts,
               bool of_data_centre,
               proto::FleetBeat* heartbeat);
/// Apply the counts in a heartbeat.
void ApplyMemberCounts(const base::HostId& from,
                       const proto::FleetBeat& heartbeat,
                       Rollouts& rollouts);
void ApplyDataCentreCounts(const base::DataCentreId& from,
                           const proto::FleetBeat& heartbeat,
                           Rollouts& rollouts);

/// Adds the decisions that this daemon knows to a heartbeat: all, or those that
/// are new since the last such call.
void AddDecisions(Rollouts& rollouts,
                  bool all,
                  base::Millis now,
                  proto::FleetBeat* heartbeat);
/// Applies the decisions in a heartbeat.
void ApplyDecisions(const proto::FleetBeat& heartbeat,
                    base::Millis now,
                    Rollouts& rollouts);

}  // namespace dandelion::rollout
