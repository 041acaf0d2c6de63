#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::kernel {

/// Settings of a daemon that forwards requests on a platform with a metadata
/// store.
struct FleetSettings {
  base::HostId host;
  base::DataCentreId data_centre;
  /// Where callers connect.
  boost::asio::ip::tcp::endpoint callers;
  /// Where the load balancer checks whether this daemon accepts callers.
  boost::asio::ip::tcp::endpoint readiness;
  /// Where Prometheus metrics are served.
  boost::asio::ip::tcp::endpoint metrics;
  /// "IP:PORT" of the peer socket on which this daemon listens.
  std::string peer_address;
  /// Addresses at which other daemons may listen: "IP:PORT" with the port of
  /// `peer_address`.
  std::vector<std::string> seeds;
  /// The metadata store.
  boost::asio::ip::tcp::endpoint store;
  /// With `strict_keys`, callers' keys are accepted only while the last
  /// verification of the configuration is younger than this.
  base::Millis strict_max_key_age{4000};
  /// Whether keys are rejected once the configuration is older than
  /// `strict_max_key_age`. If false, they are accepted at any age.
  bool strict_keys = true;
  /// A change of the configuration is in force this long after it was made. One
  /// that was last verified longer ago denies neither routes nor keys.
  base::Millis change_delay{2000};
  /// Retry budget of each pool, per window: `retry_ratio` retries per request,
  /// plus `retry_slack` retries for the whole fleet.
  double retry_ratio = 0.2;
  double retry_slack = 10;
  base::Millis retry_window{10'000};
  /// Descriptors that the process may have open; 0 if not known.
  size_t max_descriptors = 0;
  /// Memory that the process may use.
  int64_t memory_bytes = INT64_C(96'000'000);
  /// Processor of the host, in cores; 0 if not known.
  double processor_share = 0;
  /// Speed of the host's link; 0 if not known.
  double link_mbps = 0;
  /// What a version that is rolled out may get before it is known to be good:
  /// this share of its pool's requests, and some more.
  double rollout_share = 0.1;
  double rollout_slack = 50;
  /// Calls per second that all daemons together may write to the store with.
  double store_writes_per_second = 100;
  /// Time from the stop signal until the process is killed.
  base::Millis stop_grace{8000};

  /// Half of the memory is for callers' requests that arrive or are in
  /// progress.
  int64_t RequestMemoryBytes() const { return memory_bytes / 2; }
};

/// Reads and parses the settings file at `path`. Fails like
/// `ParseFleetSettings`, or with `kInvalidSettings` if the file cannot be read.
absl::StatusOr<FleetSettings> LoadFleetSettings(const std::string& path);
/// Parses settings in JSON. Fails with `kInvalidSettings` and names the field
/// if it is unknown, missing or has a wrong value.
absl::StatusOr<FleetSettings> ParseFleetSettings(const std::string& text);

}  // namespace dandelion::kernel
