#include "config/config_state.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"

namespace dandelion::config {
namespace {

using base::Offset;
using nlohmann::json;

absl::Status MakeLostRaceError(const std::string& key,
                               base::Offset current_version) {
  return base::MakeError(
      base::ErrorKind::kConflict,
      absl::StrCat(key, " was changed concurrently; its version is now ",
                   current_version.count()),
      "read the current configuration and publish again");
}

// Returns the version of a row; 0 if it does not exist or was deleted.
base::Offset CurrentVersion(const Rows& rows, const std::string& key) {
  const auto found = rows.find(key);
  if (found == rows.end() || found->second.value.empty()) {
    return base::Offset(0);
  }
  return found->second.version;
}

// Returns `value` with the `drained` mark of `old_value` if it sets none.
std::string PreserveDrained(const std::string& old_value, std::string value) {
  const json before = json::parse(old_value);
  json after = json::parse(value);
  if (before.value("drained", false) && !after.contains("drained")) {
    after["drained"] = true;
    return after.dump();
  }
  return value;
}

}  // namespace

std::string EncodeConfigRecord(const ConfigRecord& record) {
  json out = {{"publish_id", record.publish_id}};
  if (record.is_snapshot) {
    json rows = json::array();
    for (const auto& [key, row] : record.rows) {
      rows.push_back({key, row.version.count(), row.value});
    }
    out["snapshot"] = {{"version", record.version.count()},
                       {"through", record.through.count()},
                       {"rows", std::move(rows)}};
    return out.dump();
  }
  json changes = json::array();
  for (const RowChange& change : record.changes) {
    changes.push_back(
        {change.key, change.expected_version.count(), change.value});
  }
  out["changes"] = std::move(changes);
  return out.dump();
}

absl::StatusOr<ConfigRecord> DecodeConfigRecord(std::string_view text) {
  try {
    const json in = json::parse(text);
    ConfigRecord record;
    record.publish_id = in.at("publish_id");
    if (in.contains("snapshot")) {
      const json& snapshot = in.at("snapshot");
      record.is_snapshot = true;
      record.version = base::Offset(snapshot.at("version"));
      record.through = base::Offset(snapshot.at("through"));
      for (const json& row : snapshot.at("rows")) {
        record.rows[row.at(0)] = Row{row.at(2), base::Offset(row.at(1))};
      }
      return record;
    }
    for (const json& change : in.at("changes")) {
      record.changes.push_back(
          RowChange{change.at(0), base::Offset(change.at(1)), change.at(2)});
    }
    return record;
  } catch (const json::exception& error) {
    return base::MakeError(
        base::ErrorKind::kInvalidTables,
        absl::StrCat("not a configuration record: ", error.what()),
        "publish tables with dandelionctl");
  }
}

ApplyResult ConfigState::Apply(base::Offset offset, std::string_view text) {
  if (offset < next_offset_) {
    return {ApplyOutcome::kAlreadyApplied, absl::OkStatus()};
  }
  const absl::StatusOr<ConfigRecord> record = DecodeConfigRecord(text);
  if (record.ok() && record->is_snapshot) {
    return ApplySnapshot(offset, *record);
  }
  if (offset > next_offset_) {
    return {ApplyOutcome::kGap, absl::OkStatus()};
  }
  next_offset_ = offset + base::Offset(1);
  const absl::Status accepted =
      record.ok() ? ApplyChanges(offset, *record) : record.status();
  return {accepted.ok() ? ApplyOutcome::kAccepted : ApplyOutcome::kRejected,
          accepted};
}

ApplyResult ConfigState::ApplySnapshot(base::Offset offset,
                                       const ConfigRecord& record) {
  if (offset > next_offset_ && record.through >= next_offset_) {
    // Start from an empty state: rows that the snapshot lacks were deleted in
    // records that are missing here.
    rows_.clear();
    tables_ = std::make_shared<Tables>();
    MergeRows(record.rows, record.version, record.through + base::Offset(1));
  }
  if (offset == next_offset_) {
    next_offset_ = offset + base::Offset(1);
  }
  return {offset < next_offset_ ? ApplyOutcome::kSnapshot : ApplyOutcome::kGap,
          absl::OkStatus()};
}

absl::Status ConfigState::ApplyChanges(Offset offset,
                                       const ConfigRecord& record) {
  for (const RowChange& change : record.changes) {
    const Offset current_version = CurrentVersion(rows_, change.key);
    if (current_version != change.expected_version) {
      return MakeLostRaceError(change.key, current_version);
    }
  }
  Rows changed;
  for (const RowChange& change : record.changes) {
    changed[change.key] = Row{change.value, offset};
  }
  return CommitRows(changed, offset);
}

// Applies the changed rows to a copy of the tables, which replaces the tables
// only if it is valid. Only the changed rows are parsed: building the tables
// from all rows costs 100 times as much.
absl::Status ConfigState::CommitRows(const Rows& changed, Offset version) {
  auto updated = std::make_shared<Tables>(*tables_);
  updated->version = version;
  for (const auto& [key, row] : changed) {
    absl::Status applied = ApplyRow(key, row.value, updated.get());
    if (!applied.ok()) {
      return applied;
    }
  }
  absl::Status resolved = ResolveReferences(updated.get());
  if (!resolved.ok()) {
    return resolved;
  }
  for (const auto& [key, row] : changed) {
    rows_[key] = row;
  }
  tables_ = std::move(updated);
  version_ = version;
  return absl::OkStatus();
}

bool ConfigState::MergeRows(const Rows& newer_rows,
                            Offset version,
                            Offset next_offset) {
  if (next_offset <= next_offset_ || version < version_) {
    return false;
  }
  Rows changed;
  for (const auto& [key, row] : newer_rows) {
    const auto current = rows_.find(key);
    if (current == rows_.end() || row.version > current->second.version) {
      changed[key] = row;
    }
  }
  const bool raised = version > version_;
  if (raised && !CommitRows(changed, version).ok()) {
    return false;
  }
  next_offset_ = next_offset;
  return raised;
}

Rows ConfigState::ChangedSince(base::Offset version) const {
  Rows changed;
  for (const auto& [key, row] : rows_) {
    if (row.version > version) {
      changed[key] = row;
    }
  }
  return changed;
}

ConfigRecord ConfigState::Snapshot() const {
  ConfigRecord record;
  record.is_snapshot = true;
  record.version = version_;
  record.through = next_offset_ - base::Offset(1);
  record.rows = rows_;
  return record;
}

ConfigRecord MakePublishRecord(const Rows& rows, std::string_view text) {
  ConfigRecord record;
  Rows wanted = SplitTables(text);
  for (auto& [key, row] : wanted) {
    const auto old = rows.find(key);
    const bool exists = old != rows.end() && !old->second.value.empty();
    if (exists && key.starts_with("upstream/")) {
      row.value = PreserveDrained(old->second.value, row.value);
    }
    if (!exists || old->second.value != row.value) {
      record.changes.push_back(
          RowChange{key, CurrentVersion(rows, key), row.value});
    }
  }
  for (const auto& [key, row] : rows) {
    const bool kept = wanted.contains(key) || key.starts_with("data_centre/");
    if (!kept && !row.value.empty()) {
      record.changes.push_back(RowChange{key, row.version, ""});
    }
  }
  return record;
}

}  // namespace dandelion::config
