#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "base/clock.h"
#include "base/task.h"
#include "http/message.h"

namespace dandelion::http {

/// Limits that keep a single caller from exhausting the server's resources.
struct ServerLimits {
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 4 * 1024 * 1024;
  base::Millis header_timeout = base::Millis(10'000);
  base::Millis body_timeout = base::Millis(30'000);
  /// Limit of the wait for the first byte of a request; the connection is then
  /// closed.
  base::Millis idle_timeout = base::Millis(60'000);
  /// A caller that does not accept a write within this time is disconnected.
  base::Millis write_timeout = base::Millis(30'000);
  /// Open connections. At the limit, or without a free descriptor, the one that
  /// has waited longest for another request is closed to make room. At the
  /// limit, one that waits for the rest of its request may be closed, too.
  size_t connections = 4096;
  size_t connections_per_address = 2048;
  /// Memory for all requests that arrive or are in progress and for answers
  /// that callers have not taken. Without room for more, an arriving request is
  /// refused, or the connection of a caller that does not read its answer is
  /// closed; see `RequestMemory`.
  size_t request_memory_bytes = size_t{48} * 1000 * 1000;
};

/// A request and the means to respond to it: either `Respond`, or
/// `StartStream`, `Write` and `Finish`.
class Exchange {
 public:
  virtual ~Exchange() = default;

  virtual const Request& request() const = 0;
  /// Sends a complete response. Fails if the caller has disconnected.
  virtual base::Task<absl::Status> Respond(Response response) = 0;
  /// Sends the head of a response whose body follows in pieces. The body is
  /// chunked unless the head has a `Content-Length`; for a caller older than
  /// HTTP/1.1 the end of the connection ends it instead.
  virtual base::Task<absl::Status> StartStream(Response head) = 0;
  /// Sends a piece of the body. Fails if the caller has disconnected or does
  /// not accept the piece within the write timeout.
  virtual base::Task<absl::Status> Write(std::string_view chunk) = 0;
  /// Ends a response that `StartStream` began. Fails if the caller has
  /// disconnected.
  virtual base::Task<absl::Status> Finish() = 0;
  /// Accounts for `bytes` of the answer that are held for the caller, beside
  /// what the system holds until the caller takes it. Returns false if there is
  /// no room for them, or if the connection had to make room; no more should be
  /// held then. `Respond` and `Write` account for what they are given.
  virtual bool HoldAnswer(size_t bytes) = 0;
  /// Calls `callback` once if the caller disconnects before its response has
  /// ended. The disconnect of a caller that has already sent its next request
  /// is not detected.
  virtual void OnCallerDisconnect(std::function<void()> callback) = 0;
  /// Closes the connection, so that the caller sees a truncated response.
  virtual void Abort() = 0;
  /// Once the handler returns, keeps the connection open without sending or
  /// reading anything more. Simulates an unresponsive server.
  virtual void HoldOpen() = 0;
};

/// Callbacks on what becomes of connections. Any may be empty.
struct ServerHooks {
  std::function<void()> on_accepted;
  /// The server is at one of its limits and rejects a connection.
  std::function<void()> on_rejected;
  /// A connection was closed that had waited too long for a request, or for the
  /// rest of one, to make room for another.
  std::function<void()> on_displaced;
  /// A request that held `held_bytes` was refused for want of memory, while all
  /// requests held `used_bytes`.
  std::function<void(size_t held_bytes, size_t used_bytes)> on_memory_refused;
  /// Accepting began to fail, with the system's error.
  std::function<void(std::string_view reason)> on_accept_failed;
  /// The handler of a request has thrown; its connection is closed.
  std::function<void(std::string_view reason)> on_handler_failed;
  /// Accepting works again, `failed_for` after it began to fail.
  std::function<void(base::Millis failed_for)> on_accept_resumed;
};

/// Called for each request, one request at a time per connection. The exchange
/// is valid until the handler's task ends.
using Handler = std::function<base::Task<void>(Exchange&)>;

/// An HTTP/1.1 server that runs one task per connection.
class Server {
 public:
  Server(const base::Executor& executor,
         ServerLimits limits,
         Handler handler,
         ServerHooks hooks = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Binds to `endpoint`; port 0 selects a free port. Connections are refused
  /// until `StartAccepting`. Fails with `kInvalidSettings`.
  absl::Status Bind(const boost::asio::ip::tcp::endpoint& endpoint);
  /// Starts to listen and accept connections. Fails with `kInvalidSettings`.
  absl::Status StartAccepting();
  /// Calls `Bind`, then `StartAccepting`.
  absl::Status BindAndAccept(const boost::asio::ip::tcp::endpoint& endpoint);
  /// The port that `Bind` bound to.
  unsigned short port() const;

  /// Replaces the limits. Open connections use them from their next operation
  /// on.
  void SetLimits(const ServerLimits& limits);
  /// Closes each connection after the response to the next request that arrives
  /// on it, so that callers open new connections elsewhere.
  void DisableKeepAlive();
  /// Accepts the connections that are already established, then stops
  /// accepting.
  void StopAccepting();
  /// Closes the connections that are between two requests. New ones stay open,
  /// as their first request may be on its way.
  void CloseIdle();
  /// Closes every connection immediately, also during a request.
  void CloseAll();
  /// Number of requests that are arriving or in progress.
  size_t in_flight() const;
  /// Number of requests that have begun to arrive and are not complete.
  size_t arriving() const;
  /// Number of open connections.
  size_t connections() const;
  /// Bytes that requests hold which arrive or are in progress.
  size_t request_memory() const;
  /// Whether new connections are taken: the server listens, accepting does not
  /// fail, and there is room or a connection that can be closed to make some.
  /// Readiness must depend on it.
  bool CanAccept() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

/// Parses an IP address and port such as "127.0.0.1:80" into `endpoint`.
/// Returns false and leaves `endpoint` unchanged for anything else; host names
/// are not resolved.
bool ParseEndpoint(std::string_view text,
                   boost::asio::ip::tcp::endpoint* endpoint);

}  // namespace dandelion::http
