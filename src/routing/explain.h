#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"

namespace dandelion::routing {

/// Keeps a log of the decisions, and their reasons, for each of the last
/// `kMaxRequests` requests.
class Explanations {
 public:
  static constexpr size_t kMaxRequests = 2000;
  static constexpr size_t kMaxLinesPerRequest = 64;

  /// Appends a line to the log of a request. Lines beyond
  /// `kMaxLinesPerRequest` are dropped.
  void AddLine(const base::RequestId& request, std::string line);
  /// Returns the lines of a request, oldest first; empty if it is unknown.
  std::vector<std::string> FindLines(const base::RequestId& request) const;

 private:
  std::map<base::RequestId, std::vector<std::string>> lines_;
  /// Requests in the order of their first lines.
  std::deque<base::RequestId> order_;
};

}  // namespace dandelion::routing
