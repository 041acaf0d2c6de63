#include "config/check_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <string_view>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace dandelion::config {
namespace {

using nlohmann::json;

const char* NameOf(Severity severity) {
  return severity == Severity::kError ? "error" : "warning";
}

const char* NameOf(Difference::Kind kind) {
  switch (kind) {
    case Difference::Kind::kAdded:
      return "added";
    case Difference::Kind::kRemoved:
      return "removed";
    default:
      return "changed";
  }
}

bool IsDigit(char character) {
  return std::isdigit(static_cast<unsigned char>(character)) != 0;
}

// Takes the digits at the start of `text` off; empty if there are none. Leading
// zeros don't occur in indexes.
std::string_view TakeNumber(std::string_view* text) {
  size_t size = 0;
  while (size < text->size() && IsDigit((*text)[size])) {
    ++size;
  }
  const std::string_view number = text->substr(0, size);
  text->remove_prefix(size);
  return number;
}

// Whether place `a` comes before `b`; indexes are compared as numbers.
bool ComesBefore(std::string_view a, std::string_view b) {
  while (!a.empty() && !b.empty()) {
    if (IsDigit(a.front()) && IsDigit(b.front())) {
      const std::string_view number_a = TakeNumber(&a);
      const std::string_view number_b = TakeNumber(&b);
      if (number_a != number_b) {
        return number_a.size() == number_b.size()
                   ? number_a < number_b
                   : number_a.size() < number_b.size();
      }
      continue;
    }
    if (a.front() != b.front()) {
      return a.front() < b.front();
    }
    a.remove_prefix(1);
    b.remove_prefix(1);
  }
  return a.size() < b.size();
}

std::vector<std::string> ChangedFields(const ComparedRow& old_row,
                                       const ComparedRow& new_row) {
  std::map<std::string, std::pair<std::string, std::string>> values;
  for (const auto& [name, value] : old_row.fields) {
    values[name].first = value;
  }
  for (const auto& [name, value] : new_row.fields) {
    values[name].second = value;
  }
  std::vector<std::string> changed;
  for (const auto& [name, pair] : values) {
    if (pair.first != pair.second) {
      changed.push_back(
          absl::StrCat(name, ": ", pair.first.empty() ? "(none)" : pair.first,
                       " -> ", pair.second.empty() ? "(none)" : pair.second));
    }
  }
  return changed;
}

// Names in a file may have bytes that change what a terminal shows.
std::string WithoutControls(std::string text) {
  for (char& character : text) {
    const bool is_control = std::iscntrl(static_cast<unsigned char>(character));
    character = is_control && character != '\n' ? '?' : character;
  }
  return text;
}

std::string Summarise(const CheckReport& report) {
  const auto errors = std::count_if(
      report.findings.begin(), report.findings.end(),
      [](const Finding& each) { return each.severity == Severity::kError; });
  std::string text =
      fmt::format("errors: {}, warnings: {}", errors,
                  static_cast<std::ptrdiff_t>(report.findings.size()) - errors);
  if (report.differences) {
    absl::StrAppend(&text, ", differences: ", report.differences->size());
  }
  return text;
}

}  // namespace

bool CheckReport::HasErrors() const {
  return std::any_of(findings.begin(), findings.end(), [](const Finding& each) {
    return each.severity == Severity::kError;
  });
}

std::vector<Difference> CompareRows(
    const std::map<std::string, ComparedRow>& old_rows,
    const std::map<std::string, ComparedRow>& new_rows) {
  std::vector<Difference> differences;
  for (const auto& [key, old_row] : old_rows) {
    if (!new_rows.contains(key)) {
      differences.push_back(
          {Difference::Kind::kRemoved, key, {}, old_row.reaches});
    }
  }
  for (const auto& [key, new_row] : new_rows) {
    const auto old_row = old_rows.find(key);
    if (old_row == old_rows.end()) {
      differences.push_back(
          {Difference::Kind::kAdded, key, {}, new_row.reaches});
      continue;
    }
    std::vector<std::string> fields = ChangedFields(old_row->second, new_row);
    if (fields.empty()) {
      continue;
    }
    std::string reaches = new_row.reaches;
    if (old_row->second.reaches != reaches) {
      absl::StrAppend(&reaches, "; before: ", old_row->second.reaches);
    }
    differences.push_back({Difference::Kind::kChanged, key, std::move(fields),
                           std::move(reaches)});
  }
  std::stable_sort(differences.begin(), differences.end(),
                   [](const Difference& a, const Difference& b) {
                     return ComesBefore(a.row, b.row);
                   });
  return differences;
}

void SortFindings(std::vector<Finding>* findings) {
  std::stable_sort(findings->begin(), findings->end(),
                   [](const Finding& a, const Finding& b) {
                     return a.severity != b.severity
                                ? a.severity == Severity::kError
                                : ComesBefore(a.problem.location,
                                              b.problem.location);
                   });
}

void AppendErrors(std::vector<Problem> problems,
                  std::vector<Finding>* findings) {
  for (Problem& problem : problems) {
    findings->push_back({Severity::kError, std::move(problem)});
  }
}

std::string FormatAsText(const CheckReport& report) {
  std::string text;
  for (const Finding& finding : report.findings) {
    absl::StrAppend(&text, NameOf(finding.severity), " ",
                    finding.problem.location, ": ", finding.problem.what,
                    "\n  remedy: ", finding.problem.remedy, "\n");
  }
  if (report.differences) {
    for (const Difference& difference : *report.differences) {
      absl::StrAppend(&text, NameOf(difference.kind), " ", difference.row);
      if (!difference.fields.empty()) {
        absl::StrAppend(&text, " (", absl::StrJoin(difference.fields, ", "),
                        ")");
      }
      absl::StrAppend(&text, "\n  reaches: ", difference.reaches, "\n");
    }
  }
  return WithoutControls(absl::StrCat(text, Summarise(report), "\n"));
}

std::string FormatAsJson(const CheckReport& report) {
  json out;
  if (report.findings.empty()) {
    out["result"] = "clean";
  } else {
    out["result"] = report.HasErrors() ? "errors" : "warnings";
  }
  out["findings"] = json::array();
  for (const Finding& finding : report.findings) {
    out["findings"].push_back({{"severity", NameOf(finding.severity)},
                               {"place", finding.problem.location},
                               {"what", finding.problem.what},
                               {"remedy", finding.problem.remedy}});
  }
  if (report.differences) {
    out["differences"] = json::array();
    for (const Difference& difference : *report.differences) {
      out["differences"].push_back({{"change", NameOf(difference.kind)},
                                    {"row", difference.row},
                                    {"fields", difference.fields},
                                    {"reaches", difference.reaches}});
    }
  }
  constexpr int kIndent = 2;
  return out.dump(kIndent, ' ', false, json::error_handler_t::replace) + "\n";
}

std::string ListSome(const std::vector<std::string>& names) {
  constexpr size_t kSome = 5;
  if (names.empty()) {
    return "nobody";
  }
  const size_t shown = std::min(kSome, names.size());
  std::string text = absl::StrJoin(
      names.begin(), names.begin() + static_cast<std::ptrdiff_t>(shown), ", ");
  if (names.size() > shown) {
    absl::StrAppend(&text, " and ", names.size() - shown, " more");
  }
  return text;
}

}  // namespace dandelion::config
