#include "config/rows.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "http/server.h"

namespace dandelion::config {
namespace {

using nlohmann::json;

constexpr std::string_view kSchema = R"json({
  "type": "object",
  "required": ["routes", "pools"],
  "additionalProperties": false,
  "properties": {
    "routes": {"type": "array", "items": {
      "type": "object",
      "required": ["name", "match", "pool"],
      "additionalProperties": false,
      "properties": {
        "name": {"type": "string", "minLength": 1, "pattern": "^[^/]+$"},
        "match": {"type": "object", "required": ["path"],
          "additionalProperties": false, "properties": {
            "path": {"type": "string", "pattern": "^/"},
            "organisation": {"type": "string"},
            "label": {"type": "string"}}},
        "pool": {"type": "string", "minLength": 1},
        "class": {"type": "string", "enum": ["short", "long"]},
        "idempotent": {"type": "boolean"},
        "deliver": {"type": "string", "enum": ["stream", "whole"]}}}},
    "pools": {"type": "array", "items": {
      "type": "object",
      "required": ["name", "kind", "upstreams"],
      "additionalProperties": false,
      "properties": {
        "name": {"type": "string", "minLength": 1, "pattern": "^[^/]+$"},
        "kind": {"type": "string", "enum": ["engine", "service"]},
        "upstreams": {"type": "array", "items": {
          "type": "object",
          "required": ["id", "address", "data_centre", "slots"],
          "additionalProperties": false,
          "properties": {
            "id": {"type": "string", "minLength": 1, "pattern": "^[^/]+$"},
            "address": {"type": "string"},
            "data_centre": {"type": "string", "minLength": 1},
            "slots": {"type": "integer", "minimum": 1},
            "cold_slots": {"type": "integer", "minimum": 1},
            "checks_fencing": {"type": "boolean"},
            "drained": {"type": "boolean"}}}}}}}
  }
})json";

constexpr std::string_view kRoutePrefix = "route/";
constexpr std::string_view kPoolPrefix = "pool/";
constexpr std::string_view kUpstreamPrefix = "upstream/";
constexpr std::string_view kDataCentrePrefix = "data_centre/";

std::string MakeKey(std::string_view kind, std::string_view name) {
  return absl::StrCat(absl::string_view(kind.data(), kind.size()),
                      absl::string_view(name.data(), name.size()));
}

bool HasPrefix(const std::string& key, std::string_view kind) {
  return key.compare(0, kind.size(), kind) == 0;
}

Route ParseRoute(const json& value) {
  Route route;
  const json& match = value.at("match");
  route.name = base::RouteName(value.at("name"));
  route.match.path = match.at("path");
  route.match.organisation =
      base::OrganisationId(match.value("organisation", ""));
  route.match.label = match.value("label", "");
  route.pool = base::PoolName(value.at("pool"));
  route.request_class = value.value("class", "long");
  route.idempotent = value.value("idempotent", true);
  route.delivery = value.value("deliver", "stream") == "whole"
                       ? Delivery::kComplete
                       : Delivery::kStream;
  return route;
}

Upstream ParseUpstream(const json& value) {
  Upstream upstream;
  upstream.id = base::UpstreamId(value.at("id"));
  upstream.pool = base::PoolName(value.at("pool"));
  upstream.address = value.at("address");
  upstream.data_centre = base::DataCentreId(value.at("data_centre"));
  upstream.slots = base::Slots(value.at("slots"));
  upstream.cold_slots = base::Slots(value.value("cold_slots", 1));
  upstream.checks_fencing = value.value("checks_fencing", true);
  upstream.drained = value.value("drained", false);
  return upstream;
}

// Reports each entry of `list` whose `member` is in `seen` already or repeats
// an earlier entry's, and adds the others to `seen`.
void CheckUnique(const json& list,
                 const std::string& place,
                 const char* member,
                 std::set<std::string>* seen,
                 std::vector<Problem>* problems) {
  for (size_t i = 0; i < list.size(); ++i) {
    const std::string name = list[i].at(member);
    if (!seen->insert(name).second) {
      problems->push_back({absl::StrCat(place, "[", i, "].", member),
                           absl::StrCat("\"", name, "\" is used twice"),
                           "choose another value"});
    }
  }
}

void CheckUpstream(const json& upstream,
                   const std::string& place,
                   std::vector<Problem>* problems) {
  const std::string address = upstream.at("address");
  boost::asio::ip::tcp::endpoint endpoint;
  if (!http::ParseEndpoint(address, &endpoint)) {
    problems->push_back({absl::StrCat(place, ".address"),
                         absl::StrCat("\"", address, "\" is not IP:PORT"),
                         "write an IP address and a port"});
  }
  const int64_t slots = upstream.at("slots");
  if (upstream.value("cold_slots", int64_t{1}) > slots) {
    problems->push_back({absl::StrCat(place, ".cold_slots"),
                         "cold_slots exceeds slots",
                         "set cold_slots to at most slots"});
  }
}

// Checks what the schema cannot express; `tables` must match the schema.
std::vector<Problem> CheckSemantics(const json& tables) {
  std::vector<Problem> problems;
  std::set<std::string> pools;
  std::set<std::string> routes;
  std::set<std::string> upstreams;
  CheckUnique(tables.at("routes"), "$.routes", "name", &routes, &problems);
  CheckUnique(tables.at("pools"), "$.pools", "name", &pools, &problems);
  for (size_t i = 0; i < tables.at("routes").size(); ++i) {
    const std::string pool = tables.at("routes")[i].at("pool");
    if (!pools.contains(pool)) {
      problems.push_back({absl::StrCat("$.routes[", i, "].pool"),
                          absl::StrCat("no pool is named \"", pool, "\""),
                          "add the pool or correct the name"});
    }
  }
  for (size_t i = 0; i < tables.at("pools").size(); ++i) {
    const json& list = tables.at("pools")[i].at("upstreams");
    const std::string place = absl::StrCat("$.pools[", i, "].upstreams");
    CheckUnique(list, place, "id", &upstreams, &problems);
    for (size_t j = 0; j < list.size(); ++j) {
      CheckUpstream(list[j], absl::StrCat(place, "[", j, "]"), &problems);
    }
  }
  return problems;
}

absl::Status MakeInvalidRowError(const std::string& row,
                                 std::string_view what) {
  return base::MakeError(
      base::ErrorKind::kInvalidTables,
      absl::StrCat(row, ": ", absl::string_view(what.data(), what.size())),
      "correct the row and publish the tables again");
}

void RemoveMember(const Upstream& upstream, Tables* tables) {
  std::erase(tables->upstreams_by_pool[upstream.pool], upstream.id);
}

void PutUpstream(Upstream upstream, Tables* tables) {
  const auto old = tables->upstreams.find(upstream.id);
  if (old != tables->upstreams.end()) {
    RemoveMember(old->second, tables);
  }
  tables->upstreams_by_pool[upstream.pool].push_back(upstream.id);
  tables->upstreams[upstream.id] = std::move(upstream);
}

void PutRoute(Route route, Tables* tables) {
  std::erase_if(tables->routes,
                [&](const Route& old) { return old.name == route.name; });
  tables->routes.push_back(std::move(route));
}

void RemoveRow(const std::string& key, Tables* tables) {
  const std::string name = key.substr(key.find('/') + 1);
  if (HasPrefix(key, kRoutePrefix)) {
    std::erase_if(tables->routes, [&](const Route& route) {
      return route.name.value() == name;
    });
  } else if (HasPrefix(key, kPoolPrefix)) {
    tables->pools.erase(base::PoolName(name));
  } else if (HasPrefix(key, kUpstreamPrefix)) {
    const auto old = tables->upstreams.find(base::UpstreamId(name));
    if (old != tables->upstreams.end()) {
      RemoveMember(old->second, tables);
      tables->upstreams.erase(old);
    }
  } else if (HasPrefix(key, kDataCentrePrefix)) {
    tables->drained_data_centres.erase(base::DataCentreId(name));
  }
}

absl::Status PutRow(const std::string& key, const json& value, Tables* tables) {
  if (HasPrefix(key, kRoutePrefix)) {
    PutRoute(ParseRoute(value), tables);
  } else if (HasPrefix(key, kPoolPrefix)) {
    tables->pools[base::PoolName(value.at("name"))] =
        value.at("kind") == "engine" ? PoolKind::kEngine : PoolKind::kService;
  } else if (HasPrefix(key, kUpstreamPrefix)) {
    Upstream upstream = ParseUpstream(value);
    boost::asio::ip::tcp::endpoint endpoint;
    if (!http::ParseEndpoint(upstream.address, &endpoint) ||
        upstream.cold_slots < base::Slots(1) ||
        upstream.slots < upstream.cold_slots) {
      return MakeInvalidRowError(key, "address or slots are out of range");
    }
    PutUpstream(std::move(upstream), tables);
  } else if (HasPrefix(key, kDataCentrePrefix)) {
    const base::DataCentreId name(key.substr(kDataCentrePrefix.size()));
    if (value.at("in_service").get<bool>()) {
      tables->drained_data_centres.erase(name);
    } else {
      tables->drained_data_centres.insert(name);
    }
  } else {
    return MakeInvalidRowError(key, "unknown row kind");
  }
  return absl::OkStatus();
}

}  // namespace

std::vector<Problem> CheckTables(std::string_view text) {
  std::vector<Problem> problems = CheckAgainstSchema(text, kSchema);
  if (!problems.empty()) {
    return problems;
  }
  return CheckSemantics(json::parse(text));
}

Rows SplitTables(std::string_view text) {
  const json tables = json::parse(text);
  Rows rows;
  for (const json& route : tables.at("routes")) {
    rows[MakeKey(kRoutePrefix, route.at("name").get<std::string>())].value =
        route.dump();
  }
  for (const json& pool : tables.at("pools")) {
    const std::string name = pool.at("name");
    rows[MakeKey(kPoolPrefix, name)].value =
        json({{"name", name}, {"kind", pool.at("kind")}}).dump();
    for (json upstream : pool.at("upstreams")) {
      upstream["pool"] = name;
      rows[MakeKey(kUpstreamPrefix, upstream.at("id").get<std::string>())]
          .value = upstream.dump();
    }
  }
  return rows;
}

absl::Status ApplyRow(const std::string& key,
                      std::string_view value,
                      Tables* tables) {
  if (value.empty()) {
    RemoveRow(key, tables);
    return absl::OkStatus();
  }
  try {
    return PutRow(key, json::parse(value), tables);
  } catch (const json::exception& error) {
    return MakeInvalidRowError(key, error.what());
  }
}

absl::Status ResolveReferences(Tables* tables) {
  for (const Route& route : tables->routes) {
    if (!tables->pools.contains(route.pool)) {
      return MakeInvalidRowError(MakeKey(kRoutePrefix, route.name.value()),
                                 "its pool is not defined");
    }
  }
  for (const auto& [name, members] : tables->upstreams_by_pool) {
    const auto pool = tables->pools.find(name);
    for (const base::UpstreamId& id : members) {
      if (pool == tables->pools.end()) {
        return MakeInvalidRowError(MakeKey(kUpstreamPrefix, id.value()),
                                   "its pool is not defined");
      }
      tables->upstreams.at(id).kind = pool->second;
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<Tables> BuildTables(const Rows& rows, base::Offset version) {
  Tables tables;
  tables.version = version;
  for (const auto& [key, row] : rows) {
    const absl::Status applied = ApplyRow(key, row.value, &tables);
    if (!applied.ok()) {
      return applied;
    }
  }
  const absl::Status joined = ResolveReferences(&tables);
  if (!joined.ok()) {
    return joined;
  }
  return tables;
}

std::string FormatTables(const Rows& rows, int indent) {
  json routes = json::array();
  std::map<std::string, json> pools;
  for (const auto& [key, row] : rows) {
    if (row.value.empty()) {
      continue;
    }
    json value = json::parse(row.value);
    if (HasPrefix(key, kRoutePrefix)) {
      routes.push_back(std::move(value));
    } else if (HasPrefix(key, kPoolPrefix)) {
      value["upstreams"] = json::array();
      const std::string name = value.at("name");
      pools[name] = std::move(value);
    }
  }
  for (const auto& [key, row] : rows) {
    if (!HasPrefix(key, kUpstreamPrefix) || row.value.empty()) {
      continue;
    }
    json value = json::parse(row.value);
    const std::string pool = value.at("pool");
    value.erase("pool");
    pools[pool]["upstreams"].push_back(std::move(value));
  }
  json list = json::array();
  for (auto& [name, pool] : pools) {
    list.push_back(std::move(pool));
  }
  return json({{"routes", std::move(routes)}, {"pools", std::move(list)}})
      .dump(indent);
}

std::string EncodeDataCentreState(bool in_service) {
  return json({{"in_service", in_service}}).dump();
}

std::string WithDrained(std::string_view upstream_value, bool drained) {
  json value = json::parse(upstream_value);
  value["drained"] = drained;
  return value.dump();
}

}  // namespace dandelion::config
