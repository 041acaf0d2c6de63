#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "base/task.h"
#include "store/topic.h"

namespace dandelion::store {

/// The platform's store, as far as the daemons use it. Every call fails with
/// `kPlatformUnreachable` if the store does not answer or turns the call away.
class MetadataStore {
 public:
  virtual ~MetadataStore() = default;

  /// The newest record of every key.
  virtual base::Task<absl::StatusOr<Update>> ReadNewest(Topic topic) = 0;
  /// The records from `from` on; waits up to `wait` for the first one. Fails
  /// with `kLostRace` if the store no longer keeps offset `from`.
  virtual base::Task<absl::StatusOr<Update>> ReadFrom(Topic topic,
                                                      int64_t from,
                                                      base::Millis wait) = 0;
};

/// A daemon's entry in the list by which daemons find each other.
struct PeerEntry {
  std::string name;
  /// "IP:PORT" of its peer socket.
  std::string address;
};

/// The list of daemons, kept in the store.
class PeerList {
 public:
  virtual ~PeerList() = default;
  virtual base::Task<absl::Status> Announce(PeerEntry self) = 0;
  /// Entries of daemons that have ended may still be listed.
  virtual base::Task<absl::StatusOr<std::vector<PeerEntry>>> Read() = 0;
};

}  // namespace dandelion::store
