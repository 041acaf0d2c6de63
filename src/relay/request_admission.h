#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "fleet/catalogue.h"
#include "relay/platform_protocol.h"

namespace dandelion::relay {

/// Time after which the caller of a stopping daemon should retry. Short,
/// because other daemons accept the request at once.
inline constexpr base::Millis kRetryAtOtherDaemon{20};
/// Reason of a rejection by a stopping daemon.
inline constexpr std::string_view kStoppingReason = "this daemon is stopping";
/// Time after which the caller of a request with a quarantined part should
/// retry.
inline constexpr base::Millis kRetryQuarantined{60'000};
/// Reason of the rejection of such a request.
inline constexpr std::string_view kQuarantineReason =
    "a part of the prompt crashes engines";

/// State of the daemon by which requests are admitted.
struct AdmissionState {
  /// Null until a configuration was received.
  fleet::CataloguePtr catalogue;
  /// Time since the configuration was verified to be the newest.
  base::Millis catalogue_age{0};
  /// Keys are accepted only while `catalogue_age` is less than this.
  base::Millis max_key_age{0};
  /// Routes and keys are denied only while `catalogue_age` is less than this:
  /// the time within which a change, that may have added them, is in force.
  base::Millis max_denial_age{0};
  /// Time by which a stopping daemon must have answered what it accepts; unset
  /// unless it is stopping.
  std::optional<base::Millis> stops_in;
};

/// A request that was admitted.
struct AdmittedRequest {
  fleet::CataloguePtr catalogue;
  /// Time since it was verified to be the newest, at the admission.
  base::Millis catalogue_age{0};
  fleet::Route route;
  /// Empty for requests that need no API key.
  base::OrganisationId organisation;
  /// Priority of the organisation if it has one, else of the route.
  int priority = 0;
  /// Time from arrival until the final answer is due.
  base::Millis time_left{0};
  /// Longest time that the request may take once it is sent to an upstream.
  base::Millis longest{0};
  CallerRequest caller;
  /// A part of the prompt is quarantined, and this request tests whether it
  /// still crashes engines.
  bool tests_quarantine = false;
};

/// The daemon's own answer to a request that was rejected or failed.
struct Rejection {
  /// HTTP status.
  int status = 503;
  std::string reason;
  std::optional<base::Millis> retry_after;
  /// The request was handed over, and another daemon may serve it.
  bool refuses_hand_over = false;
};

/// Admits a request if it has a route, a valid API key where one is needed, and
/// enough time before the daemon stops. Returns the answer to send otherwise.
///
/// A daemon that was disconnected or suspended may have missed that a key was
/// revoked, or that a key or route was added, so an outdated configuration
/// neither accepts a key nor denies a route or key. It answers 503, as does a
/// daemon without a configuration. A
/// stopping daemon rejects what it may not be able to finish: the length of a
/// generation is unknown, so its limit decides and not the caller's estimate.
std::variant<AdmittedRequest, Rejection> AdmitRequest(
    const http::Request& request,
    const absl::StatusOr<CallerRequest>& parsed,
    const AdmissionState& state);

}  // namespace dandelion::relay
