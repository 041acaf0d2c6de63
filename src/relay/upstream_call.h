#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/task.h"
#include "http/client.h"
#include "relay/attempt_rules.h"
#include "relay/platform_protocol.h"

namespace dandelion::relay {

/// A request to one upstream.
struct UpstreamCall {
  boost::asio::ip::tcp::endpoint address;
  /// The upstream that the request is meant for.
  base::UpstreamId upstream;
  /// An upstream may refuse the request for its version of the weights.
  bool requires_version = false;
  /// The request's head.
  http::Request request;
  /// The request's body. Must stay valid until the call ends.
  std::string_view body;
  /// Answers that name another request are skipped, up to a limit.
  base::RequestId id;
  base::Millis connect_timeout{0};
  /// Timeout of each send or read until the answer's head has arrived.
  base::Millis response_timeout{0};
  /// Called with the connection once it is open, so that the call can be
  /// cancelled by closing it.
  std::function<void(http::Connection*)> on_connection;
};

/// Result of a call. With `kAnswered`, the next read from `connection` returns
/// the start of the body; with any other end the connection is closed.
struct UpstreamReply {
  SendOutcome end = SendOutcome::kNotSent;
  std::unique_ptr<http::Connection> connection;
  http::Response head;
  /// Whether `head` is that of an answer to the request.
  bool has_head = false;
  UpstreamResponseHead answer;
  /// Cause of any end other than `kAnswered`.
  std::string reason;
  /// The upstream ended the connection within the answer's head.
  bool ended_in_head = false;
};

/// Sends the request on a new connection and reads the head of the answer.
/// Answers to other requests are skipped: a proxy that shares connections
/// between requests may deliver them late.
base::Task<UpstreamReply> CallUpstream(const PlatformProtocol& protocol,
                                       UpstreamCall call);

}  // namespace dandelion::relay
