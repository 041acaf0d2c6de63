#include "fleet/catalogue_check.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace dandelion::fleet {
namespace {

using base::Millis;
using config::Severity;

/// Collects the findings about one catalogue.
class CatalogueCheck {
 public:
  CatalogueCheck(const Catalogue& catalogue, const DaemonLimits& limits)
      : catalogue_(catalogue), limits_(limits) {}

  std::vector<CatalogueFinding> Run() {
    for (route_ = 0; route_ < catalogue_.routes.size(); ++route_) {
      const Route& route = catalogue_.routes[route_];
      CheckMatch(route);
      CheckKind(route);
      CheckTimes(route);
      CheckAttempts(route);
      CheckPools(route);
    }
    route_ = 0;
    for (const auto& [name, pool] : catalogue_.pools) {
      pool_ = name;
      CheckPool(pool);
    }
    pool_ = base::PoolName();
    CheckLimits();
    return std::move(findings_);
  }

 private:
  void Add(Severity severity,
           Aspect aspect,
           std::string what,
           std::string remedy) {
    findings_.push_back(
        {severity, aspect, route_, pool_, std::move(what), std::move(remedy)});
  }
  void Warn(Aspect aspect, std::string what, std::string remedy) {
    Add(Severity::kWarning, aspect, std::move(what), std::move(remedy));
  }
  void Fail(Aspect aspect, std::string what, std::string remedy) {
    Add(Severity::kError, aspect, std::move(what), std::move(remedy));
  }

  // Of the routes that match a request the one with the longest prefix is
  // chosen, and of equal ones the first.
  void CheckMatch(const Route& route) {
    if (route.host.empty() || route.host.find(':') != std::string::npos) {
      Fail(Aspect::kRouteHost,
           "never matches: hosts are compared without their port",
           "write the host's name alone");
    }
    if (!route.path_prefix.starts_with('/') ||
        !route.path_prefix.ends_with('/')) {
      Fail(Aspect::kRoutePrefix, "does not begin and end with a slash",
           "paths are matched by whole segments; write /NAME/");
    }
    const auto [earlier, is_first] = first_route_.emplace(
        std::pair(absl::AsciiStrToLower(route.host), route.path_prefix),
        route_);
    if (!is_first) {
      Warn(Aspect::kRoutePrefix,
           absl::StrCat("never matches: routes[", earlier->second,
                        "] has the same host and prefix and comes first"),
           "remove one of them or make its prefix longer");
    }
  }

  void CheckKind(const Route& route) {
    if (route.resumable && route.kind != RequestKind::kGeneration) {
      Warn(Aspect::kRouteResumable, "has no effect on requests of this kind",
           "only streams are resumed; remove it or correct the kind");
    }
  }

  void CheckTimes(const Route& route) {
    if (route.timeout <= Millis(0)) {
      Fail(Aspect::kRouteTimeout, "leaves no time for any answer",
           "set it to the longest time that a caller is kept waiting");
    } else if (route.answer_target > route.timeout) {
      Warn(Aspect::kRouteTarget,
           absl::StrCat("the target of ", route.answer_target.count(),
                        " ms is beyond the time limit of ",
                        route.timeout.count(), " ms"),
           "an answer at the target would be given up; lower the target or "
           "raise the time limit");
    }
  }

  void CheckAttempts(const Route& route) {
    if (route.max_upstreams < 1) {
      Fail(Aspect::kRouteAttempts, "allows no attempt: every request fails",
           "set it to 1 or more");
    } else if (route.max_upstreams > 1 && limits_.retry_ratio <= 0 &&
               limits_.retry_slack <= 0) {
      Warn(Aspect::kRouteAttempts,
           "allows retries, but the daemons' retry budget is 0",
           "raise the budget in the settings or set it to 1");
    }
  }

  void CheckPools(const Route& route) {
    double sum = 0;
    bool all_fractions = true;
    bool any_positive = false;
    std::set<base::PoolName> seen;
    for (const PoolShare& share : route.pools) {
      if (!catalogue_.FindPool(share.pool)) {
        Fail(Aspect::kRoutePools,
             absl::StrCat("no pool is named \"", share.pool.value(), "\""),
             "add the pool or correct the name");
      }
      if (!seen.insert(share.pool).second) {
        Warn(Aspect::kRoutePools,
             absl::StrCat("names \"", share.pool.value(), "\" twice"),
             "add up its weights in one entry");
      }
      if (share.weight <= 0 && route.pools.size() > 1) {
        Warn(Aspect::kRoutePools,
             absl::StrCat("\"", share.pool.value(),
                          "\" has no positive weight and gets nothing"),
             "remove the entry or set its weight");
      }
      named_.insert(share.pool);
      sum += std::max(0.0, share.weight);
      any_positive |= share.weight > 0;
      all_fractions &= share.weight > 0 && share.weight < 1;
    }
    if (!any_positive) {
      Fail(Aspect::kRoutePools,
           "no pool has a positive weight: every request fails",
           "set the weights");
    }
    constexpr double kRounding = 0.001;
    if (all_fractions && std::abs(sum - 1) > kRounding) {
      Warn(
          Aspect::kRoutePools,
          absl::StrCat("the weights add up to ", sum, ", not to 1"),
          "they count relative to their sum; correct them if shares are meant");
    }
  }

  void CheckPool(const Pool& pool) {
    if (!named_.contains(pool.name)) {
      Warn(Aspect::kPoolName, "no route names this pool",
           "add a route or remove the pool");
    }
    if (pool.cold_requests_per_second < 0) {
      Fail(Aspect::kPoolCold, "is negative: cold upstreams get nothing",
           "set it to the rate that a cold upstream takes, or 0 for no limit");
    }
    if (!pool.engine) {
      return;
    }
    if (pool.engine->slots < 1) {
      Fail(Aspect::kPoolSlots, "leaves no slot for any request",
           "set it to the requests that an engine runs at a time");
    }
    if (pool.engine->memory_tokens < 1) {
      Fail(Aspect::kPoolMemory, "leaves no memory for any generation",
           "set it to the engine's memory in tokens");
    }
    if (pool.engine->can_migrate &&
        (pool.engine->link_mbps <= 0 || pool.engine->bytes_per_token <= 0)) {
      Warn(Aspect::kPoolMigration,
           "generations may move, but the link's speed or the bytes of a token "
           "are not given",
           "set both; the time that a move takes is computed from them");
    }
  }

  void CheckLimits() {
    const CallerLimits& caller = catalogue_.limits;
    const auto memory = static_cast<size_t>(limits_.request_memory_bytes);
    if (caller.body_bytes > memory) {
      Warn(Aspect::kBodyBytes,
           absl::StrCat("a body of ", caller.body_bytes,
                        " bytes is beyond the daemons' memory for requests, ",
                        memory),
           "lower it or give the daemons more memory; larger bodies are "
           "refused with 503");
    }
    if (caller.header_bytes > memory) {
      Warn(Aspect::kHeaderBytes,
           absl::StrCat("a head of ", caller.header_bytes,
                        " bytes is beyond the daemons' memory for requests, ",
                        memory),
           "lower it or give the daemons more memory");
    }
    if (caller.header_bytes == 0) {
      Fail(Aspect::kHeaderBytes, "allows no request at all",
           "set it to the largest head that callers send");
    }
    if (caller.idle_timeout < caller.header_timeout) {
      Warn(Aspect::kIdleTimeout,
           absl::StrCat("an idle connection is closed after ",
                        caller.idle_timeout.count(),
                        " ms, before the time for a head, ",
                        caller.header_timeout.count(), " ms"),
           "raise it, or lower the time for a head");
    }
  }

  const Catalogue& catalogue_;
  const DaemonLimits& limits_;
  size_t route_ = 0;
  base::PoolName pool_;
  std::map<std::pair<std::string, std::string>, size_t> first_route_;
  std::set<base::PoolName> named_;
  std::vector<CatalogueFinding> findings_;
};

}  // namespace

std::vector<CatalogueFinding> CheckCatalogue(const Catalogue& catalogue,
                                             const DaemonLimits& limits) {
  return CatalogueCheck(catalogue, limits).Run();
}

}  // namespace dandelion::fleet
