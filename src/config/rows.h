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

/// A row of the published configuration. Its key is "route/NAME", "pool/NAME",
/// "upstream/ID" or "data_centre/NAME".
struct Row {
  /// A JSON object; empty if the row is deleted.
  std::string value;
  /// The configuration version that last changed the row.
  base::Offset version;

  bool operator==(const Row&) const = default;
};

/// Rows by key.
using Rows = std::map<std::string, Row>;

/// Validates a tables file: its schema and, if that is met, that names are
/// unique and defined and that upstreams have valid addresses and slots.
/// Returns an empty list if it is valid.
std::vector<Problem> CheckTables(std::string_view text);

/// Splits a tables file, which must have passed `CheckTables`, into rows. Their
/// versions are 0.
Rows SplitTables(std::string_view text);

/// Adds or replaces a row of `tables`, or removes it if `value` is empty. Fails
/// with `kInvalidTables` on a malformed row or a value out of range.
absl::Status ApplyRow(const std::string& key,
                      std::string_view value,
                      Tables* tables);

/// Checks that the pools of all routes and upstreams are defined, and sets the
/// kind of each upstream to that of its pool. Fails with `kInvalidTables` if a
/// pool is missing.
absl::Status ResolveReferences(Tables* tables);

/// Builds tables from rows. Fails with `kInvalidTables` on an undefined pool, a
/// malformed row or a value out of range.
absl::StatusOr<Tables> BuildTables(const Rows& rows, base::Offset version);

/// Formats rows as a tables file, with `indent` spaces per level. Rows of data
/// centres and deleted rows are left out.
std::string FormatTables(const Rows& rows, int indent);

/// Returns the value of a data centre's row.
std::string EncodeDataCentreState(bool in_service);

/// Returns the value of an upstream's row with its `drained` field set.
std::string WithDrained(std::string_view upstream_value, bool drained);

}  // namespace dandelion::config
