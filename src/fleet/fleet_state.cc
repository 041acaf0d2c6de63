#include "fleet/fleet_state.h"

#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/text.h"
#include "telemetry/events.h"

namespace dandelion::fleet {

using base::Millis;
using store::Record;
using store::Topic;
using telemetry::Emit;
using telemetry::Event;

namespace {

// Below this, what upstreams wrote last is not looked through for what is old.
constexpr size_t kMinRemembered = 64;

}  // namespace

FleetState::FleetState(base::Clock clock, UpstreamList& upstreams, Hooks hooks)
    : clock_(std::move(clock)),
      upstreams_(upstreams),
      hooks_(std::move(hooks)) {}

const store::TopicReplica& FleetState::replica(Topic topic) const {
  return replicas_[static_cast<size_t>(topic)];
}

Millis FleetState::VerificationAgeOf(Topic topic) const {
  return replica(topic).VerificationAge(clock_.Now());
}

std::vector<Record> FleetState::ApplyUpdate(Topic topic,
                                            const store::Update& update,
                                            Millis verified_at) {
  std::vector<Record> changed_records;
  for (const Record& record :
       replicas_[static_cast<size_t>(topic)].Apply(update, verified_at)) {
    const bool changed = topic == Topic::kOperator
                             ? ApplyOperatorRecord(record)
                             : ApplyUpstreamRecord(record);
    if (changed) {
      changed_records.push_back(record);
    }
  }
  return changed_records;
}

bool FleetState::ApplyOperatorRecord(const Record& record) {
  const absl::StatusOr<OperatorRecord> operator_record =
      hooks_.parse_operator_record(record);
  if (!operator_record.ok()) {
    Emit(Event::kConfigRejected,
         {{"key", record.key},
          {"offset", absl::StrCat(store::OffsetInEra(record.offset))},
          {"reason", std::string(operator_record.status().message())}});
    return true;
  }
  if (!operator_record->evacuated_data_centre.empty()) {
    upstreams_.SetEvacuated(operator_record->evacuated_data_centre,
                            !record.removed);
    Emit(record.removed ? Event::kDataCentreRestored
                        : Event::kDataCentreEvacuated,
         {{"data_centre", operator_record->evacuated_data_centre.value()},
          {"offset", absl::StrCat(store::OffsetInEra(record.offset))}});
  }
  if (operator_record->rollout && hooks_.on_rollout) {
    hooks_.on_rollout(*operator_record->rollout);
  }
  const bool newer = operator_record->catalogue &&
                     (!catalogue_ || operator_record->catalogue->version >
                                         catalogue_->version);
  if (newer) {
    catalogue_ = operator_record->catalogue;
    ReportRefusedOrganisations(record);
    Emit(Event::kConfigInstalled,
         {{"version", absl::StrCat(catalogue_->version)},
          {"offset", absl::StrCat(store::OffsetInEra(record.offset))},
          {"routes", absl::StrCat(catalogue_->routes.size())},
          {"age_ms",
           absl::StrCat(VerificationAgeOf(Topic::kOperator).count())}});
    hooks_.on_catalogue(catalogue_);
  }
  return true;
}

void FleetState::ReportRefusedOrganisations(const Record& record) const {
  for (const base::OrganisationId& name : catalogue_->refused_organisations) {
    Emit(Event::kConfigRejected,
         {{"key", record.key},
          {"offset", absl::StrCat(store::OffsetInEra(record.offset))},
          {"organisation", name.value()},
          {"reason",
           "the name can't be sent to upstreams; its keys are "
           "unknown"}});
  }
}

// Parses the entry of an upstream. Fails if the record comes from another
// writer.
absl::StatusOr<UpstreamEntry> FleetState::ParseUpstreamRecord(
    const Record& record) {
  if (!base::IsValidName(record.key)) {
    return base::MakeError(base::ErrorKind::kBadAnswer,
                           "the key can't be the id of an upstream",
                           "find the program that wrote it; it is ignored");
  }
  return hooks_.parse_upstream_entry(record.value);
}

bool FleetState::IsOutdated(const Record& record, const UpstreamEntry& entry) {
  const Millis now = clock_.Now();
  const int64_t era = store::EraOf(record.offset);
  const auto known = written_.find(record.key);
  if (known != written_.end()) {
    const Written& last = known->second;
    // Within an era, offsets tell what is newer.
    if (last.era != era && last.started_at == entry.started_at &&
        entry.sequence > 0 && entry.sequence <= last.sequence &&
        now - last.at <= kWrittenRetention) {
      return true;
    }
  }
  written_[record.key] = {entry.started_at, entry.sequence, era, now};
  if (written_.size() > 2 * entries_.size() + kMinRemembered) {
    std::erase_if(written_, [now](const auto& item) {
      return now - item.second.at > kWrittenRetention;
    });
  }
  return false;
}

bool FleetState::ApplyUpstreamRecord(const Record& record) {
  const base::UpstreamId id(record.key);
  std::optional<UpstreamEntry> entry;
  if (!record.removed) {
    absl::StatusOr<UpstreamEntry> read = ParseUpstreamRecord(record);
    if (!read.ok()) {
      // The last valid entry stays.
      Emit(Event::kStoreRecordRefused,
           {{"upstream", record.key},
            {"offset", absl::StrCat(store::OffsetInEra(record.offset))},
            {"reason", std::string(read.status().message())}});
      return true;
    }
    if (IsOutdated(record, *read)) {
      return false;
    }
    entry = *std::move(read);
  }
  const auto known = entries_.find(record.key);
  const bool same = entry ? known != entries_.end() && known->second == *entry
                          : known == entries_.end();
  if (same) {
    return false;
  }
  if (entry) {
    entries_[record.key] = *entry;
  } else {
    entries_.erase(known);
  }
  upstreams_.ApplyEntry(id, std::move(entry), clock_.Now());
  return true;
}

}  // namespace dandelion::fleet
