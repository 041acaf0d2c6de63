#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "routing/first_token.h"
#include "routing/learned_capacity.h"
#include "routing/load_tracker.h"

namespace dandelion::routing {

/// Time per token that is assumed of an engine whose speed is not known yet.
inline constexpr double kDefaultTokenMs = 10;

/// An upstream that may take a request, with what is known of it.
struct UpstreamCandidate {
  base::UpstreamId id;
  bool same_data_centre = false;
  int64_t slots = 1;
  /// Load of all daemons.
  Load load;
  /// Share of its requests that failed, 0 to 1; recent ones weigh most.
  double failure_rate = 0;
  /// Time per token of an engine, or to the answer's head of a service.
  Speed speed;
  /// Random number in [0, 1) that spreads the choices of daemons which know the
  /// same loads, as none of them knows yet what the others have just placed.
  double spread = 0;
};

/// Assumes of candidates whose speed is not known that it is what the others'
/// is on average, so that nothing known is no reason for all daemons to
/// choose them at once. Leaves them as they are if no speed is known.
void AssumeTypicalSpeed(std::vector<UpstreamCandidate>& candidates);

/// Expected size of a generation.
struct GenerationSize {
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  /// May use memory that is kept free for urgent generations.
  bool is_urgent = false;

  /// KV cache at the end of the generation, in tokens.
  int64_t TotalTokens() const { return prompt_tokens + output_tokens; }
};

/// Chooses the engine that is expected to finish the generation first, among
/// those that have a free slot and enough of `memory_tokens` left. Returns its
/// index, or nothing if no engine has.
///
/// Made for long generations whose memory grows while they run, on engines
/// whose speeds differ by a factor of two or more. It accounts for prompts that
/// slow down all generations of an engine, and keeps memory free for urgent
/// generations while long ones fill the rest.
///
/// With a `bound`, only engines are chosen where the first token is predicted
/// to come within it, or that are idle: what waits here can still be placed
/// elsewhere, what waits at an engine can't.
std::optional<size_t> ChooseEngine(
    const std::vector<UpstreamCandidate>& candidates,
    const GenerationSize& size,
    int64_t memory_tokens,
    const FirstTokenModel& first_token = {},
    const std::optional<FirstTokenBound>& bound = std::nullopt);

/// Chooses the service that is expected to answer first, among those with a
/// free slot. Returns its index, or nothing if all slots are taken.
///
/// Made for bursts of short requests with tight latency targets, on upstreams
/// some of which fail part of their requests.
std::optional<size_t> ChooseService(
    const std::vector<UpstreamCandidate>& candidates);

}  // namespace dandelion::routing
