#include "store/reader_election.h"

#include <algorithm>

namespace dandelion::store {

bool ReaderElection::UpdateRole(base::Millis now,
                                base::Millis verification_age,
                                const std::vector<PeerReaderStatus>& peers) {
  int earlier_peers = 0;
  bool earlier_reader = false;
  for (const PeerReaderStatus& peer : peers) {
    const bool live = now - peer.last_heard_at < kPeerTimeout;
    const bool earlier = live && peer.name < self_;
    earlier_peers += earlier ? 1 : 0;
    earlier_reader = earlier_reader || (earlier && peer.reading);
  }
  if (is_reader_) {
    is_reader_ = !(earlier_reader && verification_age < kVerificationTimeout);
    return is_reader_;
  }
  const int delaying_peers = std::min(earlier_peers, kMaxDelayingPeers);
  is_reader_ = verification_age >
               kVerificationTimeout + kTakeoverDelayPerPeer * delaying_peers;
  return is_reader_;
}

}  // namespace dandelion::store
