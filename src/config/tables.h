#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace dandelion::config {

/// How a generation is delivered to its caller: as a stream, or at once when it
/// is complete.
enum class Delivery { kStream, kComplete };

/// What the upstreams of a pool are: engines that produce generations, or other
/// services.
enum class PoolKind { kEngine, kService };

/// Which requests a route matches. An empty field matches every request.
struct RouteMatch {
  std::string path;
  base::OrganisationId organisation;
  std::string label;
};

/// A row of the route table.
struct Route {
  base::RouteName name;
  RouteMatch match;
  base::PoolName pool;
  /// The priority class, "short" or "long"; short requests come first.
  std::string request_class = "long";
  /// Whether a request may be retried even if it may have been executed.
  bool idempotent = true;
  Delivery delivery = Delivery::kStream;
};

/// An upstream of a pool.
struct Upstream {
  base::UpstreamId id;
  base::PoolName pool;
  /// The kind of `pool`.
  PoolKind kind = PoolKind::kEngine;
  /// "IP:PORT".
  std::string address;
  base::DataCentreId data_centre;
  /// How many requests it can run at once.
  base::Slots slots;
  /// How many it can run at once just after its start; at most `slots`.
  base::Slots cold_slots;
  /// Parsed from the tables, but not used yet.
  bool checks_fencing = true;
  /// Taken out of service by an operator.
  bool drained = false;
};

/// The routes and upstreams of one configuration version.
struct Tables {
  base::Offset version;
  std::vector<Route> routes;
  std::map<base::PoolName, PoolKind> pools;
  std::map<base::UpstreamId, Upstream> upstreams;
  /// The upstreams of each pool.
  std::map<base::PoolName, std::vector<base::UpstreamId>> upstreams_by_pool;
  /// Data centres that operators took out of service.
  std::set<base::DataCentreId> drained_data_centres;

  /// Whether new requests may go to `upstream`: neither it nor its data centre
  /// is out of service.
  bool IsInService(const Upstream& upstream) const;
  /// Returns the most specific route that matches a request; null if none does.
  /// A route that names the organisation or the label is more specific than one
  /// that only names the path. Of equally specific routes, the first in
  /// `routes` wins.
  const Route* FindRoute(std::string_view path,
                         const base::OrganisationId& organisation,
                         std::string_view label) const;
};

}  // namespace dandelion::config
