#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace dandelion::routing {

/// Returns the index of the option with the lowest `cost` among those for which
/// `allowed` returns true, or nothing if none is allowed. The first of several
/// equal options wins.
template <typename Option, typename Cost, typename Allowed>
std::optional<size_t> FindCheapest(const std::vector<Option>& options,
                                   Cost cost,
                                   Allowed allowed) {
  std::optional<size_t> best;
  double best_cost = 0;
  for (size_t i = 0; i < options.size(); ++i) {
    if (!allowed(options[i])) {
      continue;
    }
    const double option_cost = cost(options[i]);
    if (!best || option_cost < best_cost) {
      best = i;
      best_cost = option_cost;
    }
  }
  return best;
}

}  // namespace dandelion::routing
