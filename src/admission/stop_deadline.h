#pragma once

#include <algorithm>
#include <optional>

#include "base/clock.h"

namespace dandelion::admission {

/// The time by which a stopping daemon must have answered everything that it
/// has accepted. It is asked before a request is accepted and again before each
/// send to an upstream, with the longest time that the work can take, because
/// work that is cut short is lost to its caller.
class StopDeadline {
 public:
  /// Starts the stop: everything accepted must be answered by `at`.
  void Set(base::Millis at) { at_ = at; }
  bool is_set() const { return at_.has_value(); }

  /// Time left at `now`, 0 if it has passed. Empty unless the daemon is
  /// stopping.
  std::optional<base::Millis> TimeLeft(base::Millis now) const {
    if (!at_) {
      return std::nullopt;
    }
    return std::max(base::Millis(0), *at_ - now);
  }

  /// Whether work that takes at most `longest` from `now` on ends in time.
  /// Always true unless the daemon is stopping.
  bool Allows(base::Millis longest, base::Millis now) const {
    return !at_ || now + longest <= *at_;
  }

 private:
  std::optional<base::Millis> at_;
};

}  // namespace dandelion::admission
