#include "relay/retry_budget.h"

#include <algorithm>

namespace dandelion::relay {

void RetryBudget::OnRequest(const base::OrganisationId& organisation,
                            const base::PoolName& pool) {
  const auto [entry, is_new] =
      budgets_.try_emplace({organisation, pool}, kMaxBudget);
  entry->second = std::min(kMaxBudget, entry->second + kBudgetPerRequest);
}

bool RetryBudget::TrySpend(const base::OrganisationId& organisation,
                           const base::PoolName& pool) {
  const auto [entry, is_new] =
      budgets_.try_emplace({organisation, pool}, kMaxBudget);
  if (entry->second < 1) {
    return false;
  }
  entry->second -= 1;
  return true;
}

}  // namespace dandelion::relay
