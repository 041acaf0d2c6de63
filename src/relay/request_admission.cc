#include "relay/request_admission.h"

#include <algorithm>
#include <string_view>

#include "relay/generation_size.h"

namespace dandelion::relay {
namespace {

using base::Millis;

constexpr Millis kRetryWithoutCatalogue{500};
// Time that a plain request is assumed to need. A stopping daemon that has less
// left rejects the request.
constexpr Millis kPlainRequestTime{700};
// Short, because other daemons accept the request at once.
constexpr Millis kRetryAtOtherDaemon{20};
constexpr int kBadRequest = 400;
constexpr int kUnauthorised = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

Millis TimeNeeded(const fleet::Route& route, const CallerRequest& caller) {
  return route.kind == fleet::RequestKind::kGeneration
             ? std::max(kPlainRequestTime,
                        EstimateDuration(EstimateSize(caller)))
             : kPlainRequestTime;
}

}  // namespace

std::variant<AdmittedRequest, Rejection> AdmitRequest(
    const http::Request& request,
    const absl::StatusOr<CallerRequest>& parsed,
    const AdmissionState& state) {
  if (!state.catalogue) {
    return Rejection{kUnavailable, "no configuration received yet",
                     kRetryWithoutCatalogue};
  }
  if (!parsed.ok()) {
    return Rejection{kBadRequest, std::string(parsed.status().message()), {}};
  }
  const fleet::Route* route =
      state.catalogue->FindRoute(request.headers.Find("Host"), request.Path());
  const bool current = state.catalogue_age < state.max_key_age;
  if (!route) {
    if (!current) {
      return Rejection{kUnavailable, "configuration may be outdated",
                       kRetryWithoutCatalogue};
    }
    return Rejection{kNotFound, "no route matches the host and path", {}};
  }
  AdmittedRequest admitted;
  admitted.catalogue = state.catalogue;
  admitted.route = *route;
  admitted.priority = route->priority;
  admitted.caller = *parsed;
  if (state.catalogue->needs_keys && !route->is_public) {
    if (!current) {
      return Rejection{
          kUnavailable,
          "the key can't be checked: configuration may be outdated",
          kRetryWithoutCatalogue};
    }
    const auto owner = state.catalogue->organisation_by_key.find(parsed->key);
    if (owner == state.catalogue->organisation_by_key.end()) {
      return Rejection{kUnauthorised, "unknown key", {}};
    }
    admitted.organisation = owner->second.name;
    admitted.priority = owner->second.priority.value_or(route->priority);
  }
  admitted.time_needed = TimeNeeded(*route, *parsed);
  if (state.stops_in && admitted.time_needed > *state.stops_in) {
    return Rejection{kUnavailable, "this daemon is stopping",
                     kRetryAtOtherDaemon};
  }
  admitted.time_left =
      std::min(route->timeout, parsed->deadline.value_or(route->timeout));
  return admitted;
}

}  // namespace dandelion::relay
