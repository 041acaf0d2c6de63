#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <optional>
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

/// A connection to a server. It carries one request and its response at a time.
class Connection {
 public:
  virtual ~Connection() = default;

  /// Sends `request` with `body` in place of its own body, and with a `Host`
  /// header for the endpoint unless it has one. Both must stay valid until the
  /// task ends. `MayHaveBeenSent` is true as soon as the first write is
  /// attempted.
  virtual base::Task<absl::Status> Send(const Request& request,
                                        std::string_view body,
                                        base::Millis timeout) = 0;
  /// Sends `request` with its own body.
  base::Task<absl::Status> Send(const Request& request, base::Millis timeout) {
    return Send(request, request.body, timeout);
  }
  /// Reads the status line and headers of the response; the returned body is
  /// empty. After a response has been read to its end, reads the head of the
  /// next one on the same connection. Interim responses are skipped. Fails with
  /// `kBadAnswer` if the head can't be an answer's: an invalid status code,
  /// a line that begins with a blank, an unknown transfer coding. A length that
  /// the server has written more than once stands once.
  virtual base::Task<absl::StatusOr<Response>> ReadHead(
      base::Millis timeout) = 0;
  /// Reads the next bytes of the body; an empty view marks its end. The view is
  /// valid until the next read. Fails if no byte of the body arrives within
  /// `timeout`, or if the connection was lost, also while the request was sent,
  /// before the end of the body.
  virtual base::Task<absl::StatusOr<std::string_view>> ReadSome(
      base::Millis timeout) = 0;
  /// Whether the body of the response has neither a length nor chunks, so that
  /// it ends with the connection.
  virtual bool BodyEndsWithConnection() const = 0;
  /// Whether the last read failed because the server ended the connection after
  /// the first byte of a response and before its last.
  virtual bool EndedByPeer() const = 0;
  /// Whether any byte of the request may have reached the server.
  virtual bool MayHaveBeenSent() const = 0;
  /// Whether a complete response was read and the connection may carry another
  /// request.
  virtual bool IsReusable() const = 0;
  /// Whether the peer has closed the connection, or has sent bytes that belong
  /// to no request.
  virtual bool HasUnexpectedInput() = 0;
  /// Fails the operation in progress and closes the connection.
  virtual void Close() = 0;
};

/// Connects to `endpoint`. Fails with `kConnectFailed`; nothing was sent then.
base::Task<absl::StatusOr<std::unique_ptr<Connection>>> Connect(
    boost::asio::ip::tcp::endpoint endpoint,
    base::Millis timeout);

class ConnectionGroup;

/// Limits of one `Client::Fetch`.
struct FetchLimits {
  base::Millis connect_timeout = base::Millis(500);
  /// Limit of each step: sending, reading the head, and each read of the body.
  base::Millis response_timeout = base::Millis(10'000);
  /// Limit of the whole exchange once connected.
  base::Millis total_timeout = base::Millis(60'000);
  /// A longer response body fails with `kTooLarge`.
  size_t body_bytes = 16 * 1024 * 1024;
  /// Opens a new connection instead of reusing an idle one. Set this for a
  /// request that must not be retried: the server may have closed an idle
  /// connection, and a send on it would fail with an unknown outcome.
  bool new_connection = false;
  /// Connections that have been idle for longer are closed, not reused: the way
  /// to the server may have broken without notice. Any are reused if unset.
  std::optional<base::Millis> max_idle;
  /// The group that the connection is in during the fetch; null for none.
  ConnectionGroup* group = nullptr;
};

/// The response to a fetch. If `may_have_been_sent` is false, no byte of the
/// request reached the server.
struct FetchResult {
  absl::StatusOr<Response> response;
  bool may_have_been_sent = false;
  /// The connection had carried other requests, so that the response may be a
  /// late one to one of them unless it names this request.
  bool reused_connection = false;
};

/// Fetches complete responses over a pool of keep-alive connections. A
/// connection on which a fetch failed is closed, never reused.
class Client {
 public:
  /// Sends `request` to `endpoint` and reads the complete response.
  base::Task<FetchResult> Fetch(boost::asio::ip::tcp::endpoint endpoint,
                                Request request,
                                FetchLimits limits);
  /// Returns an idle connection to `endpoint` if there is one, else a new one.
  /// Idle ones that are closed, on which something has arrived, or that have
  /// been idle for longer than `max_idle` are dropped.
  base::Task<absl::StatusOr<std::unique_ptr<Connection>>> AcquireConnection(
      boost::asio::ip::tcp::endpoint endpoint,
      base::Millis timeout,
      std::optional<base::Millis> max_idle = std::nullopt);
  /// Keeps `connection` for reuse, or closes it if it is not reusable or enough
  /// idle connections to `endpoint` are kept.
  void ReleaseConnection(const boost::asio::ip::tcp::endpoint& endpoint,
                         std::unique_ptr<Connection> connection);

 private:
  static constexpr size_t kMaxIdlePerEndpoint = 64;

  struct IdleConnection {
    std::unique_ptr<Connection> connection;
    base::Millis since;
  };
  std::unordered_map<std::string, std::vector<IdleConnection>>
      idle_connections_;
};

}  // namespace dandelion::http
