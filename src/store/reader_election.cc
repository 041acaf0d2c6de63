#include "store/reader_election.h"

#include <algorithm>

namespace dandelion::store {

base::Millis ReaderElection::DelayOfOthers() const {
  const size_t hash = std::hash<base::HostId>()(self_);
  const auto spread = static_cast<size_t>(kTakeoverSpreadOfOthers.count());
  return kTakeoverDelayOfOthers +
         base::Millis(static_cast<int64_t>(hash % spread));
}

bool ReaderElection::UpdateRole(base::Millis now,
                                base::Millis verification_age,
                                const std::vector<PeerReaderStatus>& peers,
                                bool is_delegate) {
  int earlier_peers = 0;
  bool earlier_reader = false;
  bool has_delegate = false;
  for (const PeerReaderStatus& peer : peers) {
    const bool live = now - peer.last_heard_at < kPeerTimeout;
    has_delegate = has_delegate || (live && peer.is_delegate);
    const bool sorts_before =
        peer.is_delegate == is_delegate ? peer.name < self_ : peer.is_delegate;
    const bool earlier = live && sorts_before;
    earlier_peers += earlier ? 1 : 0;
    earlier_reader = earlier_reader || (earlier && peer.reading);
  }
  if (is_reader_) {
    is_reader_ = !(earlier_reader && verification_age < kVerificationTimeout);
    return is_reader_;
  }
  const base::Millis delay =
      has_delegate && !is_delegate
          ? DelayOfOthers()
          : kTakeoverDelayPerPeer * std::min(earlier_peers, kMaxDelayingPeers);
  is_reader_ = verification_age > kVerificationTimeout + delay;
  return is_reader_;
}

}  // namespace dandelion::store
