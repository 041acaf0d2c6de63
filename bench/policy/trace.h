#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dandelion::bench {

/// One request of a trace.
struct TraceEntry {
  double arrival_ms = 0;
  int organisation = 0;
  std::string route;
  bool is_short = false;
  /// Identifies the prompt prefix; prompts of one prefix start alike.
  uint64_t prefix = 0;
  int64_t prompt_tokens = 1;
  int64_t output_tokens = 1;
};

/// Parameters of a generated trace.
struct TraceParams {
  uint64_t seed = 1;
  double duration_ms = 120'000;
  /// Mean rate of arriving requests, as their output tokens per second.
  double tokens_per_second = 5000;
};

/// Generates a trace of short checks, drafts of bimodal length and heavy-tailed
/// digests. Requests arrive in bursts, a few organisations send most of them,
/// and the drafts of the largest organisation become longer at half time. The
/// result is deterministic for a seed.
std::vector<TraceEntry> MakeTrace(const TraceParams& params);

/// Encodes a trace as JSON lines, one request per line.
std::string ToJsonLines(const std::vector<TraceEntry>& trace);
/// Parses the output of `ToJsonLines`. Throws `nlohmann::json::exception` if a
/// line is malformed.
std::vector<TraceEntry> FromJsonLines(const std::string& text);

}  // namespace dandelion::bench
