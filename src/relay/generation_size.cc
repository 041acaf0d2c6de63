#include "relay/generation_size.h"

#include <algorithm>

namespace dandelion::relay {
namespace {

// Assumed output length if the caller gives no estimate.
constexpr int64_t kDefaultOutputTokens = 256;
// Callers' estimates are right in the median, so memory is reserved for longer
// outputs.
constexpr double kLengthMargin = 1.25;
// Time for one token, to generate and to read, on an engine of typical speed.
constexpr double kTypicalTokenMs = 8;
constexpr double kTypicalReadMs = 0.1;

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

base::Millis EstimateDuration(const routing::GenerationSize& size) {
  return base::Millis(static_cast<int64_t>(
      static_cast<double>(size.output_tokens) * kTypicalTokenMs +
      static_cast<double>(size.prompt_tokens) * kTypicalReadMs));
}

}  // namespace dandelion::relay
