#include "routing/upstream_model.h"

#include <algorithm>
#include <utility>

namespace dandelion::routing {
namespace {

constexpr double kEwmaWeight = 0.05;

double Blend(double old_value, double sample) {
  return old_value + kEwmaWeight * (sample - old_value);
}

}  // namespace

void UpstreamModel::Add(uint64_t key,
                        OwnGeneration generation,
                        const admission::LengthModel& lengths) {
  Entry entry;
  entry.share = admission::OccupancyOf(
      lengths.Survival(generation.group, generation.made),
      generation.prompt_tokens + generation.made);
  entry.generation = std::move(generation);
  sum_ += entry.share;
  generations_[key] = std::move(entry);
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
    const OwnGeneration& generation = entry.generation;
    entry.share = admission::OccupancyOf(
        lengths.Survival(generation.group, generation.made),
        generation.prompt_tokens + generation.made);
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
  constexpr double kZDecay = 0.01;
  failures_ = 0;
  z_ = std::max(kUsualZ, z_ - kZDecay);
}

void UpstreamModel::ObserveFailure(base::Millis now) {
  ++failures_;
  failed_at_ = now;
}

void UpstreamModel::ObservePreemptions(int64_t total,
                                       const base::Incarnation& incarnation) {
  constexpr double kZStep = 0.25;
  if (incarnation == incarnation_ && total > preemptions_) {
    z_ = std::min(kMostZ, z_ + kZStep);
  }
  incarnation_ = incarnation;
  preemptions_ = total;
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
