#include "store/topic.h"

#include <algorithm>
#include <set>

namespace dandelion::store {
namespace {

constexpr base::Millis kNeverProven{INT64_C(1) << 40};

}  // namespace

std::string_view ToString(Topic topic) {
  return topic == Topic::kOperator ? "operator" : "upstreams";
}

std::vector<Record> TopicReplica::Apply(const Update& update,
                                        base::Millis proven_at) {
  std::vector<Record> changed;
  for (const Record& record : update.records) {
    if (Accept(record)) {
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

bool TopicReplica::Accept(const Record& record) {
  const auto [entry, is_new] = newest_.try_emplace(record.key, record);
  if (is_new) {
    return true;
  }
  if (record.offset <= entry->second.offset) {
    return false;
  }
  entry->second = record;
  return true;
}

void TopicReplica::AddMissingRemovals(const Update& update,
                                      std::vector<Record>* changed) {
  std::set<std::string> present;
  for (const Record& record : update.records) {
    present.insert(record.key);
  }
  for (auto& [key, record] : newest_) {
    const bool gone = !record.removed && !present.contains(key) &&
                      record.offset < update.from;
    if (gone) {
      record.removed = true;
      record.value.clear();
      record.offset = update.from - 1;
      changed->push_back(record);
    }
  }
}

void TopicReplica::ForgetOldRemovals() {
  const int64_t oldest = position_ - kRemovalsKept;
  std::erase_if(newest_, [oldest](const auto& entry) {
    return entry.second.removed && entry.second.offset < oldest;
  });
}

Update TopicReplica::Since(int64_t from) const {
  Update update;
  update.from = from;
  update.to = position_;
  for (const auto& [key, record] : newest_) {
    if (record.offset >= from) {
      update.records.push_back(record);
    }
  }
  return update;
}

Update TopicReplica::Snapshot() const {
  Update update;
  update.from = position_;
  update.to = position_;
  update.snapshot = true;
  for (const auto& [key, record] : newest_) {
    if (!record.removed) {
      update.records.push_back(record);
    }
  }
  return update;
}

base::Millis TopicReplica::AgeAt(base::Millis now) const {
  return started_ ? now - proven_at_ : kNeverProven;
}

}  // namespace dandelion::store
