#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "admission/occupancy.h"
#include "base/ids.h"

namespace dandelion::routing {

/// What a daemon knows of an upstream when it chooses one for a request.
struct SlotCandidate {
  base::UpstreamId id;
  bool same_data_centre = true;
  bool cold = false;
  /// Leased slots that this daemon does not use yet.
  int64_t free_slots = 0;
  /// This daemon's requests on the upstream.
  int64_t in_flight = 0;
  /// All slots that this daemon's lease gives.
  int64_t leased = 0;
  /// Average time between two tokens at the present load.
  double token_ms = 30;
  /// Average time to the first token, less that for processing the prompt.
  double first_token_ms = 100;
  /// Predicted memory of the requests of all daemons.
  admission::Occupancy occupancy;
  /// From the last report, in tokens; 0 if the upstream reports no memory.
  int64_t memory_total = 0;
  /// Tokens by which this daemon may raise the predicted peak; empty for no
  /// limit.
  std::optional<double> headroom;
  /// Requests queued inside the engine, from the last report.
  int64_t waiting = 0;
  /// Prompt tokens whose KV cache the engine probably still has.
  int64_t cached_tokens = 0;
  /// Whether the upstream gets no requests for now, after failures in a row.
  bool circuit_open = false;
};

/// The request that needs an upstream.
struct ChoiceRequest {
  bool is_short = false;
  int64_t prompt_tokens = 1;
  /// Probability that the generation still runs at each point of the prediction
  /// grid.
  admission::GridValues survival{};
  /// Expected output length, in tokens.
  double expected_tokens = 1;
};

/// The evaluation of one candidate.
struct Score {
  base::UpstreamId id;
  bool admitted = false;
  /// Why the candidate cannot take the request; empty if it can.
  std::string rejection;
  /// Predicted time until the answer is complete, in ms, weighted by how full
  /// the upstream is; lower is better. 0 if the candidate is rejected.
  double cost_ms = 0;
};

/// The result of a choice.
struct Choice {
  /// Empty if no candidate can take the request now.
  base::UpstreamId chosen;
  /// Tokens by which the request raises the chosen upstream's predicted peak.
  double raise_tokens = 0;
  /// Headroom, in tokens, with which any candidate that lacks only headroom
  /// could take the request; 0 if there is no such candidate.
  double headroom_needed = 0;
  /// One score per candidate, in their order, if an explanation was asked for.
  std::vector<Score> scores;
};

/// Chooses the candidate with the lowest cost among those that can take the
/// request. Fills `Choice::scores` only if `explain` is set.
Choice ChooseUpstream(const ChoiceRequest& request,
                      const std::vector<SlotCandidate>& candidates,
                      bool explain);

}  // namespace dandelion::routing
