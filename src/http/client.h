#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/task.h"
#include "http/message.h"

namespace dandelion::http {

/// One connection to a server; carries one exchange at a time.
class Connection {
 public:
  virtual ~Connection() = default;

  /// Writes the request; a `Host` line of the request's own is kept.
  /// `MayHaveLeft` is true from before the first write.
  virtual base::Task<absl::Status> Send(const Request& request,
                                        base::Millis timeout) = 0;
  /// Reads the answer's head; the returned body is empty. After a whole answer
  /// it reads the head of the next one on the same connection.
  virtual base::Task<absl::StatusOr<Response>> ReadHead(
      base::Millis timeout) = 0;
  /// Reads some of the body; an empty view is its end. The view is valid until
  /// the next read. Fails if nothing arrives within `timeout`.
  virtual base::Task<absl::StatusOr<std::string_view>> ReadSome(
      base::Millis timeout) = 0;
  /// Whether any byte of the request may have reached the server.
  virtual bool MayHaveLeft() const = 0;
  /// Whether a whole answer was read and the connection may carry another.
  virtual bool Reusable() const = 0;
  /// Fails the operation in progress and closes the connection.
  virtual void Close() = 0;
};

/// Connects to `endpoint`. A failure proves that nothing was sent.
base::Task<absl::StatusOr<std::unique_ptr<Connection>>> Connect(
    boost::asio::ip::tcp::endpoint endpoint,
    base::Millis timeout);

/// Limits of one exchange with a whole answer.
struct FetchLimits {
  base::Millis connect_timeout = base::Millis(500);
  base::Millis answer_timeout = base::Millis(10'000);
  size_t body_bytes = 16 * 1024 * 1024;
  /// A connection that was used before may have gone stale; a request that
  /// must not be repeated goes out on a new one.
  bool fresh_connection = false;
};

/// The answer to a fetch, and whether the request may have been acted on.
struct FetchResult {
  absl::StatusOr<Response> response;
  bool may_have_left = false;
};

/// Fetches whole answers over kept-alive connections. A connection whose
/// exchange failed is closed, never reused.
class Client {
 public:
  base::Task<FetchResult> Fetch(boost::asio::ip::tcp::endpoint endpoint,
                                Request request,
                                FetchLimits limits);
  /// A kept connection if one is idle, else a new one.
  base::Task<absl::StatusOr<std::unique_ptr<Connection>>> Take(
      boost::asio::ip::tcp::endpoint endpoint,
      base::Millis timeout);
  /// Keeps `connection` for reuse if it allows that.
  void Put(const boost::asio::ip::tcp::endpoint& endpoint,
           std::unique_ptr<Connection> connection);

 private:
  static constexpr size_t kIdlePerEndpoint = 64;

  std::unordered_map<std::string, std::vector<std::unique_ptr<Connection>>>
      idle_;
};

}  // namespace dandelion::http
