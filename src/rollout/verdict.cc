#include "rollout/verdict.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace dandelion::rollout {
namespace {

// Answers of the target version without which nothing is said about it, on all
// routes together and on each route that the old version serves often.
constexpr int64_t kMinAnswers = 30;
constexpr int64_t kMinAnswersPerRoute = 8;
// A route with fewer answers of the old version is not needed for a verdict.
constexpr int64_t kFrequentRoute = 50;
// Fewer cases of harm show nothing.
constexpr int64_t kMinHarmed = 5;
// Standard deviations above the expected number. The counts are judged many
// times as they grow.
constexpr double kDeviations = 4.5;
// An answer is slow if it took longer than this share of the old version's, by
// two buckets of the histogram, which is a factor of 1.2 to 1.4.
constexpr double kSlowQuantile = 0.95;
constexpr size_t kSlowMargin = 2;
// Old answers that show what is slow.
constexpr int64_t kMinReference = 20;
// One crashed upstream can have other causes than its version.
constexpr size_t kMinBrokenUpstreams = 3;
constexpr size_t kBrokenRatio = 3;

struct Sample {
  int64_t total = 0;
  int64_t harmed = 0;
};

// Whether `target` has more harm than chance makes of the rate of `old`.
bool IsHarmedMore(const Sample& target, const Sample& old) {
  if (target.harmed < kMinHarmed) {
    return false;
  }
  // One case of harm is added to what was seen, so that a version that has not
  // failed yet may still fail.
  constexpr double kPriorHarmed = 1;
  constexpr double kPriorTotal = 10;
  const double rate = (static_cast<double>(old.harmed) + kPriorHarmed) /
                      (static_cast<double>(old.total) + kPriorTotal);
  const auto total = static_cast<double>(target.total);
  const double expected = total * rate;
  const double deviation = std::sqrt(expected * (1 - rate));
  return static_cast<double>(target.harmed) - expected >
         kDeviations * deviation;
}

bool IsSlower(const TimeHistogram& target, const TimeHistogram& old) {
  if (old.total() < kMinReference) {
    return false;
  }
  const size_t slow = old.BucketOf(kSlowQuantile) + kSlowMargin;
  return IsHarmedMore({target.total(), target.CountFrom(slow)},
                      {old.total(), old.CountFrom(slow)});
}

std::optional<std::string> FindHarm(const base::RouteName& route,
                                    const RouteCounts& target,
                                    const RouteCounts& old) {
  if (IsHarmedMore({target.ended(), target.failed},
                   {old.ended(), old.failed})) {
    return fmt::format("{}: {} of {} failed, {} of {} at the old version",
                       route.value(), target.failed, target.ended(), old.failed,
                       old.ended());
  }
  if (IsSlower(target.answer_times, old.answer_times)) {
    return fmt::format("{}: answers begin later than at the old version",
                       route.value());
  }
  if (IsSlower(target.token_times, old.token_times)) {
    return fmt::format("{}: tokens come slower than at the old version",
                       route.value());
  }
  return std::nullopt;
}

RouteCounts FindRoute(const SideCounts& side, const base::RouteName& route) {
  const auto found = side.routes.find(route);
  return found == side.routes.end() ? RouteCounts() : found->second;
}

bool HasEnoughAnswers(const SideCounts& target, const SideCounts& old) {
  int64_t answers = 0;
  for (const auto& [route, counts] : target.routes) {
    answers += counts.ended();
  }
  return answers >= kMinAnswers &&
         std::all_of(old.routes.begin(), old.routes.end(),
                     [&target](const auto& item) {
                       return item.second.ended() < kFrequentRoute ||
                              FindRoute(target, item.first).ended() >=
                                  kMinAnswersPerRoute;
                     });
}

}  // namespace

Verdict Judge(const Counts& counts) {
  const SideCounts& target = counts.side(Side::kTarget);
  const SideCounts& old = counts.side(Side::kOld);
  for (const auto& [route, target_counts] : target.routes) {
    std::optional<std::string> harm =
        FindHarm(route, target_counts, FindRoute(old, route));
    if (harm) {
      return {Finding::kBad, *std::move(harm)};
    }
  }
  if (target.broken.size() >= kMinBrokenUpstreams &&
      target.broken.size() > kBrokenRatio * old.broken.size()) {
    return {Finding::kBad,
            fmt::format("{} upstreams broke connections, {} of the old version",
                        target.broken.size(), old.broken.size())};
  }
  if (!HasEnoughAnswers(target, old)) {
    return {Finding::kUnknown, "too few answers"};
  }
  return {Finding::kSound, "no route is served worse"};
}

}  // namespace dandelion::rollout
