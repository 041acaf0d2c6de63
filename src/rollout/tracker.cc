#include "rollout/tracker.h"

#include <algorithm>
#include <utility>

namespace dandelion::rollout {
namespace {

// Counts only grow within one lifetime of a daemon.
bool IsFromLaterLifetime(const Counts& counts, const Counts& before) {
  return std::any_of(kSides.begin(), kSides.end(), [&](Side side) {
    return counts.side(side).sent() < before.side(side).sent();
  });
}

}  // namespace

void Tracker::SetMember(const base::HostId& id, Counts counts) {
  Member& member = members_[id];
  if (IsFromLaterLifetime(counts, member.current)) {
    member.ended += member.current;
  }
  member.current = std::move(counts);
}

void Tracker::SetDataCentre(const base::DataCentreId& id, Counts counts) {
  data_centres_[id] = std::move(counts);
}

Counts Tracker::DataCentreSum() const {
  Counts sum = own_;
  for (const auto& [id, member] : members_) {
    sum += member.current;
    sum += member.ended;
  }
  return sum;
}

Counts Tracker::FleetSum() const {
  Counts sum = DataCentreSum();
  for (const auto& [id, counts] : data_centres_) {
    sum += counts;
  }
  return sum;
}

}  // namespace dandelion::rollout
