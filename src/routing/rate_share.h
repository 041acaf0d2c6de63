#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/clock.h"

namespace dandelion::routing {

/// This daemon's place among the daemons that share the limits of one upstream.
/// Every daemon has another rank, from 0, as long as they see the same fleet.
struct DaemonRank {
  size_t rank = 0;
  size_t daemons = 1;
  /// Whether this daemon knows who the others are. One that has just started
  /// may not, and has no part of any limit until then.
  bool is_known = true;
};

/// Returns this daemon's part of `total` requests that an upstream takes from
/// all daemons together. The parts add up to `total`: where there are fewer
/// requests than daemons, the daemons with the lowest ranks get one each and
/// the others none.
int64_t ShareOf(int64_t total, const DaemonRank& rank);

/// This daemon's part of a limit over a window. One that has grown because
/// daemons came or went counts a window later, when what others have sent on it
/// is over.
class SettledShare {
 public:
  /// Returns the part that this daemon may use, where `share` would be its part
  /// by the daemons that it knows now.
  int64_t Settle(int64_t share, base::Millis now, base::Millis window);

 private:
  std::optional<int64_t> share_;
  std::optional<base::Millis> rises_at_;
};

/// The sends to one upstream within a sliding window.
class SendWindow {
 public:
  /// Longest window that may be asked for; older sends are dropped.
  static constexpr base::Millis kMaxWindow{60'000};

  /// Counts a send.
  void Record(base::Millis now);
  /// Number of sends in the `window` that ends at `now`.
  int64_t Count(base::Millis now, base::Millis window) const;
  /// When the window will hold fewer than `limit` sends; `now` if it does, and
  /// `window` from now if `limit` is 0.
  base::Millis FreeAt(int64_t limit,
                      base::Millis now,
                      base::Millis window) const;

 private:
  std::deque<base::Millis> sends_;
};

}  // namespace dandelion::routing
