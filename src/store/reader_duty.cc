#include "store/reader_duty.h"

#include <algorithm>

namespace dandelion::store {

bool ReaderDuty::Decide(base::Millis now,
                        base::Millis news_age,
                        const std::vector<PeerReading>& peers) {
  int earlier_peers = 0;
  bool earlier_reader = false;
  for (const PeerReading& peer : peers) {
    const bool live = now - peer.heard_at < kPeerSilence;
    const bool earlier = live && peer.name < self_;
    earlier_peers += earlier ? 1 : 0;
    earlier_reader = earlier_reader || (earlier && peer.reading);
  }
  if (reading_) {
    reading_ = !(earlier_reader && news_age < kNewsSilence);
    return reading_;
  }
  const int steps = std::min(earlier_peers, kMostSteps);
  reading_ = news_age > kNewsSilence + kTakeoverStep * steps;
  return reading_;
}

}  // namespace dandelion::store
