#include "relay/stream_origins.h"

#include <algorithm>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "telemetry/events.h"

namespace dandelion::relay {
namespace {

using base::Millis;
using base::Task;
using telemetry::Emit;
using telemetry::Event;

// How often origins are checked for those that are no longer needed.
constexpr Millis kCheckInterval{1000};
constexpr Millis kMaxRetryPause{3000};
// What one call writes at most. The store takes larger ones.
constexpr size_t kMaxBatchRecords = 1000;
constexpr size_t kMaxBatchBytes = size_t{256} * 1024;
// Records whose removal finds no room are removed as left behind.
constexpr size_t kMaxRemovals = 50'000;
// Where no share of calls is known, one call waits for this long.
constexpr double kMinCallsPerSecond = 0.2;

}  // namespace

std::string_view ToString(OriginSource source) {
  switch (source) {
    case OriginSource::kOwn:
      return "own";
    case OriginSource::kStore:
      return "store";
    case OriginSource::kOnlyVersion:
      return "only_version";
    case OriginSource::kUnknown:
      return "unknown";
  }
  return "unknown";
}

StreamOrigins::StreamOrigins(const base::Executor& executor,
                             base::Clock clock,
                             store::StreamOriginStore& store,
                             Hooks hooks)
    : clock_(std::move(clock)),
      store_(store),
      hooks_(std::move(hooks)),
      reader_(executor, clock_, store, hooks_.unix_now),
      calls_counted_at_(clock_.Now()),
      called_at_(clock_.Now()),
      checked_at_(clock_.Now()),
      searched_at_(clock_.Now()),
      backoff_(std::random_device{}()) {}

void StreamOrigins::Begin(const base::RequestId& id,
                          StreamOrigin origin,
                          Millis keep_for) {
  const std::string key = OriginKey(id);
  const auto found = kept_.find(key);
  if (found == kept_.end() && kept_.size() >= kMaxKept) {
    ++not_kept_;
    return;
  }
  Kept& kept = kept_[key];
  kept.keep_until = clock_.Now() + std::min(keep_for, OriginReader::kMaxAge);
  if (found != kept_.end() && kept.origin == origin) {
    return;
  }
  if (kept.sent) {
    // The earlier record may be written late, so that this one gets a key of
    // its own.
    ++kept.sequence;
  }
  kept.origin = std::move(origin);
  kept.begun_at = hooks_.unix_now();
  kept.sent = false;
  kept.recorded = false;
  unwritten_.insert(key);
  queued_.NotifyAll();
}

Task<void> StreamOrigins::AwaitRecorded(base::RequestId id) {
  const std::string key = OriginKey(id);
  const Millis deadline = clock_.Now() + kMaxRecordWait;
  for (;;) {
    const auto found = kept_.find(key);
    const Millis left = deadline - clock_.Now();
    const bool may_mislead = found != kept_.end() &&
                             found->second.sequence > 0 &&
                             !found->second.recorded;
    if (!may_mislead || left <= Millis(0)) {
      co_return;
    }
    co_await recorded_.WaitFor(left);
  }
}

void StreamOrigins::End(const base::RequestId& id) {
  const auto found = kept_.find(OriginKey(id));
  if (found != kept_.end()) {
    found->second.keep_until =
        std::min(found->second.keep_until, clock_.Now() + kEndedKeptFor);
  }
}

Task<StreamOrigins::Found> StreamOrigins::Find(base::RequestId id,
                                               Millis longest) {
  Found found;
  if (id.empty()) {
    co_return found;
  }
  const std::string key = OriginKey(id);
  if (const auto kept = kept_.find(key); kept != kept_.end()) {
    found.origin = kept->second.origin;
    found.source = OriginSource::kOwn;
    co_return found;
  }
  const bool read = co_await reader_.Read(std::min(longest, kMaxReadTime));
  if (read) {
    found.origin = reader_.Find(key);
  }
  if (found.origin) {
    found.source = OriginSource::kStore;
  }
  co_return found;
}

Task<void> StreamOrigins::Keep() {
  for (;;) {
    co_await FindLeftovers();
    Expire();
    CheckStoreEra();
    if (!HasCall()) {
      co_await queued_.WaitFor(kCheckInterval);
      continue;
    }
    if (!TakeCall()) {
      const double per_second =
          std::max(hooks_.calls_per_second(), kMinCallsPerSecond);
      constexpr double kMsPerSecond = 1000;
      co_await base::SleepFor(Millis(
          1 +
          static_cast<int64_t>((1 - calls_left_) * kMsPerSecond / per_second)));
      continue;
    }
    co_await WriteBatch();
  }
}

Task<void> StreamOrigins::FindLeftovers() {
  const Millis now = clock_.Now();
  if (now - searched_at_ < kSearchInterval || !hooks_.removes_leftovers()) {
    co_return;
  }
  searched_at_ = now;
  // What it finds is removed once the origins are checked; a failure is logged
  // by the reader.
  (void)co_await reader_.Read(kMaxReadTime);
}

void StreamOrigins::Expire() {
  const Millis now = clock_.Now();
  if (now - checked_at_ < kCheckInterval) {
    return;
  }
  checked_at_ = now;
  for (auto kept = kept_.begin(); kept != kept_.end();) {
    if (kept->second.keep_until > now) {
      ++kept;
      continue;
    }
    QueueRemovals(kept->first, kept->second);
    unwritten_.erase(kept->first);
    kept = kept_.erase(kept);
  }
  QueueLeftovers();
  if (not_kept_ > 0) {
    Emit(Event::kStreamOriginsFull,
         {{"streams", absl::StrCat(std::exchange(not_kept_, 0))}});
  }
}

void StreamOrigins::QueueRemovals(const std::string& key, const Kept& kept) {
  const int records = kept.sequence + (kept.sent ? 1 : 0);
  for (int sequence = 0; sequence < records && removals_.size() < kMaxRemovals;
       ++sequence) {
    removals_.insert(OriginRecordKey(key, sequence));
  }
}

void StreamOrigins::QueueLeftovers() {
  std::vector<std::string> leftovers = reader_.TakeLeftovers();
  if (hooks_.removes_leftovers()) {
    removals_.insert(std::make_move_iterator(leftovers.begin()),
                     std::make_move_iterator(leftovers.end()));
  }
}

void StreamOrigins::CheckStoreEra() {
  const std::optional<int64_t> era = store_.Era();
  if (!era || era == era_) {
    return;
  }
  const bool is_restored = era_.has_value();
  era_ = era;
  if (!is_restored) {
    return;
  }
  for (auto& [key, kept] : kept_) {
    kept.recorded = false;
    unwritten_.insert(key);
  }
}

bool StreamOrigins::HasCall() const {
  return !unwritten_.empty() ||
         (!removals_.empty() && clock_.Now() - called_at_ >= kRemovalInterval);
}

bool StreamOrigins::TakeCall() {
  const Millis now = clock_.Now();
  const double per_second = hooks_.calls_per_second();
  calls_left_ = std::min(
      kBurstCalls, calls_left_ + (now - calls_counted_at_).seconds() *
                                     std::max(per_second, kMinCallsPerSecond));
  calls_counted_at_ = now;
  if (calls_left_ < 1) {
    return false;
  }
  calls_left_ -= 1;
  called_at_ = now;
  return true;
}

StreamOrigins::Batch StreamOrigins::TakeBatch(std::vector<SentRecord>* sent) {
  Batch batch;
  size_t bytes = 0;
  const auto has_room = [&batch, &bytes] {
    return batch.size() < kMaxBatchRecords && bytes < kMaxBatchBytes;
  };
  while (!unwritten_.empty() && has_room()) {
    const std::string key =
        std::move(unwritten_.extract(unwritten_.begin()).value());
    Kept& kept = kept_.at(key);
    kept.sent = true;
    sent->push_back({key, kept.sequence});
    batch.push_back({OriginRecordKey(key, kept.sequence), false,
                     kept.origin.pool, kept.origin.version, kept.begun_at});
    bytes += key.size() + kept.origin.pool.value().size() +
             kept.origin.version.value().size();
  }
  while (!removals_.empty() && has_room()) {
    store::StreamOriginChange& removal = batch.emplace_back();
    removal.key = std::move(removals_.extract(removals_.begin()).value());
    removal.removed = true;
    bytes += removal.key.size();
  }
  return batch;
}

Task<void> StreamOrigins::WriteBatch() {
  std::vector<SentRecord> sent;
  Batch batch = TakeBatch(&sent);
  std::vector<std::string> removed;
  for (const store::StreamOriginChange& change : batch) {
    if (change.removed) {
      removed.push_back(change.key);
    }
  }
  const absl::Status written = co_await store_.WriteOrigins(std::move(batch));
  RecordResult(sent, written.ok());
  if (written.ok()) {
    backoff_.Reset();
    co_return;
  }
  removals_.insert(removed.begin(), removed.end());
  Emit(Event::kStreamOriginsNotWritten,
       {{"streams", absl::StrCat(sent.size())},
        {"reason", std::string(written.message())}});
  co_await base::SleepFor(backoff_.Next(kMaxRetryPause));
}

void StreamOrigins::RecordResult(const std::vector<SentRecord>& sent,
                                 bool written) {
  for (const SentRecord& record : sent) {
    const auto kept = kept_.find(record.key);
    if (kept == kept_.end() || kept->second.sequence != record.sequence) {
      continue;
    }
    if (written) {
      kept->second.recorded = true;
    } else {
      unwritten_.insert(record.key);
    }
  }
  recorded_.NotifyAll();
}

}  // namespace dandelion::relay
