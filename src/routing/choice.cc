#include "routing/choice.h"

#include <algorithm>
#include <limits>
#include <string_view>

#include "admission/slot_owner.h"

namespace dandelion::routing {
namespace {

// A request to another data centre also pays for the longer way.
constexpr double kRemoteMs = 2;
// What one waiting request inside an engine is taken to delay the next by.
constexpr double kWaitingMs = 40;
constexpr double kPrefillMsPerToken = 0.03;

constexpr std::string_view kNoRoom = "memory would fill";

double RaiseOf(const admission::Occupancy& own, const Candidate& candidate) {
  return admission::RaiseOfPeak(candidate.occupancy, own,
                                admission::SlotOwner::kUsualZ);
}

bool FitsMemory(const ChoiceRequest& request,
                const admission::Occupancy& own,
                const Candidate& candidate) {
  // Short requests go into the reserve that owners keep for them.
  return request.is_short || !candidate.room ||
         RaiseOf(own, candidate) <= *candidate.room;
}

std::string_view RefusalOf(const ChoiceRequest& request,
                           const admission::Occupancy& own,
                           const Candidate& candidate) {
  if (candidate.circuit_open) {
    return "circuit open";
  }
  if (candidate.free_slots <= 0) {
    return "no free slot";
  }
  if (!FitsMemory(request, own, candidate)) {
    return kNoRoom;
  }
  return {};
}

double CostMs(const ChoiceRequest& request, const Candidate& candidate) {
  const int64_t to_compute =
      std::max<int64_t>(0, request.prompt_tokens - candidate.cached_tokens);
  double cost = candidate.first_token_ms;
  cost += kPrefillMsPerToken * static_cast<double>(to_compute);
  cost += kWaitingMs * static_cast<double>(candidate.waiting);
  cost += candidate.token_ms * request.expected_tokens;
  // A fuller engine is more likely to stall, and slows down for all on it.
  const double fill =
      candidate.memory_total > 0
          ? candidate.occupancy.mean[0] /
                static_cast<double>(candidate.memory_total)
          : static_cast<double>(candidate.in_flight) /
                static_cast<double>(std::max<int64_t>(1, candidate.leased));
  cost *= 1 + fill;
  cost += candidate.same_data_centre ? 0 : kRemoteMs;
  return cost;
}

}  // namespace

Choice Choose(const ChoiceRequest& request,
              const std::vector<Candidate>& candidates,
              bool explain) {
  Choice choice;
  const admission::Occupancy own =
      admission::OccupancyOf(request.survival, request.prompt_tokens);
  double best = std::numeric_limits<double>::infinity();
  const Candidate* cheapest = nullptr;
  for (const Candidate& candidate : candidates) {
    const std::string_view refusal = RefusalOf(request, own, candidate);
    const double cost = refusal.empty() ? CostMs(request, candidate) : 0;
    if (refusal.empty() && cost < best) {
      best = cost;
      cheapest = &candidate;
    }
    if (refusal == kNoRoom) {
      // The margin covers what changes before the room is granted.
      constexpr double kMargin = 1.05;
      choice.room_needed =
          std::max(choice.room_needed, kMargin * RaiseOf(own, candidate));
    }
    if (explain) {
      choice.scores.push_back(
          Score{candidate.id, refusal.empty(), std::string(refusal), cost});
    }
  }
  if (cheapest != nullptr) {
    choice.chosen = cheapest->id;
    choice.raise = RaiseOf(own, *cheapest);
  }
  return choice;
}

}  // namespace dandelion::routing
