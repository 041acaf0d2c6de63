#include "relay/generation_size.h"

#include <algorithm>

namespace dandelion::relay {
namespace {

// Assumed output length if the caller gives no estimate.
constexpr int64_t kDefaultOutputTokens = 256;
// Callers' estimates are right in the median, so memory is reserved for longer
// outputs.
constexpr double kLengthMargin = 1.25;
// Expected length of an output that has exceeded its estimate, as a multiple of
// what was generated so far.
constexpr double kExceededMargin = 1.4;
// Time for one token, to generate and to read, on an engine of typical speed.
constexpr double kTypicalTokenMs = 8;
constexpr double kTypicalReadMs = 0.1;

// The same on an engine that is slow and crowded.
constexpr double kSlowTokenMs = 50;
constexpr double kSlowReadMs = 0.4;

base::Millis DurationOf(int64_t output_tokens,
                        int64_t prompt_tokens,
                        double token_ms,
                        double read_ms) {
  return base::Millis(
      static_cast<int64_t>(static_cast<double>(output_tokens) * token_ms +
                           static_cast<double>(prompt_tokens) * read_ms));
}

}  // namespace

routing::GenerationSize EstimateSize(const CallerRequest& caller) {
  routing::GenerationSize size;
  size.prompt_tokens = caller.prompt_tokens;
  const auto expected = static_cast<double>(
      caller.expected_output_tokens.value_or(kDefaultOutputTokens));
  size.output_tokens = static_cast<int64_t>(expected * kLengthMargin);
  if (caller.max_output_tokens > 0) {
    size.output_tokens = std::min(size.output_tokens, caller.max_output_tokens);
  }
  return size;
}

int64_t ExpectedOutput(const routing::GenerationSize& size,
                       int64_t produced_tokens,
                       int64_t max_output_tokens) {
  if (produced_tokens < size.output_tokens) {
    return size.output_tokens;
  }
  const auto expected = static_cast<int64_t>(
      static_cast<double>(produced_tokens) * kExceededMargin);
  return max_output_tokens > 0 ? std::min(expected, max_output_tokens)
                               : expected;
}

base::Millis EstimateDuration(const routing::GenerationSize& size) {
  return DurationOf(size.output_tokens, size.prompt_tokens, kTypicalTokenMs,
                    kTypicalReadMs);
}

std::optional<base::Millis> LongestDuration(const CallerRequest& caller) {
  if (caller.max_output_tokens <= 0) {
    return std::nullopt;
  }
  return DurationOf(caller.max_output_tokens, caller.prompt_tokens,
                    kSlowTokenMs, kSlowReadMs);
}

}  // namespace dandelion::relay
