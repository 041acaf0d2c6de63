#include "routing/learned_capacity.h"

#include <algorithm>
#include <cmath>

namespace dandelion::routing {
namespace {

using base::Millis;

// Times within this interval weigh as much as one, because what slows them has
// one cause.
constexpr Millis kSampleTime{250};
// Weights end here, so that much evidence is forgotten as well.
constexpr double kMaxWeight = 8;
// Least weight of an average that counts.
constexpr double kMinWeight = 0.25;
// Least weight of a level that counts for the limit.
constexpr double kMinWeightToLimit = 4;
// Shorter times are too coarse in whole milliseconds to find a limit, and not
// worth one.
constexpr double kMinMsToLimit = 5;
// Most weight that holds an average back from a new time. An average follows
// time, not the number of requests, so that it is not moved by a few of many.
constexpr double kInertia = 1.5;
// More requests are too many if less than this part of the throughput is left.
constexpr double kLostThroughput = 0.6;

}  // namespace

size_t LearnedCapacity::LevelOf(int64_t running) {
  return static_cast<size_t>(
      std::lower_bound(kLevelEnds.begin(), kLevelEnds.end(), running) -
      kLevelEnds.begin());
}

double LearnedCapacity::WeightAt(const Level& level, Millis now) {
  const auto age = static_cast<double>((now - level.recorded_at).count());
  return level.weight *
         std::exp2(-age / static_cast<double>(kHalfLife.count()));
}

double LearnedCapacity::Throughput(size_t index, const Level& level) {
  const double first =
      index == 0 ? 1 : static_cast<double>(kLevelEnds[index - 1] + 1);
  const double last = index < kLevelEnds.size()
                          ? static_cast<double>(kLevelEnds[index])
                          : first;
  return (first + last) / 2 / level.ms;
}

void LearnedCapacity::RecordAt(Level& level, double ms, Millis now) {
  const double weight = WeightAt(level, now);
  const double covered =
      static_cast<double>((now - level.recorded_at).count()) /
      static_cast<double>(kSampleTime.count());
  const double gained = level.weight == 0 ? 1 : std::min(1.0, covered);
  const double share = gained / (std::min(weight, kInertia) + gained);
  if (weight > 0) {
    level.deviation_ms +=
        share * (std::abs(ms - level.ms) - level.deviation_ms);
  }
  level.ms += share * (ms - level.ms);
  level.weight = std::min(kMaxWeight, weight + gained);
  level.recorded_at = now;
}

void LearnedCapacity::Record(std::optional<int64_t> running,
                             double ms,
                             Millis now) {
  if (ms <= 0) {
    return;
  }
  RecordAt(average_, ms, now);
  if (running) {
    RecordAt(levels_[LevelOf(std::max<int64_t>(1, *running))], ms, now);
  }
}

std::optional<double> LearnedCapacity::AverageMs(Millis now) const {
  if (WeightAt(average_, now) < kMinWeight) {
    return std::nullopt;
  }
  return average_.ms;
}

double LearnedCapacity::DeviationMs(Millis now) const {
  return WeightAt(average_, now) < kMinWeight ? 0 : average_.deviation_ms;
}

int64_t LearnedCapacity::LimitFor(int64_t slots, Millis now) const {
  int64_t limit = slots;
  double best = 0;
  size_t best_index = 0;
  for (size_t i = 0; i < kLevels; ++i) {
    const Level& level = levels_[i];
    if (level.weight < kMinWeightToLimit) {
      continue;
    }
    const double throughput = Throughput(i, level);
    if (throughput > best) {
      best = throughput;
      best_index = i;
      limit = slots;
    } else if (limit == slots && level.ms >= kMinMsToLimit &&
               throughput < best * kLostThroughput) {
      const int64_t rise =
          (now - level.recorded_at).count() / kRiseInterval.count();
      limit = std::min(slots, kLevelEnds[best_index] + rise);
    }
  }
  return limit;
}

}  // namespace dandelion::routing
