#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/ids.h"
#include "base/task.h"
#include "store/topic.h"

namespace dandelion::store {

/// Reads from the platform's metadata store. Every call fails with
/// `kPlatformUnreachable` if the store does not answer or rejects the call.
///
/// Offsets are those of `MakeTopicOffset`: what a store has after it came back
/// from an older copy of its data follows all that it had before.
class MetadataStore {
 public:
  virtual ~MetadataStore() = default;

  /// Returns a snapshot with the newest record of every key.
  virtual base::Task<absl::StatusOr<Update>> ReadNewest(Topic topic) = 0;
  /// Returns the records from offset `from` on. Waits up to `wait` for the
  /// first one; without one by then, the update has no records. Fails with
  /// `kConflict` if the store no longer keeps offset `from`.
  virtual base::Task<absl::StatusOr<Update>> ReadFrom(Topic topic,
                                                      int64_t from,
                                                      base::Millis wait) = 0;
};

/// The topic of the statuses that operators read. Calls fail like those of
/// `MetadataStore`.
class StatusStore {
 public:
  virtual ~StatusStore() = default;
  /// Returns a snapshot of all statuses; an empty one if none was ever written.
  virtual base::Task<absl::StatusOr<Update>> ReadStatuses() = 0;
  /// Writes a status if the topic still ends at `end`, the end of a snapshot.
  /// Fails with `kConflict` if it does not: another daemon has written since.
  virtual base::Task<absl::Status> WriteStatus(std::string key,
                                               std::string value,
                                               int64_t end) = 0;
};

/// The record of quarantined parts. Calls fail like those of `MetadataStore`.
class QuarantineStore {
 public:
  struct Snapshot {
    /// Empty if none was ever written.
    std::string record;
    /// The end of the topic.
    int64_t end = 0;
  };

  virtual ~QuarantineStore() = default;
  virtual base::Task<absl::StatusOr<Snapshot>> ReadQuarantines() = 0;
  /// Replaces the record if the topic still ends at `end`. Fails with
  /// `kConflict` if it does not.
  virtual base::Task<absl::Status> WriteQuarantines(std::string record,
                                                    int64_t end) = 0;
};

/// A change to the record of which pool and version began a stream.
struct StreamOriginChange {
  /// ASCII letters, digits and dots.
  std::string key;
  /// The record is removed; the other fields are empty.
  bool removed = false;
  base::PoolName pool;
  base::SoftwareVersion version;
  /// When the stream began, in milliseconds since the Unix epoch.
  int64_t at = 0;
};

/// Records of streams' origins, in their order in the log.
struct StreamOriginUpdate {
  /// Up to which offset, exclusive, the log was read.
  int64_t to = 0;
  /// Has every record that is present at `to`.
  bool snapshot = false;
  /// The log has further records.
  bool partial = false;
  std::vector<StreamOriginChange> changes;
};

/// The records of which pool and version began which stream. Calls fail like
/// those of `MetadataStore`.
class StreamOriginStore {
 public:
  virtual ~StreamOriginStore() = default;
  /// Returns the records from offset `from` on, or all of them if it is not
  /// set. Records that can't be read are left out. Fails with `kConflict` if
  /// the store doesn't have offset `from`.
  virtual base::Task<absl::StatusOr<StreamOriginUpdate>> ReadOrigins(
      std::optional<int64_t> from) = 0;
  /// Writes all changes in one call. After a failure, they may have been or
  /// still be written.
  virtual base::Task<absl::Status> WriteOrigins(
      std::vector<StreamOriginChange> changes) = 0;
  /// Counts how often the store came back from an older copy, by its last
  /// answer. Nothing if that is not known.
  virtual std::optional<int64_t> Era() const = 0;
};

/// A daemon's entry in the store's list of daemons.
struct PeerEntry {
  std::string name;
  /// "IP:PORT" of the daemon's peer socket.
  std::string address;
  std::string data_centre;
  /// Processor of the daemon's host, in thousandths of a core; 0 if unknown.
  int64_t capacity = 0;
};

/// The list of daemons in the store, through which daemons find each other.
/// Calls fail like those of `MetadataStore`.
class PeerList {
 public:
  virtual ~PeerList() = default;
  /// Adds or replaces this daemon's entry.
  virtual base::Task<absl::Status> Announce(PeerEntry self) = 0;
  /// Returns all entries, possibly including some of daemons that have ended.
  virtual base::Task<absl::StatusOr<std::vector<PeerEntry>>> ListPeers() = 0;
};

}  // namespace dandelion::store
