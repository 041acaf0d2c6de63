#pragma once

#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "base/task.h"
#include "relay/placer.h"

namespace dandelion::relay {

/// Result of a wait for an upstream.
struct WaitResult {
  /// The upstream; empty if the request got none.
  std::optional<migration::Place> place;
  /// Predicted time until an upstream has capacity, if known.
  std::optional<base::Millis> capacity_in;
  /// The request may no longer be sent, because the daemon stops.
  bool stopping = false;
  /// The request may no longer be sent, because a part of its prompt crashes
  /// engines.
  bool quarantined = false;
  /// A stream goes on only at a version of which no upstream can be used.
  bool version_gone = false;
};

/// Requests a place and waits for it until `request.wait_until`. Cancelling
/// `wake` ends the wait early.
base::Task<WaitResult> WaitForPlace(Placer& placer,
                                    base::Clock clock,
                                    PlaceRequest request,
                                    boost::asio::steady_timer& wake);

}  // namespace dandelion::relay
