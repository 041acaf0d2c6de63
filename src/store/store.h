#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "base/task.h"
#include "store/topic.h"

namespace dandelion::store {

/// Reads from the platform's metadata store. Every call fails with
/// `kPlatformUnreachable` if the store does not answer or rejects the call.
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
