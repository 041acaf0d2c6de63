#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "http/client.h"
#include "http/server.h"
#include "relay/attempt_rules.h"
#include "relay/request_admission.h"

namespace dandelion::relay {

/// State of one request that is being forwarded, and of the upstream connection
/// that currently serves it.
class ForwardCall : public std::enable_shared_from_this<ForwardCall> {
 public:
  ForwardCall(const base::Executor& executor,
              http::Exchange& exchange,
              AdmittedRequest admitted,
              base::Millis arrived);

  /// Starts to watch for the caller's disconnect and the deadline. Either
  /// closes the upstream connection and ends a wait for a place.
  void Watch(base::Millis now);
  /// Ends the call: disconnects and the deadline no longer have any effect.
  void Finish();

  /// Ends the call because the daemon stops: closes the upstream connection and
  /// ends a wait, so that the caller gets a final answer.
  void EndForStop() {
    stopping_ = true;
    Stop();
  }
  /// Ends a wait for a place; does nothing at any other time.
  void EndWait() { wake.cancel(); }

  /// Sets the connection to the upstream; null for none. It is closed at once
  /// if the call was already ended from outside.
  void SetConnection(http::Connection* connection);
  /// Returns `kCallerGone`, `kTimedOut` or `kStopping` if the caller
  /// disconnected, the deadline passed or the daemon stops, and `fallback` if
  /// none of these happened.
  SendOutcome EndReasonOr(SendOutcome fallback) const;
  /// Whether the call was ended from outside.
  bool ended() const { return caller_gone_ || timed_out_ || stopping_; }
  bool caller_gone() const { return caller_gone_; }
  /// Time by which the final answer is due.
  base::Millis deadline() const { return arrived + admitted.time_left; }
  /// Returns a timeout for one operation on the upstream connection. It ends
  /// after the deadline, so that a timeout is always reported by `EndReasonOr`.
  base::Millis OperationTimeout(base::Millis now) const;

  http::Exchange& exchange;
  const AdmittedRequest admitted;
  const base::Millis arrived;
  SendHistory history;
  /// Whether the head of the final answer was sent to the caller.
  bool answer_started = false;
  /// Whether it is a short generation or one with the highest priority.
  bool is_urgent = false;
  /// The pool to which it is sent.
  base::PoolName pool;
  /// Only at this version may it go on, if it takes up a stream.
  std::optional<base::SoftwareVersion> begun_at;
  /// Cancelled to end a wait for a place.
  boost::asio::steady_timer wake;

 private:
  void Stop();

  boost::asio::steady_timer deadline_timer_;
  http::Connection* connection_ = nullptr;
  bool caller_gone_ = false;
  bool timed_out_ = false;
  bool stopping_ = false;
  bool finished_ = false;
};

/// Result of forwarding a request.
struct ForwardResult {
  /// `kAnswered` if the caller was sent a complete answer, or one that was
  /// aborted after its start. With any other value nothing was sent.
  SendOutcome end = SendOutcome::kNotSent;
  /// Cause of a failure; empty if there was none.
  std::string reason;
  /// Predicted time until an upstream has capacity, if none had any and a
  /// prediction exists.
  std::optional<base::Millis> capacity_in;
  /// HTTP status that was sent to the caller; 0 if none was.
  int status = 0;
};

using ForwardCallPtr = std::shared_ptr<ForwardCall>;

}  // namespace dandelion::relay
