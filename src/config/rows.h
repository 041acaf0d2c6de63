#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/ids.h"
#include "config/problem.h"
#include "config/tables.h"

namespace dandelion::config {

/// One row of the published configuration. Keys are "route/NAME",
/// "pool/NAME", "upstream/ID" and "data_centre/NAME".
struct Row {
  /// JSON; empty marks a deleted row.
  std::string value;
  /// The version that wrote it.
  base::Offset version;

  bool operator==(const Row&) const = default;
};

using Rows = std::map<std::string, Row>;

/// Checks both tables by schema and by meaning; the text is that of a
/// tables file.
std::vector<Problem> CheckTables(std::string_view text);

/// Splits a checked tables file into rows. Versions are left at 0.
Rows SplitTables(std::string_view text);

/// Puts one row into `tables`, or takes it out if `value` is empty. Fails with
/// `kInvalidTables` on a malformed row or a value out of range.
absl::Status ApplyRow(const std::string& key,
                      std::string_view value,
                      Tables* tables);

/// Checks that every name of `tables` is defined, and fills in what follows
/// from the names.
absl::Status CheckJoin(Tables* tables);

/// Joins rows into tables. Fails with `kInvalidTables` on a dangling name, a
/// malformed row or a value out of range.
absl::StatusOr<Tables> JoinRows(const Rows& rows, base::Offset version);

/// The tables file that would publish these rows; `indent` spaces a level.
std::string FormatTables(const Rows& rows, int indent);

/// The value of a data centre's row.
std::string DataCentreValue(bool in_service);

/// An upstream's row with its `drained` mark set to `drained`.
std::string WithDrained(std::string_view upstream_value, bool drained);

}  // namespace dandelion::config
