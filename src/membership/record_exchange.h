#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>

#include "base/clock.h"
#include "base/ids.h"
#include "membership/pull_schedule.h"
#include "proto/peer.pb.h"
#include "store/topic.h"

namespace dandelion::membership {

/// Makes timestamps that a peer echoes. Links may delay messages, so the age of
/// a verification is counted from a timestamp that the receiver itself has
/// sent.
class TimestampSource {
 public:
  explicit TimestampSource(base::Clock clock);

  /// Returns the current time as a timestamp for peers to echo.
  int64_t Make() const;
  /// Returns when this process made an echoed timestamp. Empty for one that an
  /// earlier process made, possibly on a clock that has been reset since.
  std::optional<base::Millis> Resolve(int64_t timestamp) const;

 private:
  base::Clock clock_;
  base::Millis started_at_;
  /// Random, so that timestamps of earlier processes are told apart.
  int64_t base_;
};

/// Keeps the replicas of the store's topics alike on daemons that are linked:
/// each tells up to where and since when its own are complete, sends changes
/// on, and pulls the records that it lacks.
class RecordExchange {
 public:
  struct Hooks {
    std::function<const store::TopicReplica&(store::Topic)> replica;
    /// A peer sent an update that was complete at `verified_at`.
    std::function<void(const base::HostId& from,
                       store::Topic,
                       const store::Update&,
                       base::Millis verified_at)>
        on_update;
    /// Sends a pull to a peer.
    std::function<void(const base::HostId&, const proto::FleetPull&)> send_pull;
  };

  /// Answers to pulls may take `answer_bytes_per_second` of the host's link.
  RecordExchange(base::HostId self,
                 base::Clock clock,
                 int64_t answer_bytes_per_second,
                 Hooks hooks);

  /// Adds up to where and since when the replicas are complete, without
  /// records.
  void AddPositions(proto::FleetBeat* heartbeat) const;
  /// Applies the updates of a heartbeat that was sent at `earliest_sent_at` or
  /// later, and pulls what is missing.
  void Apply(const base::HostId& from,
             const proto::FleetBeat& heartbeat,
             base::Millis earliest_sent_at);
  /// Whether the budget for answers allows for one now.
  bool MayAnswer() const { return answer_budget_.MaySend(clock_.Now()); }
  /// Adds the records that a peer lacks to the answer to its pull.
  void AddMissingRecords(const proto::FleetPull& pull,
                         proto::FleetBeat* heartbeat);
  /// Returns `update`, which this daemon has read in the store, with an earlier
  /// start if the records before it changed nothing.
  store::Update ExtendToLastChange(store::Topic topic,
                                   store::Update update) const;
  /// Encodes a change for `receivers` peers, and counts its records as changes.
  /// Empty if it is only to be announced by `AddPositions`: peers pull a
  /// snapshot, and an update that would fill the host's link, one by one.
  std::optional<proto::TopicUpdate> EncodeChange(store::Topic topic,
                                                 const store::Update& update,
                                                 size_t receivers);
  /// Marks the record at `offset` as a change, so that peers that lack it pull
  /// it. `EncodeChange` does this for its records.
  void MarkChange(store::Topic topic, int64_t offset);
  /// The peer is no longer linked.
  void Forget(const base::HostId& peer) { ahead_.erase(peer); }
  /// Whether peers have had records of `topic` that this daemon lacks for
  /// longer than `patience`.
  bool IsBehind(store::Topic topic, base::Millis patience) const;

 private:
  /// What peers are known to have of a topic.
  struct Progress {
    /// The highest offset up to which a peer is complete.
    int64_t end = 0;
    /// Since when this daemon has lacked records before `end`; empty if it
    /// lacks none.
    std::optional<base::Millis> behind_since;
  };

  /// Applies one update. Returns whether the peer has records that this daemon
  /// lacks; sets `digest_differs` if the peer has other keys.
  bool ApplyUpdate(const base::HostId& from,
                   const proto::TopicUpdate& in,
                   base::Millis earliest_sent_at,
                   bool* digest_differs);
  /// Asks a peer for the missing records, or with `complete` for snapshots of
  /// all topics. Does nothing while the answer of another pull is awaited.
  void Pull(const base::HostId& from, bool complete);
  /// Asks one of the peers that are ahead, after another has turned this daemon
  /// away.
  void PullFromAnother();
  /// Records that peers have the records of `topic` before `end`.
  void RecordProgress(store::Topic topic, int64_t end);

  base::HostId self_;
  base::Clock clock_;
  Hooks hooks_;
  /// Per topic, the offset after the last record that changed something. Peers
  /// that are complete up to it miss no changes.
  std::array<int64_t, store::kTopicCount> changes_end_{};
  std::array<Progress, store::kTopicCount> progress_;
  /// Peers whose last message told of records that this daemon lacks.
  std::set<base::HostId> ahead_;
  PullSchedule pulls_;
  size_t pulls_asked_elsewhere_ = 0;
  AnswerBudget answer_budget_;
};

}  // namespace dandelion::membership
