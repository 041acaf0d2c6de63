#include "routing/upstream_health.h"

#include <algorithm>

namespace dandelion::routing {
namespace {

using base::Millis;
using base::UpstreamId;

void Average(std::optional<double>* average, double value) {
  *average = *average
                 ? **average + UpstreamHealth::kNewest * (value - **average)
                 : value;
}

}  // namespace

void UpstreamHealth::Note(const UpstreamId& id, Outcome outcome, Millis now) {
  Record& record = records_[id];
  const bool good = outcome == Outcome::kGood;
  record.failure_share += kNewest * ((good ? 0.0 : 1.0) - record.failure_share);
  if (good) {
    record.failures_in_row = 0;
    record.ejections_in_row = 0;
    if (record.ejected_until) {
      record.ejected_until.reset();
      hooks_.on_readmit(id);
    }
    return;
  }
  ++record.failures_in_row;
  // A probe that fails ejects again at once.
  const bool probed = record.ejected_until && now >= *record.ejected_until;
  if (probed || record.failures_in_row >= kFailuresInRow) {
    Eject(id, record, now);
  }
}

void UpstreamHealth::Eject(const UpstreamId& id, Record& record, Millis now) {
  if (record.ejected_until && now < *record.ejected_until) {
    return;
  }
  const Millis time =
      std::min(kLongestEjection,
               kFirstEjection * (INT64_C(1) << record.ejections_in_row));
  record.ejections_in_row = std::min(record.ejections_in_row + 1, 4);
  record.ejected_until = now + time;
  hooks_.on_eject(id, time);
}

void UpstreamHealth::NoteAnswerTime(const UpstreamId& id, Millis time) {
  Average(&records_[id].answer_ms, static_cast<double>(time.count()));
}

void UpstreamHealth::NoteTokenTime(const UpstreamId& id, double milliseconds) {
  Average(&records_[id].token_ms, milliseconds);
}

void UpstreamHealth::NotePeerTokenTime(const UpstreamId& id,
                                       double milliseconds) {
  Average(&records_[id].peer_token_ms, milliseconds);
}

const UpstreamHealth::Record* UpstreamHealth::Find(const UpstreamId& id) const {
  const auto record = records_.find(id);
  return record == records_.end() ? nullptr : &record->second;
}

bool UpstreamHealth::Ejected(const UpstreamId& id, Millis now) const {
  const Record* record = Find(id);
  return record && record->ejected_until && now < *record->ejected_until;
}

double UpstreamHealth::FailureShare(const UpstreamId& id) const {
  const Record* record = Find(id);
  return record ? record->failure_share : 0;
}

std::optional<double> UpstreamHealth::AnswerMs(const UpstreamId& id) const {
  const Record* record = Find(id);
  return record ? record->answer_ms : std::nullopt;
}

std::optional<double> UpstreamHealth::OwnTokenMs(const UpstreamId& id) const {
  const Record* record = Find(id);
  return record ? record->token_ms : std::nullopt;
}

std::optional<double> UpstreamHealth::TokenMs(const UpstreamId& id) const {
  const Record* record = Find(id);
  if (!record) {
    return std::nullopt;
  }
  return record->token_ms ? record->token_ms : record->peer_token_ms;
}

}  // namespace dandelion::routing
