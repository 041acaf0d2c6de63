#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "http/client.h"
#include "relay/forward_call.h"
#include "relay/forwarder.h"

namespace dandelion::relay {

/// Follows how far an upstream's answer to one send has come, and tells the
/// quarantine what its end says about the shared parts of the prompt. An engine
/// that crashes under a part does so as it begins to answer.
class AnswerEvidence {
 public:
  /// An engine that still sends an answer this long after its head did not
  /// crash because of the prompt.
  static constexpr base::Millis kSoundAnswerTime{500};

  /// `services` must outlive this object.
  AnswerEvidence(const ForwardServices& services,
                 ForwardCallPtr call,
                 base::UpstreamId upstream);

  /// Records that the upstream ended the connection within the head.
  void RecordEndInHead() { ended_in_head_ = true; }
  /// Records that the complete head has arrived.
  void RecordHead(base::Millis now) { head_at_ = now; }
  /// Records that this daemon ended the answer, whose end is no evidence then.
  void RecordOwnEnd() { ended_from_here_ = true; }
  /// Records that reading the answer failed. That is evidence only if the
  /// upstream ended the connection, not if the bytes were no answer.
  void RecordFailedRead(const http::Connection& connection);
  /// Records that an event, or a piece of a plain body, has arrived.
  void RecordContent(base::Millis now);
  /// Records that the answer is complete and a success.
  void RecordComplete(base::Millis now);
  /// Records that the upstream broke the answer off for `reason`, which is
  /// written to the log. Returns whether a part of the prompt is the likely
  /// cause, so that the request should not be sent to a second engine: the
  /// answer had begun, but no content had arrived.
  bool RecordBreak(const std::string& reason, base::Millis now);

 private:
  void RecordSound(base::Millis now);

  const ForwardServices& services_;
  ForwardCallPtr call_;
  base::UpstreamId upstream_;
  bool ended_in_head_ = false;
  bool ended_from_here_ = false;
  std::optional<base::Millis> head_at_;
  int64_t pieces_ = 0;
  /// The engine kept running after it began to answer.
  bool sound_ = false;
};

}  // namespace dandelion::relay
