#include "http/session.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "base/error.h"

namespace dandelion::http::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using base::ErrorKind;
using base::kNoThrow;
using base::Millis;
using base::Task;
using boost::system::error_code;

constexpr unsigned kHttp11 = 11;
// Least limit of the bytes that are buffered until the parser can consume them:
// a head, a chunk's size line, or a trailer, which the parser itself does not
// limit.
constexpr size_t kMinUnparsedBytes = size_t{64} * 1024;
// Bytes that are read at once of a head and of a body.
constexpr size_t kHeadReadBytes = size_t{4} * 1024;
constexpr size_t kBodyReadBytes = size_t{16} * 1024;
// What a header line takes beside its bytes.
constexpr size_t kHeaderOverheadBytes = 128;
// A caller may have so much of an answer outstanding even if there is no room.
constexpr size_t kSmallAnswerBytes = size_t{64} * 1024;
// The system takes up to twice the bytes of what it holds for a connection.
constexpr size_t kQueueFactor = 2;
// Seconds after which a caller that was refused for want of memory may retry.
constexpr char kMemoryRetryAfter[] = "1";

// Why a request is refused although it is sound.
const error_code kNoMemory = asio::error::no_memory;
const error_code kNoRoom = asio::error::no_descriptors;

absl::Status DisconnectError(const error_code& error) {
  return base::MakeError(ErrorKind::kConnectionLost, error.message(),
                         "the caller disconnected; it may resume its stream");
}

Response RejectionFor(const error_code& error) {
  if (error == kNoMemory) {
    Response response = MakeRejection(503, "out_of_memory", "retry later");
    response.headers.Add("Retry-After", kMemoryRetryAfter);
    return response;
  }
  if (error == kNoRoom) {
    return MakeTooManyConnections();
  }
  if (error == bhttp::error::header_limit ||
      error == bhttp::error::buffer_overflow) {
    return MakeRejection(431, "header_too_large", "send smaller headers");
  }
  if (error == bhttp::error::body_limit) {
    return MakeRejection(413, "body_too_large", "send a smaller body");
  }
  if (error == beast::error::timeout) {
    return MakeRejection(408, "request_timeout",
                         "send the request without pauses");
  }
  return MakeRejection(400, "malformed_request",
                       "send a valid HTTP/1.1 request");
}

template <typename Body>
size_t HeadBytes(const bhttp::request<Body>& message) {
  size_t bytes = message.target().size();
  for (const auto& field : message) {
    bytes += field.name_string().size() + field.value().size() +
             kHeaderOverheadBytes;
  }
  return bytes;
}

}  // namespace

Response MakeRejection(int status,
                       std::string_view kind,
                       std::string_view remedy) {
  std::string body = "{\"kind\":\"";
  body.append(kind).append("\",\"ran\":\"no\",\"remedy\":\"");
  body.append(remedy).append("\"}");
  Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/problem+json");
  response.body = std::move(body);
  return response;
}

Response MakeTooManyConnections() {
  return MakeRejection(503, "too_many_connections",
                       "close idle connections and retry");
}

Session::Session(tcp::socket socket,
                 asio::ip::address remote,
                 const ServerLimits& limits,
                 std::shared_ptr<RequestMemory> memory)
    : remote_(std::move(remote)),
      limits_(limits),
      waiting_since_(clock_.Now()),
      stream_(std::move(socket)),
      read_timer_(stream_.get_executor()),
      memory_(std::move(memory), [this] { return MakeRoomForOthers(); }) {}

// Refuses the request that is arriving, or resets the connection of a caller
// that has not taken its answer. Returns false if it has by now.
bool Session::MakeRoomForOthers() {
  if (!receiving_) {
    if (QueuedBytes() == 0) {
      if (!busy_) {
        memory_.Release();
      }
      return false;
    }
    must_reset_ = true;
  }
  stream_.cancel();
  return true;
}

bool Session::HoldAnswer(size_t bytes) {
  if (memory_.gave_way()) {
    return false;
  }
  const size_t queued = QueuedBytes();
  // A caller that has taken all does not let its answer wait.
  if (queued == 0 || !memory_.MayGiveWay()) {
    memory_.Begin();
  }
  return memory_.Resize(request_bytes_ + kQueueFactor * queued + bytes);
}

absl::Status Session::PrepareWrite(size_t bytes) {
  if (HoldAnswer(bytes) ||
      (!memory_.gave_way() && QueuedBytes() + bytes <= kSmallAnswerBytes)) {
    return absl::OkStatus();
  }
  broken_ = true;
  must_reset_ = true;
  return absl::ResourceExhaustedError(
      "the caller does not read its answer, and others need the memory");
}

size_t Session::QueuedBytes() {
  int queued = 0;
  // Fails once the socket is closed; nothing is held then.
  return ioctl(stream_.socket().native_handle(), SIOCOUTQ, &queued) == 0
             ? static_cast<size_t>(std::max(queued, 0))
             : 0;
}

Task<absl::Status> Session::Respond(Response response) {
  absl::Status room = PrepareWrite(response.body.size());
  if (!room.ok()) {
    co_return room;
  }
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

Task<absl::Status> Session::StartStream(Response head) {
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

Task<absl::Status> Session::Write(std::string_view chunk) {
  absl::Status room = PrepareWrite(chunk.size());
  if (!room.ok()) {
    co_return room;
  }
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

Task<absl::Status> Session::Finish() {
  if (!chunked_) {
    co_return absl::OkStatus();
  }
  SetTimeout(limits_.write_timeout);
  const auto last = bhttp::make_chunk_last();
  const auto [error, size] =
      co_await asio::async_write(stream_, last, kNoThrow);
  co_return HandleWriteResult(error);
}

void Session::Abort() {
  broken_ = true;
  CloseNow();
}

void Session::OnCallerDisconnect(std::function<void()> callback) {
  on_caller_gone_ = std::move(callback);
  if (!watching_) {
    watching_ = true;
    base::Spawn(stream_.get_executor(), WatchForDisconnect(shared_from_this()));
  }
}

Task<void> Session::ServeRequests(
    const Handler& handler,
    const bool& close_after_response,
    const std::function<void(size_t held_bytes)>& on_refused) {
  Buffer buffer;
  while (!broken_) {
    buffer.max_size(std::max(limits_.header_bytes, kMinUnparsedBytes));
    Parser parser;
    parser.header_limit(static_cast<uint32_t>(limits_.header_bytes));
    parser.body_limit(limits_.body_bytes);
    const bool complete = co_await ReadRequest(buffer, parser, on_refused);
    if (!complete) {
      break;
    }
    keep_alive_ = parser.get().keep_alive() && !close_after_response;
    before_http11_ = parser.get().version() < kHttp11;
    SetRequest(parser.release());
    co_await handler(*this);
    on_caller_gone_ = nullptr;
    busy_ = false;
    has_served_ = true;
    if (must_reset_) {
      on_refused(request_bytes_);
      break;
    }
    ReleaseRequest(buffer);
    HoldUnread();
    if (unresponsive_) {
      co_await WaitForever();
    }
    if (!keep_alive_ || !response_started_) {
      break;
    }
  }
  if (must_reset_) {
    ResetOnClose();
  }
  error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
  stream_.close();
}

// Accounts for what the system holds of the last answer, until the next request
// arrives.
void Session::HoldUnread() {
  const size_t queued = QueuedBytes();
  if (queued == 0) {
    return;
  }
  memory_.Begin();
  if (!memory_.Resize(kQueueFactor * queued) && queued > kSmallAnswerBytes) {
    must_reset_ = true;
    broken_ = true;
  }
}

bool Session::idle() {
  error_code error;
  return between_requests() && stream_.socket().available(error) == 0;
}

void Session::Displace() {
  displaced_ = true;
  stream_.cancel();
}

void Session::CloseNow() {
  if (must_reset_ || (busy_ && response_started_ && before_http11_)) {
    ResetOnClose();
  }
  stream_.close();
}

// The system would keep what the caller has not taken, and try to send it.
void Session::ResetOnClose() {
  boost::system::error_code ignored;
  stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
}

// Waits until the socket becomes readable while a response is in progress:
// the caller has disconnected, or has sent its next request.
Task<void> Session::WatchForDisconnect(std::shared_ptr<Session> self) {
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
                                   asio::socket_base::message_peek, peek_error);
  }
  if (peek_error && peek_error != asio::error::would_block) {
    const std::function<void()> callback = std::move(self->on_caller_gone_);
    self->on_caller_gone_ = nullptr;
    callback();
  }
}

Task<bool> Session::ReadRequest(
    Buffer& buffer,
    Parser& parser,
    const std::function<void(size_t held_bytes)>& on_refused) {
  if (buffer.size() == 0) {
    const bool readable = co_await WaitForRequest();
    if (!readable) {
      co_return false;
    }
  }
  receiving_ = true;
  const absl::Cleanup received = [this] { receiving_ = false; };
  waiting_since_ = clock_.Now();
  head_bytes_ = 0;
  memory_.Begin();
  stream_.expires_never();
  StartReadTimer(limits_.header_timeout);
  const error_code error = CauseOf(co_await ReadMessage(buffer, parser));
  StopReadTimer();
  memory_.Complete();
  if (!error) {
    co_return true;
  }
  if (error == kNoMemory) {
    on_refused(HeldBytes(buffer, parser));
  }
  // The answer may take time to be written, so free what nobody needs first.
  Parser::value_type().swap(parser.get());
  buffer.clear();
  ReleaseRequest(buffer);
  if (error != bhttp::error::end_of_stream && error != asio::error::eof &&
      error != asio::error::operation_aborted &&
      error != asio::error::connection_reset) {
    keep_alive_ = false;
    // A request that gave way is answered all the same.
    memory_.Begin();
    co_await Respond(RejectionFor(error));
  }
  co_return false;
}

// Why the read of a request was cancelled, if it was.
Session::ErrorCode Session::CauseOf(ErrorCode error) const {
  if (!error) {
    return error;
  }
  if (displaced_) {
    return kNoRoom;
  }
  if (memory_.gave_way()) {
    return kNoMemory;
  }
  return read_timed_out_ ? ErrorCode(beast::error::timeout) : error;
}

// Reads a request up to its end.
Task<Session::ErrorCode> Session::ReadMessage(Buffer& buffer, Parser& parser) {
  for (;;) {
    error_code error;
    if (buffer.size() > 0) {
      buffer.consume(parser.put(buffer.cdata(), error));
    }
    if (error && error != bhttp::error::need_more) {
      co_return error;
    }
    if (parser.is_header_done() && !busy_) {
      busy_ = true;
      head_bytes_ = HeadBytes(parser.get());
      parser.eager(true);
      StartReadTimer(limits_.body_timeout);
    }
    const bool complete = parser.is_done();
    if (!complete && !error && buffer.size() > 0) {
      continue;
    }
    if (complete) {
      if (buffer.size() == 0) {
        buffer.shrink_to_fit();
      }
      request_bytes_ = HeldBytes(buffer, parser);
      co_return memory_.Resize(request_bytes_) ? error_code() : kNoMemory;
    }
    error = co_await ReadMore(buffer, parser);
    if (error) {
      co_return error;
    }
  }
}

// Reads some bytes into the buffer, if there is memory for them.
Task<Session::ErrorCode> Session::ReadMore(Buffer& buffer, Parser& parser) {
  if (displaced_) {
    co_return kNoRoom;
  }
  const size_t room = buffer.max_size() - buffer.size();
  if (room == 0) {
    co_return bhttp::error::buffer_overflow;
  }
  const size_t most = parser.is_header_done() ? kBodyReadBytes : kHeadReadBytes;
  const auto space = buffer.prepare(std::min(room, most));
  if (!memory_.Resize(HeldBytes(buffer, parser))) {
    co_return kNoMemory;
  }
  const auto [error, size] = co_await stream_.async_read_some(space, kNoThrow);
  buffer.commit(size);
  if (error == asio::error::eof) {
    co_return parser.got_some() ? bhttp::error::partial_message
                                : bhttp::error::end_of_stream;
  }
  co_return error;
}

// What the request that is arriving takes.
size_t Session::HeldBytes(const Buffer& buffer, const Parser& parser) const {
  const std::string& body = parser.get().body();
  // The memory that is reserved for a known length is not used before the bytes
  // are there.
  const size_t body_bytes =
      parser.chunked() ? std::max(body.size(), body.capacity()) : body.size();
  return buffer.capacity() + head_bytes_ + body_bytes;
}

// Waits for the first byte of a request. Returns false if the caller has
// disconnected, or if nothing came within the idle timeout.
Task<bool> Session::WaitForRequest() {
  waiting_since_ = clock_.Now();
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
void Session::StartReadTimer(Millis timeout) {
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

void Session::StopReadTimer() {
  read_timer_.expires_at(asio::steady_timer::time_point::max());
}

void Session::SetRequest(bhttp::request<bhttp::string_body> message) {
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
void Session::ReleaseRequest(Buffer& buffer) {
  // Assigning an empty string would keep the capacity of the body.
  Request released;
  std::swap(request_, released);
  request_bytes_ = 0;
  buffer.shrink_to_fit();
  memory_.Release();
}

Task<void> Session::WaitForever() {
  stream_.expires_never();
  asio::steady_timer forever(stream_.get_executor());
  forever.expires_at(std::chrono::steady_clock::time_point::max());
  co_await forever.async_wait(kNoThrow);
}

absl::Status Session::HandleWriteResult(
    const boost::system::error_code& error) {
  if (!error) {
    return absl::OkStatus();
  }
  broken_ = true;
  return DisconnectError(error);
}

void Session::SetTimeout(Millis timeout) {
  stream_.expires_after(std::chrono::milliseconds(timeout.count()));
}

}  // namespace dandelion::http::detail
