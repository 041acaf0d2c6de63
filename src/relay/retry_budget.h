#pragma once

#include <map>
#include <utility>

#include "base/ids.h"

namespace dandelion::relay {

/// Limits retries to a share of the requests, per organisation and pool, so
/// that retries can't sustain an overload.
class RetryBudget {
 public:
  /// Retries that each request adds to the budget.
  static constexpr double kBudgetPerRequest = 0.2;
  /// Size of a full budget, in retries. Budgets start full.
  static constexpr double kMaxBudget = 20;

  /// Adds a request's share to the budget.
  void OnRequest(const base::OrganisationId& organisation,
                 const base::PoolName& pool);
  /// Spends one retry. Returns false if less than one is left.
  bool TrySpend(const base::OrganisationId& organisation,
                const base::PoolName& pool);

 private:
  using Key = std::pair<base::OrganisationId, base::PoolName>;
  std::map<Key, double> budgets_;
};

}  // namespace dandelion::relay
