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
  /// Longest time between two verifications of a list that counts as known all
  /// along. No upstream is listed and gone again within it.
  static constexpr base::Millis kMaxGap{3000};
  /// How long a version is remembered that is not listed any more.
  static constexpr base::Millis kRetention{3'600'000};

  /// Records all upstreams that are listed, usable or not. To be called more
  /// often than `kMaxGap`. The list was last verified as of `verified_at`; if
  /// that is later than the verification before by more than `kMaxGap`, what
  /// happened before is unknown from then on.
  void Record(const UpstreamList& upstreams,
              base::Millis verified_at,
              base::Millis now);
  /// Records one upstream between two calls of `Record`.
  void RecordListed(const Upstream& upstream, base::Millis now);

  /// Returns the only version of the pool's upstreams that can have been sent
  /// requests from `since` to `until`. Empty if there were none or several, or
  /// if the list was not known all that time: it must have been verified as of
  /// `until` or later, as others may know upstreams that it does not show yet.
  std::optional<base::SoftwareVersion> OnlyVersion(const base::PoolName& pool,
                                                   base::Millis since,
                                                   base::Millis until) const;

 private:
  /// Since when the list has been known without a gap.
  std::optional<base::Millis> known_since_;
  /// As of when the list that was recorded last was verified.
  base::Millis verified_at_{0};
  /// When each version was last listed.
  std::map<base::PoolName, std::map<base::SoftwareVersion, base::Millis>>
      last_listed_;
};

}  // namespace dandelion::fleet
