#include "fleet/catalogue.h"

#include "absl/strings/match.h"

namespace dandelion::fleet {
namespace {

// The host without its port.
std::string_view HostName(std::string_view host) {
  return host.substr(0, host.rfind(':'));
}

bool SameHost(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                absl::string_view(b.data(), b.size()));
}

}  // namespace

const Route* Catalogue::FindRoute(std::string_view host,
                                  std::string_view path) const {
  const std::string_view name = HostName(host);
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
  double left = point * sum;
  const Pool* last = nullptr;
  for (const PoolShare& share : route.pools) {
    const Pool* pool = catalogue.FindPool(share.pool);
    if (!pool || share.weight <= 0) {
      continue;
    }
    last = pool;
    left -= share.weight;
    if (left < 0) {
      break;
    }
  }
  return last;
}

}  // namespace dandelion::fleet
