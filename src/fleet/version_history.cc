#include "fleet/version_history.h"

namespace dandelion::fleet {

using base::Millis;

void VersionHistory::Record(const UpstreamList& upstreams,
                            Millis verified_at,
                            Millis now) {
  if (!known_since_ || verified_at - verified_at_ > kMaxGap) {
    known_since_ = now;
  }
  verified_at_ = verified_at;
  for (const auto& [id, upstream] : upstreams.listed_upstreams()) {
    RecordListed(upstream, now);
  }
  for (auto& [pool, versions] : last_listed_) {
    std::erase_if(versions, [now](const auto& item) {
      return now - item.second > kRetention;
    });
  }
}

void VersionHistory::RecordListed(const Upstream& upstream, Millis now) {
  last_listed_[upstream.entry.pool][upstream.entry.version] = now;
}

std::optional<base::SoftwareVersion> VersionHistory::OnlyVersion(
    const base::PoolName& pool,
    Millis since,
    Millis until) const {
  const bool is_known = known_since_ && *known_since_ <= since &&
                        verified_at_ >= until &&
                        until - since < kRetention - kMaxGap;
  const auto listed = last_listed_.find(pool);
  if (!is_known || listed == last_listed_.end()) {
    return std::nullopt;
  }
  std::optional<base::SoftwareVersion> only;
  for (const auto& [version, last_listed] : listed->second) {
    // It may have been listed up to the next record.
    if (last_listed + kMaxGap < since) {
      continue;
    }
    if (only) {
      return std::nullopt;
    }
    only = version;
  }
  return only;
}

}  // namespace dandelion::fleet
