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

  bool started() const { return started_; }
  int64_t position() const { return position_; }
  base::Millis proven_at() const { return proven_at_; }
  /// How long ago the copy was proved complete; very long if it never was.
  base::Millis AgeAt(base::Millis now) const;

 private:
  bool Accept(const Record& record);
  void AddMissingRemovals(const Update& update, std::vector<Record>* changed);
  void ForgetOldRemovals();

  bool started_ = false;
  int64_t position_ = 0;
  base::Millis proven_at_;
  std::map<std::string, Record> newest_;
};

}  // namespace dandelion::store
