#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace dandelion::admission {

/// Points in time at which occupied memory is predicted, as the number of
/// tokens that each generation generates from now on. They grow geometrically,
/// so that a few points cover long outputs.
inline constexpr std::array<int64_t, 13> kGridTokens = {
    0, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16384};

/// One value per point of `kGridTokens`.
using GridValues = std::array<float, kGridTokens.size()>;

/// Predicted KV cache memory of an engine: mean and variance of the number of
/// occupied tokens at each point of `kGridTokens`.
struct Occupancy {
  GridValues mean{};
  GridValues variance{};

  Occupancy& operator+=(const Occupancy& other);
  Occupancy& operator-=(const Occupancy& other);
};

/// Predicts the memory that one generation occupies. `survival[i]` is the
/// probability that it is still running `kGridTokens[i]` tokens from now;
/// `context_tokens` is the number of tokens that it occupies now.
Occupancy GenerationOccupancy(const GridValues& survival,
                              int64_t context_tokens);

/// The highest value of mean + `z` standard deviations over the grid, in
/// tokens.
double PeakTokens(const Occupancy& occupancy, double z);

/// By how much adding `added` to `current` raises its `PeakTokens`, in tokens.
double PeakIncrease(const Occupancy& current, const Occupancy& added, double z);

}  // namespace dandelion::admission
