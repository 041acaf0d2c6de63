#include "rollout/types.h"

#include <algorithm>
#include <cmath>

namespace dandelion::rollout {
namespace {

// The end of the first bucket is a quarter of a doubling above this.
constexpr double kLowestMs = 0.25;
constexpr double kBucketsPerDoubling = 4;

// The sum of several daemons falls when one of them is lost.
int64_t Difference(int64_t now, int64_t before) {
  return std::max<int64_t>(0, now - before);
}

}  // namespace

std::string_view ToString(State state) {
  switch (state) {
    case State::kRunning:
      return "running";
    case State::kMoving:
      return "moving";
    case State::kCompleted:
      return "completed";
    case State::kReverted:
      return "reverted";
  }
  return "unknown";
}

size_t TimeHistogram::BucketFor(double milliseconds) {
  const double position =
      kBucketsPerDoubling *
      std::log2(std::max(milliseconds, kLowestMs) / kLowestMs);
  return std::min(static_cast<size_t>(position), kBuckets - 1);
}

double TimeHistogram::EndOf(size_t bucket) {
  return kLowestMs *
         std::exp2(static_cast<double>(bucket + 1) / kBucketsPerDoubling);
}

size_t TimeHistogram::BucketOf(double quantile) const {
  const double wanted = quantile * static_cast<double>(total_);
  int64_t below = 0;
  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    below += counts_[bucket];
    if (total_ > 0 && static_cast<double>(below) >= wanted) {
      return bucket;
    }
  }
  return kBuckets - 1;
}

int64_t TimeHistogram::CountFrom(size_t bucket) const {
  int64_t count = 0;
  for (; bucket < kBuckets; ++bucket) {
    count += counts_[bucket];
  }
  return count;
}

TimeHistogram& TimeHistogram::operator+=(const TimeHistogram& other) {
  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    AddToBucket(bucket, other.counts_[bucket]);
  }
  return *this;
}

TimeHistogram TimeHistogram::Since(const TimeHistogram& earlier) const {
  TimeHistogram later;
  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    later.AddToBucket(bucket,
                      Difference(counts_[bucket], earlier.counts_[bucket]));
  }
  return later;
}

RouteCounts RouteCounts::Since(const RouteCounts& earlier) const {
  return {Difference(sent, earlier.sent),
          Difference(answered, earlier.answered),
          Difference(failed, earlier.failed),
          answer_times.Since(earlier.answer_times),
          token_times.Since(earlier.token_times)};
}

SideCounts SideCounts::Since(const SideCounts& earlier) const {
  SideCounts later = *this;
  for (auto& [route, counts] : later.routes) {
    const auto before = earlier.routes.find(route);
    if (before != earlier.routes.end()) {
      counts = counts.Since(before->second);
    }
  }
  return later;
}

RouteCounts& RouteCounts::operator+=(const RouteCounts& other) {
  sent += other.sent;
  answered += other.answered;
  failed += other.failed;
  answer_times += other.answer_times;
  token_times += other.token_times;
  return *this;
}

int64_t SideCounts::sent() const {
  int64_t sum = 0;
  for (const auto& [route, counts] : routes) {
    sum += counts.sent;
  }
  return sum;
}

RouteCounts SideCounts::Total() const {
  RouteCounts total;
  for (const auto& [route, counts] : routes) {
    total += counts;
  }
  return total;
}

SideCounts& SideCounts::operator+=(const SideCounts& other) {
  for (const auto& [route, counts] : other.routes) {
    routes[route] += counts;
  }
  broken.insert(other.broken.begin(), other.broken.end());
  return *this;
}

Counts& Counts::operator+=(const Counts& other) {
  for (size_t i = 0; i < sides.size(); ++i) {
    sides[i] += other.sides[i];
  }
  return *this;
}

Counts Counts::Since(const Counts& earlier) const {
  Counts later;
  for (size_t i = 0; i < sides.size(); ++i) {
    later.sides[i] = sides[i].Since(earlier.sides[i]);
  }
  return later;
}

}  // namespace dandelion::rollout
