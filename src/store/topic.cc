#include "store/topic.h"

#include <xxhash.h>

#include <algorithm>

namespace dandelion::store {
namespace {

constexpr base::Millis kNeverVerifiedAge{INT64_C(1) << 40};

uint64_t HashKey(const std::string& key) {
  return XXH3_64bits(key.data(), key.size());
}

}  // namespace

std::string_view ToString(Topic topic) {
  return topic == Topic::kOperator ? "operator" : "upstreams";
}

std::vector<Record> TopicReplica::Apply(const Update& update,
                                        base::Millis verified_at) {
  const bool newest_snapshot = update.snapshot && update.to >= position_;
  std::vector<Record> changed;
  for (const Record& record : update.records) {
    if (ShouldApply(record, newest_snapshot)) {
      StoreRecord(record);
      changed.push_back(record);
    }
  }
  if (update.snapshot && !update.incomplete) {
    RemoveAbsentKeys(update, &changed);
  }
  const bool contiguous = update.snapshot || !LeavesGap(update.from);
  if (!contiguous) {
    return changed;
  }
  // An update that ends before the current position does not verify the
  // offsets after its end.
  if (update.to >= position_) {
    position_ = update.to;
    verified_at_ = started_ ? std::max(verified_at_, verified_at) : verified_at;
  }
  started_ = true;
  EraseOldRemovals();
  return changed;
}

bool TopicReplica::ShouldApply(const Record& record, bool newest_snapshot) {
  const auto known = entries_.find(record.key);
  if (known == entries_.end()) {
    return true;
  }
  const Entry& entry = known->second;
  const bool restored = newest_snapshot && record.offset == entry.value_offset;
  return record.offset > entry.record.offset || restored;
}

void TopicReplica::StoreRecord(const Record& record) {
  const auto [known, is_new] = entries_.try_emplace(record.key);
  Entry& entry = known->second;
  const bool was_present = !is_new && !entry.record.removed;
  if (was_present == record.removed) {
    key_digest_ ^= HashKey(record.key);
  }
  entry.record = record;
  entry.value_offset.reset();
}

void TopicReplica::RemoveAbsentKeys(const Update& update,
                                    std::vector<Record>* changed) {
  std::set<std::string> present = update.unread_keys;
  for (const Record& record : update.records) {
    present.insert(record.key);
  }
  for (auto& [key, entry] : entries_) {
    const bool absent = !entry.record.removed && !present.contains(key) &&
                        entry.record.offset < update.from;
    if (absent) {
      const int64_t value_offset = entry.record.offset;
      Record removal = entry.record;
      removal.removed = true;
      removal.value.clear();
      // It was removed before the snapshot's end, so that who is complete up to
      // an earlier offset lacks the removal.
      removal.offset = update.from - 1;
      StoreRecord(removal);
      entry.value_offset = value_offset;
      changed->push_back(std::move(removal));
    }
  }
}

void TopicReplica::EraseOldRemovals() {
  const int64_t oldest = position_ - kRemovalRetention;
  std::erase_if(entries_, [oldest](const auto& item) {
    const Record& record = item.second.record;
    return record.removed && record.offset < oldest;
  });
}

Update TopicReplica::UpdateFrom(int64_t from) const {
  Update update;
  update.from = from;
  update.to = position_;
  for (const auto& [key, entry] : entries_) {
    if (entry.record.offset >= from) {
      update.records.push_back(entry.record);
    }
  }
  return update;
}

Update TopicReplica::MakeSnapshot() const {
  Update update;
  update.from = position_;
  update.to = position_;
  update.snapshot = true;
  for (const auto& [key, entry] : entries_) {
    if (!entry.record.removed) {
      update.records.push_back(entry.record);
    }
  }
  return update;
}

base::Millis TopicReplica::VerificationAge(base::Millis now) const {
  return started_ ? now - verified_at_ : kNeverVerifiedAge;
}

}  // namespace dandelion::store
