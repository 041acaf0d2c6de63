#include "routing/load_book.h"

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

void LoadBook::Add(const UpstreamId& upstream, const Load& load) {
  own_[upstream] += load;
  changed_.insert(upstream);
}

void LoadBook::Subtract(const UpstreamId& upstream, const Load& load) {
  const auto entry = own_.find(upstream);
  if (entry == own_.end()) {
    return;
  }
  entry->second -= load;
  if (entry->second == Load()) {
    own_.erase(entry);
  }
  changed_.insert(upstream);
}

void LoadBook::SetPeer(const HostId& peer,
                       const UpstreamId& upstream,
                       const Load& load) {
  if (load == Load()) {
    peers_[upstream].erase(peer);
  } else {
    peers_[upstream][peer] = load;
  }
}

void LoadBook::DropPeer(const HostId& peer) {
  for (auto& [upstream, loads] : peers_) {
    loads.erase(peer);
  }
}

void LoadBook::Forget(const UpstreamId& upstream) {
  peers_.erase(upstream);
}

Load LoadBook::Own(const UpstreamId& upstream) const {
  const auto entry = own_.find(upstream);
  return entry == own_.end() ? Load() : entry->second;
}

Load LoadBook::Total(const UpstreamId& upstream) const {
  Load total = Own(upstream);
  const auto loads = peers_.find(upstream);
  if (loads != peers_.end()) {
    for (const auto& [peer, load] : loads->second) {
      total += load;
    }
  }
  return total;
}

std::set<UpstreamId> LoadBook::TakeChanged() {
  return std::exchange(changed_, {});
}

}  // namespace dandelion::routing
