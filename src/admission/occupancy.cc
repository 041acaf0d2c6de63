#include "admission/occupancy.h"

#include <algorithm>
#include <cmath>

namespace dandelion::admission {

Occupancy& Occupancy::operator+=(const Occupancy& other) {
  for (size_t i = 0; i < kGridTokens.size(); ++i) {
    mean[i] += other.mean[i];
    variance[i] += other.variance[i];
  }
  return *this;
}

Occupancy& Occupancy::operator-=(const Occupancy& other) {
  for (size_t i = 0; i < kGridTokens.size(); ++i) {
    mean[i] -= other.mean[i];
    variance[i] -= other.variance[i];
  }
  return *this;
}

Occupancy GenerationOccupancy(const GridValues& survival,
                              int64_t context_tokens) {
  Occupancy occupancy;
  for (size_t i = 0; i < kGridTokens.size(); ++i) {
    const auto tokens = static_cast<float>(context_tokens + kGridTokens[i]);
    const float probability = survival[i];
    occupancy.mean[i] = probability * tokens;
    occupancy.variance[i] = probability * (1 - probability) * tokens * tokens;
  }
  return occupancy;
}

double PeakTokens(const Occupancy& occupancy, double z) {
  const auto deviations = static_cast<float>(z);
  float peak = 0;
  for (size_t i = 0; i < kGridTokens.size(); ++i) {
    const float variance = std::max(0.0F, occupancy.variance[i]);
    peak = std::max(peak, occupancy.mean[i] + deviations * std::sqrt(variance));
  }
  return peak;
}

double PeakIncrease(const Occupancy& current,
                    const Occupancy& added,
                    double z) {
  Occupancy combined = current;
  combined += added;
  return PeakTokens(combined, z) - PeakTokens(current, z);
}

}  // namespace dandelion::admission
