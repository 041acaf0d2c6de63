#include "relay/forward_call.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace dandelion::relay {

using base::Millis;

ForwardCall::ForwardCall(const base::Executor& executor,
                         http::Exchange& exchange,
                         AdmittedRequest admitted,
                         Millis arrived)
    : exchange(exchange),
      admitted(std::move(admitted)),
      arrived(arrived),
      wake(executor),
      deadline_timer_(executor) {}

void ForwardCall::Watch(Millis now) {
  const std::weak_ptr<ForwardCall> weak = weak_from_this();
  exchange.OnCallerDisconnect([weak] {
    if (const ForwardCallPtr self = weak.lock()) {
      self->caller_gone_ = true;
      self->Stop();
    }
  });
  const Millis left = std::max(Millis(0), deadline() - now);
  deadline_timer_.expires_after(std::chrono::milliseconds(left.count()));
  deadline_timer_.async_wait([weak](const boost::system::error_code& error) {
    const ForwardCallPtr self = weak.lock();
    if (!error && self) {
      self->timed_out_ = true;
      self->Stop();
    }
  });
}

Millis ForwardCall::OperationTimeout(Millis now) const {
  constexpr Millis kDeadlineGrace{1000};
  return std::max(Millis(0), deadline() - now) + kDeadlineGrace;
}

void ForwardCall::Stop() {
  if (finished_) {
    return;
  }
  wake.cancel();
  if (connection_) {
    connection_->Close();
  }
}

void ForwardCall::Finish() {
  finished_ = true;
  connection_ = nullptr;
  deadline_timer_.cancel();
}

void ForwardCall::SetConnection(http::Connection* connection) {
  connection_ = connection;
  if (connection_ && ended()) {
    connection_->Close();
  }
}

SendOutcome ForwardCall::EndReasonOr(SendOutcome fallback) const {
  if (caller_gone_) {
    return SendOutcome::kCallerGone;
  }
  if (timed_out_) {
    return SendOutcome::kTimedOut;
  }
  return stopping_ ? SendOutcome::kStopping : fallback;
}

}  // namespace dandelion::relay
