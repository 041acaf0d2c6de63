#include "relay/request_admission.h"

#include <algorithm>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "relay/generation_size.h"

namespace dandelion::relay {
namespace {

using base::Millis;

constexpr Millis kRetryWithoutCatalogue{500};
constexpr std::string_view kOutdated = "configuration may be outdated";
// Least time that a plain request is given to be answered.
constexpr Millis kPlainRequestTime{700};
// A plain request is answered within this many times its answer target, even if
// its upstream is slow.
constexpr int64_t kSlowAnswerInTargets = 5;
constexpr int kBadRequest = 400;
constexpr int kUnauthorised = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// Returns the longest time that a request may take once it is sent. The final
// answer is due after `time_left`, however long the request still runs.
Millis LongestTime(const fleet::Route& route,
                   const CallerRequest& caller,
                   Millis time_left) {
  if (route.kind != fleet::RequestKind::kGeneration) {
    return std::max(
        kPlainRequestTime,
        std::min(time_left, route.answer_target * kSlowAnswerInTargets));
  }
  const Millis longest =
      std::min(time_left, LongestDuration(caller).value_or(time_left));
  return std::max(
      {kPlainRequestTime, longest, EstimateDuration(EstimateSize(caller))});
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
  const bool may_deny = state.catalogue_age < state.max_denial_age;
  if (!route) {
    if (!may_deny) {
      return Rejection{kUnavailable, std::string(kOutdated),
                       kRetryWithoutCatalogue};
    }
    return Rejection{kNotFound, "no route matches the host and path", {}};
  }
  AdmittedRequest admitted;
  admitted.catalogue = state.catalogue;
  admitted.catalogue_age = state.catalogue_age;
  admitted.route = *route;
  admitted.priority = route->priority;
  admitted.caller = *parsed;
  if (state.catalogue->needs_keys && !route->is_public) {
    const auto owner = state.catalogue->organisation_by_key.find(parsed->key);
    const bool is_known = owner != state.catalogue->organisation_by_key.end();
    const bool may_judge =
        is_known ? state.catalogue_age < state.max_key_age : may_deny;
    if (!may_judge) {
      return Rejection{
          kUnavailable,
          absl::StrCat("the key can't be checked: ",
                       absl::string_view(kOutdated.data(), kOutdated.size())),
          kRetryWithoutCatalogue};
    }
    if (!is_known) {
      return Rejection{kUnauthorised, "unknown key", {}};
    }
    admitted.organisation = owner->second.name;
    admitted.priority = owner->second.priority.value_or(route->priority);
  }
  admitted.time_left =
      std::min(route->timeout, parsed->deadline.value_or(route->timeout));
  admitted.longest = LongestTime(*route, *parsed, admitted.time_left);
  if (state.stops_in && admitted.longest > *state.stops_in) {
    return Rejection{kUnavailable, std::string(kStoppingReason),
                     kRetryAtOtherDaemon};
  }
  return admitted;
}

}  // namespace dandelion::relay
