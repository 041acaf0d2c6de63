#pragma once

#include <map>
#include <utility>

#include "base/ids.h"

namespace dandelion::relay {

/// Limits repeated sends to a share of the first ones, per organisation and
/// pool, so that an overload cannot feed itself.
class RetryBudget {
 public:
  static constexpr double kPerRequest = 0.2;
  static constexpr double kMost = 20;

  void OnRequest(const base::OrganisationId& organisation,
                 const base::PoolName& pool);
  /// Spends one retry; false if the budget is empty.
  bool TrySpend(const base::OrganisationId& organisation,
                const base::PoolName& pool);

 private:
  using Key = std::pair<base::OrganisationId, base::PoolName>;
  std::map<Key, double> left_;
};

}  // namespace dandelion::relay
