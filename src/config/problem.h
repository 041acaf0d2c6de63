#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "base/error.h"

namespace dandelion::config {

/// One fault in a settings file or in the tables.
struct Problem {
  /// Where it is, as a path into the document.
  std::string place;
  std::string what;
  std::string remedy;
};

/// Checks `text` against a JSON schema. An empty result means that it fits.
/// A key that the schema does not know comes with the nearest known one.
std::vector<Problem> CheckAgainstSchema(std::string_view text,
                                        std::string_view schema);

/// Joins the problems into one status of `kind`; OK if there are none.
absl::Status ToStatus(base::ErrorKind kind,
                      const std::vector<Problem>& problems);

}  // namespace dandelion::config
