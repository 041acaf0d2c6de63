#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"

namespace dandelion::routing {

/// Keeps, for the latest requests, what was decided and why.
class Explanations {
 public:
  static constexpr size_t kRequests = 2000;
  static constexpr size_t kLinesPerRequest = 64;

  void Note(const base::RequestId& request, std::string line);
  /// The lines of one request, oldest first; empty if unknown.
  std::vector<std::string> Of(const base::RequestId& request) const;

 private:
  std::map<base::RequestId, std::vector<std::string>> lines_;
  std::deque<base::RequestId> order_;
};

}  // namespace dandelion::routing
