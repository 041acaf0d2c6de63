#pragma once

#include <optional>
#include <vector>

#include "base/ids.h"
#include "fleet/upstream_list.h"

namespace dandelion::rollout {

/// Which upstreams of a pool may take a request while the pool is rolled out.
struct VersionRule {
  base::SoftwareVersion target;
  /// Requests whose draw is below go to the target version.
  double share = 0;
  /// The target version may take all requests if the old one has no upstream.
  bool target_may_replace_old = false;
};

/// The upstreams that a request may use.
struct VersionChoice {
  std::vector<const fleet::Upstream*> preferred;
  /// To be used if none of the preferred ones has capacity.
  std::vector<const fleet::Upstream*> others;
};

/// Divides the usable upstreams of a pool for one request. `draw` is in [0, 1).
///
/// A share of the requests goes to as many upstreams of the target version as
/// the same share of the old ones, so that each is as loaded as an old one: a
/// version may be bad under load only. All daemons select the same ones.
VersionChoice ChooseVersions(const VersionRule& rule,
                             double draw,
                             bool is_retry,
                             const std::vector<const fleet::Upstream*>& usable);

}  // namespace dandelion::rollout
