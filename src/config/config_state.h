#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/ids.h"
#include "config/rows.h"

namespace dandelion::config {

/// A change to one row. It applies only if the row's version is
/// `expected_version`.
struct RowChange {
  std::string key;
  /// The version that the change is based on; 0 if the row does not exist.
  base::Offset expected_version;
  /// The new value; empty deletes the row.
  std::string value;
};

/// A record of the `config` log topic: either changes or a snapshot.
struct ConfigRecord {
  /// Unique id by which a publisher recognises its record in the log.
  std::string publish_id;
  std::vector<RowChange> changes;
  bool is_snapshot = false;
  /// Set only for a snapshot: the version and rows after all records up to and
  /// including offset `through`.
  base::Offset version;
  base::Offset through;
  Rows rows;
};

/// Encodes a record as JSON.
std::string EncodeConfigRecord(const ConfigRecord& record);
/// Fails with `kInvalidTables` if `text` is not a configuration record.
absl::StatusOr<ConfigRecord> DecodeConfigRecord(std::string_view text);

/// What became of a record that was passed to `ConfigState::Apply`.
enum class ApplyOutcome {
  /// Its changes are now in force.
  kAccepted,
  /// It is malformed, or one of its changes does not apply.
  kRejected,
  /// It is a snapshot; the state includes it.
  kSnapshot,
  /// Its offset had been applied before.
  kAlreadyApplied,
  /// It cannot be applied yet because records before it are missing.
  kGap,
};

struct ApplyResult {
  ApplyOutcome outcome = ApplyOutcome::kAlreadyApplied;
  /// Why the record was rejected; OK for all other outcomes.
  absl::Status reason;
};

/// The configuration in force, built from the records of the `config` log
/// topic. Every reader that applied the same offsets holds the same rows. A
/// record is accepted if each row that it changes still has the version that it
/// is based on and the resulting tables are valid; otherwise it is rejected as
/// a whole. The version in force is the offset of the last accepted record.
class ConfigState {
 public:
  /// Applies the record at `offset`. If records before it are missing, only a
  /// snapshot can be used; the caller then continues to read at
  /// `next_offset()`, which may be below `offset`.
  ApplyResult Apply(base::Offset offset, std::string_view text);

  /// Merges the rows of a state that is further on: `version` is its version
  /// and `next_offset` the first offset that it does not include. Returns
  /// whether the version in force rose; a state of the same version only
  /// advances `next_offset()`. An older state, or rows that give invalid
  /// tables, change nothing.
  bool MergeRows(const Rows& newer_rows,
                 base::Offset version,
                 base::Offset next_offset);

  /// Returns the rows that changed after `version`, including deleted rows.
  Rows ChangedSince(base::Offset version) const;

  /// The tables that the rows in force define; never null.
  std::shared_ptr<const Tables> tables() const { return tables_; }

  /// Returns a snapshot record of the current state, without `publish_id`.
  ConfigRecord Snapshot() const;

  /// The version in force; 0 before the first accepted record.
  base::Offset version() const { return version_; }
  /// The first offset that has not been applied.
  base::Offset next_offset() const { return next_offset_; }
  /// The rows in force, including deleted rows.
  const Rows& rows() const { return rows_; }

 private:
  ApplyResult ApplySnapshot(base::Offset offset, const ConfigRecord& record);
  absl::Status ApplyChanges(base::Offset offset, const ConfigRecord& record);
  absl::Status CommitRows(const Rows& changed, base::Offset version);

  Rows rows_;
  /// The tables that `rows_` define, kept in step with them.
  std::shared_ptr<const Tables> tables_ = std::make_shared<Tables>();
  base::Offset version_;
  base::Offset next_offset_{1};
};

/// Returns a record with the changes that turn `rows` into the tables file
/// `text`, which must have passed `CheckTables`. It has no changes if the two
/// agree. Rows of data centres stay as they are, and an upstream stays drained
/// unless `text` sets its `drained` field.
ConfigRecord MakePublishRecord(const Rows& rows, std::string_view text);

}  // namespace dandelion::config
