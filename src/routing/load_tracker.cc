#include "routing/load_tracker.h"

#include <utility>

namespace dandelion::routing {

using base::DataCentreId;
using base::HostId;
using base::UpstreamId;

namespace {

Load FindLoad(const std::map<UpstreamId, Load>& loads, const UpstreamId& id) {
  const auto entry = loads.find(id);
  return entry == loads.end() ? Load() : entry->second;
}

void InsertKeys(const std::map<UpstreamId, Load>& loads,
                std::set<UpstreamId>* keys) {
  for (const auto& [id, load] : loads) {
    keys->insert(id);
  }
}

}  // namespace

Load& Load::operator+=(const Load& other) {
  running += other.running;
  tokens += other.tokens;
  unread_tokens += other.unread_tokens;
  arriving_tokens += other.arriving_tokens;
  return *this;
}

Load& Load::operator-=(const Load& other) {
  running -= other.running;
  tokens -= other.tokens;
  unread_tokens -= other.unread_tokens;
  arriving_tokens -= other.arriving_tokens;
  return *this;
}

bool LoadSums::Set(const std::string& source,
                   const UpstreamId& upstream,
                   const Load& load) {
  std::map<UpstreamId, Load>& loads = sources_[source];
  const Load before = FindLoad(loads, upstream);
  if (before == load) {
    return false;
  }
  if (load == Load()) {
    loads.erase(upstream);
  } else {
    loads[upstream] = load;
  }
  AddToTotal(upstream, load, before);
  return true;
}

std::set<UpstreamId> LoadSums::RemoveSource(const std::string& source,
                                            const std::set<UpstreamId>& kept) {
  std::set<UpstreamId> removed;
  const auto loads = sources_.find(source);
  if (loads == sources_.end()) {
    return removed;
  }
  for (const auto& [id, load] : loads->second) {
    if (!kept.contains(id)) {
      AddToTotal(id, Load(), load);
      removed.insert(id);
    }
  }
  std::erase_if(loads->second, [&removed](const auto& item) {
    return removed.contains(item.first);
  });
  if (loads->second.empty()) {
    sources_.erase(loads);
  }
  return removed;
}

void LoadSums::RemoveUpstream(const UpstreamId& upstream) {
  for (auto& [source, loads] : sources_) {
    loads.erase(upstream);
  }
  totals_.erase(upstream);
}

Load LoadSums::Of(const std::string& source, const UpstreamId& upstream) const {
  const auto loads = sources_.find(source);
  return loads == sources_.end() ? Load() : FindLoad(loads->second, upstream);
}

Load LoadSums::Total(const UpstreamId& upstream) const {
  return FindLoad(totals_, upstream);
}

void LoadSums::AddToTotal(const UpstreamId& upstream,
                          const Load& added,
                          const Load& removed) {
  Load& total = totals_[upstream];
  total += added;
  total -= removed;
  if (total == Load()) {
    totals_.erase(upstream);
  }
}

void LoadTracker::MarkOwnChanged(const UpstreamId& upstream) {
  changes_.own.insert(upstream);
  changes_.data_centre.insert(upstream);
  changes_.fleet.insert(upstream);
}

void LoadTracker::Add(const UpstreamId& upstream, const Load& load) {
  own_loads_[upstream] += load;
  MarkOwnChanged(upstream);
}

void LoadTracker::Subtract(const UpstreamId& upstream, const Load& load) {
  const auto entry = own_loads_.find(upstream);
  if (entry == own_loads_.end()) {
    return;
  }
  entry->second -= load;
  if (entry->second == Load()) {
    own_loads_.erase(entry);
  }
  MarkOwnChanged(upstream);
}

void LoadTracker::SetMemberLoad(const HostId& member,
                                const UpstreamId& upstream,
                                const Load& load) {
  if (members_.Set(member.value(), upstream, load)) {
    changes_.data_centre.insert(upstream);
    changes_.fleet.insert(upstream);
  }
}

void LoadTracker::SetDataCentreLoad(const DataCentreId& data_centre,
                                    const UpstreamId& upstream,
                                    const Load& load) {
  if (data_centres_.Set(data_centre.value(), upstream, load)) {
    changes_.fleet.insert(upstream);
  }
}

void LoadTracker::SetFleetLoad(const UpstreamId& upstream, const Load& load) {
  if (load == Load()) {
    fleet_loads_.erase(upstream);
  } else {
    fleet_loads_[upstream] = load;
  }
}

void LoadTracker::RemoveMember(const HostId& member,
                               const std::set<UpstreamId>& kept) {
  const std::set<UpstreamId> changed =
      members_.RemoveSource(member.value(), kept);
  changes_.data_centre.insert(changed.begin(), changed.end());
  changes_.fleet.insert(changed.begin(), changed.end());
}

void LoadTracker::RemoveDataCentre(const DataCentreId& data_centre,
                                   const std::set<UpstreamId>& kept) {
  changes_.fleet.merge(data_centres_.RemoveSource(data_centre.value(), kept));
}

void LoadTracker::RemoveFleetLoads() {
  fleet_loads_.clear();
}

void LoadTracker::RemoveOthersOn(const UpstreamId& upstream) {
  members_.RemoveUpstream(upstream);
  data_centres_.RemoveUpstream(upstream);
  fleet_loads_.erase(upstream);
}

Load LoadTracker::OwnLoad(const UpstreamId& upstream) const {
  return FindLoad(own_loads_, upstream);
}

Load LoadTracker::DataCentreLoad(const UpstreamId& upstream) const {
  Load load = OwnLoad(upstream);
  load += members_.Total(upstream);
  return load;
}

Load LoadTracker::TotalLoad(const UpstreamId& upstream) const {
  Load total = OwnLoad(upstream);
  if (following_) {
    total += FindLoad(fleet_loads_, upstream);
  } else {
    total += members_.Total(upstream);
    total += data_centres_.Total(upstream);
  }
  return total;
}

Load LoadTracker::TotalLoadWithout(const HostId& member,
                                   const UpstreamId& upstream) const {
  Load total = TotalLoad(upstream);
  total -= members_.Of(member.value(), upstream);
  return total;
}

LoadTracker::Changes LoadTracker::ExtractChanges() {
  return std::exchange(changes_, {});
}

LoadTracker::Changes LoadTracker::Loaded() const {
  Changes loaded;
  InsertKeys(own_loads_, &loaded.own);
  loaded.data_centre = loaded.own;
  InsertKeys(members_.totals(), &loaded.data_centre);
  loaded.fleet = loaded.data_centre;
  InsertKeys(data_centres_.totals(), &loaded.fleet);
  if (following_) {
    InsertKeys(fleet_loads_, &loaded.fleet);
  }
  return loaded;
}

}  // namespace dandelion::routing
