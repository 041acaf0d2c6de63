#include "rollout/verdict.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
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

// Answers of the old version that its usual rate counts as in each period.
constexpr double kUsualAnswers = 2;
// Times are whole milliseconds. A difference of this many is none.
constexpr double kTimeErrorMs = 2;

using Periods = std::vector<const Counts*>;

struct Sample {
  int64_t total = 0;
  int64_t harmed = 0;
};

// Counts a kind of harm among the requests of a route.
using CountHarm = std::function<Sample(const RouteCounts&)>;

const RouteCounts& FindRoute(const SideCounts& side,
                             const base::RouteName& route) {
  static const RouteCounts nothing;
  const auto found = side.routes.find(route);
  return found == side.routes.end() ? nothing : found->second;
}

// Compares the harm at the target version with what chance makes of the old
// version's rate at the same time.
class HarmComparison {
 public:
  explicit HarmComparison(const Sample& usual)
      : usual_total_(static_cast<double>(usual.total) + kPriorTotal),
        usual_rate_((static_cast<double>(usual.harmed) + kPriorHarmed) /
                    usual_total_) {}

  void AddPeriod(const Sample& target, const Sample& old) {
    const auto total = static_cast<double>(target.total);
    const auto old_total = static_cast<double>(old.total);
    const double weight = old_total + kUsualAnswers;
    // That a few answers had less harm than usual is more likely chance.
    const double rate = std::max(usual_rate_, (static_cast<double>(old.harmed) +
                                               usual_rate_ * kUsualAnswers) /
                                                  weight);
    harmed_ += target.harmed;
    expected_ += total * rate;
    // The rate is only known as well as the answers behind it tell.
    const double rate_error =
        (old_total + kUsualAnswers * kUsualAnswers / usual_total_) /
        (weight * weight);
    variance_ += rate * (1 - rate) * (total + total * total * rate_error);
  }

  bool IsHarmedMore() const {
    return harmed_ >= kMinHarmed && static_cast<double>(harmed_) - expected_ >
                                        kDeviations * std::sqrt(variance_);
  }

 private:
  // One case of harm is added to what was seen, so that a version that has not
  // failed yet may still fail.
  static constexpr double kPriorHarmed = 1;
  static constexpr double kPriorTotal = 10;

  double usual_total_;
  double usual_rate_;
  int64_t harmed_ = 0;
  double expected_ = 0;
  double variance_ = 0;
};

bool IsHarmedMore(const base::RouteName& route,
                  const RouteCounts& usual,
                  const Periods& periods,
                  const CountHarm& count_harm) {
  HarmComparison comparison(count_harm(usual));
  for (const Counts* period : periods) {
    comparison.AddPeriod(
        count_harm(FindRoute(period->side(Side::kTarget), route)),
        count_harm(FindRoute(period->side(Side::kOld), route)));
  }
  return comparison.IsHarmedMore();
}

bool IsSlower(const base::RouteName& route,
              const RouteCounts& usual,
              const Periods& periods,
              TimeHistogram RouteCounts::*times,
              double error_ms) {
  const TimeHistogram& reference = usual.*times;
  if (reference.total() < kMinReference) {
    return false;
  }
  const size_t usually_slowest = reference.BucketOf(kSlowQuantile);
  const size_t slow =
      std::max(usually_slowest + kSlowMargin,
               TimeHistogram::BucketFor(TimeHistogram::EndOf(usually_slowest) +
                                        error_ms));
  return IsHarmedMore(
      route, usual, periods,
      [slow, times](const RouteCounts& counts) -> Sample {
        return {(counts.*times).total(), (counts.*times).CountFrom(slow)};
      });
}

std::optional<std::string> FindHarm(const base::RouteName& route,
                                    const RouteCounts& usual,
                                    const Periods& periods) {
  if (IsHarmedMore(route, usual, periods,
                   [](const RouteCounts& counts) -> Sample {
                     return {counts.ended(), counts.failed};
                   })) {
    RouteCounts target;
    for (const Counts* period : periods) {
      target += FindRoute(period->side(Side::kTarget), route);
    }
    return fmt::format("{}: {} of {} failed, {} of {} at the old version",
                       route.value(), target.failed, target.ended(),
                       usual.failed, usual.ended());
  }
  if (IsSlower(route, usual, periods, &RouteCounts::answer_times,
               kTimeErrorMs)) {
    return fmt::format("{}: answers begin later than at the old version",
                       route.value());
  }
  // Times per token are averages of many, which are known better.
  if (IsSlower(route, usual, periods, &RouteCounts::token_times, 0)) {
    return fmt::format("{}: tokens come slower than at the old version",
                       route.value());
  }
  return std::nullopt;
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

Verdict Judge(const Counts& all, const std::vector<const Counts*>& periods) {
  const SideCounts& target = all.side(Side::kTarget);
  const SideCounts& old = all.side(Side::kOld);
  for (const auto& [route, target_counts] : target.routes) {
    std::optional<std::string> harm =
        FindHarm(route, FindRoute(old, route), periods);
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
