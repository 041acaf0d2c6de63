#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dandelion::bench {

/// One recorded request.
struct TraceEntry {
  double arrival_ms = 0;
  int organisation = 0;
  std::string route;
  bool is_short = false;
  uint64_t prefix = 0;
  int64_t prompt_tokens = 1;
  int64_t output_tokens = 1;
};

/// What a trace is generated from.
struct TraceParams {
  uint64_t seed = 1;
  double duration_ms = 120'000;
  /// Output tokens that arrive per second on average.
  double tokens_per_second = 5000;
};

/// Requests of both deployments: short checks, two-humped drafts, heavy-tailed
/// digests, bursts, a few large organisations, and lengths that shift for one
/// large organisation at half time. The same seed gives the same trace.
std::vector<TraceEntry> MakeTrace(const TraceParams& params);

/// Traces as JSON lines.
std::string ToJsonLines(const std::vector<TraceEntry>& trace);
std::vector<TraceEntry> FromJsonLines(const std::string& text);

}  // namespace dandelion::bench
