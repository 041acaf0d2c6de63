#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::kernel {

/// Settings of a forwarding daemon.
struct FleetSettings {
  base::HostId host;
  base::DataCentreId data_centre;
  /// Where callers connect.
  boost::asio::ip::tcp::endpoint callers;
  /// Where the balancer asks whether this daemon takes callers.
  boost::asio::ip::tcp::endpoint readiness;
  /// Where metrics are served.
  boost::asio::ip::tcp::endpoint metrics;
  /// "IP:PORT" of the socket for other daemons.
  std::string peer_address;
  /// Addresses at which other daemons may be.
  std::vector<std::string> seeds;
  boost::asio::ip::tcp::endpoint store;
  /// Callers' keys are trusted while the configuration is younger than this.
  base::Millis key_trust{4000};
  /// Whether keys are refused after that; else they are trusted for good.
  bool strict_keys = true;
  /// Repeated sends to a pool: a share of its requests, and a number beyond
  /// that, in every window.
  double repeat_ratio = 0.2;
  double repeat_slack = 10;
  base::Millis repeat_window{10'000};
  /// From the signal to stop until the process is killed.
  base::Millis stop_grace{8000};
};

/// Reads the settings file, in JSON. Fails with `kInvalidSettings`, naming the
/// field; an unknown field is an error.
absl::StatusOr<FleetSettings> LoadFleetSettings(const std::string& path);
absl::StatusOr<FleetSettings> ParseFleetSettings(const std::string& text);

}  // namespace dandelion::kernel
