#include "config/tables_check.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "config/config_state.h"

namespace dandelion::config {
namespace {

using nlohmann::json;

constexpr std::string_view kRoutePrefix = "route/";
constexpr std::string_view kPoolPrefix = "pool/";
constexpr std::string_view kUpstreamPrefix = "upstream/";

void Warn(std::string place,
          std::string what,
          std::string remedy,
          std::vector<Finding>* findings) {
  findings->push_back({Severity::kWarning,
                       {std::move(place), std::move(what), std::move(remedy)}});
}

std::string PlaceOf(const char* list, size_t index, const char* member) {
  return absl::StrCat("$.", list, "[", index, "]", member);
}

// Of routes that match the same requests, only the first is ever chosen. Any
// other route is more specific than those that match more, and so is chosen.
void FindShadowedRoutes(const json& routes, std::vector<Finding>* findings) {
  using Match = std::tuple<std::string, std::string, std::string>;
  std::map<Match, size_t> first;
  for (size_t i = 0; i < routes.size(); ++i) {
    const json& match = routes[i].at("match");
    const auto [earlier, is_first] =
        first.emplace(Match(match.at("path"), match.value("organisation", ""),
                            match.value("label", "")),
                      i);
    if (!is_first) {
      Warn(PlaceOf("routes", i, ".match"),
           absl::StrCat("never matches: routes[", earlier->second,
                        "] matches the same requests and comes first"),
           "remove one of them or name an organisation or a label", findings);
    }
  }
}

void CheckPool(const json& pool,
               size_t index,
               bool is_named,
               std::vector<Finding>* findings) {
  if (!is_named) {
    Warn(PlaceOf("pools", index, ".name"), "no route names this pool",
         "add a route or remove the pool", findings);
  }
  const json& upstreams = pool.at("upstreams");
  size_t drained = 0;
  for (const json& upstream : upstreams) {
    drained += upstream.value("drained", false) ? 1 : 0;
  }
  if (is_named && drained == upstreams.size()) {
    Warn(PlaceOf("pools", index, ".upstreams"),
         upstreams.empty() ? "the pool has no upstream"
                           : "all upstreams of the pool are drained",
         "requests for it are refused until one is added or restored",
         findings);
  }
}

void FindSharedAddresses(const json& pools, std::vector<Finding>* findings) {
  std::map<std::string, std::string> first;
  for (size_t i = 0; i < pools.size(); ++i) {
    const json& upstreams = pools[i].at("upstreams");
    for (size_t j = 0; j < upstreams.size(); ++j) {
      const auto [earlier, is_first] =
          first.emplace(upstreams[j].at("address"), upstreams[j].at("id"));
      if (!is_first) {
        Warn(absl::StrCat("$.pools[", i, "].upstreams[", j, "].address"),
             absl::StrCat("\"", earlier->second,
                          "\" has the same address; the slots of both are "
                          "counted, but they are the same server's"),
             "remove one of them or correct the address", findings);
      }
    }
  }
}

std::string DescribeMatch(const json& route) {
  const json& match = route.at("match");
  std::string text = match.at("path");
  for (const char* field : {"organisation", "label"}) {
    const std::string value = match.value(field, "");
    if (!value.empty()) {
      absl::StrAppend(&text, " of ", field, " ", value);
    }
  }
  return text;
}

bool IsTableRow(const std::string& key, const Row& row) {
  return !row.value.empty() &&
         (key.starts_with(kRoutePrefix) || key.starts_with(kPoolPrefix) ||
          key.starts_with(kUpstreamPrefix));
}

// The rows that differ from those in `other`, as they are compared, with the
// callers that each reaches.
std::map<std::string, ComparedRow> ToComparedRows(const Rows& rows,
                                                  const Rows& other) {
  std::map<std::string, ComparedRow> compared;
  std::map<std::string, std::vector<std::string>> callers_of_pool;
  for (const auto& [key, row] : rows) {
    if (IsTableRow(key, row) && key.starts_with(kRoutePrefix)) {
      const json route = json::parse(row.value);
      callers_of_pool[route.at("pool")].push_back(DescribeMatch(route));
    }
  }
  for (const auto& [key, row] : rows) {
    const auto same = other.find(key);
    if (!IsTableRow(key, row) ||
        (same != other.end() && same->second.value == row.value)) {
      continue;
    }
    const json value = json::parse(row.value);
    ComparedRow& entry = compared[key];
    for (const auto& [name, field] : value.items()) {
      entry.fields[name] = field.dump();
    }
    if (key.starts_with(kRoutePrefix)) {
      entry.reaches = DescribeMatch(value);
    } else {
      const std::string pool =
          key.starts_with(kPoolPrefix) ? value.at("name") : value.at("pool");
      entry.reaches = ListSome(callers_of_pool[pool]);
    }
  }
  return compared;
}

// The rows after a publication of `text` over `in_force`.
Rows RowsAfterPublication(const Rows& in_force, std::string_view text) {
  Rows rows = in_force;
  for (const RowChange& change : MakePublishRecord(in_force, text).changes) {
    rows[change.key].value = change.value;
  }
  return rows;
}

}  // namespace

CheckReport CheckTablesFile(std::string_view text,
                            const std::optional<Rows>& in_force) {
  CheckReport report;
  AppendErrors(CheckTables(text), &report.findings);
  if (report.findings.empty()) {
    const json tables = json::parse(text);
    const json& pools = tables.at("pools");
    std::set<std::string> named;
    for (const json& route : tables.at("routes")) {
      named.insert(route.at("pool"));
    }
    FindShadowedRoutes(tables.at("routes"), &report.findings);
    for (size_t i = 0; i < pools.size(); ++i) {
      CheckPool(pools[i], i, named.contains(pools[i].at("name")),
                &report.findings);
    }
    FindSharedAddresses(pools, &report.findings);
    if (in_force) {
      const Rows wanted = RowsAfterPublication(*in_force, text);
      report.differences = CompareRows(ToComparedRows(*in_force, wanted),
                                       ToComparedRows(wanted, *in_force));
    }
  }
  SortFindings(&report.findings);
  return report;
}

}  // namespace dandelion::config
