#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/task.h"
#include "http/client.h"
#include "relay/attempt_rules.h"
#include "relay/dialect.h"

namespace dandelion::relay {

/// One request on its way to one upstream.
struct UpstreamCall {
  boost::asio::ip::tcp::endpoint address;
  http::Request request;
  base::RequestId id;
  base::Millis connect_timeout{0};
  /// Until the answer's head.
  base::Millis answer_timeout{0};
  /// Told of the connection while it is open, so that it can be closed from
  /// outside.
  std::function<void(http::Connection*)> on_connection;
};

/// How a call ended. With `kAnswered` the connection stands after the head.
struct UpstreamReply {
  SendEnd end = SendEnd::kNotSent;
  std::unique_ptr<http::Connection> connection;
  http::Response head;
  AnswerHead answer;
  /// Why it was not answered.
  std::string reason;
};

/// Sends the request on a connection of its own and reads the head of the
/// answer. Answers to other requests are skipped: they arrive late on a
/// connection that something between the two ends has shared.
base::Task<UpstreamReply> CallUpstream(const Dialect& dialect,
                                       UpstreamCall call);

}  // namespace dandelion::relay
