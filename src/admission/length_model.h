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

/// Requests whose output lengths are expected to be similar.
struct LengthGroup {
  base::OrganisationId organisation;
  base::RouteName route;
  std::string request_class;
};

/// Learns output lengths from finished generations and predicts how many
/// tokens a running one still generates.
///
/// Keeps one exponentially decaying histogram per group, per route and class,
/// and per class. A prediction combines the three: each level is the prior of
/// the next more specific one, so that a group with few samples is predicted
/// mostly from its route, and a route with few samples from its class.
class LengthModel {
 public:
  /// Weight of the less specific level in a prediction, in samples.
  static constexpr float kPriorSamples = 8;
  /// Number of later samples after which a sample counts half. Predictions
  /// follow a change of lengths within about two half-lives.
  static constexpr float kHalfLifeSamples = 100;
  /// Maximum number of histograms of all levels. Beyond it, the one that has
  /// gone longest without a sample is dropped.
  static constexpr size_t kMaxHistograms = 90'000;

  /// Records that a generation of the group ended after `tokens` tokens.
  void Observe(const LengthGroup& group, int64_t tokens);

  /// For each point of `kGridTokens`, the probability that a generation that
  /// has generated `generated` tokens is still running that many tokens from
  /// now.
  GridValues Survival(const LengthGroup& group, int64_t generated) const;

  /// Expected number of tokens that a generation still generates after
  /// `generated` tokens, counted up to the last point of `kGridTokens`.
  double MeanRemaining(const LengthGroup& group, int64_t generated) const;

  /// The output length, in tokens, that a fraction `quantile` of the group's
  /// outputs does not exceed, rounded up to a bucket bound.
  double Quantile(const LengthGroup& group, double quantile) const;

  /// Decayed number of samples of the group's route and class, over all
  /// organisations.
  double RouteSampleCount(const LengthGroup& group) const;

  /// Number of histograms of all levels.
  size_t histogram_count() const { return by_key_.size(); }

 private:
  static constexpr size_t kBuckets = 40;
  /// Counts or probabilities, one for each bucket.
  using BucketValues = std::array<float, kBuckets>;

  struct Histogram {
    uint64_t key = 0;
    BucketValues counts{};
    float total = 0;
  };
  using LruList = std::list<Histogram>;

  static size_t BucketOf(int64_t tokens);
  static int64_t UpperBound(size_t bucket);
  const Histogram* Find(uint64_t key) const;
  void AddSample(uint64_t key, int64_t tokens);
  static BucketValues Prior();
  /// Bucket probabilities of the group, combined from all levels.
  BucketValues Probabilities(const LengthGroup& group) const;
  /// Probability that an output is longer than `tokens`, interpolated linearly
  /// within a bucket.
  static float ProbabilityBeyond(const BucketValues& probabilities,
                                 double tokens);

  /// All histograms, the most recently updated first.
  LruList lru_;
  std::unordered_map<uint64_t, LruList::iterator> by_key_;
};

}  // namespace dandelion::admission
