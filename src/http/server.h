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

/// Limits that keep one caller from using up the process.
struct ServerLimits {
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 4 * 1024 * 1024;
  base::Millis header_timeout = base::Millis(10'000);
  base::Millis body_timeout = base::Millis(30'000);
  base::Millis idle_timeout = base::Millis(60'000);
  /// A caller that takes no bytes for this long is disconnected.
  base::Millis write_timeout = base::Millis(30'000);
  size_t connections = 4096;
  size_t connections_per_address = 2048;
};

/// One request and the means to answer it. Answer with either `Respond`, or
/// `StartStream`, `Write` and `Finish`.
class Exchange {
 public:
  virtual ~Exchange() = default;

  virtual const Request& request() const = 0;
  /// Sends a whole answer. Fails if the caller has gone.
  virtual base::Task<absl::Status> Respond(Response response) = 0;
  /// Sends the head of an answer whose body follows in pieces. The body is
  /// framed by the head's `Content-Length` if it has one, else by chunks.
  virtual base::Task<absl::Status> StartStream(Response head) = 0;
  /// Sends a piece. Fails if the caller has gone or takes no bytes.
  virtual base::Task<absl::Status> Write(std::string_view chunk) = 0;
  /// Ends the answer.
  virtual base::Task<absl::Status> Finish() = 0;
  /// Calls `gone` once if the caller leaves before its answer has ended. A
  /// caller that sends its next request early can't be seen leaving.
  virtual void OnCallerGone(std::function<void()> gone) = 0;
  /// Closes the connection, so that the caller sees a truncated answer.
  virtual void Abort() = 0;
  /// Keeps the connection open for good without sending anything more.
  virtual void FallSilent() = 0;
};

using Handler = std::function<base::Task<void>(Exchange&)>;

/// An HTTP/1.1 server; one task per connection.
class Server {
 public:
  Server(const base::Executor& executor, ServerLimits limits, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Binds to `endpoint`; connections are refused until `Accept`. Port 0 takes
  /// a free port.
  absl::Status Bind(const boost::asio::ip::tcp::endpoint& endpoint);
  /// Starts to accept.
  absl::Status Accept();
  /// Binds and accepts.
  absl::Status Listen(const boost::asio::ip::tcp::endpoint& endpoint);
  unsigned short port() const;

  /// Limits for everything that is read from now on.
  void SetLimits(const ServerLimits& limits);
  /// Asks callers to open new connections elsewhere: every answer from now on
  /// closes its connection.
  void AnnounceClose();
  /// Takes what has already connected, then accepts no more.
  void StopAccepting();
  /// Closes connections that are between two requests.
  void CloseIdle();
  /// Closes every connection at once.
  void CloseAll();
  /// Exchanges in progress.
  size_t in_flight() const;
  size_t connections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

/// Parses "127.0.0.1:80". Fails if the host is not an IP number.
bool ParseEndpoint(std::string_view text,
                   boost::asio::ip::tcp::endpoint* endpoint);

}  // namespace dandelion::http
