#include "relay/retry_budget.h"

#include <algorithm>

namespace dandelion::relay {

void RetryBudget::OnRequest(const base::OrganisationId& organisation,
                            const base::PoolName& pool) {
  const auto [entry, is_new] = left_.try_emplace({organisation, pool}, kMost);
  entry->second = std::min(kMost, entry->second + kPerRequest);
}

bool RetryBudget::TrySpend(const base::OrganisationId& organisation,
                           const base::PoolName& pool) {
  const auto [entry, is_new] = left_.try_emplace({organisation, pool}, kMost);
  if (entry->second < 1) {
    return false;
  }
  entry->second -= 1;
  return true;
}

}  // namespace dandelion::relay
