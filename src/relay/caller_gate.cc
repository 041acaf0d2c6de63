#include "relay/caller_gate.h"

#include <algorithm>
#include <string_view>

#include "relay/generation_size.h"

namespace dandelion::relay {
namespace {

using base::Millis;

constexpr Millis kRetryWithoutCatalogue{500};
// A plain request that a stop would cut any sooner is not begun.
constexpr Millis kPlainReserve{700};
// Other daemons take the request now.
constexpr Millis kRetryElsewhere{20};
constexpr int kBadRequest = 400;
constexpr int kUnauthorised = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

Millis TimeNeeded(const fleet::Route& route, const CallerRequest& caller) {
  return route.kind == fleet::RequestKind::kGeneration
             ? std::max(kPlainReserve, ExpectedTime(SizeOf(caller)))
             : kPlainReserve;
}

}  // namespace

std::variant<AdmittedRequest, Refusal> PassGate(
    const http::Request& request,
    const absl::StatusOr<CallerRequest>& read,
    const GateState& state) {
  if (!state.catalogue) {
    return Refusal{kUnavailable, "no configuration yet",
                   kRetryWithoutCatalogue};
  }
  if (!read.ok()) {
    return Refusal{kBadRequest, std::string(read.status().message()), {}};
  }
  const fleet::Route* route =
      state.catalogue->FindRoute(request.headers.Find("Host"), request.Path());
  const bool current = state.catalogue_age < state.most_key_age;
  if (!route) {
    if (!current) {
      return Refusal{kUnavailable, "configuration may be outdated",
                     kRetryWithoutCatalogue};
    }
    return Refusal{kNotFound, "no route", {}};
  }
  AdmittedRequest entry;
  entry.catalogue = state.catalogue;
  entry.route = *route;
  entry.priority = route->priority;
  entry.caller = *read;
  if (state.catalogue->needs_keys && !route->is_public) {
    if (!current) {
      return Refusal{kUnavailable, "the key can't be checked",
                     kRetryWithoutCatalogue};
    }
    const auto owner = state.catalogue->organisation_by_key.find(read->key);
    if (owner == state.catalogue->organisation_by_key.end()) {
      return Refusal{kUnauthorised, "unknown key", {}};
    }
    entry.organisation = owner->second.name;
    entry.priority = owner->second.priority.value_or(route->priority);
  }
  if (state.stops_in && TimeNeeded(*route, *read) > *state.stops_in) {
    return Refusal{kUnavailable, "this daemon stops", kRetryElsewhere};
  }
  entry.time_left =
      std::min(route->timeout, read->deadline.value_or(route->timeout));
  return entry;
}

}  // namespace dandelion::relay
