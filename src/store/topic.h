#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace dandelion::store {

/// The topics of the platform's store that the daemons follow.
enum class Topic { kOperator = 0, kUpstreams = 1 };
inline constexpr size_t kTopics = 2;

std::string_view ToString(Topic topic);

/// The newest record of a key. A removed key has no value.
struct Record {
  std::string key;
  std::string value;
  bool removed = false;
  /// The record's place in its topic; the first has 0.
  int64_t offset = 0;
};

/// What a topic gained in the offsets from `from` up to, but not with, `to`.
struct Update {
  int64_t from = 0;
  int64_t to = 0;
  /// All keys are included: keys that are missing were removed before `to`.
  bool snapshot = false;
  /// The topic had more records, which the answer had no space for.
  bool partial = false;
  std::vector<Record> records;
};

/// A copy of a topic's newest records, with the time at which it was last
/// proved to be complete. Offsets only rise: an old update changes nothing.
class TopicReplica {
 public:
  /// Removed keys are remembered for this many offsets, so that a peer that
  /// lags learns of the removal.
  static constexpr int64_t kRemovalsKept = 4000;

  /// Applies `update`, which was complete at `proven_at`. Returns the records
  /// that changed. An update that starts after `position` leaves a gap: its
  /// records count, but the position and the proof stay.
  std::vector<Record> Apply(const Update& update, base::Millis proven_at);

  /// Whether an update that starts at `from` would leave a gap.
  bool Missing(int64_t from) const { return !started_ || from > position_; }

  /// The newest records from offset `from` on.
  Update Since(int64_t from) const;
  Update Snapshot() const;

  /// A digest of the keys that are present; replicas at the same position with
  /// the same keys have the same one.
  uint64_t key_digest() const { return key_digest_; }

  bool started() const { return started_; }
  int64_t position() const { return position_; }
  base::Millis proven_at() const { return proven_at_; }
  /// How long ago the copy was proved complete; very long if it never was.
  base::Millis AgeAt(base::Millis now) const;

 private:
  struct Entry {
    Record record;
    /// The key was missing in a snapshot; its offset is that of its last value.
    bool inferred_removal = false;
  };

  bool Accept(const Record& record, bool newest_snapshot);
  void Put(const Record& record);
  void AddMissingRemovals(const Update& update, std::vector<Record>* changed);
  void ForgetOldRemovals();

  bool started_ = false;
  int64_t position_ = 0;
  base::Millis proven_at_;
  uint64_t key_digest_ = 0;
  std::map<std::string, Entry> newest_;
};

}  // namespace dandelion::store
