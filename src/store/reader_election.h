#pragma once

#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::store {

/// Whether a peer reads a topic of the store, as far as this daemon knows.
struct PeerReaderStatus {
  base::HostId name;
  /// When its last message arrived.
  base::Millis last_heard_at;
  bool reading = false;
  /// Delegates read before other daemons do.
  bool is_delegate = false;
};

/// Elects the daemons that read one topic of the store for the fleet. Normally
/// one daemon reads and forwards the updates; another takes over when the
/// reader dies, freezes or can't read the topic. This keeps the daemons of a
/// large fleet from all polling a store whose calls are rate-limited and
/// billed.
///
/// Each daemon goes by the age of its own last verification, whatever the
/// others say of themselves, so that no way of losing the reader goes
/// unnoticed. All of them read within `kLongestTakeover`.
class ReaderElection {
 public:
  /// Peers that have been silent for longer are ignored.
  static constexpr base::Millis kPeerTimeout{1000};
  /// If the last verification is older than this, the reader is taken to have
  /// stopped.
  static constexpr base::Millis kVerificationTimeout{1000};
  /// Each live delegate whose name sorts before this delegate's delays its
  /// takeover by this much, so that few daemons take over at once.
  static constexpr base::Millis kTakeoverDelayPerPeer{100};
  /// Bounds the takeover delay in large fleets.
  static constexpr int kMaxDelayingPeers = 4;
  /// A daemon that is no delegate gives delegates this much more time, and up
  /// to the spread more by a hash of its name: one of them that reaches the
  /// store is enough.
  static constexpr base::Millis kTakeoverDelayOfOthers{500};
  static constexpr base::Millis kTakeoverSpreadOfOthers{150};
  /// The age of a verification at which every daemon reads. Changes are to be
  /// in force 2 s after they were made, which leaves the time of a read and of
  /// two messages.
  static constexpr base::Millis kLongestTakeover =
      kVerificationTimeout + kTakeoverDelayOfOthers + kTakeoverSpreadOfOthers;

  explicit ReaderElection(base::HostId self) : self_(std::move(self)) {}

  /// Decides whether this daemon reads from `now` on. `verification_age` is
  /// the age of this daemon's last verification of the topic. A reader stops
  /// when a live peer whose name sorts before its own reads the topic too and
  /// the updates are fresh. Delegates sort before other daemons.
  bool UpdateRole(base::Millis now,
                  base::Millis verification_age,
                  const std::vector<PeerReaderStatus>& peers,
                  bool is_delegate = false);

  /// The result of the last `UpdateRole`.
  bool is_reader() const { return is_reader_; }

 private:
  base::Millis DelayOfOthers() const;

  base::HostId self_;
  bool is_reader_ = false;
};

}  // namespace dandelion::store
