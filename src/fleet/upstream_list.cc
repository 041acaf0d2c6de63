#include "fleet/upstream_list.h"

#include <utility>

namespace dandelion::fleet {

using base::Millis;

void UpstreamList::ApplyEntry(const base::UpstreamId& id,
                              std::optional<UpstreamEntry> entry,
                              Millis now) {
  if (!entry) {
    Remove(id, now);
    return;
  }
  const auto known = listed_upstreams_.find(id);
  const bool is_new = known == listed_upstreams_.end();
  const bool restarted =
      !is_new && known->second.entry.started_at != entry->started_at;
  if (restarted) {
    listed_upstreams_.erase(known);
    hooks_.on_restarted(id);
  }
  Upstream& upstream = listed_upstreams_[id];
  if (is_new || restarted) {
    upstream.id = id;
    upstream.listed_at = now;
  }
  const bool was_leaving = upstream.leaving_since.has_value();
  upstream.entry = *std::move(entry);
  upstream.cold_until = now + upstream.entry.cold_remaining;
  if (upstream.entry.leaving && !was_leaving) {
    upstream.leaving_since = now;
  } else if (!upstream.entry.leaving && !upstream.said_leaving) {
    upstream.leaving_since.reset();
  }
  if (is_new || restarted) {
    hooks_.on_listed(upstream);
  }
  if (upstream.leaving_since && !was_leaving) {
    hooks_.on_leaving(upstream, "draining");
  }
}

void UpstreamList::Remove(const base::UpstreamId& id, Millis now) {
  const auto known = listed_upstreams_.find(id);
  if (known == listed_upstreams_.end() || known->second.leaving_since) {
    return;
  }
  known->second.leaving_since = now;
  // An entry that expired during an outage of the store does not tell that the
  // upstream is leaving.
  if (now >= relist_grace_until_) {
    hooks_.on_leaving(known->second, "entry gone");
  }
}

void UpstreamList::MarkLeaving(const base::UpstreamId& id,
                               std::string_view reason,
                               Millis now) {
  const auto known = listed_upstreams_.find(id);
  if (known == listed_upstreams_.end()) {
    return;
  }
  known->second.said_leaving = true;
  if (known->second.leaving_since) {
    return;
  }
  known->second.leaving_since = now;
  hooks_.on_leaving(known->second, reason);
}

void UpstreamList::SetEvacuated(const base::DataCentreId& data_centre,
                                bool evacuated) {
  if (evacuated) {
    evacuated_.insert(data_centre);
  } else {
    evacuated_.erase(data_centre);
  }
}

void UpstreamList::Prune(Millis now) {
  std::erase_if(listed_upstreams_, [now](const auto& item) {
    const Upstream& upstream = item.second;
    return upstream.leaving_since &&
           now - *upstream.leaving_since > kRemovedRetention;
  });
}

bool UpstreamList::IsUsable(const Upstream& upstream) const {
  return !upstream.leaving_since && !IsEvacuated(upstream.entry.data_centre);
}

const Upstream* UpstreamList::Find(const base::UpstreamId& id) const {
  const auto known = listed_upstreams_.find(id);
  return known == listed_upstreams_.end() ? nullptr : &known->second;
}

std::vector<const Upstream*> UpstreamList::UsableInPool(
    const base::PoolName& pool) const {
  std::vector<const Upstream*> usable;
  for (const auto& [id, upstream] : listed_upstreams_) {
    if (upstream.entry.pool == pool && IsUsable(upstream)) {
      usable.push_back(&upstream);
    }
  }
  return usable;
}

size_t UpstreamList::CountListed(const base::PoolName& pool) const {
  size_t count = 0;
  for (const auto& [id, upstream] : listed_upstreams_) {
    const bool listed = !upstream.leaving_since || upstream.entry.leaving;
    count += listed && upstream.entry.pool == pool ? 1 : 0;
  }
  return count;
}

}  // namespace dandelion::fleet
