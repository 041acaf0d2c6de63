#include "bench/policy/engines.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace dandelion::bench {

using standin::EngineParams;

EngineParams MakeEngineParams(int engine) {
  const double relative_speed = 0.62 + 0.08 * engine;
  EngineParams params;
  params.step_base_ms = 12 / relative_speed;
  params.step_per_sequence_ms = 0.2 / relative_speed;
  params.step_per_kilotoken_ms = 0.12 / relative_speed;
  params.prefill_per_kilotoken_ms = 25 / relative_speed;
  params.prefill_chunk_tokens = 256;
  params.memory_tokens = 18'000 + 4000 * engine;
  params.slots = 48;
  params.cold_slots = 4;
  params.warming_ms = 6000;
  return params;
}

base::UpstreamId UpstreamIdFor(int engine) {
  return base::UpstreamId(absl::StrCat("engine-", engine));
}

double CapacityTokensPerSecond() {
  // Memory of a running generation, in tokens, averaged over its lifetime.
  constexpr double kMeanContextTokens = 1500;
  double tokens_per_s = 0;
  for (int i = 0; i < kEngineCount; ++i) {
    const EngineParams params = MakeEngineParams(i);
    const double batch_size = std::min(
        static_cast<double>(params.slots),
        static_cast<double>(params.memory_tokens) / kMeanContextTokens);
    const double step_ms =
        params.step_base_ms + params.step_per_sequence_ms * batch_size +
        params.step_per_kilotoken_ms * batch_size * kMeanContextTokens / 1000;
    tokens_per_s += batch_size * 1000 / step_ms;
  }
  return tokens_per_s;
}

}  // namespace dandelion::bench
