#include "routing/slot_choice.h"

#include <algorithm>
#include <limits>
#include <string_view>

#include "admission/slot_owner.h"

namespace dandelion::routing {
namespace {

// Added network latency of a request to another data centre.
constexpr double kRemoteLatencyMs = 2;
// Assumed delay by each request that is queued inside the engine.
constexpr double kMsPerQueuedRequest = 40;
constexpr double kPrefillMsPerToken = 0.03;

constexpr std::string_view kNoHeadroom = "not enough headroom";

// Returns the tokens by which the request would raise the predicted peak.
double ComputePeakRaise(const admission::Occupancy& added,
                        const SlotCandidate& candidate) {
  return admission::PeakIncrease(candidate.occupancy, added,
                                 admission::SlotOwner::kMinZ);
}

bool FitsHeadroom(const ChoiceRequest& request,
                  const admission::Occupancy& added,
                  const SlotCandidate& candidate) {
  // Short requests use the memory that slot owners keep free for them.
  return request.is_short || !candidate.headroom ||
         ComputePeakRaise(added, candidate) <= *candidate.headroom;
}

// Returns why the candidate cannot take the request; empty if it can.
std::string_view FindRejection(const ChoiceRequest& request,
                               const admission::Occupancy& added,
                               const SlotCandidate& candidate) {
  if (candidate.circuit_open) {
    return "circuit open";
  }
  if (candidate.free_slots <= 0) {
    return "no free slot";
  }
  if (!FitsHeadroom(request, added, candidate)) {
    return kNoHeadroom;
  }
  return {};
}

// Estimates the time until the answer is complete, weighted by how full the
// upstream is.
double EstimateCostMs(const ChoiceRequest& request,
                      const SlotCandidate& candidate) {
  const int64_t uncached_tokens =
      std::max<int64_t>(0, request.prompt_tokens - candidate.cached_tokens);
  double cost = candidate.first_token_ms;
  cost += kPrefillMsPerToken * static_cast<double>(uncached_tokens);
  cost += kMsPerQueuedRequest * static_cast<double>(candidate.waiting);
  cost += candidate.token_ms * request.expected_tokens;
  // A fuller engine is more likely to stall, and each request slows down all
  // others on it.
  const double fill =
      candidate.memory_total > 0
          ? candidate.occupancy.mean[0] /
                static_cast<double>(candidate.memory_total)
          : static_cast<double>(candidate.in_flight) /
                static_cast<double>(std::max<int64_t>(1, candidate.leased));
  cost *= 1 + fill;
  cost += candidate.same_data_centre ? 0 : kRemoteLatencyMs;
  return cost;
}

}  // namespace

Choice ChooseUpstream(const ChoiceRequest& request,
                      const std::vector<SlotCandidate>& candidates,
                      bool explain) {
  Choice choice;
  const admission::Occupancy added =
      admission::GenerationOccupancy(request.survival, request.prompt_tokens);
  double lowest_cost = std::numeric_limits<double>::infinity();
  const SlotCandidate* cheapest = nullptr;
  for (const SlotCandidate& candidate : candidates) {
    const std::string_view rejection = FindRejection(request, added, candidate);
    const double cost =
        rejection.empty() ? EstimateCostMs(request, candidate) : 0;
    if (rejection.empty() && cost < lowest_cost) {
      lowest_cost = cost;
      cheapest = &candidate;
    }
    if (rejection == kNoHeadroom) {
      // The margin covers changes of the load until the headroom is granted.
      constexpr double kMargin = 1.05;
      choice.headroom_needed = std::max(
          choice.headroom_needed, kMargin * ComputePeakRaise(added, candidate));
    }
    if (explain) {
      choice.scores.push_back(
          Score{candidate.id, rejection.empty(), std::string(rejection), cost});
    }
  }
  if (cheapest != nullptr) {
    choice.chosen = cheapest->id;
    choice.raise_tokens = ComputePeakRaise(added, *cheapest);
  }
  return choice;
}

}  // namespace dandelion::routing
