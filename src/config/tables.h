#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace dandelion::config {

/// How an answer reaches its caller.
enum class Delivery { kStream, kWhole };

/// What stands behind a pool.
enum class PoolKind { kEngine, kService };

/// Which requests a route takes. An empty field matches anything.
struct RouteMatch {
  std::string path;
  base::OrganisationId organisation;
  std::string label;
};

/// One row of the route table.
struct Route {
  base::RouteName name;
  RouteMatch match;
  base::PoolName pool;
  /// Names the priority class: "short" goes before "long".
  std::string request_class = "long";
  /// Whether a request may be sent a second time after a failure.
  bool idempotent = true;
  Delivery delivery = Delivery::kStream;
};

/// One upstream of a pool.
struct Upstream {
  base::UpstreamId id;
  base::PoolName pool;
  PoolKind kind = PoolKind::kEngine;
  /// "IP:PORT".
  std::string address;
  base::DataCentreId data_centre;
  /// Requests that it bears at once, warm and just started.
  base::Slots slots;
  base::Slots cold_slots;
  bool checks_fencing = true;
  /// Taken out by an operator.
  bool drained = false;
};

/// The two tables of one version, joined.
struct Tables {
  base::Offset version;
  std::vector<Route> routes;
  std::map<base::PoolName, PoolKind> pools;
  std::map<base::UpstreamId, Upstream> upstreams;
  std::map<base::PoolName, std::vector<base::UpstreamId>> members;
  std::set<base::DataCentreId> out_of_service;

  /// Whether operators let new work go to `upstream`.
  bool InService(const Upstream& upstream) const;
  /// The most specific route for a request; null if none matches.
  const Route* FindRoute(std::string_view path,
                         const base::OrganisationId& organisation,
                         std::string_view label) const;
};

}  // namespace dandelion::config
