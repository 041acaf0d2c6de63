#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "config/check_report.h"
#include "fleet/catalogue.h"

namespace dandelion::fleet {

/// Limits of the daemons' settings that a configuration may contradict.
struct DaemonLimits {
  /// Memory for all callers' requests that arrive or are in progress.
  int64_t request_memory_bytes = INT64_C(48'000'000);
  /// Retry budget: a share of a pool's requests, and some more.
  double retry_ratio = 0.2;
  double retry_slack = 10;
};

/// What a finding of `CheckCatalogue` is about.
enum class Aspect {
  kRouteHost,
  kRoutePrefix,
  kRouteKind,
  kRouteResumable,
  kRouteTimeout,
  kRouteTarget,
  kRouteAttempts,
  kRoutePools,
  kPoolName,
  kPoolSlots,
  kPoolMemory,
  kPoolMigration,
  kPoolCold,
  kHeaderBytes,
  kBodyBytes,
  kIdleTimeout,
};

struct CatalogueFinding {
  config::Severity severity = config::Severity::kWarning;
  Aspect aspect = Aspect::kRouteHost;
  /// Index of the route; 0 if the finding is about no route.
  size_t route = 0;
  /// Name of the pool; empty if the finding is about no pool.
  base::PoolName pool;
  std::string what;
  std::string remedy;
};

/// Finds what a daemon accepts but cannot serve as written: routes that never
/// match, pools that are not defined or that no route names, shares, attempts
/// and times that leave nothing, and limits that contradict each other or
/// `limits`. The order of the result is that of the catalogue.
std::vector<CatalogueFinding> CheckCatalogue(const Catalogue& catalogue,
                                             const DaemonLimits& limits);

}  // namespace dandelion::fleet
