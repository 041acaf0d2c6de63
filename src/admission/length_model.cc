#include "admission/length_model.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace dandelion::admission {
namespace {

// Buckets grow by this factor: 40 of them reach 65,000 tokens.
constexpr double kGrowth = 1.32;

uint64_t KeyOf(std::string_view organisation,
               std::string_view route,
               std::string_view request_class) {
  std::string text;
  text.append(organisation).append(1, '\0');
  text.append(route).append(1, '\0').append(request_class);
  return XXH3_64bits(text.data(), text.size());
}

std::array<uint64_t, 3> Levels(const LengthGroup& group) {
  const std::string& request_class = group.request_class;
  return {
      KeyOf("", "", request_class),
      KeyOf("", group.route.value(), request_class),
      KeyOf(group.organisation.value(), group.route.value(), request_class)};
}

}  // namespace

size_t LengthModel::BucketOf(int64_t tokens) {
  const double length = std::max<double>(1, static_cast<double>(tokens));
  const auto bucket =
      static_cast<size_t>(std::ceil(std::log(length) / std::log(kGrowth)));
  return std::min(bucket, kBuckets - 1);
}

int64_t LengthModel::UpperBound(size_t bucket) {
  static const std::array<int64_t, kBuckets> bounds = [] {
    std::array<int64_t, kBuckets> made{};
    for (size_t i = 0; i < kBuckets; ++i) {
      made[i] = static_cast<int64_t>(
          std::floor(std::pow(kGrowth, static_cast<double>(i))));
    }
    return made;
  }();
  return bounds[bucket];
}

const LengthModel::Histogram* LengthModel::Find(uint64_t key) const {
  const auto found = index_.find(key);
  return found == index_.end() ? nullptr : &*found->second;
}

void LengthModel::Add(uint64_t key, int64_t tokens) {
  const auto found = index_.find(key);
  if (found != index_.end()) {
    order_.splice(order_.begin(), order_, found->second);
  } else {
    order_.emplace_front().key = key;
    index_[key] = order_.begin();
    if (index_.size() > kMostGroups) {
      index_.erase(order_.back().key);
      order_.pop_back();
    }
  }
  Histogram& histogram = order_.front();
  static const float keep = std::exp2(-1 / kHalfLifeSamples);
  for (float& count : histogram.counts) {
    count *= keep;
  }
  histogram.counts[BucketOf(tokens)] += 1;
  histogram.total = histogram.total * keep + 1;
}

void LengthModel::Observe(const LengthGroup& group, int64_t tokens) {
  for (const uint64_t key : Levels(group)) {
    Add(key, tokens);
  }
}

// Before any sample, each bucket is a fifth less likely than the one before:
// equal chances would make the mean thousands of tokens.
LengthModel::Counts LengthModel::Prior() {
  constexpr float kRatio = 0.8F;
  Counts prior{};
  float weight = 1 - kRatio;
  for (float& share : prior) {
    share = weight;
    weight *= kRatio;
  }
  return prior;
}

double LengthModel::Samples(const LengthGroup& group) const {
  const Histogram* route = Find(Levels(group)[1]);
  return route == nullptr ? 0 : route->total;
}

LengthModel::Counts LengthModel::Mixed(const LengthGroup& group) const {
  Counts mixed = Prior();
  for (const uint64_t key : Levels(group)) {
    const Histogram* level = Find(key);
    if (level == nullptr) {
      continue;
    }
    const float weight = level->total + kPriorSamples;
    for (size_t i = 0; i < kBuckets; ++i) {
      mixed[i] = (level->counts[i] + kPriorSamples * mixed[i]) / weight;
    }
  }
  return mixed;
}

float LengthModel::Beyond(const Counts& counts, double tokens) {
  float beyond = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    const double high = static_cast<double>(UpperBound(i));
    const double low = i == 0 ? 0 : static_cast<double>(UpperBound(i - 1));
    if (tokens < low) {
      beyond += counts[i];
    } else if (tokens < high) {
      beyond += counts[i] * static_cast<float>((high - tokens) / (high - low));
    }
  }
  return beyond;
}

GridValues LengthModel::Survival(const LengthGroup& group, int64_t made) const {
  const Counts counts = Mixed(group);
  const float alive = Beyond(counts, static_cast<double>(made));
  GridValues survival{};
  for (size_t i = 0; i < kGrid.size(); ++i) {
    const auto at = static_cast<double>(made + kGrid[i]);
    // A generation that outlived all that was seen may still go on as long
    // as it already has.
    constexpr float kOutlived = 1e-4F;
    if (alive < kOutlived) {
      survival[i] = kGrid[i] <= made ? 1.0F : 0.0F;
    } else {
      survival[i] = Beyond(counts, at) / alive;
    }
  }
  return survival;
}

double LengthModel::MeanRemaining(const LengthGroup& group,
                                  int64_t made) const {
  const GridValues survival = Survival(group, made);
  double mean = 0;
  for (size_t i = 0; i + 1 < kGrid.size(); ++i) {
    const auto span = static_cast<double>(kGrid[i + 1] - kGrid[i]);
    mean += span * (survival[i] + survival[i + 1]) / 2;
  }
  return mean;
}

double LengthModel::Quantile(const LengthGroup& group, double quantile) const {
  const Counts counts = Mixed(group);
  double sum = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    sum += counts[i];
    if (sum >= quantile) {
      return static_cast<double>(UpperBound(i));
    }
  }
  return static_cast<double>(UpperBound(kBuckets - 1));
}

}  // namespace dandelion::admission
