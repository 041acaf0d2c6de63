#include "routing/upstream_model.h"

#include <algorithm>
#include <utility>

namespace dandelion::routing {
namespace {

constexpr double kEwmaWeight = 0.05;

double Blend(double old_value, double sample) {
  return old_value + kEwmaWeight * (sample - old_value);
}

admission::Occupancy ShareOf(const OwnGeneration& generation,
                             const admission::LengthModel& lengths) {
  const int64_t context = generation.prompt_tokens + generation.made;
  if (generation.output_tokens == 0) {
    return admission::OccupancyOf(
        lengths.Survival(generation.group, generation.made), context);
  }
  admission::GridValues survival{};
  const int64_t remaining = generation.output_tokens - generation.made;
  for (size_t i = 0; i < admission::kGrid.size(); ++i) {
    survival[i] = admission::kGrid[i] < remaining ? 1.0F : 0.0F;
  }
  return admission::OccupancyOf(survival, context);
}

}  // namespace

void UpstreamModel::Add(uint64_t key,
                        OwnGeneration generation,
                        const admission::LengthModel& lengths) {
  Entry entry;
  entry.share = ShareOf(generation, lengths);
  entry.generation = std::move(generation);
  sum_ += entry.share;
  generations_[key] = std::move(entry);
}

void UpstreamModel::AddKnown(uint64_t key,
                             int64_t prompt_tokens,
                             int64_t output_tokens) {
  static const admission::LengthModel none;
  Add(key, OwnGeneration{{}, prompt_tokens, 0, output_tokens}, none);
}

void UpstreamModel::MadeToken(uint64_t key, int64_t made) {
  const auto found = generations_.find(key);
  if (found != generations_.end()) {
    found->second.generation.made = made;
  }
}

void UpstreamModel::Remove(uint64_t key) {
  const auto found = generations_.find(key);
  if (found != generations_.end()) {
    sum_ -= found->second.share;
    generations_.erase(found);
  }
}

void UpstreamModel::Refresh(const admission::LengthModel& lengths) {
  // Summed anew, so that rounding errors do not pile up.
  sum_ = admission::Occupancy();
  for (auto& [key, entry] : generations_) {
    entry.share = ShareOf(entry.generation, lengths);
    sum_ += entry.share;
  }
}

void UpstreamModel::ObserveGap(double ms) {
  token_ms_ = Blend(token_ms_, ms);
}

void UpstreamModel::ObserveFirstToken(double ms, int64_t computed_tokens) {
  constexpr double kPrefillMsPerToken = 0.03;
  const double fixed =
      ms - kPrefillMsPerToken * static_cast<double>(computed_tokens);
  first_token_ms_ = Blend(first_token_ms_, std::max(0.0, fixed));
}

void UpstreamModel::ObserveSuccess() {
  failures_ = 0;
}

void UpstreamModel::ObserveFailure(base::Millis now) {
  ++failures_;
  failed_at_ = now;
}

bool UpstreamModel::CircuitOpen(base::Millis now) const {
  return failures_ >= kFailuresToOpen && now - failed_at_ < kProbeInterval;
}

void UpstreamModel::UsePrefix(uint64_t prefix, int64_t /*tokens*/) {
  if (prefix == 0) {
    return;
  }
  prefixes_.remove(prefix);
  prefixes_.push_front(prefix);
  if (prefixes_.size() > kPrefixes) {
    prefixes_.pop_back();
  }
}

bool UpstreamModel::HasPrefix(uint64_t prefix) const {
  return prefix != 0 && std::find(prefixes_.begin(), prefixes_.end(), prefix) !=
                            prefixes_.end();
}

}  // namespace dandelion::routing
