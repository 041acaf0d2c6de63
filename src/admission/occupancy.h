#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace dandelion::admission {

/// Points in time, counted in tokens from now, at which occupied memory is
/// predicted. They grow geometrically, so that few cover long outputs.
inline constexpr std::array<int64_t, 13> kGrid = {
    0, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16384};

/// One value per point of `kGrid`.
using GridValues = std::array<float, kGrid.size()>;

/// Predicted memory of an engine: mean and variance of the occupied tokens.
struct Occupancy {
  GridValues mean{};
  GridValues variance{};

  Occupancy& operator+=(const Occupancy& other);
  Occupancy& operator-=(const Occupancy& other);
};

/// The share of one generation. `survival[i]` is the probability that it
/// still runs `kGrid[i]` tokens from now; `context` counts its tokens now.
Occupancy OccupancyOf(const GridValues& survival, int64_t context);

/// The highest of mean + z standard deviations over the grid, in tokens.
double PeakTokens(const Occupancy& occupancy, double z);

/// By how much `added` raises the peak of `present`, in tokens.
double RaiseOfPeak(const Occupancy& present, const Occupancy& added, double z);

}  // namespace dandelion::admission
