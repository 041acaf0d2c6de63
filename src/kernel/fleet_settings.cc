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

// Keys are rejected this long before the end of the key lifetime in the
// settings, to cover the time between the check of a key and its revocation by
// the clock of the operator.
constexpr Millis kKeyLifetimeMargin{600};
constexpr int64_t kMsPerSecond = 1000;
constexpr double kBytesPerMb = 1e6;

absl::Status InvalidField(const std::string& field,
                          const std::string& problem) {
  return base::MakeError(
      base::ErrorKind::kInvalidSettings,
      absl::StrCat("settings: ", field, ": ", problem),
      "correct the field; deploy/settings.json.template lists the fields");
}

// Parses one field of the settings file into `FleetSettings`.
using FieldParser = std::function<absl::Status(const json&, FleetSettings*)>;

absl::Status ParseEndpointValue(const json& value,
                                boost::asio::ip::tcp::endpoint* endpoint) {
  if (!value.is_string() ||
      !http::ParseEndpoint(value.get<std::string>(), endpoint)) {
    return absl::InvalidArgumentError("is not \"IP:PORT\"");
  }
  return absl::OkStatus();
}

FieldParser EndpointField(
    boost::asio::ip::tcp::endpoint FleetSettings::*field) {
  return [field](const json& value, FleetSettings* settings) {
    return ParseEndpointValue(value, &(settings->*field));
  };
}

FieldParser NumberField(std::function<void(double, FleetSettings*)> set) {
  return [set](const json& value, FleetSettings* settings) {
    if (value.is_null()) {
      return absl::OkStatus();  // Keeps the default.
    }
    if (!value.is_number() || value.get<double>() < 0) {
      return absl::InvalidArgumentError("is not a non-negative number");
    }
    set(value.get<double>(), settings);
    return absl::OkStatus();
  };
}

template <typename Id>
FieldParser NameField(Id FleetSettings::*field) {
  return [field](const json& value, FleetSettings* settings) {
    if (!value.is_string() || value.get<std::string>().empty()) {
      return absl::InvalidArgumentError("is not a non-empty string");
    }
    settings->*field = Id(value.get<std::string>());
    return absl::OkStatus();
  };
}

absl::Status ParsePeerAddress(const json& value, FleetSettings* settings) {
  boost::asio::ip::tcp::endpoint endpoint;
  absl::Status status = ParseEndpointValue(value, &endpoint);
  if (status.ok()) {
    settings->peer_address = value.get<std::string>();
  }
  return status;
}

// Stores the seeds as given; `ParseFleetSettings` replaces their ports.
absl::Status ParseSeeds(const json& value, FleetSettings* settings) {
  if (value.is_null()) {
    return absl::OkStatus();
  }
  if (!value.is_array()) {
    return absl::InvalidArgumentError("is not an array");
  }
  for (const json& seed : value) {
    if (!seed.is_string()) {
      return absl::InvalidArgumentError("has an element that is not a string");
    }
    settings->seeds.push_back(seed.get<std::string>());
  }
  return absl::OkStatus();
}

absl::Status ParseStrictKeys(const json& value, FleetSettings* settings) {
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

const std::map<std::string, FieldParser>& FieldParsers() {
  static const std::map<std::string, FieldParser> parsers = {
      {"host", NameField(&FleetSettings::host)},
      {"data_centre", NameField(&FleetSettings::data_centre)},
      {"callers", EndpointField(&FleetSettings::callers)},
      {"readiness", EndpointField(&FleetSettings::readiness)},
      {"metrics", EndpointField(&FleetSettings::metrics)},
      {"peer_address", ParsePeerAddress},
      {"seeds", ParseSeeds},
      {"store", EndpointField(&FleetSettings::store)},
      {"key_lifetime_ms", NumberField([](double ms, FleetSettings* settings) {
         settings->strict_max_key_age = FromMs(ms) - kKeyLifetimeMargin;
       })},
      {"change_delay_ms", NumberField([](double ms, FleetSettings* settings) {
         settings->change_delay = FromMs(ms);
       })},
      {"strict_keys", ParseStrictKeys},
      {"repeat_ratio", NumberField([](double ratio, FleetSettings* settings) {
         settings->retry_ratio = ratio;
       })},
      {"repeat_slack", NumberField([](double slack, FleetSettings* settings) {
         settings->retry_slack = slack;
       })},
      {"repeat_window_s", NumberField([](double s, FleetSettings* settings) {
         settings->retry_window = FromSeconds(s);
       })},
      {"rollout_share", NumberField([](double share, FleetSettings* settings) {
         settings->rollout_share = share;
       })},
      {"rollout_slack", NumberField([](double slack, FleetSettings* settings) {
         settings->rollout_slack = slack;
       })},
      {"max_descriptors",
       NumberField([](double count, FleetSettings* settings) {
         settings->max_descriptors = static_cast<size_t>(count);
       })},
      {"memory_mb", NumberField([](double mb, FleetSettings* settings) {
         if (mb > 0) {
           settings->memory_bytes = static_cast<int64_t>(mb * kBytesPerMb);
         }
       })},
      {"processor_share",
       NumberField([](double share, FleetSettings* settings) {
         settings->processor_share = share;
       })},
      {"link_mbps", NumberField([](double mbps, FleetSettings* settings) {
         settings->link_mbps = mbps;
       })},
      {"store_writes_per_second",
       NumberField([](double calls, FleetSettings* settings) {
         settings->store_writes_per_second = calls;
       })},
      {"stop_grace_s", NumberField([](double s, FleetSettings* settings) {
         settings->stop_grace = FromSeconds(s);
       })},
  };
  return parsers;
}

// Returns the host of `seed` with the port of `address`. Seeds are given with
// the port of another service on the host, and all daemons use the same peer
// port.
std::string ReplacePort(const std::string& seed, const std::string& address) {
  return absl::StrCat(seed.substr(0, seed.rfind(':')),
                      address.substr(address.rfind(':')));
}

}  // namespace

absl::StatusOr<FleetSettings> ParseFleetSettings(const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return InvalidField("file", "is not a JSON object");
  }
  FleetSettings settings;
  for (const auto& [name, value] : document.items()) {
    const auto parser = FieldParsers().find(name);
    if (parser == FieldParsers().end()) {
      return InvalidField(name, "unknown field");
    }
    const absl::Status status = parser->second(value, &settings);
    if (!status.ok()) {
      return InvalidField(name, std::string(status.message()));
    }
  }
  for (const char* required : {"host", "data_centre", "callers", "readiness",
                               "metrics", "peer_address", "store"}) {
    if (!document.contains(required)) {
      return InvalidField(required, "is missing");
    }
  }
  for (std::string& seed : settings.seeds) {
    seed = ReplacePort(seed, settings.peer_address);
  }
  return settings;
}

absl::StatusOr<FleetSettings> LoadFleetSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return InvalidField(path, "cannot be read");
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseFleetSettings(text.str());
}

}  // namespace dandelion::kernel
