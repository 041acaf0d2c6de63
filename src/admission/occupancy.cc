#include "admission/occupancy.h"

#include <algorithm>
#include <cmath>

namespace dandelion::admission {

Occupancy& Occupancy::operator+=(const Occupancy& other) {
  for (size_t i = 0; i < kGrid.size(); ++i) {
    mean[i] += other.mean[i];
    variance[i] += other.variance[i];
  }
  return *this;
}

Occupancy& Occupancy::operator-=(const Occupancy& other) {
  for (size_t i = 0; i < kGrid.size(); ++i) {
    mean[i] -= other.mean[i];
    variance[i] -= other.variance[i];
  }
  return *this;
}

Occupancy OccupancyOf(const GridValues& survival, int64_t context) {
  Occupancy occupancy;
  for (size_t i = 0; i < kGrid.size(); ++i) {
    const auto size = static_cast<float>(context + kGrid[i]);
    const float alive = survival[i];
    occupancy.mean[i] = alive * size;
    occupancy.variance[i] = alive * (1 - alive) * size * size;
  }
  return occupancy;
}

double PeakTokens(const Occupancy& occupancy, double z) {
  const auto deviations = static_cast<float>(z);
  float peak = 0;
  for (size_t i = 0; i < kGrid.size(); ++i) {
    const float variance = std::max(0.0F, occupancy.variance[i]);
    peak = std::max(peak, occupancy.mean[i] + deviations * std::sqrt(variance));
  }
  return peak;
}

double RaiseOfPeak(const Occupancy& present, const Occupancy& added, double z) {
  Occupancy both = present;
  both += added;
  return PeakTokens(both, z) - PeakTokens(present, z);
}

}  // namespace dandelion::admission
