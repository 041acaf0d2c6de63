#include "kernel/fleet_settings.h"

#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "http/server.h"

namespace dandelion::kernel {
namespace {

using base::Millis;
using nlohmann::json;

// Keys are refused this long before they may have been taken away, which pays
// for what lies between a check and the clock of whoever took them.
constexpr Millis kTrustMargin{600};
constexpr int64_t kMsPerSecond = 1000;

absl::Status Invalid(const std::string& field, const std::string& what) {
  return base::MakeError(base::ErrorKind::kInvalidSettings,
                         absl::StrCat("settings: ", field, ": ", what),
                         "correct the field; docs/PLATFORM.md lists them");
}

using Reader = std::function<absl::Status(const json&, FleetSettings*)>;

absl::Status ReadEndpoint(const json& value,
                          boost::asio::ip::tcp::endpoint* endpoint) {
  if (!value.is_string() ||
      !http::ParseEndpoint(value.get<std::string>(), endpoint)) {
    return absl::InvalidArgumentError("is not \"IP:PORT\"");
  }
  return absl::OkStatus();
}

Reader Endpoint(boost::asio::ip::tcp::endpoint FleetSettings::*field) {
  return [field](const json& value, FleetSettings* settings) {
    return ReadEndpoint(value, &(settings->*field));
  };
}

Reader Number(std::function<void(double, FleetSettings*)> set) {
  return [set](const json& value, FleetSettings* settings) {
    if (value.is_null()) {
      return absl::OkStatus();  // The default stays.
    }
    if (!value.is_number() || value.get<double>() < 0) {
      return absl::InvalidArgumentError("is not a number of 0 or more");
    }
    set(value.get<double>(), settings);
    return absl::OkStatus();
  };
}

template <typename Id>
Reader Name(Id FleetSettings::*field) {
  return [field](const json& value, FleetSettings* settings) {
    if (!value.is_string() || value.get<std::string>().empty()) {
      return absl::InvalidArgumentError("is not a name");
    }
    settings->*field = Id(value.get<std::string>());
    return absl::OkStatus();
  };
}

absl::Status ReadPeerAddress(const json& value, FleetSettings* settings) {
  boost::asio::ip::tcp::endpoint endpoint;
  absl::Status read = ReadEndpoint(value, &endpoint);
  if (read.ok()) {
    settings->peer_address = value.get<std::string>();
  }
  return read;
}

// Seeds name hosts; daemons listen for each other at the same port everywhere.
absl::Status ReadSeeds(const json& value, FleetSettings* settings) {
  if (value.is_null()) {
    return absl::OkStatus();
  }
  if (!value.is_array()) {
    return absl::InvalidArgumentError("is not a list");
  }
  for (const json& seed : value) {
    if (!seed.is_string()) {
      return absl::InvalidArgumentError("holds something that is not a string");
    }
    settings->seeds.push_back(seed.get<std::string>());
  }
  return absl::OkStatus();
}

absl::Status ReadStrictKeys(const json& value, FleetSettings* settings) {
  if (value.is_null()) {
    return absl::OkStatus();
  }
  if (!value.is_boolean()) {
    return absl::InvalidArgumentError("is not true or false");
  }
  settings->strict_keys = value.get<bool>();
  return absl::OkStatus();
}

Millis FromMs(double ms) {
  return Millis(static_cast<int64_t>(ms));
}

Millis FromSeconds(double seconds) {
  return Millis(static_cast<int64_t>(seconds * kMsPerSecond));
}

const std::map<std::string, Reader>& Readers() {
  static const std::map<std::string, Reader> readers = {
      {"host", Name(&FleetSettings::host)},
      {"data_centre", Name(&FleetSettings::data_centre)},
      {"callers", Endpoint(&FleetSettings::callers)},
      {"readiness", Endpoint(&FleetSettings::readiness)},
      {"metrics", Endpoint(&FleetSettings::metrics)},
      {"peer_address", ReadPeerAddress},
      {"seeds", ReadSeeds},
      {"store", Endpoint(&FleetSettings::store)},
      {"key_lifetime_ms", Number([](double ms, FleetSettings* settings) {
         settings->key_trust = FromMs(ms) - kTrustMargin;
       })},
      {"strict_keys", ReadStrictKeys},
      {"repeat_ratio", Number([](double ratio, FleetSettings* settings) {
         settings->repeat_ratio = ratio;
       })},
      {"repeat_slack", Number([](double slack, FleetSettings* settings) {
         settings->repeat_slack = slack;
       })},
      {"repeat_window_s", Number([](double s, FleetSettings* settings) {
         settings->repeat_window = FromSeconds(s);
       })},
      {"stop_grace_s", Number([](double s, FleetSettings* settings) {
         settings->stop_grace = FromSeconds(s);
       })},
  };
  return readers;
}

// Seeds come with the port of another service of their hosts.
std::string AtPortOf(const std::string& seed, const std::string& address) {
  return absl::StrCat(seed.substr(0, seed.rfind(':')),
                      address.substr(address.rfind(':')));
}

}  // namespace

absl::StatusOr<FleetSettings> ParseFleetSettings(const std::string& text) {
  const json from = json::parse(text, nullptr, false);
  if (!from.is_object()) {
    return Invalid("file", "is not a JSON object");
  }
  FleetSettings settings;
  for (const auto& [name, value] : from.items()) {
    const auto reader = Readers().find(name);
    if (reader == Readers().end()) {
      return Invalid(name, "unknown field");
    }
    const absl::Status read = reader->second(value, &settings);
    if (!read.ok()) {
      return Invalid(name, std::string(read.message()));
    }
  }
  for (const char* needed : {"host", "data_centre", "callers", "readiness",
                             "metrics", "peer_address", "store"}) {
    if (!from.contains(needed)) {
      return Invalid(needed, "is missing");
    }
  }
  for (std::string& seed : settings.seeds) {
    seed = AtPortOf(seed, settings.peer_address);
  }
  return settings;
}

absl::StatusOr<FleetSettings> LoadFleetSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Invalid(path, "cannot be read");
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseFleetSettings(text.str());
}

}  // namespace dandelion::kernel
