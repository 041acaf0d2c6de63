#include "store/topic.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace dandelion::store {
namespace {

constexpr base::Millis kNeverProven{INT64_C(1) << 40};

uint64_t HashOf(const std::string& key) {
  return XXH3_64bits(key.data(), key.size());
}

}  // namespace

std::string_view ToString(Topic topic) {
  return topic == Topic::kOperator ? "operator" : "upstreams";
}

std::vector<Record> TopicReplica::Apply(const Update& update,
                                        base::Millis proven_at) {
  const bool newest_snapshot = update.snapshot && update.to >= position_;
  std::vector<Record> changed;
  for (const Record& record : update.records) {
    if (Accept(record, newest_snapshot)) {
      Put(record);
      changed.push_back(record);
    }
  }
  if (update.snapshot) {
    AddMissingRemovals(update, &changed);
  }
  const bool contiguous = update.snapshot || !Missing(update.from);
  if (!contiguous) {
    return changed;
  }
  // A proof that the copy was complete up to an older position says nothing
  // about the offsets after it.
  if (update.to >= position_) {
    position_ = update.to;
    proven_at_ = started_ ? std::max(proven_at_, proven_at) : proven_at;
  }
  started_ = true;
  ForgetOldRemovals();
  return changed;
}

bool TopicReplica::Accept(const Record& record, bool newest_snapshot) {
  const auto known = newest_.find(record.key);
  if (known == newest_.end()) {
    return true;
  }
  const Entry& entry = known->second;
  const bool restored = newest_snapshot && entry.inferred_removal &&
                        record.offset == entry.record.offset;
  return record.offset > entry.record.offset || restored;
}

void TopicReplica::Put(const Record& record) {
  Entry& entry = newest_[record.key];
  const bool was_present = !entry.record.key.empty() && !entry.record.removed;
  if (was_present == record.removed) {
    key_digest_ ^= HashOf(record.key);
  }
  entry.record = record;
  entry.inferred_removal = false;
}

void TopicReplica::AddMissingRemovals(const Update& update,
                                      std::vector<Record>* changed) {
  std::set<std::string> present;
  for (const Record& record : update.records) {
    present.insert(record.key);
  }
  for (auto& [key, entry] : newest_) {
    const bool gone = !entry.record.removed && !present.contains(key) &&
                      entry.record.offset < update.from;
    if (gone) {
      Record removal = entry.record;
      removal.removed = true;
      removal.value.clear();
      Put(removal);
      entry.inferred_removal = true;
      changed->push_back(std::move(removal));
    }
  }
}

void TopicReplica::ForgetOldRemovals() {
  const int64_t oldest = position_ - kRemovalsKept;
  std::erase_if(newest_, [oldest](const auto& item) {
    const Record& record = item.second.record;
    return record.removed && record.offset < oldest;
  });
}

Update TopicReplica::Since(int64_t from) const {
  Update update;
  update.from = from;
  update.to = position_;
  for (const auto& [key, entry] : newest_) {
    if (entry.record.offset >= from) {
      update.records.push_back(entry.record);
    }
  }
  return update;
}

Update TopicReplica::Snapshot() const {
  Update update;
  update.from = position_;
  update.to = position_;
  update.snapshot = true;
  for (const auto& [key, entry] : newest_) {
    if (!entry.record.removed) {
      update.records.push_back(entry.record);
    }
  }
  return update;
}

base::Millis TopicReplica::AgeAt(base::Millis now) const {
  return started_ ? now - proven_at_ : kNeverProven;
}

}  // namespace dandelion::store
