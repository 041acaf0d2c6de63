#include "rollout/version_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace dandelion::rollout {
namespace {

using Upstreams = std::vector<const fleet::Upstream*>;

uint64_t HashOf(const fleet::Upstream* upstream) {
  const std::string& id = upstream->id.value();
  return XXH3_64bits(id.data(), id.size());
}

// Keeps as many upstreams of `targets` as `share` is of `old_count`, rounded
// down so that none is less loaded than an old one if there are enough
// requests.
void Reduce(double share, size_t old_count, Upstreams* targets) {
  const double wanted = std::floor(share * static_cast<double>(old_count));
  const size_t kept = std::clamp<size_t>(static_cast<size_t>(wanted), 1,
                                         std::max<size_t>(1, targets->size()));
  if (kept >= targets->size()) {
    return;
  }
  std::sort(targets->begin(), targets->end(),
            [](const fleet::Upstream* a, const fleet::Upstream* b) {
              return HashOf(a) < HashOf(b);
            });
  targets->resize(kept);
}

}  // namespace

VersionChoice ChooseVersions(const VersionRule& rule,
                             double draw,
                             bool is_retry,
                             const Upstreams& usable) {
  Upstreams old;
  Upstreams targets;
  for (const fleet::Upstream* upstream : usable) {
    (upstream->entry.version == rule.target ? targets : old)
        .push_back(upstream);
  }
  if (rule.share >= 1) {
    return {std::move(targets), std::move(old)};
  }
  if (old.empty()) {
    return {rule.target_may_replace_old ? std::move(targets) : Upstreams(), {}};
  }
  if (is_retry || draw >= rule.share) {
    return {std::move(old), {}};
  }
  Reduce(rule.share, old.size(), &targets);
  return {std::move(targets), std::move(old)};
}

}  // namespace dandelion::rollout
