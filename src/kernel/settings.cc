#include "kernel/settings.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "config/problem.h"
#include "http/request_memory.h"
#include "http/server.h"

namespace dandelion::kernel {
namespace {

using base::ErrorKind;
using base::Millis;
using config::Problem;
using nlohmann::json;

constexpr std::string_view kSchema = R"json({
  "type": "object",
  "required": ["id", "data_centre", "listen", "admin", "peer", "platform",
               "keys"],
  "additionalProperties": false,
  "properties": {
    "id": {"type": "string", "minLength": 1},
    "data_centre": {"type": "string", "minLength": 1},
    "listen": {"type": "string"},
    "admin": {"type": "string"},
    "peer": {"type": "string"},
    "platform": {"type": "string"},
    "peers": {"type": "array", "items": {
      "type": "object",
      "required": ["id", "data_centre", "address"],
      "additionalProperties": false,
      "properties": {
        "id": {"type": "string", "minLength": 1},
        "data_centre": {"type": "string", "minLength": 1},
        "address": {"type": "string"}}}},
    "keys": {
      "type": "object",
      "required": ["peer_public", "peer_secret", "resume", "operator_token"],
      "additionalProperties": false,
      "properties": {
        "peer_public": {"type": "string", "minLength": 40, "maxLength": 40},
        "peer_secret": {"type": "string", "minLength": 40, "maxLength": 40},
        "resume": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
        "operator_token": {"type": "string", "minLength": 16}}},
    "tuning": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "drain_notice_ms": {"type": "integer", "minimum": 0},
        "drain_timeout_ms": {"type": "integer", "minimum": 1},
        "request_timeout_ms": {"type": "integer", "minimum": 1},
        "first_token_timeout_ms": {"type": "integer", "minimum": 1},
        "stall_timeout_ms": {"type": "integer", "minimum": 1},
        "queue_per_organisation": {"type": "integer", "minimum": 1},
        "body_bytes": {"type": "integer", "minimum": 1024},
        "header_bytes": {"type": "integer", "minimum": 1024},
        "connections": {"type": "integer", "minimum": 1},
        "connections_per_address": {"type": "integer", "minimum": 1},
        "request_memory_bytes": {"type": "integer", "minimum": 1048576},
        "metric_organisations": {"type": "integer", "minimum": 1}}}
  }
})json";

// Parses the "IP:PORT" string at `key` into `endpoint`, or adds a problem.
void ParseEndpointField(const json& document,
                        const char* key,
                        Endpoint* endpoint,
                        std::vector<Problem>* problems) {
  const std::string text = document.at(key);
  if (!http::ParseEndpoint(text, endpoint)) {
    problems->push_back({absl::StrCat("$.", key),
                         absl::StrCat("\"", text, "\" is not IP:PORT"),
                         "use a numeric IP address and a port"});
  }
}

// Appends the entries of `peers` to `settings`. Adds a problem for each address
// that is not IP:PORT and each id that is listed twice or is this daemon's own.
void ParsePeers(const json& document,
                Settings* settings,
                std::vector<Problem>* problems) {
  std::set<std::string> seen_ids = {settings->id.value()};
  const json peers = document.value("peers", json::array());
  for (size_t i = 0; i < peers.size(); ++i) {
    const std::string json_path = absl::StrCat("$.peers[", i, "]");
    PeerSettings peer;
    peer.id = base::HostId(peers[i].at("id"));
    peer.data_centre = base::DataCentreId(peers[i].at("data_centre"));
    peer.address = peers[i].at("address");
    Endpoint unused_endpoint;
    if (!http::ParseEndpoint(peer.address, &unused_endpoint)) {
      problems->push_back({json_path + ".address", "is not IP:PORT",
                           "use a numeric IP address and a port"});
    }
    if (!seen_ids.insert(peer.id.value()).second) {
      problems->push_back(
          {json_path + ".id",
           absl::StrCat("\"", peer.id.value(), "\" is used twice"),
           "list every other daemon once, without this one"});
    }
    settings->peers.push_back(std::move(peer));
  }
}

// Overwrites the defaults in `out` by the fields that `tuning` has.
void ParseTuning(const json& tuning, Tuning* out) {
  const auto read_ms = [&](const char* key, Millis* value) {
    *value = Millis(tuning.value(key, value->count()));
  };
  const auto read_size = [&](const char* key, size_t* value) {
    *value = tuning.value(key, *value);
  };
  read_ms("drain_notice_ms", &out->drain_notice);
  read_ms("drain_timeout_ms", &out->drain_timeout);
  read_ms("request_timeout_ms", &out->request_timeout);
  read_ms("first_token_timeout_ms", &out->first_token_timeout);
  read_ms("stall_timeout_ms", &out->stall_timeout);
  read_size("queue_per_organisation", &out->queue_per_organisation);
  read_size("body_bytes", &out->body_bytes);
  read_size("header_bytes", &out->header_bytes);
  read_size("connections", &out->connections);
  read_size("connections_per_address", &out->connections_per_address);
  read_size("request_memory_bytes", &out->request_memory_bytes);
  read_size("metric_organisations", &out->metric_organisations);
}

// Adds a problem if the memory for requests has no room for the largest one.
void CheckRequestMemory(const Tuning& tuning, std::vector<Problem>* problems) {
  const size_t needed =
      http::RequestMemory::LimitFor(tuning.body_bytes, tuning.header_bytes);
  if (tuning.request_memory_bytes < needed) {
    problems->push_back(
        {"$.tuning.request_memory_bytes",
         "has no room for a request of body_bytes and header_bytes",
         absl::StrCat("set at least ", needed, ", or a lower body_bytes")});
  }
}

}  // namespace

absl::StatusOr<Settings> ParseSettings(std::string_view text) {
  std::vector<Problem> problems = config::CheckAgainstSchema(text, kSchema);
  if (!problems.empty()) {
    return config::ToStatus(ErrorKind::kInvalidSettings, problems);
  }
  const json document = json::parse(text);
  Settings settings;
  settings.id = base::HostId(document.at("id"));
  settings.data_centre = base::DataCentreId(document.at("data_centre"));
  settings.peer_address = document.at("peer");
  Endpoint unused_peer_endpoint;
  ParseEndpointField(document, "listen", &settings.listen, &problems);
  ParseEndpointField(document, "admin", &settings.admin, &problems);
  ParseEndpointField(document, "peer", &unused_peer_endpoint, &problems);
  ParseEndpointField(document, "platform", &settings.platform, &problems);
  ParsePeers(document, &settings, &problems);
  const json& keys = document.at("keys");
  settings.keys.peer_public = keys.at("peer_public");
  settings.keys.peer_secret = keys.at("peer_secret");
  settings.keys.resume_key = keys.at("resume");
  settings.keys.operator_token = keys.at("operator_token");
  ParseTuning(document.value("tuning", json::object()), &settings.tuning);
  CheckRequestMemory(settings.tuning, &problems);
  if (!problems.empty()) {
    return config::ToStatus(ErrorKind::kInvalidSettings, problems);
  }
  return settings;
}

absl::StatusOr<Settings> LoadSettings(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return base::MakeError(ErrorKind::kInvalidSettings,
                           absl::StrCat(path, ": cannot be read"),
                           "check the path and the file permissions");
  }
  return ParseSettings(text.str());
}

}  // namespace dandelion::kernel
