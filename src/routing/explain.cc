#include "routing/explain.h"

#include <utility>

namespace dandelion::routing {

void Explanations::AddLine(const base::RequestId& request, std::string line) {
  auto [found, is_new] = lines_.try_emplace(request);
  if (is_new) {
    order_.push_back(request);
    if (order_.size() > kMaxRequests) {
      lines_.erase(order_.front());
      order_.pop_front();
    }
  }
  if (found->second.size() < kMaxLinesPerRequest) {
    found->second.push_back(std::move(line));
  }
}

std::vector<std::string> Explanations::FindLines(
    const base::RequestId& request) const {
  const auto found = lines_.find(request);
  return found == lines_.end() ? std::vector<std::string>() : found->second;
}

}  // namespace dandelion::routing
