#include "relay/generation_size.h"

#include <algorithm>

namespace dandelion::relay {
namespace {

// Outputs that the caller gives no estimate for.
constexpr int64_t kDefaultOutputTokens = 256;
// Estimates are right in the median; memory is planned for longer outputs.
constexpr double kLengthMargin = 1.25;
constexpr double kUsualTokenMs = 8;
constexpr double kUsualReadMs = 0.1;

}  // namespace

routing::GenerationSize SizeOf(const CallerRequest& caller) {
  routing::GenerationSize size;
  size.prompt_tokens = caller.prompt_tokens;
  const auto expected = static_cast<double>(
      caller.expected_output_tokens.value_or(kDefaultOutputTokens));
  size.output_tokens = static_cast<int64_t>(expected * kLengthMargin);
  if (caller.most_output_tokens > 0) {
    size.output_tokens =
        std::min(size.output_tokens, caller.most_output_tokens);
  }
  return size;
}

base::Millis ExpectedTime(const routing::GenerationSize& size) {
  return base::Millis(static_cast<int64_t>(
      static_cast<double>(size.output_tokens) * kUsualTokenMs +
      static_cast<double>(size.prompt_tokens) * kUsualReadMs));
}

}  // namespace dandelion::relay
