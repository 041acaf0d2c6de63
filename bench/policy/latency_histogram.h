#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace dandelion::bench {

/// Histogram of durations with buckets of 1 ms. Durations above 59,999 ms count
/// as 59,999 ms, and negative ones as 0.
class LatencyHistogram {
 public:
  void Add(double ms) {
    const auto bucket = static_cast<size_t>(std::max(0.0, ms));
    ++counts_[std::min(bucket, counts_.size() - 1)];
    ++total_;
  }
  /// Returns a quantile in ms, rounded down to the bucket; 0 if the histogram
  /// is empty. `share` is at least 0 and less than 1.
  double Quantile(double share) const {
    const auto rank =
        static_cast<uint64_t>(share * static_cast<double>(total_));
    uint64_t cumulative = 0;
    for (size_t i = 0; i < counts_.size(); ++i) {
      cumulative += counts_[i];
      if (cumulative > rank) {
        return static_cast<double>(i);
      }
    }
    return 0;
  }

 private:
  std::vector<uint64_t> counts_ = std::vector<uint64_t>(60'000);
  uint64_t total_ = 0;
};

}  // namespace dandelion::bench
