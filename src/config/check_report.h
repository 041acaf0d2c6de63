#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/problem.h"

namespace dandelion::config {

enum class Severity {
  /// Accepted, but hardly what is wanted.
  kWarning,
  /// Rejected, or not served as written.
  kError,
};

struct Finding {
  Severity severity = Severity::kError;
  Problem problem;
};

/// A row that differs from the version in force.
struct Difference {
  enum class Kind { kAdded, kRemoved, kChanged };
  Kind kind = Kind::kChanged;
  /// "route/NAME", for example.
  std::string row;
  /// Fields that changed, as "NAME: OLD -> NEW"; empty unless `kChanged`.
  std::vector<std::string> fields;
  /// The callers whose requests the change reaches.
  std::string reaches;
};

/// What a check of a configuration found.
struct CheckReport {
  std::vector<Finding> findings;
  /// Nothing if there was no version to compare with.
  std::optional<std::vector<Difference>> differences;

  /// Whether any finding is an error.
  bool HasErrors() const;
};

/// A row of a configuration, to be compared.
struct ComparedRow {
  /// Fields with their values as text. Secrets must not be among them.
  std::map<std::string, std::string> fields;
  /// The callers whose requests the row decides on.
  std::string reaches;
};

/// Compares two configurations. The result is ordered by row.
std::vector<Difference> CompareRows(
    const std::map<std::string, ComparedRow>& old_rows,
    const std::map<std::string, ComparedRow>& new_rows);

/// Orders findings: errors first, then by place as in the file.
void SortFindings(std::vector<Finding>* findings);

/// Appends `problems` as errors.
void AppendErrors(std::vector<Problem> problems,
                  std::vector<Finding>* findings);

/// Formats a report as lines for operators, with a summary at the end.
std::string FormatAsText(const CheckReport& report);
/// Formats a report as a JSON object: `result` is "clean", "warnings" or
/// "errors"; `findings` and `differences` are in the order of the report.
std::string FormatAsJson(const CheckReport& report);

/// Returns up to a few of `names`, and how many more there are.
std::string ListSome(const std::vector<std::string>& names);

}  // namespace dandelion::config
