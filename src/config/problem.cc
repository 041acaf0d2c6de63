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
#include "config/syntax.h"

namespace dandelion::config {
namespace {

using nlohmann::json;

// Returns the Levenshtein distance of two strings.
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

// Returns the member `key` of `schema`; null if there is none.
const json* FindSubschema(const json& schema, std::string_view key) {
  const auto found = schema.find(std::string(key));
  return found == schema.end() ? nullptr : &*found;
}

// Returns a remedy that names the most similar of `known`, or `otherwise` if
// the distance of all is half the length of `name` plus 2 or more.
std::string SuggestNearest(const std::vector<std::string>& known,
                           const std::string& name,
                           const std::string& otherwise) {
  std::string nearest;
  size_t best_distance = name.size() / 2 + 2;
  for (const std::string& candidate : known) {
    const size_t distance = EditDistance(candidate, name);
    if (distance < best_distance) {
      best_distance = distance;
      nearest = candidate;
    }
  }
  return nearest.empty() ? otherwise
                         : absl::StrCat("did you mean \"", nearest, "\"?");
}

// Reports a string that is none of those that the schema lists.
void CheckListedValue(const json& value,
                      const json& schema,
                      const std::string& place,
                      std::vector<Problem>* problems) {
  const json* listed = FindSubschema(schema, "enum");
  if (listed == nullptr || !value.is_string() ||
      std::find(listed->begin(), listed->end(), value) != listed->end()) {
    return;
  }
  const std::vector<std::string> names = *listed;
  problems->push_back(
      {place,
       absl::StrCat("\"", value.get<std::string>(), "\" is none of ",
                    absl::StrJoin(names, ", ")),
       SuggestNearest(names, value.get<std::string>(), "write one of these")});
}

// Reports keys that the schema does not define, and values that it does not
// list. valijson reports them too, but without a suggestion.
void FindUnknownNames(const json& value,
                      const json& schema,
                      const std::string& place,
                      std::vector<Problem>* problems) {
  if (value.is_array()) {
    if (const json* items = FindSubschema(schema, "items")) {
      for (size_t i = 0; i < value.size(); ++i) {
        FindUnknownNames(value[i], *items, absl::StrCat(place, "[", i, "]"),
                         problems);
      }
    }
    return;
  }
  CheckListedValue(value, schema, place, problems);
  const json* properties = FindSubschema(schema, "properties");
  if (!value.is_object() || properties == nullptr) {
    return;
  }
  for (const auto& [key, member] : value.items()) {
    const std::string member_place = absl::StrCat(place, ".", key);
    if (const json* known = FindSubschema(*properties, key)) {
      FindUnknownNames(member, *known, member_place, problems);
      continue;
    }
    std::vector<std::string> names;
    for (const auto& [name, ignored] : properties->items()) {
      names.push_back(name);
    }
    problems->push_back(
        {member_place, "unknown key", SuggestNearest(names, key, "remove it")});
  }
}

// Converts a location of valijson, such as `<root>[pools][0]`, to the form
// `$.pools[0]`.
std::string FormatPlace(const valijson::ValidationResults::Error& error) {
  std::string place;
  for (const std::string& part : error.context) {
    const bool is_index =
        part.find_first_not_of("[0123456789]") == std::string::npos;
    if (part == "<root>") {
      place += "$";
    } else if (is_index || part.size() <= 2 || part.front() != '[') {
      place += part;
    } else {
      place += "." + part.substr(1, part.size() - 2);
    }
  }
  return place;
}

// Returns whether an error of valijson is left out of the result: those that
// only repeat the error of a nested value, and what `FindUnknownNames` reports.
bool IsOmittedError(const std::string& description) {
  constexpr std::array<std::string_view, 3> kOmittedTexts = {
      "Failed to validate", "additionalProperties",
      "Failed to match against any enum values"};
  return std::any_of(kOmittedTexts.begin(), kOmittedTexts.end(),
                     [&](std::string_view part) {
                       return description.find(part) != std::string::npos;
                     });
}

}  // namespace

std::vector<Problem> CheckAgainstSchema(std::string_view text,
                                        std::string_view schema_text) {
  std::vector<Problem> problems = CheckSyntax(text);
  if (!problems.empty()) {
    return problems;
  }
  const json document = json::parse(text);
  const json schema_json = json::parse(schema_text);
  FindUnknownNames(document, schema_json, "$", &problems);

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
    if (!IsOmittedError(error.description)) {
      problems.push_back({FormatPlace(error), error.description,
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
        absl::StrAppend(out, problem.location, ": ", problem.what, "; ",
                        problem.remedy);
      });
  return base::MakeError(kind, text, problems.front().remedy);
}

}  // namespace dandelion::config
