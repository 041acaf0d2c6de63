#include "admission/wait_predictor.h"

#include <algorithm>

namespace dandelion::admission {

using base::Millis;

void WaitPredictor::RecordQueueState(bool has_waiters, Millis now) {
  if (!has_waiters) {
    nonempty_since_.reset();
    served_.clear();
  } else if (!nonempty_since_) {
    nonempty_since_ = now;
  }
}

void WaitPredictor::RecordDispatch(double cost, Millis now) {
  served_.push_back({now, cost});
  while (now - served_.front().at > kWindow) {
    served_.pop_front();
  }
}

std::optional<Millis> WaitPredictor::Predict(double backlog,
                                             double cost,
                                             Millis now) const {
  if (!nonempty_since_ || now - *nonempty_since_ < kMinObservation) {
    return std::nullopt;
  }
  double served_cost = 0;
  for (const Served& served : served_) {
    served_cost += now - served.at <= kWindow ? served.cost : 0;
  }
  served_cost = std::max(served_cost, cost);
  const Millis observed = std::min(now - *nonempty_since_, kWindow);
  return Millis(static_cast<int64_t>((backlog + cost) / served_cost *
                                     static_cast<double>(observed.count())));
}

}  // namespace dandelion::admission
