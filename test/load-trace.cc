#include "test/load-trace.h"

#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>
#include <random>

#include "absl/strings/str_cat.h"

namespace dandelion::test {
namespace {

using base::Millis;

constexpr int kOrganisations = 10;
constexpr double kMsPerSecond = 1000;

int64_t SampleLognormal(pcg64& random,
                        double median,
                        double sigma,
                        int64_t limit) {
  std::lognormal_distribution<double> lengths(std::log(median), sigma);
  return std::clamp<int64_t>(static_cast<int64_t>(lengths(random)), 1, limit);
}

LoadEntry GenerateEntry(pcg64& random, const LoadShape& shape) {
  std::uniform_real_distribution<double> unit(0, 1);
  LoadEntry entry;
  const double check_share =
      shape.checks_per_second /
      (shape.checks_per_second + shape.drafts_per_second);
  entry.is_check = unit(random) < check_share;
  entry.prompt_tokens = entry.is_check
                            ? SampleLognormal(random, 2000, 0.5, 6000)
                            : SampleLognormal(random, 2900, 0.35, 6000);
  entry.output_tokens = entry.is_check
                            ? SampleLognormal(random, 8, 0.8, 36)
                            : SampleLognormal(random, 700, 0.7, 2200);
  entry.expected_tokens = std::max<int64_t>(
      1, static_cast<int64_t>(
             static_cast<double>(entry.output_tokens) *
             std::lognormal_distribution<double>(0, std::log(1.2))(random)));
  const bool is_hot = unit(random) < shape.hot_share;
  const int organisation_number =
      std::uniform_int_distribution<int>(1, kOrganisations - 1)(random);
  entry.organisation = is_hot ? HotOrganisation()
                              : base::OrganisationId(absl::StrCat(
                                    "organisation-", organisation_number));
  return entry;
}

}  // namespace

std::vector<LoadEntry> GenerateLoad(const LoadShape& shape, uint64_t seed) {
  pcg64 random(seed);
  std::vector<LoadEntry> load;
  double now_ms = 0;
  const double requests_per_ms =
      (shape.drafts_per_second + shape.checks_per_second) / kMsPerSecond;
  for (;;) {
    const Millis now(static_cast<int64_t>(now_ms));
    const bool in_burst = now >= shape.burst_start && now < shape.burst_end;
    std::exponential_distribution<double> interval_ms(
        requests_per_ms * (in_burst ? shape.burst_factor : 1));
    now_ms += interval_ms(random);
    if (now_ms >= static_cast<double>(shape.duration.count())) {
      return load;
    }
    LoadEntry entry = GenerateEntry(random, shape);
    entry.at = Millis(static_cast<int64_t>(now_ms));
    load.push_back(entry);
  }
}

base::OrganisationId HotOrganisation() {
  return base::OrganisationId("organisation-0");
}

}  // namespace dandelion::test
