#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace dandelion::store {

/// The topics of the platform's store that the daemons read.
enum class Topic { kOperator = 0, kUpstreams = 1 };
inline constexpr size_t kTopicCount = 2;
inline constexpr std::array<Topic, kTopicCount> kAllTopics = {
    Topic::kOperator, Topic::kUpstreams};

std::string_view ToString(Topic topic);

/// Offsets hold the era of the store above the position in the topic. An era
/// begins when the store comes back from an older copy of its data: it has lost
/// the newest records then, and gives their positions out again.
inline constexpr int kEraShift = 40;
inline constexpr int64_t kMaxEra = (INT64_C(1) << 22) - 1;
constexpr int64_t MakeTopicOffset(int64_t era, int64_t position) {
  return era << kEraShift | position;
}
constexpr int64_t EraOf(int64_t offset) {
  return offset >> kEraShift;
}
/// The position in the topic, as the store counts it.
constexpr int64_t OffsetInEra(int64_t offset) {
  return offset & ((INT64_C(1) << kEraShift) - 1);
}

/// One record of a topic: sets `key` to `value`, or removes `key`.
struct Record {
  std::string key;
  /// Empty if `removed`.
  std::string value;
  bool removed = false;
  /// Where the record is in its topic, by `MakeTopicOffset`.
  int64_t offset = 0;
};

/// The records of a topic at the offsets [`from`, `to`). Of several records of
/// one key, all but the newest may be missing.
struct Update {
  int64_t from = 0;
  int64_t to = 0;
  /// The update has every key that is present at `to`; keys that are absent
  /// from it were removed before.
  bool snapshot = false;
  /// The topic has further records, which did not fit into the answer.
  bool partial = false;
  std::vector<Record> records;
  /// Of a snapshot: keys whose records could not be read. What is known of
  /// them stays as it is.
  std::set<std::string> unread_keys = {};
  /// Of a snapshot: keys may be missing that were not removed. What is known of
  /// them stays as it is.
  bool incomplete = false;
};

/// A copy of a topic's newest records, with the time at which it was last
/// verified to be complete. Records older than the known ones are ignored, so
/// updates may arrive in any order.
class TopicReplica {
 public:
  /// Removal records are kept for this many offsets, so that peers that lag
  /// behind learn of the removal.
  static constexpr int64_t kRemovalRetention = 4000;

  /// Applies `update`, which was complete at `verified_at`, and returns the
  /// records that changed the replica. If `update` leaves a gap, its records
  /// are applied but `position` and `verified_at` stay.
  std::vector<Record> Apply(const Update& update, base::Millis verified_at);

  /// Whether an update other than a snapshot that starts at offset `from`
  /// would leave a gap after the known records.
  bool LeavesGap(int64_t from) const { return !started_ || from > position_; }

  /// Returns an update with the known records from offset `from` on.
  Update UpdateFrom(int64_t from) const;
  /// Returns a snapshot with the records of all present keys.
  Update MakeSnapshot() const;

  /// Digest of the present keys, regardless of their values. Replicas with the
  /// same keys have the same digest; 0 if there are no keys.
  uint64_t key_digest() const { return key_digest_; }

  /// Whether a snapshot was applied yet; until then any other update leaves a
  /// gap.
  bool started() const { return started_; }
  /// The replica is complete up to this offset, exclusive.
  int64_t position() const { return position_; }
  /// When the replica was last known to be complete up to `position`; only
  /// meaningful if `started`.
  base::Millis verified_at() const { return verified_at_; }
  /// Age of the last verification; 2^40 ms if there was none.
  base::Millis VerificationAge(base::Millis now) const;

 private:
  struct Entry {
    Record record;
    /// Set if the removal was inferred from the key's absence from a snapshot:
    /// the offset of the key's last value.
    std::optional<int64_t> value_offset;
  };

  /// Whether `record` is newer than the known one, or restores a key whose
  /// removal was only inferred. `newest_snapshot` tells that `record` is from a
  /// snapshot that is not older than the replica; only such records restore.
  bool ShouldApply(const Record& record, bool newest_snapshot);
  void StoreRecord(const Record& record);
  /// Removes the keys that are absent from the snapshot `update` and not newer
  /// than it; appends their removal records to `changed`.
  void RemoveAbsentKeys(const Update& update, std::vector<Record>* changed);
  void EraseOldRemovals();

  bool started_ = false;
  int64_t position_ = 0;
  base::Millis verified_at_;
  uint64_t key_digest_ = 0;
  std::map<std::string, Entry> entries_;
};

}  // namespace dandelion::store
