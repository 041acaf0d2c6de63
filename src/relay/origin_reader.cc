#include "relay/origin_reader.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "telemetry/events.h"

namespace dandelion::relay {
namespace {

using base::Millis;
using base::Task;
using telemetry::Emit;
using telemetry::Event;

// Hexadecimal digits of a stream's key.
constexpr size_t kKeyDigits = 32;
// Numbers of records beyond this come from another writer.
constexpr int kMaxSequence = 1000;
// Most records left behind that are removed at a time.
constexpr size_t kMaxLeftovers = 1000;

// The stream and the number that a record's key names.
struct RecordName {
  std::string stream;
  int sequence = 0;
};

// Empty if `key` is from another writer.
std::optional<RecordName> ParseRecordKey(const std::string& key) {
  RecordName name;
  if (key.size() <= kKeyDigits + 1 || key[kKeyDigits] != '.') {
    return std::nullopt;
  }
  name.stream = key.substr(0, kKeyDigits);
  const bool is_number =
      absl::SimpleAtoi(key.substr(kKeyDigits + 1), &name.sequence) &&
      name.sequence >= 0 && name.sequence <= kMaxSequence;
  if (!is_number || OriginRecordKey(name.stream, name.sequence) != key) {
    return std::nullopt;
  }
  return name;
}

}  // namespace

std::string OriginKey(const base::RequestId& id) {
  const XXH128_hash_t hash = XXH3_128bits(id.value().data(), id.value().size());
  return absl::StrCat(absl::Hex(hash.high64, absl::kZeroPad16),
                      absl::Hex(hash.low64, absl::kZeroPad16));
}

std::string OriginRecordKey(const std::string& key, int sequence) {
  return absl::StrCat(key, ".", sequence);
}

OriginReader::OriginReader(const base::Executor& executor,
                           base::Clock clock,
                           store::StreamOriginStore& store,
                           std::function<int64_t()> unix_now)
    : executor_(executor),
      clock_(std::move(clock)),
      store_(store),
      unix_now_(std::move(unix_now)) {}

Task<bool> OriginReader::Read(Millis longest) {
  // A read that has begun may have passed the newest records already.
  const uint64_t needed = begun_ + 1;
  const Millis deadline = clock_.Now() + longest;
  while (succeeded_ < needed) {
    const Millis left = deadline - clock_.Now();
    if (failed_ >= needed || left <= Millis(0)) {
      co_return false;
    }
    if (!reading_) {
      reading_ = true;
      base::Spawn(executor_, ReadOnce());
    }
    co_await read_ended_.WaitFor(left);
  }
  co_return true;
}

Task<void> OriginReader::ReadOnce() {
  const uint64_t number = ++begun_;
  const bool read = co_await ReadTopic();
  reading_ = false;
  (read ? succeeded_ : failed_) = number;
  read_ended_.NotifyAll();
}

Task<bool> OriginReader::ReadTopic() {
  for (;;) {
    const std::optional<int64_t> from = position_;
    const absl::StatusOr<store::StreamOriginUpdate> update =
        co_await store_.ReadOrigins(from);
    const bool is_gap =
        base::KindOf(update.status()) == base::ErrorKind::kConflict;
    if (from && (is_gap || (update.ok() && store_.Era() != era_))) {
      Reset();
      continue;
    }
    if (!update.ok()) {
      Emit(Event::kStreamOriginsNotRead,
           {{"reason", std::string(update.status().message())}});
      co_return false;
    }
    if (!from) {
      era_ = store_.Era();
    }
    Apply(*update);
    if (!update->partial) {
      co_return true;
    }
    if (from && update->to <= *from) {
      co_return false;
    }
  }
}

void OriginReader::Reset() {
  streams_.clear();
  order_.clear();
  position_.reset();
}

void OriginReader::Apply(const store::StreamOriginUpdate& update) {
  if (update.snapshot) {
    Reset();
  }
  for (const store::StreamOriginChange& change : update.changes) {
    ApplyRecord(change);
  }
  position_ = update.to;
  while (order_.size() > kMaxStreams) {
    streams_.erase(order_.front());
    order_.pop_front();
  }
}

void OriginReader::ApplyRecord(const store::StreamOriginChange& record) {
  const std::optional<RecordName> name = ParseRecordKey(record.key);
  if (!name) {
    return;
  }
  if (record.removed) {
    const auto stream = streams_.find(name->stream);
    if (stream != streams_.end()) {
      stream->second.erase(name->sequence);
    }
    return;
  }
  const int64_t age = unix_now_() - record.at;
  if (age > kMaxAge.count()) {
    if (leftovers_.size() < kMaxLeftovers) {
      leftovers_.push_back(record.key);
    }
    return;
  }
  const auto [stream, added] = streams_.try_emplace(name->stream);
  if (added) {
    order_.push_back(name->stream);
  }
  stream->second[name->sequence] = {record.pool, record.version};
}

std::optional<StreamOrigin> OriginReader::Find(const std::string& key) const {
  const auto stream = streams_.find(key);
  if (stream == streams_.end() || stream->second.empty()) {
    return std::nullopt;
  }
  return stream->second.rbegin()->second;
}

std::vector<std::string> OriginReader::TakeLeftovers() {
  return std::exchange(leftovers_, {});
}

}  // namespace dandelion::relay
