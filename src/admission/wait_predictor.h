#pragma once

#include <deque>
#include <optional>

#include "base/clock.h"

namespace dandelion::admission {

/// Predicts how long a new request would wait in a queue, from the rate at
/// which the queue has recently been served.
///
/// In a burst far beyond the capacity of the upstreams, a request that would
/// not be served in time can be rejected immediately, with the time after which
/// there will be capacity, instead of waiting until its deadline.
class WaitPredictor {
 public:
  /// The rate is computed from the requests served within this window.
  static constexpr base::Millis kWindow{3000};
  /// No wait is predicted until the queue has been non-empty for this long,
  /// because until then its rate is unknown.
  static constexpr base::Millis kMinObservation{700};

  /// Records whether the queue has waiters. Call it whenever that may have
  /// changed.
  void RecordQueueState(bool has_waiters, base::Millis now);
  /// Records that a waiting request was dispatched; `cost` is `Waiter::cost`.
  void RecordDispatch(double cost, base::Millis now);
  /// Predicts the time from now until a request of cost `cost` is dispatched if
  /// requests with a total cost of `backlog` are ahead of it. Empty until the
  /// queue has been non-empty for `kMinObservation`. The cost served within the
  /// window is taken to be at least `cost`, so that the prediction is finite
  /// for a queue that does not advance.
  std::optional<base::Millis> Predict(double backlog,
                                      double cost,
                                      base::Millis now) const;

 private:
  struct Served {
    base::Millis at;
    double cost = 0;
  };

  /// When the queue became non-empty; empty while it has no waiter.
  std::optional<base::Millis> nonempty_since_;
  std::deque<Served> served_;
};

}  // namespace dandelion::admission
