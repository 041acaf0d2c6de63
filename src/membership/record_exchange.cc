#include "membership/record_exchange.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace dandelion::membership {
namespace {

using base::HostId;
using base::Millis;
using store::kAllTopics;
using store::Topic;
using store::TopicReplica;
using store::Update;

// An update that is sent to peers at once, instead of announced, may take the
// link of the host for this long beside the callers.
constexpr Millis kBroadcastTime{2000};

size_t IndexOf(Topic topic) {
  return static_cast<size_t>(topic);
}

void EncodeUpdate(const Update& update,
                  Topic topic,
                  Millis verification_age,
                  proto::TopicUpdate* out) {
  out->set_topic(static_cast<int>(topic));
  out->set_from(update.from);
  out->set_to(update.to);
  out->set_snapshot(update.snapshot);
  out->set_proof_age_ms(verification_age.count());
  for (const store::Record& record : update.records) {
    proto::TopicRecord* to = out->add_records();
    to->set_key(record.key);
    to->set_value(record.value);
    to->set_removed(record.removed);
    to->set_offset(record.offset);
  }
}

Update DecodeUpdate(const proto::TopicUpdate& in) {
  Update update;
  update.from = in.from();
  update.to = in.to();
  update.snapshot = in.snapshot();
  for (const proto::TopicRecord& record : in.records()) {
    update.records.push_back(
        {record.key(), record.value(), record.removed(), record.offset()});
  }
  return update;
}

int64_t RandomTimestampBase() {
  std::random_device random;
  std::uniform_int_distribution<int64_t> any(1, INT64_C(1) << 60);
  return any(random);
}

}  // namespace

TimestampSource::TimestampSource(base::Clock clock)
    : clock_(std::move(clock)),
      started_at_(clock_.Now()),
      base_(RandomTimestampBase()) {}

int64_t TimestampSource::Make() const {
  return base_ + clock_.Now().count();
}

std::optional<Millis> TimestampSource::Resolve(int64_t timestamp) const {
  const Millis at(timestamp - base_);
  if (at < started_at_ || at > clock_.Now()) {
    return std::nullopt;
  }
  return at;
}

RecordExchange::RecordExchange(HostId self,
                               base::Clock clock,
                               int64_t answer_bytes_per_second,
                               Hooks hooks)
    : self_(std::move(self)),
      clock_(std::move(clock)),
      hooks_(std::move(hooks)),
      answer_budget_(answer_bytes_per_second) {}

void RecordExchange::AddPositions(proto::FleetBeat* heartbeat) const {
  for (const Topic topic : kAllTopics) {
    const TopicReplica& replica = hooks_.replica(topic);
    if (!replica.started()) {
      continue;
    }
    Update position_update;
    position_update.from =
        std::min(changes_end_[IndexOf(topic)], replica.position());
    position_update.to = replica.position();
    proto::TopicUpdate* out = heartbeat->add_updates();
    EncodeUpdate(position_update, topic, replica.VerificationAge(clock_.Now()),
                 out);
    out->set_key_digest(replica.key_digest());
  }
}

void RecordExchange::Apply(const HostId& from,
                           const proto::FleetBeat& heartbeat,
                           Millis earliest_sent_at) {
  bool behind = false;
  bool digest_differs = false;
  for (const proto::TopicUpdate& in : heartbeat.updates()) {
    if (in.topic() < 0 || in.topic() >= static_cast<int>(store::kTopicCount)) {
      continue;  // The peer is newer and has topics unknown to this version.
    }
    behind = ApplyUpdate(from, in, earliest_sent_at, &digest_differs) || behind;
  }
  const bool incomplete = behind || digest_differs;
  if (incomplete) {
    ahead_.insert(from);
  } else {
    ahead_.erase(from);
  }
  if (heartbeat.answers_pull()) {
    pulls_.OnAnswer(from, !incomplete, clock_.Now());
  }
  if (!incomplete) {
    return;
  }
  if (heartbeat.answers_pull()) {
    PullFromAnother();
  } else {
    Pull(from, digest_differs);
  }
}

bool RecordExchange::ApplyUpdate(const HostId& from,
                                 const proto::TopicUpdate& in,
                                 Millis earliest_sent_at,
                                 bool* digest_differs) {
  const auto topic = static_cast<Topic>(in.topic());
  const Update update = DecodeUpdate(in);
  const bool gap =
      !update.snapshot && hooks_.replica(topic).LeavesGap(update.from);
  if (gap && update.records.empty()) {
    RecordProgress(topic, update.from);
    return true;
  }
  hooks_.on_update(from, topic, update,
                   earliest_sent_at - base::AgeFromPeer(in.proof_age_ms()));
  RecordProgress(topic, update.from);
  const TopicReplica& replica = hooks_.replica(topic);
  if (in.key_digest() != 0 && update.to == replica.position() &&
      in.key_digest() != replica.key_digest()) {
    *digest_differs = true;
  }
  return gap;
}

void RecordExchange::RecordProgress(Topic topic, int64_t end) {
  Progress& progress = progress_[IndexOf(topic)];
  progress.end = std::max(progress.end, end);
  if (!hooks_.replica(topic).LeavesGap(progress.end)) {
    progress.behind_since.reset();
  } else if (!progress.behind_since) {
    progress.behind_since = clock_.Now();
  }
}

bool RecordExchange::IsBehind(Topic topic, Millis patience) const {
  const Progress& progress = progress_[IndexOf(topic)];
  return progress.behind_since &&
         clock_.Now() - *progress.behind_since > patience &&
         hooks_.replica(topic).LeavesGap(progress.end);
}

void RecordExchange::PullFromAnother() {
  std::vector<HostId> candidates;
  for (const HostId& peer : ahead_) {
    if (!pulls_.IsTurnedAway(peer, clock_.Now())) {
      candidates.push_back(peer);
    }
  }
  if (candidates.empty()) {
    return;
  }
  // Daemons that ask at the same time choose different peers.
  const size_t choice =
      std::hash<std::string>()(self_.value()) + pulls_asked_elsewhere_++;
  Pull(candidates[choice % candidates.size()], false);
}

void RecordExchange::Pull(const HostId& from, bool complete) {
  if (!pulls_.TryStart(from, clock_.Now())) {
    return;
  }
  proto::FleetPull pull;
  for (const Topic topic : kAllTopics) {
    const TopicReplica& replica = hooks_.replica(topic);
    pull.add_positions(replica.started() && !complete ? replica.position()
                                                      : -1);
  }
  hooks_.send_pull(from, pull);
}

void RecordExchange::AddMissingRecords(const proto::FleetPull& pull,
                                       proto::FleetBeat* heartbeat) {
  const Millis now = clock_.Now();
  heartbeat->set_answers_pull(true);
  heartbeat->clear_updates();
  for (const Topic topic : kAllTopics) {
    const TopicReplica& replica = hooks_.replica(topic);
    const int index = static_cast<int>(topic);
    if (!replica.started() || index >= pull.positions_size()) {
      continue;
    }
    const int64_t position = pull.positions(index);
    const bool complete =
        position < replica.position() - TopicReplica::kRemovalRetention ||
        position < 0;
    EncodeUpdate(
        complete ? replica.MakeSnapshot() : replica.UpdateFrom(position), topic,
        replica.VerificationAge(now), heartbeat->add_updates());
  }
  answer_budget_.Spend(heartbeat->ByteSizeLong(), now);
}

Update RecordExchange::ExtendToLastChange(Topic topic, Update update) const {
  if (!update.snapshot) {
    update.from = std::min(update.from, changes_end_[IndexOf(topic)]);
  }
  return update;
}

std::optional<proto::TopicUpdate> RecordExchange::EncodeChange(
    Topic topic,
    const Update& update,
    size_t receivers) {
  for (const store::Record& record : update.records) {
    MarkChange(topic, record.offset);
  }
  proto::TopicUpdate encoded;
  EncodeUpdate(update, topic,
               hooks_.replica(topic).VerificationAge(clock_.Now()), &encoded);
  const bool fills_link = encoded.ByteSizeLong() * receivers >
                          answer_budget_.BytesIn(kBroadcastTime);
  if (update.snapshot || fills_link) {
    return std::nullopt;
  }
  return encoded;
}

void RecordExchange::MarkChange(Topic topic, int64_t offset) {
  int64_t& end = changes_end_[IndexOf(topic)];
  end = std::max(end, offset + 1);
}

}  // namespace dandelion::membership
