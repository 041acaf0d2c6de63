#pragma once

#include <optional>
#include <string>
#include <variant>

#include "fleet/catalogue.h"
#include "relay/dialect.h"

namespace dandelion::relay {

/// What the gate decides by, beside the request.
struct GateState {
  /// Null until a configuration is known.
  fleet::CataloguePtr catalogue;
  /// How long ago the configuration was proved to be the newest.
  base::Millis catalogue_age{0};
  /// A key is trusted only while the configuration is younger than this.
  base::Millis most_key_age{0};
  /// While the daemon stops: the time until it cuts what still runs.
  std::optional<base::Millis> stops_in;
};

/// A request that may go on.
struct AdmittedRequest {
  fleet::CataloguePtr catalogue;
  fleet::Route route;
  base::OrganisationId organisation;
  int priority = 0;
  /// The final answer is due after this time.
  base::Millis time_left{0};
  CallerRequest caller;
};

/// An answer without any upstream.
struct Refusal {
  int status = 503;
  std::string reason;
  std::optional<base::Millis> retry_after;
};

/// Decides whether a request may enter: a route, a key that is known to be
/// valid, and time left to serve it.
///
/// Load pattern: keys taken away while daemons are cut off or suspended; a
/// daemon that has no configuration yet never denies a route or a key; long
/// drafts on kept connections to a daemon that stops, which would cut them.
std::variant<AdmittedRequest, Refusal> PassGate(
    const http::Request& request,
    const absl::StatusOr<CallerRequest>& read,
    const GateState& state);

}  // namespace dandelion::relay
