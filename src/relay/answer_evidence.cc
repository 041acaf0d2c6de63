#include "relay/answer_evidence.h"

#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "relay/send_once.h"
#include "telemetry/events.h"

namespace dandelion::relay {

using admission::BreakStage;
using base::Millis;
using telemetry::Emit;
using telemetry::Event;

AnswerEvidence::AnswerEvidence(const ForwardServices& services,
                               ForwardCallPtr call,
                               base::UpstreamId upstream)
    : services_(services),
      call_(std::move(call)),
      upstream_(std::move(upstream)) {}

void AnswerEvidence::RecordFailedRead(const http::Connection& connection) {
  if (!connection.EndedByPeer()) {
    RecordOwnEnd();
  }
}

void AnswerEvidence::RecordContent(Millis now) {
  ++pieces_;
  if (now - head_at_.value_or(now) >= kSoundAnswerTime) {
    RecordSound(now);
  }
}

void AnswerEvidence::RecordComplete(Millis now) {
  RecordSound(now);
}

void AnswerEvidence::RecordSound(Millis now) {
  if (!sound_) {
    sound_ = true;
    services_.quarantine.RecordSound(call_->admitted.caller.shared_parts, now);
  }
}

bool AnswerEvidence::RecordBreak(const std::string& reason, Millis now) {
  const std::vector<base::PartId>& parts = call_->admitted.caller.shared_parts;
  const Millis head_age = now - head_at_.value_or(now);
  const bool begun = ended_in_head_ || head_at_;
  Emit(Event::kRunBroken, {{"request", call_->admitted.caller.id.value()},
                           {"upstream", upstream_.value()},
                           {"begun", begun ? "1" : "0"},
                           {"head", head_at_ ? "1" : "0"},
                           {"head_age_ms", absl::StrCat(head_age.count())},
                           {"events", absl::StrCat(pieces_)},
                           {"shared_parts", JoinPartIds(parts)},
                           {"reason", reason}});
  if (ended_from_here_) {
    return false;
  }
  if (begun && pieces_ == 0) {
    services_.quarantine.RecordBreak(upstream_, parts, now, BreakStage::kBegun);
    return services_.quarantine.IsSuspect(parts, now);
  }
  if (begun && !sound_ && head_age < kSoundAnswerTime) {
    services_.quarantine.RecordBreak(upstream_, parts, now,
                                     BreakStage::kContentSent);
  }
  return false;
}

}  // namespace dandelion::relay
