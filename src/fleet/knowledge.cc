#include "fleet/knowledge.h"

#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "telemetry/events.h"

namespace dandelion::fleet {

using base::Millis;
using store::Record;
using store::Topic;
using telemetry::Emit;
using telemetry::Event;

Knowledge::Knowledge(base::Clock clock, UpstreamList& upstreams, Hooks hooks)
    : clock_(std::move(clock)),
      upstreams_(upstreams),
      hooks_(std::move(hooks)) {}

const store::TopicReplica& Knowledge::replica(Topic topic) const {
  return replicas_[static_cast<size_t>(topic)];
}

Millis Knowledge::AgeOf(Topic topic) const {
  return replica(topic).VerificationAge(clock_.Now());
}

std::vector<Record> Knowledge::Take(Topic topic,
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

bool Knowledge::ApplyOperatorRecord(const Record& record) {
  const absl::StatusOr<OperatorFact> fact = hooks_.read_operator(record);
  if (!fact.ok()) {
    Emit(Event::kConfigRejected,
         {{"key", record.key},
          {"offset", absl::StrCat(record.offset)},
          {"reason", std::string(fact.status().message())}});
    return true;
  }
  if (!fact->evacuated.empty()) {
    upstreams_.SetEvacuated(fact->evacuated, !record.removed);
    Emit(record.removed ? Event::kDataCentreRestored
                        : Event::kDataCentreEvacuated,
         {{"data_centre", fact->evacuated.value()},
          {"offset", absl::StrCat(record.offset)}});
  }
  const bool newer =
      fact->catalogue &&
      (!catalogue_ || fact->catalogue->version > catalogue_->version);
  if (newer) {
    catalogue_ = fact->catalogue;
    Emit(Event::kConfigInstalled,
         {{"version", absl::StrCat(catalogue_->version)},
          {"offset", absl::StrCat(record.offset)},
          {"routes", absl::StrCat(catalogue_->routes.size())},
          {"age_ms", absl::StrCat(AgeOf(Topic::kOperator).count())}});
    hooks_.on_catalogue(catalogue_);
  }
  return true;
}

bool Knowledge::ApplyUpstreamRecord(const Record& record) {
  const base::UpstreamId id(record.key);
  std::optional<UpstreamEntry> entry;
  if (!record.removed) {
    absl::StatusOr<UpstreamEntry> read = hooks_.read_upstream(record.value);
    if (!read.ok()) {
      // The record may come from another writer; the last valid entry stays.
      Emit(Event::kStoreRecordRefused,
           {{"upstream", record.key},
            {"offset", absl::StrCat(record.offset)},
            {"reason", std::string(read.status().message())}});
      return true;
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
  upstreams_.Set(id, std::move(entry), clock_.Now());
  return true;
}

}  // namespace dandelion::fleet
