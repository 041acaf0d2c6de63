#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "admission/occupancy.h"
#include "base/ids.h"

namespace dandelion::admission {

/// Whose output lengths are alike.
struct LengthGroup {
  base::OrganisationId organisation;
  base::RouteName route;
  std::string request_class;
};

/// Learns output lengths per group as decaying histograms and predicts how
/// long a running generation lasts. A group with few samples leans on the
/// route's lengths, and these on all lengths of the class.
class LengthModel {
 public:
  /// Weight that one step up in the hierarchy has, in samples.
  static constexpr float kPriorSamples = 8;
  /// Samples after which an old one counts half: lengths that change are
  /// followed within about two such spans.
  static constexpr float kHalfLifeSamples = 100;
  /// Groups kept; the least recently used goes first.
  static constexpr size_t kMostGroups = 90'000;

  void Observe(const LengthGroup& group, int64_t tokens);

  /// The probability that a generation which has made `made` tokens still
  /// runs at each grid point.
  GridValues Survival(const LengthGroup& group, int64_t made) const;

  /// Expected tokens still to come after `made`.
  double MeanRemaining(const LengthGroup& group, int64_t made) const;

  /// Length that a share `quantile` of outputs stays within.
  double Quantile(const LengthGroup& group, double quantile) const;

  /// Samples of the group's route that still count.
  double Samples(const LengthGroup& group) const;

  size_t groups() const { return index_.size(); }

 private:
  static constexpr size_t kBuckets = 40;
  using Counts = std::array<float, kBuckets>;

  struct Histogram {
    uint64_t key = 0;
    Counts counts{};
    float total = 0;
  };
  using Order = std::list<Histogram>;

  static size_t BucketOf(int64_t tokens);
  static int64_t UpperBound(size_t bucket);
  const Histogram* Find(uint64_t key) const;
  void Add(uint64_t key, int64_t tokens);
  static Counts Prior();
  /// Bucket probabilities after mixing the levels.
  Counts Mixed(const LengthGroup& group) const;
  static float Beyond(const Counts& counts, double tokens);

  Order order_;
  std::unordered_map<uint64_t, Order::iterator> index_;
};

}  // namespace dandelion::admission
