#pragma once

#include <optional>
#include <string>
#include <variant>

#include "fleet/catalogue.h"
#include "relay/platform_protocol.h"

namespace dandelion::relay {

/// State of the daemon by which requests are admitted.
struct AdmissionState {
  /// Null until a configuration was received.
  fleet::CataloguePtr catalogue;
  /// Time since the configuration was verified to be the newest.
  base::Millis catalogue_age{0};
  /// Keys are accepted, and unknown routes denied, only while `catalogue_age`
  /// is less than this.
  base::Millis max_key_age{0};
  /// Time until a stopping daemon aborts running requests; unset unless it is
  /// stopping.
  std::optional<base::Millis> stops_in;
};

/// A request that was admitted.
struct AdmittedRequest {
  fleet::CataloguePtr catalogue;
  fleet::Route route;
  /// Empty for requests that need no API key.
  base::OrganisationId organisation;
  /// Priority of the organisation if it has one, else of the route.
  int priority = 0;
  /// Time from arrival until the final answer is due.
  base::Millis time_left{0};
  /// Time that the request was estimated to need.
  base::Millis time_needed{0};
  CallerRequest caller;
};

/// The daemon's own answer to a request that was rejected or failed.
struct Rejection {
  /// HTTP status.
  int status = 503;
  std::string reason;
  std::optional<base::Millis> retry_after;
};

/// Admits a request if it has a route, a valid API key where one is needed, and
/// enough time before the daemon stops. Returns the answer to send otherwise.
///
/// A daemon that was disconnected or suspended may have missed that a key was
/// revoked, so an outdated configuration neither accepts a key nor denies a
/// route or key. It answers 503, as does a daemon without a configuration. A
/// stopping daemon rejects what it could not finish, such as long generations
/// that arrive on keep-alive connections.
std::variant<AdmittedRequest, Rejection> AdmitRequest(
    const http::Request& request,
    const absl::StatusOr<CallerRequest>& parsed,
    const AdmissionState& state);

}  // namespace dandelion::relay
