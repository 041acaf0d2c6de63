#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "membership/pull_schedule.h"
#include "membership/transport.h"
#include "store/reader_election.h"
#include "store/topic.h"

namespace dandelion::membership {

/// A full mesh of daemons that find each other at run time. They forward the
/// updates that one of them has read in the platform's store, with the age of
/// the last verification, and tell each other the load that they have on the
/// upstreams. This serves daemons whose calls the store rejects and daemons
/// that start during an outage of the store.
///
/// Links may delay messages, so the age of a verification is counted from a
/// timestamp that the receiver itself has sent and the peer echoes.
class Mesh {
 public:
  /// Interval between heartbeats to a peer in a small fleet.
  static constexpr base::Millis kHeartbeatInterval{300};
  /// In a large fleet, the interval is this much times the number of peers.
  static constexpr base::Millis kHeartbeatIntervalPerPeer{8};
  /// Minimum time between messages with changed loads or new evidence, so that
  /// several changes go into one message.
  static constexpr base::Millis kChangeInterval{60};
  /// Every this many heartbeats to a peer, one carries all loads and evidence.
  static constexpr int kHeartbeatsPerFullLoads = 4;
  /// An update with more bytes than this, for all peers together, is announced
  /// instead of sent: a small host's link would carry nothing else for seconds.
  /// Peers pull its records from each other or read them in the store.
  static constexpr size_t kMaxBroadcastBytes = 1024 * 1024;
  /// A daemon that lacks records for longer than this reads the store itself,
  /// whether or not it is the reader.
  static constexpr base::Millis kPullPatience{150};
  /// A peer that is silent for longer is down; its loads no longer count.
  static constexpr base::Millis kPeerTimeout{1500};
  /// A peer that is silent for this long since it was added or last heard from
  /// is removed.
  static constexpr base::Millis kForgetAfter{30'000};

  struct Hooks {
    std::function<void(const base::HostId&, const proto::Envelope&)> send;
    std::function<void(const PeerAddress&)> connect;
    std::function<void(const base::HostId&)> disconnect;
    std::function<const store::TopicReplica&(store::Topic)> replica;
    /// A peer sent an update that was complete at `verified_at`.
    std::function<
        void(store::Topic, const store::Update&, base::Millis verified_at)>
        on_update;
    /// Returns this daemon's loads: all, or only those that changed since the
    /// last call.
    std::function<std::vector<proto::UpstreamLoad>(bool all)> loads;
    std::function<bool()> loads_changed;
    /// Called with every heartbeat of a peer, with or without loads.
    std::function<void(const base::HostId&, const proto::FleetBeat&)> on_loads;
    /// Returns what this daemon knows of parts that crash engines: all, or only
    /// what is new since the last call.
    std::function<proto::PartEvidence(bool all)> part_evidence;
    std::function<bool()> has_new_part_evidence;
    std::function<void(const base::HostId&, const proto::PartEvidence&)>
        on_part_evidence;
    /// Adds what upstreams said of themselves to a heartbeat: all, or only what
    /// is new since the last call.
    std::function<void(bool all, proto::FleetBeat*)> add_self_reports;
    std::function<bool()> has_new_self_reports;
    std::function<void(const proto::FleetBeat&)> on_self_reports;
    std::function<void(const base::HostId&)> on_peer_down;
    /// Whether this daemon reads the store.
    std::function<bool()> is_reader;
    /// Whether the store answers this daemon late.
    std::function<bool()> store_slow;
  };

  Mesh(PeerAddress self,
       base::DataCentreId data_centre,
       base::Clock clock,
       Hooks hooks);

  /// Connects to a daemon unless it is known under this address already.
  void AddPeer(const PeerAddress& peer);
  /// Connects to an address at which a daemon may run whose name is not known.
  void AddSeed(const std::string& address);
  void OnMessage(const base::HostId& from, const proto::Envelope& message);
  /// Sends due messages and expires silent peers. Must be called every few tens
  /// of milliseconds.
  void Tick();
  /// Sends an update that this daemon has read in the store to all peers, or
  /// only announces it if it is a snapshot or exceeds `kMaxBroadcastBytes`.
  /// Records that change nothing may be missing from `update`.
  void BroadcastUpdate(store::Topic topic, store::Update update);
  /// Marks the record at `offset`, received from a peer, as a change, so that
  /// peers that lack it pull it. `BroadcastUpdate` does this for the records it
  /// sends.
  void MarkChange(store::Topic topic, int64_t offset);
  /// Makes all further heartbeats tell that this daemon takes no new requests.
  void SetDraining() { draining_ = true; }

  /// Counts the daemons that are up, including this one.
  size_t DaemonCount() const;
  /// This daemon's rank by rendezvous hashing for `key` among the daemons that
  /// are up, from 0.
  size_t RankFor(std::string_view key) const;
  /// The reader status of all peers that have ever sent a message.
  std::vector<store::PeerReaderStatus> PeerReaderStatuses() const;
  /// Whether a peer that reads the store reports late answers.
  bool IsStoreSlow() const;
  /// Whether peers have had records of `topic` that this daemon lacks for
  /// longer than `kPullPatience`.
  bool IsBehind(store::Topic topic) const;

 private:
  struct Peer {
    PeerAddress address;
    base::Millis added_at;
    base::Millis last_heard_at;
    /// Whether any message has arrived from the peer.
    bool heard = false;
    bool up = false;
    /// Whether its last message told of records that this daemon lacks.
    bool ahead = false;
    bool reading = false;
    bool store_slow = false;
    base::Millis next_heartbeat_at;
    int heartbeats_sent = 0;
    /// The peer's last timestamp, to be echoed, and the time of its arrival.
    int64_t last_timestamp = 0;
    base::Millis last_timestamp_at;
  };
  /// What peers are known to have of a topic.
  struct PeerProgress {
    /// The highest offset up to which a peer is complete.
    int64_t end = 0;
    /// Since when this daemon has lacked records before `end`; empty if it
    /// lacks none.
    std::optional<base::Millis> behind_since;
  };

  /// Returns the current time as a timestamp for peers to echo.
  int64_t MakeTimestamp() const;
  /// Returns when this process made an echoed timestamp. Empty for one that an
  /// earlier process made, possibly on a clock that has been reset since.
  std::optional<base::Millis> ResolveTimestamp(int64_t timestamp) const;
  /// Makes a heartbeat without loads. `all_loads` tells the peer that the loads
  /// that the caller adds are complete.
  proto::Envelope MakeHeartbeat(const Peer& peer, bool all_loads);
  void OnHeartbeat(const base::HostId& from, const proto::FleetBeat& heartbeat);
  /// Answers with the records that the peer lacks and the addresses of the
  /// peers that are up.
  void OnPull(const base::HostId& from, const proto::FleetPull& pull);
  void OnPeers(const proto::FleetPeers& peers);
  void ApplyUpdates(const base::HostId& from,
                    Peer& peer,
                    const proto::FleetBeat& heartbeat);
  /// Asks a peer for the missing records, or with `complete` for snapshots of
  /// all topics. Does nothing while the answer of another pull is awaited.
  void PullRecords(const base::HostId& from, bool complete);
  /// Asks one of the peers that are ahead, after another has turned this daemon
  /// away.
  void PullFromAnother();
  /// Asks a seed for the addresses of the daemons that are up.
  void PullPeers(const base::HostId& seed);
  /// Adds the records that a peer lacks to an answer to its pull, unless the
  /// budget for answers is spent.
  void AddMissingRecords(const proto::FleetPull& pull,
                         proto::FleetBeat* heartbeat);
  /// Records that peers have the records of `topic` before `end`.
  void RecordProgress(store::Topic topic, int64_t end);
  void SendHeartbeat(const base::HostId& to, Peer& peer, bool all_loads);
  /// Sends changed loads and new evidence to all peers.
  void SendChanges();
  /// Marks silent peers as down and removes those silent for `kForgetAfter`.
  void ExpireSilentPeers();
  /// Adds the sender of a message as a peer if needed and marks it as up. It
  /// replaces a seed of the same address.
  Peer& RecordPeerContact(const base::HostId& from, const std::string& address);

  PeerAddress self_;
  base::DataCentreId data_centre_;
  base::Clock clock_;
  Hooks hooks_;
  std::map<base::HostId, Peer> peers_;
  /// Per topic, the offset after the last record that changed something. Peers
  /// that are complete up to it miss no changes.
  std::array<int64_t, store::kTopicCount> changes_end_{};
  std::array<PeerProgress, store::kTopicCount> progress_;
  PullSchedule pulls_;
  size_t pulls_asked_elsewhere_ = 0;
  AnswerBudget answer_budget_;
  base::Millis next_changes_at_;
  bool draining_ = false;
  base::Millis started_at_;
  /// Random, so that timestamps of earlier processes are told apart.
  int64_t timestamp_base_;
};

}  // namespace dandelion::membership
