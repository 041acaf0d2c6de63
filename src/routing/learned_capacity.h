#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace dandelion::routing {

/// What an upstream takes for a unit of work, a token or an answer.
struct Speed {
  /// Nothing if too little is known.
  std::optional<double> average_ms;
  /// By how much its times differ from their average, on average.
  double deviation_ms = 0;
};

/// Learns how long an upstream takes for a unit of work, a token or an answer,
/// and how many requests it takes well.
///
/// Made for upstreams of one pool that differ in speed, change it without
/// notice, or slow down long before all their slots are taken. What was
/// recorded is forgotten within seconds, so that the model follows changes; an
/// upstream of which nothing is known any more is tried again. The times by
/// level of load find the limit. They are too few each to show a change of
/// speed, so the average is kept over all loads.
class LearnedCapacity {
 public:
  /// The weight of what was recorded halves in this time.
  static constexpr base::Millis kHalfLife{3000};
  /// A limit that was found rises by one request in this time, until requests
  /// show again that the upstream slows down.
  static constexpr base::Millis kRiseInterval{2000};

  /// Records that a unit took `ms` while `running` requests ran. `running` is
  /// nothing if other work than theirs slowed it, which says nothing of what
  /// their number does.
  void Record(std::optional<int64_t> running, double ms, base::Millis now);
  /// Returns the recent time for a unit; nothing if too little is known.
  std::optional<double> AverageMs(base::Millis now) const;
  /// Returns by how much the times differ from their average, on average; 0 if
  /// too little is known.
  double DeviationMs(base::Millis now) const;
  /// Returns how many requests the upstream takes at once: `slots`, or fewer if
  /// it gets less done with more of them.
  int64_t LimitFor(int64_t slots, base::Millis now) const;

 private:
  /// Highest number of running requests of each level but the last.
  static constexpr std::array<int64_t, 8> kLevelEnds = {1, 2, 3,  4,
                                                        6, 9, 13, 18};
  static constexpr size_t kLevels = kLevelEnds.size() + 1;

  /// An average of times.
  struct Level {
    double ms = 0;
    double deviation_ms = 0;
    /// How long the recorded times cover, in units of `kSampleTime`.
    double weight = 0;
    base::Millis recorded_at;
  };

  static size_t LevelOf(int64_t running);
  static void RecordAt(Level& level, double ms, base::Millis now);
  static double WeightAt(const Level& level, base::Millis now);
  static double Throughput(size_t index, const Level& level);

  /// Over all loads.
  Level average_;
  std::array<Level, kLevels> levels_;
};

}  // namespace dandelion::routing
