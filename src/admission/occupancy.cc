#include "admission/occupancy.h"

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

bool StaysWithin(const Occupancy& present,
                 const Occupancy& added,
                 double z,
                 double limit) {
  const auto square_z = static_cast<float>(z * z);
  const auto most = static_cast<float>(limit);
  // Compared as squares: a root at each point would take most of the time.
  for (size_t i = 0; i < kGrid.size(); ++i) {
    const float room = most - present.mean[i] - added.mean[i];
    const float variance = present.variance[i] + added.variance[i];
    if (room < 0 || room * room < square_z * variance) {
      return false;
    }
  }
  return true;
}

}  // namespace dandelion::admission
