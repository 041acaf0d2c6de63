#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::test {

/// One request of a generated load.
struct LoadEntry {
  /// Arrival time, from the start of the load.
  base::Millis at;
  base::OrganisationId organisation;
  /// Checks are generations with short outputs and a tight latency target; all
  /// other requests are drafts, with long outputs.
  bool is_check = false;
  int64_t prompt_tokens = 1;
  int64_t output_tokens = 1;
  /// The caller's estimate of `output_tokens`; too low as often as too high.
  int64_t expected_tokens = 1;
};

/// Parameters of a generated load.
struct LoadShape {
  base::Millis duration{20'000};
  double drafts_per_second = 4;
  double checks_per_second = 4;
  /// Factor on both rates from `burst_start` until `burst_end`.
  double burst_factor = 1;
  base::Millis burst_start{0};
  base::Millis burst_end{0};
  /// Share of the requests that come from `HotOrganisation()`.
  double hot_share = 0;
};

/// Generates a load, ordered by arrival time: drafts with about 3,000 prompt
/// and 900 output tokens and checks with about 2,200 and 10, from ten
/// organisations. The same seed gives the same load.
std::vector<LoadEntry> GenerateLoad(const LoadShape& shape, uint64_t seed);

/// The organisation that sends `LoadShape::hot_share` of the requests.
base::OrganisationId HotOrganisation();

}  // namespace dandelion::test
