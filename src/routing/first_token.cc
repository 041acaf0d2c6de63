#include "routing/first_token.h"

#include <algorithm>
#include <cmath>

namespace dandelion::routing {
namespace {

// Few tokens show nothing, since an engine also needs time for other work.
constexpr int64_t kMinTokens = 1000;
// The share is raised or lowered by steps until this part of the times is below
// the prediction. Single long waits, which have other causes, change it little.
constexpr double kQuantile = 0.7;
constexpr double kStep = 0.1;
constexpr double kLowestShare = 0.002;
constexpr double kHighestShare = 0.05;

}  // namespace

void FirstTokenModel::Record(int64_t prompt_tokens,
                             double token_ms,
                             base::Millis time) {
  if (prompt_tokens < kMinTokens || token_ms <= 0) {
    return;
  }
  const bool is_longer =
      static_cast<double>(time.count()) > PrefillMs(prompt_tokens, token_ms);
  share_ *= std::exp(kStep * (is_longer ? kQuantile : kQuantile - 1));
  share_ = std::clamp(share_, kLowestShare, kHighestShare);
}

}  // namespace dandelion::routing
