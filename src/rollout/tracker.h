#pragma once

#include <map>

#include "base/clock.h"
#include "base/ids.h"
#include "rollout/types.h"

namespace dandelion::rollout {

/// Adds up what the daemons of the fleet saw of one roll-out: this daemon's own
/// counts, those of the daemons that report to it and those of other data
/// centres. What a daemon had counted stays in the sum when it is lost or
/// starts again, since its requests have reached the upstreams.
class Tracker {
 public:
  Counts& own() { return own_; }
  const Counts& own() const { return own_; }

  /// Replaces the counts of a daemon of this data centre.
  void SetMember(const base::HostId& id, Counts counts);
  /// Replaces the counts of another data centre, which any of its delegates may
  /// have added up.
  void SetDataCentre(const base::DataCentreId& id, Counts counts);

  /// What this data centre saw.
  Counts DataCentreSum() const;
  /// What the fleet saw, as far as this daemon knows.
  Counts FleetSum() const;

 private:
  struct Member {
    Counts current;
    /// Of its earlier lifetimes.
    Counts ended;
  };

  Counts own_;
  std::map<base::HostId, Member> members_;
  std::map<base::DataCentreId, Counts> data_centres_;
};

}  // namespace dandelion::rollout
