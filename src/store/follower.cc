#include "store/follower.h"

#include <algorithm>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "store/retry_backoff.h"
#include "telemetry/events.h"

namespace dandelion::store {

using base::Millis;
using base::Task;
using telemetry::Emit;
using telemetry::Event;

Follower::Follower(base::Clock clock, MetadataStore& store, Hooks hooks)
    : clock_(std::move(clock)), store_(store), hooks_(std::move(hooks)) {}

Task<void> Follower::FollowTopic(Topic topic) {
  RetryBackoff backoff(std::random_device{}());
  for (;;) {
    NoteEra(topic);
    if (!hooks_.should_read(topic)) {
      ForgetReads(topic);
      co_await base::SleepFor(kIdlePollInterval);
      continue;
    }
    const bool read = co_await ReadOnce(topic);
    if (!read) {
      co_await base::SleepFor(
          backoff.Next(MaxRetryPause(topic, hooks_.is_delegate())));
      continue;
    }
    backoff.Reset();
    if (topic == Topic::kUpstreams) {
      co_await base::SleepFor(kUpstreamsReadInterval);
    }
  }
}

Millis Follower::MaxRetryPause(Topic topic, bool is_delegate) {
  if (is_delegate) {
    return kMaxRetryPause;
  }
  return topic == Topic::kOperator ? kMaxOperatorRetryPauseOfOthers
                                   : kMaxRetryPauseOfOthers;
}

void Follower::NoteEra(Topic topic) {
  const TopicReplica& replica = hooks_.replica(topic);
  if (!replica.started()) {
    return;
  }
  std::optional<int64_t>& known = eras_[static_cast<size_t>(topic)];
  const int64_t era = EraOf(replica.position());
  if (known && era > *known) {
    reread_at_[static_cast<size_t>(topic)] = clock_.Now() + kRewriteTime;
  }
  known = era;
}

void Follower::ForgetReads(Topic topic) {
  const auto index = static_cast<size_t>(topic);
  is_slow_[index] = false;
  // The reader has read all keys by then.
  if (reread_at_[index] && clock_.Now() - *reread_at_[index] > kRewriteTime) {
    reread_at_[index].reset();
  }
}

Task<absl::StatusOr<Update>> Follower::ReadAll(Topic topic) {
  absl::StatusOr<Update> all = co_await store_.ReadNewest(topic);
  const TopicReplica& replica = hooks_.replica(topic);
  if (!all.ok() || !replica.started()) {
    co_return all;
  }
  const int64_t era = EraOf(replica.position());
  if (EraOf(all->to) < era) {
    co_return base::MakeError(
        base::ErrorKind::kPlatformUnreachable,
        "the store answered from before it came back from a copy",
        "check whether there are two stores; the read is repeated");
  }
  all->incomplete = all->incomplete || EraOf(all->to) > era;
  co_return all;
}

Task<absl::StatusOr<Update>> Follower::Read(Topic topic, Millis wait) {
  const TopicReplica& replica = hooks_.replica(topic);
  std::optional<Millis>& reread_at = reread_at_[static_cast<size_t>(topic)];
  if (!replica.started() || (reread_at && clock_.Now() >= *reread_at)) {
    absl::StatusOr<Update> all = co_await ReadAll(topic);
    if (all.ok()) {
      reread_at.reset();
    }
    co_return all;
  }
  absl::StatusOr<Update> update =
      co_await store_.ReadFrom(topic, replica.position(), wait);
  if (base::KindOf(update.status()) != base::ErrorKind::kConflict) {
    co_return update;
  }
  Emit(Event::kStoreGap,
       {{"topic", std::string(ToString(topic))},
        {"position", absl::StrCat(OffsetInEra(replica.position()))},
        {"era", absl::StrCat(EraOf(replica.position()))}});
  co_return co_await ReadAll(topic);
}

Task<bool> Follower::ReadOnce(Topic topic) {
  const TopicReplica& replica = hooks_.replica(topic);
  const Millis sent_at = clock_.Now();
  const Millis wait =
      topic == Topic::kOperator ? kOperatorLongPoll : kUpstreamsLongPoll;
  const absl::StatusOr<Update> update = co_await Read(topic, wait);
  RecordReachability(topic, update.status());
  const auto index = static_cast<size_t>(topic);
  is_slow_[index] = clock_.Now() - sent_at > wait + kSlowAnswerThreshold;
  if (!update.ok()) {
    co_return false;
  }
  read_at_[index] = clock_.Now();
  hooks_.on_update(topic, *update,
                   update->partial ? replica.verified_at() : sent_at);
  co_return true;
}

bool Follower::HasRecentRead(Topic topic) const {
  const std::optional<Millis>& read_at = read_at_[static_cast<size_t>(topic)];
  return read_at && clock_.Now() - *read_at < kMaxReadAge;
}

bool Follower::is_store_slow() const {
  return std::find(is_slow_.begin(), is_slow_.end(), true) != is_slow_.end();
}

void Follower::RecordReachability(Topic topic, const absl::Status& status) {
  std::string& failure = failures_[static_cast<size_t>(topic)];
  const std::string reason(status.message());
  if (status.ok() ? failure.empty() : failure == reason) {
    return;
  }
  failure = reason;
  if (status.ok()) {
    Emit(Event::kStoreBack, {{"topic", std::string(ToString(topic))}});
  } else {
    Emit(Event::kStoreLost,
         {{"topic", std::string(ToString(topic))}, {"reason", reason}});
  }
}

}  // namespace dandelion::store
