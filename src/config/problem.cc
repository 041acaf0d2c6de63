#include "config/problem.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>
#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace dandelion::config {
namespace {

using nlohmann::json;

size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t change = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({change, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row.back();
}

const json* SubSchema(const json& schema, std::string_view key) {
  const auto found = schema.find(std::string(key));
  return found == schema.end() ? nullptr : &*found;
}

std::string Nearest(const json& known, const std::string& key) {
  std::string nearest;
  size_t best = key.size() / 2 + 2;
  for (const auto& [name, ignored] : known.items()) {
    const size_t distance = EditDistance(name, key);
    if (distance < best) {
      best = distance;
      nearest = name;
    }
  }
  return nearest;
}

// Finds keys that no schema object names; valijson reports them too, but
// without a suggestion.
void FindUnknownKeys(const json& value,
                     const json& schema,
                     const std::string& place,
                     std::vector<Problem>* problems) {
  if (value.is_array()) {
    if (const json* items = SubSchema(schema, "items")) {
      for (size_t i = 0; i < value.size(); ++i) {
        FindUnknownKeys(value[i], *items, absl::StrCat(place, "[", i, "]"),
                        problems);
      }
    }
    return;
  }
  const json* properties = SubSchema(schema, "properties");
  if (!value.is_object() || properties == nullptr) {
    return;
  }
  for (const auto& [key, member] : value.items()) {
    const std::string inside = absl::StrCat(place, ".", key);
    if (const json* known = SubSchema(*properties, key)) {
      FindUnknownKeys(member, *known, inside, problems);
      continue;
    }
    const std::string nearest = Nearest(*properties, key);
    problems->push_back(
        {inside, "unknown key",
         nearest.empty() ? "remove it"
                         : absl::StrCat("did you mean \"", nearest, "\"?")});
  }
}

std::string PlaceOf(const valijson::ValidationResults::Error& error) {
  std::string place;
  for (std::string part : error.context) {
    if (part == "<root>") {
      part = "$";
    } else if (part.size() > 2 && part.front() == '[' && part[1] == '"') {
      part = "." + part.substr(2, part.size() - 4);
    }
    place += part;
  }
  return place;
}

bool IsUmbrella(const std::string& description) {
  constexpr std::array<std::string_view, 3> kUmbrellas = {
      "Failed to validate", "additionalProperties", "Failed to match"};
  return std::any_of(kUmbrellas.begin(), kUmbrellas.end(),
                     [&](std::string_view part) {
                       return description.find(part) != std::string::npos;
                     });
}

}  // namespace

std::vector<Problem> CheckAgainstSchema(std::string_view text,
                                        std::string_view schema_text) {
  json document;
  try {
    document = json::parse(text);
  } catch (const json::parse_error& error) {
    return {{absl::StrCat("byte ", error.byte), "not valid JSON",
             "fix the syntax at this byte"}};
  }
  const json schema_json = json::parse(schema_text);
  std::vector<Problem> problems;
  FindUnknownKeys(document, schema_json, "$", &problems);

  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_json),
                        schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document),
                     &results);
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    if (!IsUmbrella(error.description)) {
      problems.push_back({PlaceOf(error), error.description,
                          "see the reference in docs/OPERATIONS.md"});
    }
  }
  return problems;
}

absl::Status ToStatus(base::ErrorKind kind,
                      const std::vector<Problem>& problems) {
  if (problems.empty()) {
    return absl::OkStatus();
  }
  const std::string text = absl::StrJoin(
      problems, "\n", [](std::string* out, const Problem& problem) {
        absl::StrAppend(out, problem.place, ": ", problem.what, "; ",
                        problem.remedy);
      });
  return base::MakeError(kind, text, problems.front().remedy);
}

}  // namespace dandelion::config
