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

/// Another daemon, as the settings name it.
struct PeerSettings {
  base::HostId id;
  base::DataCentreId data_centre;
  /// "IP:PORT" of its peer socket.
  std::string address;
};

/// Secrets that all daemons of a deployment share. They appear in no log,
/// status or metric.
struct KeySettings {
  /// CURVE key pair in Z85, 40 characters each.
  std::string peer_public;
  std::string peer_secret;
  /// 64 hexadecimal digits that authenticate resume tokens.
  std::string resume;
  /// Bearer token for the admin port's writing calls.
  std::string operator_token;
};

/// Limits and times that operators may tune.
struct Tuning {
  base::Millis drain_notice = base::Millis(1000);
  base::Millis drain_timeout = base::Millis(60'000);
  base::Millis request_timeout = base::Millis(600'000);
  base::Millis first_token_timeout = base::Millis(30'000);
  base::Millis stall_timeout = base::Millis(1500);
  size_t queue_per_organisation = 1000;
  size_t body_bytes = 4UL * 1024 * 1024;
  size_t header_bytes = 16UL * 1024;
  size_t connections = 4096;
  size_t connections_per_address = 2048;
  size_t metric_organisations = 200;
};

/// A daemon's settings file.
struct Settings {
  base::HostId id;
  base::DataCentreId data_centre;
  Endpoint listen;
  Endpoint admin;
  std::string peer_address;
  Endpoint platform;
  std::vector<PeerSettings> peers;
  KeySettings keys;
  Tuning tuning;
};

/// Parses and checks a settings file's text. Fails with `kInvalidSettings`;
/// the message has a line for each fault.
absl::StatusOr<Settings> ParseSettings(std::string_view text);

/// Reads and parses the file at `path`.
absl::StatusOr<Settings> LoadSettings(const std::string& path);

}  // namespace dandelion::kernel
