#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::kernel {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// An entry of `peers`: another daemon of the deployment.
struct PeerSettings {
  base::HostId id;
  base::DataCentreId data_centre;
  /// "IP:PORT" of the peer socket on which the daemon listens.
  std::string address;
};

/// Secrets that all daemons of a deployment share. They must not appear in
/// logs, status or metrics.
struct KeySettings {
  /// CURVE key pair of the peer sockets, in Z85 with 40 characters each.
  std::string peer_public;
  std::string peer_secret;
  /// Key that seals resume tokens, as 64 lower-case hexadecimal digits.
  std::string resume_key;
  /// Bearer token for calls to the admin port that change state.
  std::string operator_token;
};

/// Limits and timeouts that operators may change.
struct Tuning {
  /// How long the daemon keeps accepting connections after readiness fails, so
  /// that the load balancer notices.
  base::Millis drain_notice = base::Millis(1000);
  /// A drain that takes longer than this, `drain_notice` included, gives up.
  base::Millis drain_timeout = base::Millis(60'000);
  /// Longest time to serve a request; callers may ask for less.
  base::Millis request_timeout = base::Millis(600'000);
  /// Longest wait for a generation's first token.
  base::Millis first_token_timeout = base::Millis(30'000);
  /// A generation's connection to its engine is resumed after this silence.
  base::Millis stall_timeout = base::Millis(1500);
  /// Waiting requests of one organisation in one pool.
  size_t queue_per_organisation = 1000;
  /// Largest body and header of a caller's request.
  size_t body_bytes = 4UL * 1024 * 1024;
  size_t header_bytes = 16UL * 1024;
  /// Callers' connections, in total and from one address.
  size_t connections = 4096;
  size_t connections_per_address = 2048;
  /// Memory for all requests of callers that arrive or are in progress.
  size_t request_memory_bytes = 48UL * 1000 * 1000;
  /// Organisations with metrics of their own; the others share "other".
  size_t metric_organisations = 200;
};

/// The contents of a daemon's settings file.
struct Settings {
  base::HostId id;
  base::DataCentreId data_centre;
  /// Where callers connect.
  Endpoint listen;
  /// Where the admin port listens.
  Endpoint admin;
  /// "IP:PORT" of the peer socket on which this daemon listens.
  std::string peer_address;
  /// The log service and the host list.
  Endpoint platform;
  std::vector<PeerSettings> peers;
  KeySettings keys;
  Tuning tuning;
};

/// Parses and validates the text of a settings file. Fails with
/// `kInvalidSettings`; the message has one line per problem.
absl::StatusOr<Settings> ParseSettings(std::string_view text);

/// Reads and parses the file at `path`. Fails with `kInvalidSettings` if the
/// file cannot be read or its contents are invalid.
absl::StatusOr<Settings> LoadSettings(const std::string& path);

}  // namespace dandelion::kernel
