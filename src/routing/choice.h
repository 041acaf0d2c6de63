#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "admission/occupancy.h"
#include "base/ids.h"

namespace dandelion::routing {

/// What a daemon knows of an upstream when it chooses.
struct Candidate {
  base::UpstreamId id;
  bool same_data_centre = true;
  bool cold = false;
  int64_t free_slots = 0;
  /// Own requests there, and all slots that the lease gives.
  int64_t in_flight = 0;
  int64_t leased = 0;
  /// Learned time between tokens at the present load.
  double token_ms = 30;
  /// Learned time to the first token, without queueing.
  double first_token_ms = 100;
  /// Memory that is predicted to be occupied, own and others' requests.
  admission::Occupancy occupancy;
  /// From the lagged report; 0 if the upstream reports no memory.
  int64_t memory_total = 0;
  /// By how much this daemon may raise the predicted peak; empty for no limit.
  std::optional<double> room;
  /// Requests that wait inside the engine, from the lagged report.
  int64_t waiting = 0;
  /// Tokens of the prompt whose state the engine is likely to have cached.
  int64_t cached_tokens = 0;
  /// Recent failures; the circuit lets only probes through while open.
  bool circuit_open = false;
};

/// The request that needs an upstream.
struct ChoiceRequest {
  bool is_short = false;
  int64_t prompt_tokens = 1;
  /// Probability to run on after each grid point.
  admission::GridValues survival{};
  double expected_tokens = 1;
};

/// One candidate's verdict, for the choice and for its explanation.
struct Score {
  base::UpstreamId id;
  bool admitted = false;
  /// Why it was not admitted; empty otherwise.
  std::string refusal;
  /// Predicted time until the whole answer, in ms; lower is better.
  double cost_ms = 0;
};

/// The result of a choice.
struct Choice {
  /// Empty if no candidate admits the request now.
  base::UpstreamId chosen;
  /// By how much the request raises the chosen upstream's predicted peak.
  double raise = 0;
  /// If none was chosen: room that suffices at any upstream that only lacks it.
  double room_needed = 0;
  std::vector<Score> scores;
};

/// Scores every candidate and takes the cheapest that admits the request.
/// `explain` keeps the scores.
Choice Choose(const ChoiceRequest& request,
              const std::vector<Candidate>& candidates,
              bool explain);

}  // namespace dandelion::routing
