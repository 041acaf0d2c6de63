#pragma once

#include <array>
#include <functional>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/task.h"
#include "store/store.h"

namespace dandelion::store {

/// Reads the store's topics while this daemon is the elected reader or lacks
/// records, with one task per topic.
class Follower {
 public:
  /// Long-poll time of a read of the operator topic. What a read returns is
  /// verified as of the time at which the read was sent, so that a
  /// verification is up to twice as old at the reader. With the time of two
  /// messages, that must be less than a takeover waits for.
  static constexpr base::Millis kOperatorLongPoll{250};
  /// Pause between reads of the upstreams topic. Every upstream writes several
  /// times a second; spaced reads return several records at once.
  static constexpr base::Millis kUpstreamsReadInterval{220};
  static constexpr base::Millis kUpstreamsLongPoll{300};
  /// Longest pause between reads that fail, of a delegate and of any other
  /// daemon: many of them may try while the store is away.
  static constexpr base::Millis kMaxRetryPause{800};
  static constexpr base::Millis kMaxRetryPauseOfOthers{3000};
  /// Likewise of any other daemon for the operators' topic: 3 s after its way
  /// to the store is sound, no change may be older than 2 s and not in force,
  /// though a call may have hung for a second and been paused after.
  static constexpr base::Millis kMaxOperatorRetryPauseOfOthers{1500};
  /// How often a daemon that is not the reader checks whether it became so.
  static constexpr base::Millis kIdlePollInterval{50};
  /// The store counts as slow if an answer takes this much longer than the
  /// long-poll time of the read.
  static constexpr base::Millis kSlowAnswerThreshold{120};
  /// Writers write again within this time what the store has lost when it came
  /// back from an older copy. Keys that it lacks count as removed only then.
  static constexpr base::Millis kRewriteTime{3000};
  /// A follower whose last successful read of a topic is older than this counts
  /// as unable to read it.
  static constexpr base::Millis kMaxReadAge{1000};

  struct Hooks {
    /// Whether this daemon is to read the topic: it is its elected reader, or
    /// lacks records that peers have.
    std::function<bool(Topic)> should_read;
    std::function<const TopicReplica&(Topic)> replica;
    std::function<bool()> is_delegate;
    /// Called with the result of every successful read. `verified_at` is the
    /// time at which the read was sent; a partial update does not advance it.
    std::function<void(Topic, const Update&, base::Millis verified_at)>
        on_update;
  };

  Follower(base::Clock clock, MetadataStore& store, Hooks hooks);

  /// Reads `topic` until the process ends.
  base::Task<void> FollowTopic(Topic topic);

  /// The longest pause between reads of `topic` that fail.
  static base::Millis MaxRetryPause(Topic topic, bool is_delegate);
  /// Whether a read of `topic` succeeded within `kMaxReadAge`. Peers must not
  /// count an elected daemon as a reader while it can't read the topic.
  bool HasRecentRead(Topic topic) const;
  /// Whether the store answered the last read of a topic late, so that its
  /// updates reach this daemon late too.
  bool is_store_slow() const;

 private:
  base::Task<bool> ReadOnce(Topic topic);
  // Reads what the replica lacks.
  base::Task<absl::StatusOr<Update>> Read(Topic topic, base::Millis wait);
  // Reads the newest record of every key. The first snapshot of an era lacks
  // what was written in the time that was lost, and counts as incomplete. Fails
  // if the store answers from an earlier era than the replica's.
  base::Task<absl::StatusOr<Update>> ReadAll(Topic topic);
  // Forgets what the last reads of a topic showed that is not read any more.
  void ForgetReads(Topic topic);
  // Notes when the replica came to another era of the store, whoever read that.
  void NoteEra(Topic topic);
  // Logs when the topic can't be read, why if that changes, and when it can
  // again.
  void RecordReachability(Topic topic, const absl::Status& status);

  base::Clock clock_;
  MetadataStore& store_;
  Hooks hooks_;
  // Why the last read of each topic failed; empty if it succeeded.
  std::array<std::string, kTopicCount> failures_;
  // Whether the last read of each topic was answered late.
  std::array<bool, kTopicCount> is_slow_{};
  std::array<std::optional<base::Millis>, kTopicCount> read_at_;
  // The era of each replica, and when all keys are to be read once more since
  // it began.
  std::array<std::optional<int64_t>, kTopicCount> eras_;
  std::array<std::optional<base::Millis>, kTopicCount> reread_at_;
};

}  // namespace dandelion::store
