#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string_view>

#include "http/request_memory.h"
#include "http/server.h"

namespace dandelion::http::detail {

/// Returns the server's own answer to a request that was not run.
Response MakeRejection(int status,
                       std::string_view kind,
                       std::string_view remedy);
/// Returns the answer on a connection for which there is no room.
Response MakeTooManyConnections();

/// One accepted connection of a `Server`.
class Session : public Exchange, public std::enable_shared_from_this<Session> {
 public:
  /// `limits` must outlive the session.
  Session(boost::asio::ip::tcp::socket socket,
          boost::asio::ip::address remote,
          const ServerLimits& limits,
          std::shared_ptr<RequestMemory> memory);

  const Request& request() const override { return request_; }
  base::Task<absl::Status> Respond(Response response) override;
  base::Task<absl::Status> StartStream(Response head) override;
  base::Task<absl::Status> Write(std::string_view chunk) override;
  base::Task<absl::Status> Finish() override;
  bool HoldAnswer(size_t bytes) override;
  void OnCallerDisconnect(std::function<void()> callback) override;
  void Abort() override;
  void HoldOpen() override { unresponsive_ = true; }

  /// Reads requests and passes them to `handler` until the connection ends.
  /// `on_refused` is called with the bytes that a request held which was
  /// refused for want of memory.
  base::Task<void> ServeRequests(
      const Handler& handler,
      const bool& close_after_response,
      const std::function<void(size_t held_bytes)>& on_refused);

  /// Whether a request is arriving or in progress.
  bool busy() const { return busy_ || receiving_; }
  /// Whether a request has begun to arrive and is not complete.
  bool receiving() const { return receiving_; }
  const boost::asio::ip::address& remote() const { return remote_; }
  /// Since when the connection has waited for a request, or for the rest of the
  /// one that arrives. Meaningful unless one is in progress.
  base::Millis waiting_since() const { return waiting_since_; }
  /// Whether the connection has served a request and none is known to follow.
  bool between_requests() const { return has_served_ && !busy(); }
  /// Whether the connection is between two requests, and no byte of the next
  /// one has arrived.
  bool idle();
  /// Whether no complete request is known to have been sent on the connection
  /// since it was opened or has served its last one.
  bool awaits_request() const { return receiving_ || !busy_; }
  /// Refuses the request that is arriving, if any, and ends the connection.
  void Displace();
  /// Closes the connection. Resets it if only its end would end the response,
  /// so that the response does not look complete.
  void CloseNow();

 private:
  using Buffer = boost::beast::flat_buffer;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using ErrorCode = boost::system::error_code;

  static base::Task<void> WatchForDisconnect(std::shared_ptr<Session> self);

  base::Task<bool> ReadRequest(
      Buffer& buffer,
      Parser& parser,
      const std::function<void(size_t held_bytes)>& on_refused);
  ErrorCode CauseOf(ErrorCode error) const;
  base::Task<ErrorCode> ReadMessage(Buffer& buffer, Parser& parser);
  base::Task<ErrorCode> ReadMore(Buffer& buffer, Parser& parser);
  size_t HeldBytes(const Buffer& buffer, const Parser& parser) const;
  base::Task<bool> WaitForRequest();
  void StartReadTimer(base::Millis timeout);
  void StopReadTimer();
  void SetRequest(
      boost::beast::http::request<boost::beast::http::string_body> message);
  void ReleaseRequest(Buffer& buffer);
  void ResetOnClose();
  bool MakeRoomForOthers();
  void HoldUnread();
  base::Task<void> WaitForever();
  /// Bytes that were written and that the caller has not taken yet.
  size_t QueuedBytes();
  /// Accounts for a write. Returns an error if the connection has to make room.
  absl::Status PrepareWrite(size_t bytes);
  absl::Status HandleWriteResult(const ErrorCode& error);
  void SetTimeout(base::Millis timeout);

  boost::asio::ip::address remote_;
  const ServerLimits& limits_;
  base::Clock clock_ = base::Clock::Monotonic();
  base::Millis waiting_since_;
  boost::beast::tcp_stream stream_;
  boost::asio::steady_timer read_timer_;
  RequestMemory::Share memory_;
  Request request_;
  /// What the head of the arriving request takes.
  size_t head_bytes_ = 0;
  /// What the request that is in progress takes.
  size_t request_bytes_ = 0;
  bool keep_alive_ = true;
  bool response_started_ = false;
  bool busy_ = false;
  bool receiving_ = false;
  bool has_served_ = false;
  bool read_timed_out_ = false;
  bool broken_ = false;
  bool unresponsive_ = false;
  /// There is no room for what the caller has not taken.
  bool must_reset_ = false;
  bool chunked_ = false;
  bool before_http11_ = false;
  bool watching_ = false;
  /// The connection has to make room for another.
  bool displaced_ = false;
  std::function<void()> on_caller_gone_;
};

}  // namespace dandelion::http::detail
