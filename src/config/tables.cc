#include "config/tables.h"

namespace dandelion::config {
namespace {

// Organisation and label count before the length of the path.
int Specificity(const RouteMatch& match) {
  constexpr int kNamedField = 1000;
  int score = static_cast<int>(match.path.size());
  score += match.organisation.empty() ? 0 : kNamedField;
  score += match.label.empty() ? 0 : kNamedField;
  return score;
}

bool Matches(const RouteMatch& match,
             std::string_view path,
             const base::OrganisationId& organisation,
             std::string_view label) {
  if (!match.path.empty() && match.path != path) {
    return false;
  }
  if (!match.organisation.empty() && match.organisation != organisation) {
    return false;
  }
  return match.label.empty() || match.label == label;
}

}  // namespace

bool Tables::InService(const Upstream& upstream) const {
  return !upstream.drained && !out_of_service.contains(upstream.data_centre);
}

const Route* Tables::FindRoute(std::string_view path,
                               const base::OrganisationId& organisation,
                               std::string_view label) const {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (!Matches(route.match, path, organisation, label)) {
      continue;
    }
    if (best == nullptr ||
        Specificity(route.match) > Specificity(best->match)) {
      best = &route;
    }
  }
  return best;
}

}  // namespace dandelion::config
