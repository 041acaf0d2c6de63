#pragma once

#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::store {

/// What a daemon knows of another one's part in reading the store.
struct PeerReading {
  base::HostId name;
  /// When it was last heard of.
  base::Millis heard_at;
  bool reading = false;
};

/// Decides whether this daemon reads the store for the fleet. One daemon reads
/// and passes on what it learns; the others take over when its news stop.
///
/// Load pattern: every daemon of a large fleet polling a store whose calls are
/// limited and priced, and a reader that dies, freezes or loses the store.
class ReaderDuty {
 public:
  /// A peer that was not heard of for this long doesn't count.
  static constexpr base::Millis kPeerSilence{1000};
  /// News that are older than this have stopped.
  static constexpr base::Millis kNewsSilence{1000};
  /// Daemons take over one after the other, so that few do at once.
  static constexpr base::Millis kTakeoverStep{120};
  static constexpr int kMostSteps = 6;

  explicit ReaderDuty(base::HostId self) : self_(std::move(self)) {}

  /// `news_age`: the age of the newest proof that this daemon has.
  bool Decide(base::Millis now,
              base::Millis news_age,
              const std::vector<PeerReading>& peers);

  bool reading() const { return reading_; }

 private:
  base::HostId self_;
  bool reading_ = false;
};

}  // namespace dandelion::store
