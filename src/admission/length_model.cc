#include "admission/length_model.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace dandelion::admission {
namespace {

// Ratio of the upper bounds of neighbouring buckets: 40 buckets reach about
// 50,000 tokens.
constexpr double kBucketGrowth = 1.32;

uint64_t HashKey(std::string_view organisation,
                 std::string_view route,
                 std::string_view request_class) {
  std::string text;
  text.append(organisation).append(1, '\0');
  text.append(route).append(1, '\0').append(request_class);
  return XXH3_64bits(text.data(), text.size());
}

// Keys of the histograms that apply to a group, the least specific first.
std::array<uint64_t, 3> LevelKeys(const LengthGroup& group) {
  const std::string& request_class = group.request_class;
  return {
      HashKey("", "", request_class),
      HashKey("", group.route.value(), request_class),
      HashKey(group.organisation.value(), group.route.value(), request_class)};
}

}  // namespace

size_t LengthModel::BucketOf(int64_t tokens) {
  const double length = std::max<double>(1, static_cast<double>(tokens));
  const auto bucket = static_cast<size_t>(
      std::ceil(std::log(length) / std::log(kBucketGrowth)));
  return std::min(bucket, kBuckets - 1);
}

int64_t LengthModel::UpperBound(size_t bucket) {
  static const std::array<int64_t, kBuckets> bounds = [] {
    std::array<int64_t, kBuckets> values{};
    for (size_t i = 0; i < kBuckets; ++i) {
      values[i] = static_cast<int64_t>(
          std::floor(std::pow(kBucketGrowth, static_cast<double>(i))));
    }
    return values;
  }();
  return bounds[bucket];
}

const LengthModel::Histogram* LengthModel::Find(uint64_t key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : &*found->second;
}

void LengthModel::AddSample(uint64_t key, int64_t tokens) {
  const auto found = by_key_.find(key);
  if (found != by_key_.end()) {
    lru_.splice(lru_.begin(), lru_, found->second);
  } else {
    lru_.emplace_front().key = key;
    by_key_[key] = lru_.begin();
    if (by_key_.size() > kMaxHistograms) {
      by_key_.erase(lru_.back().key);
      lru_.pop_back();
    }
  }
  Histogram& histogram = lru_.front();
  static const float decay = std::exp2(-1 / kHalfLifeSamples);
  for (float& count : histogram.counts) {
    count *= decay;
  }
  histogram.counts[BucketOf(tokens)] += 1;
  histogram.total = histogram.total * decay + 1;
}

void LengthModel::Observe(const LengthGroup& group, int64_t tokens) {
  for (const uint64_t key : LevelKeys(group)) {
    AddSample(key, tokens);
  }
}

// The distribution that is assumed without any sample: each bucket is a fifth
// less likely than the one before. With equal probabilities the mean would be
// thousands of tokens.
LengthModel::BucketValues LengthModel::Prior() {
  constexpr float kRatio = 0.8F;
  BucketValues prior{};
  float next = 1 - kRatio;
  for (float& bucket_share : prior) {
    bucket_share = next;
    next *= kRatio;
  }
  return prior;
}

double LengthModel::RouteSampleCount(const LengthGroup& group) const {
  const Histogram* route = Find(LevelKeys(group)[1]);
  return route == nullptr ? 0 : route->total;
}

LengthModel::BucketValues LengthModel::Probabilities(
    const LengthGroup& group) const {
  BucketValues combined = Prior();
  for (const uint64_t key : LevelKeys(group)) {
    const Histogram* level = Find(key);
    if (level == nullptr) {
      continue;
    }
    const float weight = level->total + kPriorSamples;
    for (size_t i = 0; i < kBuckets; ++i) {
      combined[i] = (level->counts[i] + kPriorSamples * combined[i]) / weight;
    }
  }
  return combined;
}

float LengthModel::ProbabilityBeyond(const BucketValues& probabilities,
                                     double tokens) {
  float probability = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    const double high = static_cast<double>(UpperBound(i));
    const double low = i == 0 ? 0 : static_cast<double>(UpperBound(i - 1));
    if (tokens < low) {
      probability += probabilities[i];
    } else if (tokens < high) {
      probability +=
          probabilities[i] * static_cast<float>((high - tokens) / (high - low));
    }
  }
  return probability;
}

GridValues LengthModel::Survival(const LengthGroup& group,
                                 int64_t generated) const {
  const BucketValues probabilities = Probabilities(group);
  const float surviving =
      ProbabilityBeyond(probabilities, static_cast<double>(generated));
  GridValues survival{};
  for (size_t i = 0; i < kGridTokens.size(); ++i) {
    const auto end_tokens = static_cast<double>(generated + kGridTokens[i]);
    // A generation longer than practically all samples is predicted to
    // generate as many tokens again as it already has.
    constexpr float kMinSurvival = 1e-4F;
    if (surviving < kMinSurvival) {
      survival[i] = kGridTokens[i] <= generated ? 1.0F : 0.0F;
    } else {
      survival[i] = ProbabilityBeyond(probabilities, end_tokens) / surviving;
    }
  }
  return survival;
}

double LengthModel::MeanRemaining(const LengthGroup& group,
                                  int64_t generated) const {
  const GridValues survival = Survival(group, generated);
  double mean = 0;
  for (size_t i = 0; i + 1 < kGridTokens.size(); ++i) {
    const auto width = static_cast<double>(kGridTokens[i + 1] - kGridTokens[i]);
    mean += width * (survival[i] + survival[i + 1]) / 2;
  }
  return mean;
}

double LengthModel::Quantile(const LengthGroup& group, double quantile) const {
  const BucketValues probabilities = Probabilities(group);
  double cumulative = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    cumulative += probabilities[i];
    if (cumulative >= quantile) {
      return static_cast<double>(UpperBound(i));
    }
  }
  return static_cast<double>(UpperBound(kBuckets - 1));
}

}  // namespace dandelion::admission
