#include "routing/load_tracker.h"

#include <utility>

namespace dandelion::routing {

using base::HostId;
using base::UpstreamId;

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

void LoadTracker::Add(const UpstreamId& upstream, const Load& load) {
  own_loads_[upstream] += load;
  changed_.insert(upstream);
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
  changed_.insert(upstream);
}

void LoadTracker::SetPeerLoad(const HostId& peer,
                              const UpstreamId& upstream,
                              const Load& load) {
  if (load == Load()) {
    peer_loads_[upstream].erase(peer);
  } else {
    peer_loads_[upstream][peer] = load;
  }
}

void LoadTracker::RemovePeerLoads(const HostId& peer) {
  for (auto& [upstream, loads] : peer_loads_) {
    loads.erase(peer);
  }
}

void LoadTracker::RemovePeerLoadsOn(const UpstreamId& upstream) {
  peer_loads_.erase(upstream);
}

Load LoadTracker::OwnLoad(const UpstreamId& upstream) const {
  const auto entry = own_loads_.find(upstream);
  return entry == own_loads_.end() ? Load() : entry->second;
}

Load LoadTracker::TotalLoad(const UpstreamId& upstream) const {
  Load total = OwnLoad(upstream);
  const auto loads = peer_loads_.find(upstream);
  if (loads != peer_loads_.end()) {
    for (const auto& [peer, load] : loads->second) {
      total += load;
    }
  }
  return total;
}

std::set<UpstreamId> LoadTracker::ExtractChanged() {
  return std::exchange(changed_, {});
}

}  // namespace dandelion::routing
