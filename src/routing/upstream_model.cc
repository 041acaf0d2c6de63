#include "routing/upstream_model.h"

#include <algorithm>
#include <utility>

namespace dandelion::routing {
namespace {

constexpr double kEwmaWeight = 0.05;

double UpdateAverage(double average, double sample) {
  return average + kEwmaWeight * (sample - average);
}

admission::Occupancy PredictOccupancy(const OwnGeneration& generation,
                                      const admission::LengthModel& lengths) {
  const int64_t context =
      generation.prompt_tokens + generation.generated_tokens;
  if (generation.output_tokens == 0) {
    return admission::GenerationOccupancy(
        lengths.Survival(generation.group, generation.generated_tokens),
        context);
  }
  admission::GridValues survival{};
  const int64_t remaining =
      generation.output_tokens - generation.generated_tokens;
  for (size_t i = 0; i < admission::kGridTokens.size(); ++i) {
    survival[i] = admission::kGridTokens[i] < remaining ? 1.0F : 0.0F;
  }
  return admission::GenerationOccupancy(survival, context);
}

}  // namespace

void UpstreamModel::Add(uint64_t key,
                        OwnGeneration generation,
                        const admission::LengthModel& lengths) {
  Entry entry;
  entry.contribution = PredictOccupancy(generation, lengths);
  entry.generation = std::move(generation);
  total_occupancy_ += entry.contribution;
  generations_[key] = std::move(entry);
}

void UpstreamModel::AddWithKnownLength(uint64_t key,
                                       int64_t prompt_tokens,
                                       int64_t output_tokens) {
  static const admission::LengthModel no_history;
  Add(key, OwnGeneration{{}, prompt_tokens, 0, output_tokens}, no_history);
}

void UpstreamModel::SetGeneratedTokens(uint64_t key, int64_t generated_tokens) {
  const auto found = generations_.find(key);
  if (found != generations_.end()) {
    found->second.generation.generated_tokens = generated_tokens;
  }
}

void UpstreamModel::Remove(uint64_t key) {
  const auto found = generations_.find(key);
  if (found != generations_.end()) {
    total_occupancy_ -= found->second.contribution;
    generations_.erase(found);
  }
}

void UpstreamModel::Refresh(const admission::LengthModel& lengths) {
  // Sums from zero, so that rounding errors do not accumulate.
  total_occupancy_ = admission::Occupancy();
  for (auto& [key, entry] : generations_) {
    entry.contribution = PredictOccupancy(entry.generation, lengths);
    total_occupancy_ += entry.contribution;
  }
}

void UpstreamModel::ObserveTokenInterval(double ms) {
  token_ms_ = UpdateAverage(token_ms_, ms);
}

void UpstreamModel::ObserveFirstToken(double ms, int64_t prefill_tokens) {
  constexpr double kPrefillMsPerToken = 0.03;
  const double overhead_ms =
      ms - kPrefillMsPerToken * static_cast<double>(prefill_tokens);
  first_token_ms_ = UpdateAverage(first_token_ms_, std::max(0.0, overhead_ms));
}

void UpstreamModel::ObserveSuccess() {
  consecutive_failures_ = 0;
}

void UpstreamModel::ObserveFailure(base::Millis now) {
  ++consecutive_failures_;
  last_failure_at_ = now;
}

bool UpstreamModel::IsCircuitOpen(base::Millis now) const {
  return consecutive_failures_ >= kFailuresToOpen &&
         now - last_failure_at_ < kProbeInterval;
}

void UpstreamModel::RecordPrefix(uint64_t prefix, int64_t /*tokens*/) {
  if (prefix == 0) {
    return;
  }
  prefixes_.remove(prefix);
  prefixes_.push_front(prefix);
  if (prefixes_.size() > kMaxPrefixes) {
    prefixes_.pop_back();
  }
}

bool UpstreamModel::HasPrefix(uint64_t prefix) const {
  return prefix != 0 && std::find(prefixes_.begin(), prefixes_.end(), prefix) !=
                            prefixes_.end();
}

}  // namespace dandelion::routing
