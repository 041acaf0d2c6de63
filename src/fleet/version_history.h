#pragma once

#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/upstream_list.h"

namespace dandelion::fleet {

/// The versions at which each pool's upstreams were listed, and when they last
/// were. Tells which version must have begun a stream whose upstream is not
/// known, provided that the list was known all that time. An upstream that the
/// list's last verification did not show yet is not taken into account.
class VersionHistory {
 public:
  /// Longest time between two records of a list that counts as known all along,
  /// and oldest list that counts as current. No upstream is listed and gone
  /// again within it.
  static constexpr base::Millis kMaxGap{3000};
  /// How long a version is remembered that is not listed any more.
  static constexpr base::Millis kRetention{3'600'000};

  /// Records all upstreams that are listed, usable or not. To be called more
  /// often than `kMaxGap`. `is_current` says whether the list was verified
  /// within that time; if not, what happened before is unknown from then on.
  void Record(const UpstreamList& upstreams, bool is_current, base::Millis now);
  /// Records one upstream between two calls of `Record`.
  void RecordListed(const Upstream& upstream, base::Millis now);

  /// Returns the only version of the pool's upstreams that can have been sent
  /// requests since `since`. Empty if there were none or several, or if the
  /// list was not known all that time.
  std::optional<base::SoftwareVersion> OnlyVersion(const base::PoolName& pool,
                                                   base::Millis since,
                                                   base::Millis now) const;

 private:
  /// Since when the list has been known without a gap.
  std::optional<base::Millis> known_since_;
  /// The last record of a current list.
  base::Millis recorded_at_{0};
  /// When each version was last listed.
  std::map<base::PoolName, std::map<base::SoftwareVersion, base::Millis>>
      last_listed_;
};

}  // namespace dandelion::fleet
