#include "routing/upstream_choice.h"

#include <algorithm>

#include "routing/cheapest.h"

namespace dandelion::routing {
namespace {

// Times are whole milliseconds, so 0 may be any time up to this. A cost of 0
// would hide how full an upstream is and how often it fails.
constexpr double kLeastMs = 1;
// Answer time that is assumed of a service whose speed is not known yet.
constexpr double kDefaultAnswerMs = 20;
// Share of an engine's memory that stays free, because outputs can be longer
// than expected.
constexpr double kMemoryReserve = 0.02;
// Further share that only urgent generations may use. They are short, and would
// otherwise wait until a long generation ends.
constexpr double kUrgentReserve = 0.06;
// Relative slowdown of a generation on an engine whose memory is full.
constexpr double kFillPenalty = 1.5;
// Cost factor of an engine in another data centre: its stream uses bandwidth
// and breaks with the link.
constexpr double kRemotePenalty = 1.6;
// How many deviations of its times count on top of a service's average: one
// that slows down whenever much is sent there varies most, and calls shorter
// than the news of loads don't show how much that was.
constexpr double kDeviations = 4;
// Cost factor of a service in another data centre, for its round trip.
constexpr double kRemoteServicePenalty = 1.3;
// The same for a service whose slots are all taken. What it takes at that load
// is known, but others may have placed requests there that are not known yet.
constexpr double kServiceFillPenalty = 3;
// Relative difference of costs within which upstreams count as alike.
constexpr double kSpread = 0.5;
// Cost of a failure, as a multiple of an attempt's cost.
constexpr double kFailurePenalty = 6;

double TokenMs(const UpstreamCandidate& candidate) {
  return std::max(kLeastMs,
                  candidate.speed.average_ms.value_or(kDefaultTokenMs));
}

double AnswerMs(const UpstreamCandidate& candidate) {
  return std::max(kLeastMs,
                  candidate.speed.average_ms.value_or(kDefaultAnswerMs) +
                      kDeviations * candidate.speed.deviation_ms);
}

// Whether the first token is predicted to come within `bound`.
bool KeepsBound(const UpstreamCandidate& candidate,
                const GenerationSize& size,
                const FirstTokenModel& first_token,
                const FirstTokenBound& bound) {
  const double ahead_ms =
      first_token.PrefillMs(candidate.load.unread_tokens, TokenMs(candidate));
  const double own_ms =
      first_token.PrefillMs(size.prompt_tokens, TokenMs(candidate));
  return candidate.load.running == 0 ||
         (ahead_ms <= bound.ahead_ms && ahead_ms + own_ms <= bound.total_ms);
}

double ComputeEngineCost(const UpstreamCandidate& candidate,
                         const GenerationSize& size,
                         int64_t memory_tokens) {
  const double token_ms = TokenMs(candidate);
  const double prefill_tokens =
      static_cast<double>(candidate.load.unread_tokens + size.prompt_tokens);
  const double fill = static_cast<double>(candidate.load.tokens) /
                      static_cast<double>(std::max<int64_t>(1, memory_tokens));
  double cost = token_ms * (prefill_tokens * FirstTokenModel::kDefaultShare +
                            static_cast<double>(size.output_tokens));
  cost *= 1 + kFillPenalty * fill;
  cost *= 1 + kFailurePenalty * candidate.failure_rate;
  cost *= 1 + kSpread * candidate.spread;
  return candidate.same_data_centre ? cost : cost * kRemotePenalty;
}

bool HasCapacity(const UpstreamCandidate& candidate,
                 const GenerationSize& size,
                 int64_t memory_tokens) {
  if (candidate.load.running >= candidate.slots) {
    return false;
  }
  // An idle engine takes any generation, even one that exceeds the limit.
  if (candidate.load.running == 0) {
    return true;
  }
  const double reserve = kMemoryReserve + (size.is_urgent ? 0 : kUrgentReserve);
  const double limit = static_cast<double>(memory_tokens) * (1 - reserve);
  return static_cast<double>(candidate.load.tokens + size.TotalTokens()) <=
         limit;
}

// `typical_ms` is what the services of the pool take for an answer on average.
// A request that fails goes to another of them, so one that fails sooner than
// others answer does not fail at less cost.
double ComputeServiceCost(const UpstreamCandidate& candidate,
                          double typical_ms) {
  const double fill =
      static_cast<double>(candidate.load.running) /
      static_cast<double>(std::max<int64_t>(1, candidate.slots));
  double cost = AnswerMs(candidate) * (1 + kServiceFillPenalty * fill);
  cost += kFailurePenalty * candidate.failure_rate * std::max(cost, typical_ms);
  cost *= 1 + kSpread * candidate.spread;
  return candidate.same_data_centre ? cost : cost * kRemoteServicePenalty;
}

double TypicalAnswerMs(const std::vector<UpstreamCandidate>& candidates) {
  double sum = 0;
  for (const UpstreamCandidate& candidate : candidates) {
    sum += AnswerMs(candidate);
  }
  return sum / static_cast<double>(std::max<size_t>(1, candidates.size()));
}

}  // namespace

void AssumeTypicalSpeed(std::vector<UpstreamCandidate>& candidates) {
  double average_sum = 0;
  double deviation_sum = 0;
  int known = 0;
  for (const UpstreamCandidate& candidate : candidates) {
    if (candidate.speed.average_ms) {
      average_sum += *candidate.speed.average_ms;
      deviation_sum += candidate.speed.deviation_ms;
      ++known;
    }
  }
  if (known == 0) {
    return;
  }
  for (UpstreamCandidate& candidate : candidates) {
    if (!candidate.speed.average_ms) {
      candidate.speed = {average_sum / known, deviation_sum / known};
    }
  }
}

std::optional<size_t> ChooseEngine(
    const std::vector<UpstreamCandidate>& candidates,
    const GenerationSize& size,
    int64_t memory_tokens,
    const FirstTokenModel& first_token,
    const std::optional<FirstTokenBound>& bound) {
  return FindCheapest(
      candidates,
      [&](const UpstreamCandidate& candidate) {
        return ComputeEngineCost(candidate, size, memory_tokens);
      },
      [&](const UpstreamCandidate& candidate) {
        return HasCapacity(candidate, size, memory_tokens) &&
               (!bound || KeepsBound(candidate, size, first_token, *bound));
      });
}

std::optional<size_t> ChooseService(
    const std::vector<UpstreamCandidate>& candidates) {
  const double typical_ms = TypicalAnswerMs(candidates);
  return FindCheapest(
      candidates,
      [typical_ms](const UpstreamCandidate& candidate) {
        return ComputeServiceCost(candidate, typical_ms);
      },
      [](const UpstreamCandidate& candidate) {
        return candidate.load.running < candidate.slots;
      });
}

}  // namespace dandelion::routing
