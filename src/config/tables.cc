#include "config/tables.h"

namespace dandelion::config {
namespace {

// Scores a match: organisation and label count `kNamedFieldScore` each, so that
// they outweigh the path, which counts its length.
int Specificity(const RouteMatch& match) {
  constexpr int kNamedFieldScore = 1000;
  int score = static_cast<int>(match.path.size());
  score += match.organisation.empty() ? 0 : kNamedFieldScore;
  score += match.label.empty() ? 0 : kNamedFieldScore;
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

bool Tables::IsInService(const Upstream& upstream) const {
  return !upstream.drained &&
         !drained_data_centres.contains(upstream.data_centre);
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
