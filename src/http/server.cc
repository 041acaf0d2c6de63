#include "http/server.h"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "base/error.h"

namespace dandelion::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using base::ErrorKind;
using base::kNoThrow;
using base::Millis;
using base::Task;

absl::Status DisconnectError(const boost::system::error_code& error) {
  return base::MakeError(ErrorKind::kConnectionLost, error.message(),
                         "the caller disconnected; it may resume its stream");
}

Response Rejection(int status, std::string_view kind, std::string_view remedy) {
  std::string body = "{\"kind\":\"";
  body.append(kind).append("\",\"ran\":\"no\",\"remedy\":\"");
  body.append(remedy).append("\"}");
  Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/problem+json");
  response.body = std::move(body);
  return response;
}

Response RejectionFor(const boost::system::error_code& error) {
  if (error == bhttp::error::header_limit ||
      error == bhttp::error::buffer_overflow) {
    return Rejection(431, "header_too_large", "send smaller headers");
  }
  if (error == bhttp::error::body_limit) {
    return Rejection(413, "body_too_large", "send a smaller body");
  }
  if (error == beast::error::timeout) {
    return Rejection(408, "request_timeout", "send the request without pauses");
  }
  return Rejection(400, "malformed_request", "send a valid HTTP/1.1 request");
}

/// One accepted connection.
class Session : public Exchange, public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket,
          asio::ip::address remote,
          const ServerLimits& limits)
      : remote_(std::move(remote)),
        limits_(limits),
        stream_(std::move(socket)),
        read_timer_(stream_.get_executor()) {}

  const Request& request() const override { return request_; }

  Task<absl::Status> Respond(Response response) override {
    bhttp::response<bhttp::string_body> message(
        static_cast<bhttp::status>(response.status), 11);
    for (const Header& line : response.headers.lines()) {
      message.insert(line.name, line.value);
    }
    message.keep_alive(keep_alive_);
    message.body() = std::move(response.body);
    message.prepare_payload();
    response_started_ = true;
    SetTimeout(limits_.write_timeout);
    if (request_.method == "HEAD") {
      // Without its body, which would take the place of the next answer.
      bhttp::response_serializer<bhttp::string_body> serializer(message);
      const auto [error, size] =
          co_await bhttp::async_write_header(stream_, serializer, kNoThrow);
      co_return HandleWriteResult(error);
    }
    const auto [error, size] =
        co_await bhttp::async_write(stream_, message, kNoThrow);
    co_return HandleWriteResult(error);
  }

  Task<absl::Status> StartStream(Response head) override {
    bhttp::response<bhttp::empty_body> message(
        static_cast<bhttp::status>(head.status), 11);
    for (const Header& line : head.headers.lines()) {
      message.insert(line.name, line.value);
    }
    const bool has_body = request_.method != "HEAD";
    const bool sized = head.headers.Has("Content-Length");
    chunked_ = has_body && !sized && !before_http11_;
    if (has_body && !sized && before_http11_) {
      keep_alive_ = false;
    }
    message.keep_alive(keep_alive_);
    if (chunked_) {
      message.chunked(true);
    }
    bhttp::response_serializer<bhttp::empty_body> serializer(message);
    response_started_ = true;
    SetTimeout(limits_.write_timeout);
    const auto [error, size] =
        co_await bhttp::async_write_header(stream_, serializer, kNoThrow);
    co_return HandleWriteResult(error);
  }

  Task<absl::Status> Write(std::string_view chunk) override {
    SetTimeout(limits_.write_timeout);
    if (!chunked_) {
      const auto [error, size] = co_await asio::async_write(
          stream_, asio::buffer(chunk.data(), chunk.size()), kNoThrow);
      co_return HandleWriteResult(error);
    }
    const auto body =
        bhttp::make_chunk(asio::const_buffer(chunk.data(), chunk.size()));
    const auto [error, size] =
        co_await asio::async_write(stream_, body, kNoThrow);
    co_return HandleWriteResult(error);
  }

  Task<absl::Status> Finish() override {
    if (!chunked_) {
      co_return absl::OkStatus();
    }
    SetTimeout(limits_.write_timeout);
    const auto last = bhttp::make_chunk_last();
    const auto [error, size] =
        co_await asio::async_write(stream_, last, kNoThrow);
    co_return HandleWriteResult(error);
  }

  void Abort() override {
    broken_ = true;
    CloseNow();
  }

  void HoldOpen() override { unresponsive_ = true; }

  void OnCallerDisconnect(std::function<void()> callback) override {
    on_caller_gone_ = std::move(callback);
    if (!watching_) {
      watching_ = true;
      base::Spawn(stream_.get_executor(),
                  WatchForDisconnect(shared_from_this()));
    }
  }

  Task<void> ServeRequests(const Handler& handler,
                           const bool& close_after_response) {
    beast::flat_buffer buffer;
    while (!broken_) {
      buffer.max_size(std::max(limits_.header_bytes, kMinUnparsedBytes));
      bhttp::request_parser<bhttp::string_body> parser;
      parser.header_limit(static_cast<uint32_t>(limits_.header_bytes));
      parser.body_limit(limits_.body_bytes);
      const bool complete = co_await ReadRequest(buffer, parser);
      if (!complete) {
        break;
      }
      busy_ = true;
      keep_alive_ = parser.get().keep_alive() && !close_after_response;
      before_http11_ = parser.get().version() < kHttp11;
      SetRequest(parser.release());
      co_await handler(*this);
      on_caller_gone_ = nullptr;
      busy_ = false;
      has_served_ = true;
      ReleaseRequest(buffer);
      if (unresponsive_) {
        co_await WaitForever();
      }
      if (!keep_alive_ || !response_started_) {
        break;
      }
    }
    boost::system::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
  }

  /// Whether a request is arriving or in progress.
  bool busy() const { return busy_ || receiving_; }
  /// Whether a request has begun to arrive and is not complete.
  bool receiving() const { return receiving_; }
  const asio::ip::address& remote() const { return remote_; }
  /// Since when the connection has waited for its next request. Meaningful if
  /// `between_requests`.
  Millis idle_since() const { return idle_since_; }
  /// Whether the connection has served a request and none is known to follow.
  bool between_requests() const { return has_served_ && !busy(); }
  /// Whether the connection is between two requests, and no byte of the next
  /// one has arrived.
  bool idle() {
    boost::system::error_code error;
    return between_requests() && stream_.socket().available(error) == 0;
  }
  /// Closes the connection. Resets it if only its end would end the response,
  /// so that the response does not look complete.
  void CloseNow() {
    if (busy_ && response_started_ && before_http11_) {
      boost::system::error_code ignored;
      stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
    stream_.close();
  }

 private:
  static constexpr unsigned kHttp11 = 11;
  // Least limit of the bytes that are buffered until the parser can consume
  // them: a head, a chunk's size line, or a trailer, which the parser itself
  // does not limit. Holds the largest single read of the HTTP library.
  static constexpr size_t kMinUnparsedBytes = size_t{64} * 1024;

  // Waits until the socket becomes readable while a response is in progress:
  // the caller has disconnected, or has sent its next request.
  static Task<void> WatchForDisconnect(std::shared_ptr<Session> self) {
    const auto [error] = co_await self->stream_.socket().async_wait(
        tcp::socket::wait_read, kNoThrow);
    self->watching_ = false;
    if (!self->on_caller_gone_ || self->broken_) {
      co_return;
    }
    char peeked = 0;
    boost::system::error_code peek_error = error;
    if (!peek_error) {
      self->stream_.socket().non_blocking(true, peek_error);
      self->stream_.socket().receive(asio::buffer(&peeked, 1),
                                     asio::socket_base::message_peek,
                                     peek_error);
    }
    if (peek_error && peek_error != asio::error::would_block) {
      const std::function<void()> callback = std::move(self->on_caller_gone_);
      self->on_caller_gone_ = nullptr;
      callback();
    }
  }

  Task<bool> ReadRequest(beast::flat_buffer& buffer,
                         bhttp::request_parser<bhttp::string_body>& parser) {
    if (buffer.size() == 0) {
      const bool readable = co_await WaitForRequest();
      if (!readable) {
        co_return false;
      }
    }
    receiving_ = true;
    const absl::Cleanup received = [this] { receiving_ = false; };
    stream_.expires_never();
    StartReadTimer(limits_.header_timeout);
    auto [error, size] =
        co_await bhttp::async_read_header(stream_, buffer, parser, kNoThrow);
    if (!error) {
      busy_ = true;
      StartReadTimer(limits_.body_timeout);
      std::tie(error, size) =
          co_await bhttp::async_read(stream_, buffer, parser, kNoThrow);
    }
    StopReadTimer();
    if (error && read_timed_out_) {
      error = beast::error::timeout;
    }
    if (!error) {
      co_return true;
    }
    if (error != bhttp::error::end_of_stream && error != asio::error::eof &&
        error != asio::error::operation_aborted &&
        error != asio::error::connection_reset) {
      keep_alive_ = false;
      co_await Respond(RejectionFor(error));
    }
    co_return false;
  }

  // Waits for the first byte of a request. Returns false if the caller has
  // disconnected, or if nothing came within the idle timeout.
  Task<bool> WaitForRequest() {
    idle_since_ = clock_.Now();
    stream_.expires_never();
    StartReadTimer(limits_.idle_timeout);
    const auto [error] =
        co_await stream_.socket().async_wait(tcp::socket::wait_read, kNoThrow);
    StopReadTimer();
    // On a loop that lags, a request may have come with the timeout.
    boost::system::error_code available_error;
    co_return !error ||
        (read_timed_out_ && stream_.socket().available(available_error) > 0);
  }

  // Cancels the read in progress after `timeout`. The stream's own timeout
  // would close the socket, so that the request could not be rejected.
  void StartReadTimer(Millis timeout) {
    read_timed_out_ = false;
    read_timer_.expires_after(std::chrono::milliseconds(timeout.count()));
    read_timer_.async_wait([weak = weak_from_this()](
                               const boost::system::error_code& error) {
      const std::shared_ptr<Session> self = weak.lock();
      // The timer may have been started again since it expired.
      if (!error && self &&
          self->read_timer_.expiry() <= asio::steady_timer::clock_type::now()) {
        self->read_timed_out_ = true;
        self->stream_.cancel();
      }
    });
  }

  void StopReadTimer() {
    read_timer_.expires_at(asio::steady_timer::time_point::max());
  }

  void SetRequest(bhttp::request<bhttp::string_body> message) {
    request_ = Request();
    request_.method = std::string(message.method_string());
    request_.target = std::string(message.target());
    for (const auto& field : message) {
      request_.headers.Add(std::string(field.name_string()),
                           std::string(field.value()));
    }
    request_.body = std::move(message.body());
    response_started_ = false;
  }

  // Frees what the last request took, so that an idle connection holds none of
  // it. Bytes of the next request stay.
  void ReleaseRequest(beast::flat_buffer& buffer) {
    // Assigning an empty string would keep the capacity of the body.
    Request released;
    std::swap(request_, released);
    buffer.shrink_to_fit();
  }

  Task<void> WaitForever() {
    stream_.expires_never();
    asio::steady_timer forever(stream_.get_executor());
    forever.expires_at(std::chrono::steady_clock::time_point::max());
    co_await forever.async_wait(kNoThrow);
  }

  absl::Status HandleWriteResult(const boost::system::error_code& error) {
    if (!error) {
      return absl::OkStatus();
    }
    broken_ = true;
    return DisconnectError(error);
  }

  void SetTimeout(Millis timeout) {
    stream_.expires_after(std::chrono::milliseconds(timeout.count()));
  }

  asio::ip::address remote_;
  const ServerLimits& limits_;
  base::Clock clock_ = base::Clock::Monotonic();
  Millis idle_since_;
  beast::tcp_stream stream_;
  asio::steady_timer read_timer_;
  Request request_;
  bool keep_alive_ = true;
  bool response_started_ = false;
  bool busy_ = false;
  bool receiving_ = false;
  bool has_served_ = false;
  bool read_timed_out_ = false;
  bool broken_ = false;
  bool unresponsive_ = false;
  bool chunked_ = false;
  bool before_http11_ = false;
  bool watching_ = false;
  std::function<void()> on_caller_gone_;
};

}  // namespace

class Server::Impl : public std::enable_shared_from_this<Server::Impl> {
 public:
  Impl(const base::Executor& executor,
       ServerLimits limits,
       Handler handler,
       ServerHooks hooks)
      : executor_(executor),
        limits_(limits),
        handler_(std::move(handler)),
        hooks_(std::move(hooks)),
        clock_(base::Clock::Monotonic()),
        acceptor_(executor) {}

  absl::Status Bind(const tcp::endpoint& endpoint) {
    boost::system::error_code error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      acceptor_.bind(endpoint, error);
    }
    if (error) {
      return ListenError(endpoint, error);
    }
    port_ = acceptor_.local_endpoint().port();
    return absl::OkStatus();
  }

  absl::Status StartAccepting() {
    boost::system::error_code error;
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
      return ListenError(acceptor_.local_endpoint(), error);
    }
    // `AcceptWaiting` must not wait for a connection.
    acceptor_.non_blocking(true, error);
    if (error) {
      return ListenError(acceptor_.local_endpoint(), error);
    }
    listening_ = true;
    base::SpawnRestarting(
        executor_, [self = shared_from_this()] { return AcceptLoop(self); });
    return absl::OkStatus();
  }

  void StopAccepting() {
    if (!acceptor_.is_open()) {
      return;
    }
    // Closing the acceptor resets connections that are still in the backlog, so
    // accept them first.
    constexpr int kUnlimited = std::numeric_limits<int>::max();
    AcceptWaiting(kUnlimited);
    listening_ = false;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }

  void CloseIdle() {
    for (Session* session : sessions_) {
      if (session->idle()) {
        session->CloseNow();
      }
    }
  }

  void CloseAll() {
    for (Session* session : sessions_) {
      session->CloseNow();
    }
  }

  size_t in_flight() const {
    size_t count = 0;
    for (const Session* session : sessions_) {
      count += session->busy() ? 1 : 0;
    }
    return count;
  }

  size_t arriving() const {
    return static_cast<size_t>(std::count_if(
        sessions_.begin(), sessions_.end(),
        [](const Session* session) { return session->receiving(); }));
  }

  size_t connections() const { return sessions_.size(); }

  bool CanAccept() const {
    const bool has_room =
        sessions_.size() < limits_.connections ||
        std::any_of(sessions_.begin(), sessions_.end(), [](Session* session) {
          return session->between_requests();
        });
    return listening_ && !accept_failing_since_ && has_room;
  }

  unsigned short port() const { return port_; }
  void DisableKeepAlive() { close_after_response_ = true; }
  void SetLimits(const ServerLimits& limits) { limits_ = limits; }

 private:
  // Connections accepted in a row before other tasks run.
  static constexpr int kAcceptBatch = 32;
  // Pause after a failed accept.
  static constexpr Millis kAcceptRetryInterval{10};

  static absl::Status ListenError(const tcp::endpoint& endpoint,
                                  const boost::system::error_code& error) {
    return base::MakeError(
        ErrorKind::kInvalidSettings,
        "cannot listen on " + endpoint.address().to_string() + ":" +
            std::to_string(endpoint.port()) + ": " + error.message(),
        "choose a free address in the settings");
  }

  // The coroutines below share ownership of `self`, so that connections that
  // are still open outlive the Server object.
  static Task<void> AcceptLoop(std::shared_ptr<Impl> self) {
    while (self->acceptor_.is_open()) {
      auto [error, socket] = co_await self->acceptor_.async_accept(kNoThrow);
      if (error == asio::error::operation_aborted) {
        co_return;
      }
      if (error) {
        // Accepting fails when the process is out of file descriptors. If no
        // connection can be closed, exchanges in progress must release some.
        self->RecordAcceptFailure(error);
        self->CloseLongestIdle();
        co_await base::SleepFor(kAcceptRetryInterval);
        continue;
      }
      self->RecordAccept();
      self->StartSession(std::move(socket));
      self->AcceptWaiting(kAcceptBatch - 1);
    }
  }

  // Accepts up to `count` connections that are established already. Callers
  // that arrive together would otherwise wait for one turn of the event loop
  // each.
  void AcceptWaiting(int count) {
    boost::system::error_code error;
    for (int accepted = 0; accepted < count; ++accepted) {
      tcp::socket socket(executor_);
      acceptor_.accept(socket, error);
      if (error) {
        return;
      }
      RecordAccept();
      StartSession(std::move(socket));
    }
  }

  // The connection that has been idle for longest; null if none is idle.
  Session* FindLongestIdle() const {
    Session* longest = nullptr;
    for (Session* session : sessions_) {
      const bool longer =
          session->between_requests() &&
          (!longest || session->idle_since() < longest->idle_since());
      if (longer && session->idle()) {
        longest = session;
      }
    }
    return longest;
  }

  // Closes the connection that has been idle for longest. Returns false if none
  // is idle.
  bool CloseLongestIdle() {
    Session* longest = FindLongestIdle();
    if (!longest) {
      return false;
    }
    longest->CloseNow();
    Remove(longest);
    return true;
  }

  // Whether one more connection from an address with `from_address` of them
  // may be opened, after an idle one was closed if need be.
  bool MakeRoom(size_t from_address) {
    if (from_address >= limits_.connections_per_address) {
      return false;
    }
    return sessions_.size() < limits_.connections || CloseLongestIdle();
  }

  // Takes a connection out of the counts; does nothing if it was.
  void Remove(Session* session) {
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) {
      return;
    }
    sessions_.erase(found);
    const auto entry = sessions_per_address_.find(session->remote());
    if (--entry->second == 0) {
      sessions_per_address_.erase(entry);
    }
  }

  void RecordAcceptFailure(const boost::system::error_code& error) {
    if (accept_failing_since_) {
      return;
    }
    accept_failing_since_ = clock_.Now();
    if (hooks_.on_accept_failed) {
      hooks_.on_accept_failed(error.message());
    }
  }

  void RecordAccept() {
    if (accept_failing_since_ && hooks_.on_accept_resumed) {
      hooks_.on_accept_resumed(clock_.Now() - *accept_failing_since_);
    }
    accept_failing_since_.reset();
    if (hooks_.on_accepted) {
      hooks_.on_accepted();
    }
  }

  void StartSession(tcp::socket socket) {
    boost::system::error_code error;
    const tcp::endpoint remote = socket.remote_endpoint(error);
    if (error) {
      return;
    }
    socket.set_option(tcp::no_delay(true), error);
    base::Spawn(executor_,
                ServeConnection(shared_from_this(), std::move(socket),
                                remote.address()));
  }

  static Task<void> ServeConnection(std::shared_ptr<Impl> self,
                                    tcp::socket socket,
                                    asio::ip::address remote) {
    const auto owned =
        std::make_shared<Session>(std::move(socket), remote, self->limits_);
    Session& session = *owned;
    const auto from_remote = self->sessions_per_address_.find(remote);
    const bool has_room = self->MakeRoom(
        from_remote == self->sessions_per_address_.end() ? 0
                                                         : from_remote->second);
    if (!has_room) {
      if (self->hooks_.on_rejected) {
        self->hooks_.on_rejected();
      }
      co_await session.Respond(Rejection(503, "too_many_connections",
                                         "close idle connections and retry"));
      co_return;
    }
    ++self->sessions_per_address_[remote];
    self->sessions_.insert(&session);
    const absl::Cleanup remove_session = [&self, &session] {
      self->Remove(&session);
    };
    // An error that nobody expected must end one connection, not the process.
    try {
      co_await session.ServeRequests(self->handler_,
                                     self->close_after_response_);
    } catch (const std::exception& error) {
      session.Abort();
      if (self->hooks_.on_handler_failed) {
        self->hooks_.on_handler_failed(error.what());
      }
    }
  }

  base::Executor executor_;
  ServerLimits limits_;
  Handler handler_;
  ServerHooks hooks_;
  base::Clock clock_;
  tcp::acceptor acceptor_;
  /// When accepting began to fail; empty while it works.
  std::optional<Millis> accept_failing_since_;
  std::set<Session*> sessions_;
  std::map<asio::ip::address, size_t> sessions_per_address_;
  unsigned short port_ = 0;
  bool listening_ = false;
  bool close_after_response_ = false;
};

Server::Server(const base::Executor& executor,
               ServerLimits limits,
               Handler handler,
               ServerHooks hooks)
    : impl_(std::make_shared<Impl>(executor,
                                   limits,
                                   std::move(handler),
                                   std::move(hooks))) {}
Server::~Server() {
  impl_->StopAccepting();
  impl_->CloseAll();
}
absl::Status Server::Bind(const tcp::endpoint& endpoint) {
  return impl_->Bind(endpoint);
}
absl::Status Server::StartAccepting() {
  return impl_->StartAccepting();
}
absl::Status Server::BindAndAccept(const tcp::endpoint& endpoint) {
  const absl::Status bound = Bind(endpoint);
  return bound.ok() ? StartAccepting() : bound;
}
unsigned short Server::port() const {
  return impl_->port();
}
void Server::SetLimits(const ServerLimits& limits) {
  impl_->SetLimits(limits);
}
void Server::DisableKeepAlive() {
  impl_->DisableKeepAlive();
}
void Server::StopAccepting() {
  impl_->StopAccepting();
}
void Server::CloseIdle() {
  impl_->CloseIdle();
}
void Server::CloseAll() {
  impl_->CloseAll();
}
size_t Server::in_flight() const {
  return impl_->in_flight();
}
size_t Server::arriving() const {
  return impl_->arriving();
}
size_t Server::connections() const {
  return impl_->connections();
}
bool Server::CanAccept() const {
  return impl_->CanAccept();
}

bool ParseEndpoint(std::string_view text, tcp::endpoint* endpoint) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  boost::system::error_code error;
  const asio::ip::address address =
      asio::ip::make_address(std::string(text.substr(0, colon)), error);
  const std::string_view digits = text.substr(colon + 1);
  unsigned short port = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error || digits.empty() || parsed.ec != std::errc() ||
      parsed.ptr != digits.data() + digits.size()) {
    return false;
  }
  *endpoint = tcp::endpoint(address, port);
  return true;
}

}  // namespace dandelion::http
