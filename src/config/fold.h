#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/ids.h"
#include "config/rows.h"

namespace dandelion::config {

/// A change to one row, with the version that it replaces (0: no such row).
struct Change {
  std::string key;
  base::Offset replaces;
  /// The new value; empty deletes the row.
  std::string value;
};

/// A record of the `config` stream: either changes or a snapshot.
struct ConfigRecord {
  std::string publish_id;
  std::vector<Change> changes;
  bool is_snapshot = false;
  /// For a snapshot: the state after folding every offset up to `through`.
  base::Offset version;
  base::Offset through;
  Rows rows;
};

std::string Encode(const ConfigRecord& record);
/// Fails if `text` is no record; the fold skips such records.
absl::StatusOr<ConfigRecord> Decode(std::string_view text);

/// What the fold made of one record.
enum class Folded {
  kAccepted,
  kRejected,
  kSnapshot,
  /// Folded before.
  kOld,
  /// Records in front of it are missing.
  kGap,
};

struct FoldResult {
  Folded folded = Folded::kOld;
  /// Why it was rejected.
  absl::Status reason;
};

/// Folds the `config` stream into the rows in force. Every reader that has
/// folded the same offsets holds the same rows: a record is accepted whole if
/// each row still has the version that the record names and the joined result
/// is valid, else it is rejected whole. The version in force is the offset of
/// the last accepted record.
class Fold {
 public:
  /// Folds the record at `offset`. Only a snapshot is of use when records in
  /// front of it are missing; reading then goes on from `next()`.
  FoldResult Apply(base::Offset offset, std::string_view text);

  /// Takes rows that a peer folded further. Older states and rows that do not
  /// join change nothing. Returns whether the version rose.
  bool Adopt(const Rows& newer_rows, base::Offset version, base::Offset next);

  /// Rows that changed after `version`, deleted ones included.
  Rows ChangedSince(base::Offset version) const;

  /// The rows in force, joined.
  std::shared_ptr<const Tables> tables() const { return tables_; }

  /// A snapshot record of the present state.
  ConfigRecord Snapshot() const;

  base::Offset version() const { return version_; }
  /// The first offset that has not been folded.
  base::Offset next() const { return next_; }
  const Rows& rows() const { return rows_; }

 private:
  FoldResult ApplySnapshot(base::Offset offset, const ConfigRecord& record);
  absl::Status Accept(base::Offset offset, const ConfigRecord& record);
  absl::Status Put(const Rows& changed, base::Offset version);

  Rows rows_;
  /// Always the join of `rows_`.
  std::shared_ptr<const Tables> tables_ = std::make_shared<Tables>();
  base::Offset version_;
  base::Offset next_{1};
};

/// Derives the record that turns `rows` into the tables of `text`. Rows of
/// data centres are left alone, as are the drained marks of upstreams.
ConfigRecord MakeRecord(const Rows& rows, std::string_view text);

}  // namespace dandelion::config
