#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "config/check_report.h"
#include "config/rows.h"

namespace dandelion::config {

/// Checks a tables file before it is published: what `CheckTables` rejects,
/// and, if it rejects nothing, routes and pools that can never be used and
/// upstreams whose limits contradict each other. With `in_force`, the rows in
/// force or those of another file, also tells what differs; upstreams stay
/// drained as a publication would leave them.
CheckReport CheckTablesFile(std::string_view text,
                            const std::optional<Rows>& in_force);

}  // namespace dandelion::config
