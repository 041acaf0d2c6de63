#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "base/error.h"

namespace dandelion::config {

/// An error in a settings file or a tables file.
struct Problem {
  /// The location: a path into the document, such as `$.routes[0].pool`, or
  /// "byte N" if the document is not valid JSON.
  std::string location;
  /// What is wrong.
  std::string what;
  /// What to do about it.
  std::string remedy;
};

/// Validates the JSON document `text`, by `CheckSyntax` first, against a JSON
/// schema. Returns an empty list if it is valid. The remedy for an unknown key
/// suggests the most similar known key, if there is one.
std::vector<Problem> CheckAgainstSchema(std::string_view text,
                                        std::string_view schema);

/// Returns an error of `kind` that lists all problems, one per line, with the
/// remedy of the first; OK if there are none.
absl::Status ToStatus(base::ErrorKind kind,
                      const std::vector<Problem>& problems);

}  // namespace dandelion::config
