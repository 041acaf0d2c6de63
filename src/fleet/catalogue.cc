#include "fleet/catalogue.h"

#include "absl/strings/match.h"

namespace dandelion::fleet {
namespace {

// Returns `host` without its port, if it has one.
std::string_view StripPort(std::string_view host) {
  return host.substr(0, host.rfind(':'));
}

bool SameHost(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                absl::string_view(b.data(), b.size()));
}

}  // namespace

const Route* Catalogue::FindRoute(std::string_view host,
                                  std::string_view path) const {
  const std::string_view name = StripPort(host);
  const Route* best = nullptr;
  for (const Route& route : routes) {
    const bool matches =
        path.starts_with(route.path_prefix) && SameHost(route.host, name);
    if (matches &&
        (!best || route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

const Pool* Catalogue::FindPool(const base::PoolName& name) const {
  const auto entry = pools.find(name);
  return entry == pools.end() ? nullptr : &entry->second;
}

const Pool* ChoosePool(const Catalogue& catalogue,
                       const Route& route,
                       double point) {
  double sum = 0;
  for (const PoolShare& share : route.pools) {
    sum += share.weight;
  }
  double remaining = point * sum;
  const Pool* candidate = nullptr;
  for (const PoolShare& share : route.pools) {
    const Pool* pool = catalogue.FindPool(share.pool);
    if (!pool || share.weight <= 0) {
      continue;
    }
    candidate = pool;
    remaining -= share.weight;
    if (remaining < 0) {
      break;
    }
  }
  return candidate;
}

}  // namespace dandelion::fleet
