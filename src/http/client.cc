#include "http/client.h"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <sstream>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/error.h"
#include "http/connection_group.h"

namespace dandelion::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using base::ErrorKind;
using base::kNoThrow;
using base::MakeError;
using base::Millis;
using base::Task;

std::string EndpointText(const tcp::endpoint& endpoint) {
  return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

absl::Status ConnectionError(const tcp::endpoint& endpoint,
                             const boost::system::error_code& error) {
  const std::string description =
      absl::StrCat(EndpointText(endpoint), ": ", error.message());
  if (error == beast::error::timeout) {
    return MakeError(ErrorKind::kTimeout, description,
                     "check that the peer is running and reachable");
  }
  return MakeError(ErrorKind::kConnectionLost, description,
                   "check that the peer is running and reachable");
}

// Whether the peer ended the connection within a response. Timeouts, bytes that
// are no response and a close from here are other errors.
bool IsEndByPeer(const boost::system::error_code& error) {
  return error == bhttp::error::partial_message ||
         error == asio::error::connection_reset;
}

// Whether a failed write shows that the connection was lost. The system tells a
// loss once, to the call that comes first: if that was a write, reads return
// what had arrived and then an end that looks like the peer's own. If the peer
// had ended its side before it refused to read on, Linux reports a broken pipe
// in place of a reset (tcp_reset in net/ipv4/tcp_input.c).
bool IsLoss(const boost::system::error_code& write_error) {
  return write_error != asio::error::broken_pipe;
}

// The valid status codes, known or not (RFC 9110, section 15). The parser takes
// any three digits for one.
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;
// Interim responses (RFC 9110, section 15.2) precede the answer.
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kSwitchingProtocols = 101;
// Interim responses that may precede one answer.
constexpr int kMaxInterimHeads = 8;
// The only transfer coding that is undone here, and the first version that has
// it.
constexpr char kChunked[] = "chunked";
constexpr unsigned kHttp11 = 11;

// Whether one of the lines of a head begins with a blank. The parser takes it
// for the rest of the value before, as HTTP once allowed. No server may send
// that now, and a proxy may refuse it (RFC 9112, section 5.2): a name that
// follows a blank, even that of a length, would be passed on within a value.
bool HasFoldedLine(std::string_view lines) {
  return lines.find("\r\n ") != std::string_view::npos ||
         lines.find("\r\n\t") != std::string_view::npos;
}

class BeastConnection : public Connection {
 public:
  BeastConnection(tcp::endpoint endpoint, beast::tcp_stream stream)
      : endpoint_(std::move(endpoint)), stream_(std::move(stream)) {}

  using Connection::Send;

  Task<absl::Status> Send(const Request& request,
                          std::string_view body,
                          Millis timeout) override {
    if (!IsSendable(request)) {
      co_return MakeError(ErrorKind::kInvalidRequest,
                          absl::StrCat(EndpointText(endpoint_),
                                       ": the head of the request is invalid"),
                          "remove line breaks and spaces from what it names");
    }
    bhttp::request<bhttp::span_body<const char>> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    if (!request.headers.Has("Host")) {
      message.set(bhttp::field::host, EndpointText(endpoint_));
    }
    for (const Header& line : request.headers.lines()) {
      message.insert(line.name, line.value);
    }
    message.body() = {body.data(), body.size()};
    message.prepare_payload();
    skip_body_ = request.method == "HEAD";
    ResetParser();
    may_have_been_sent_ = true;
    SetTimeout(timeout);
    const auto [error, size] =
        co_await bhttp::async_write(stream_, message, kNoThrow);
    if (error) {
      lost_in_write_ = IsLoss(error);
      co_return ConnectionError(endpoint_, error);
    }
    co_return absl::OkStatus();
  }

  Task<absl::StatusOr<Response>> ReadHead(Millis timeout) override {
    if (response_complete_) {
      ResetParser();
    }
    SetTimeout(timeout);
    for (int interim_heads = 0;; ++interim_heads) {
      const boost::system::error_code error = co_await ReadAnyHead();
      if (error) {
        ended_by_peer_ = parser_->got_some() && IsEndByPeer(error);
        co_return ConnectionError(endpoint_, error);
      }
      const absl::Status sound = CheckHead(interim_heads);
      if (!sound.ok()) {
        co_return sound;
      }
      if (parser_->get().result_int() >= kFirstFinalStatus) {
        co_return TakeHead();
      }
      ResetParser();
    }
  }

  Task<absl::StatusOr<std::string_view>> ReadSome(Millis timeout) override {
    SetTimeout(timeout);
    // A read can complete without body bytes, for example after a chunk's size
    // line.
    while (!parser_->is_done()) {
      auto& body = parser_->get().body();
      body.data = read_buffer_.data();
      body.size = read_buffer_.size();
      const auto [error, size] =
          co_await bhttp::async_read_some(stream_, buffer_, *parser_, kNoThrow);
      if (error && error != bhttp::error::need_buffer) {
        ended_by_peer_ = IsEndByPeer(error);
        co_return ConnectionError(endpoint_, error);
      }
      const size_t received = read_buffer_.size() - body.size;
      if (received > 0) {
        co_return std::string_view(read_buffer_.data(), received);
      }
    }
    if (lost_in_write_ && parser_->need_eof()) {
      ended_by_peer_ = true;
      co_return ConnectionError(endpoint_, asio::error::connection_reset);
    }
    response_complete_ = true;
    co_return std::string_view();
  }

  bool BodyEndsWithConnection() const override {
    return parser_->is_header_done() && parser_->need_eof();
  }

  bool EndedByPeer() const override { return ended_by_peer_; }

  bool MayHaveBeenSent() const override { return may_have_been_sent_; }

  bool IsReusable() const override {
    // Unlike the message's `keep_alive`, the parser's is false for a body that
    // ends with its connection.
    return response_complete_ && parser_->keep_alive() && buffer_.size() == 0;
  }

  bool HasUnexpectedInput() override {
    boost::system::error_code error;
    stream_.socket().non_blocking(true, error);
    char byte = 0;
    stream_.socket().receive(asio::buffer(&byte, 1),
                             asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
  }

  void Close() override { stream_.close(); }

 private:
  static constexpr size_t kReadBufferBytes = 16 * 1024;
  // Bytes that are buffered until the parser can consume them. The parser
  // itself limits a head, but not a chunk's size line or trailer.
  static constexpr size_t kMaxUnparsedBytes = 64 * 1024;

  void ResetParser() {
    parser_.emplace();
    parser_->body_limit(boost::none);
    parser_->skip(skip_body_);
    response_complete_ = false;
    has_folded_line_ = false;
  }

  // Reads a head, interim or not, into the parser. The library's own read would
  // not show the lines that the parser takes.
  Task<boost::system::error_code> ReadAnyHead() {
    for (;;) {
      boost::system::error_code error;
      const size_t parsed = parser_->put(buffer_.cdata(), error);
      has_folded_line_ =
          has_folded_line_ ||
          HasFoldedLine(
              {static_cast<const char*>(buffer_.cdata().data()), parsed});
      buffer_.consume(parsed);
      if (parser_->is_header_done() ||
          (error && error != bhttp::error::need_more)) {
        co_return error;
      }
      const size_t room = beast::read_size(buffer_, kReadBufferBytes);
      if (room == 0) {
        co_return bhttp::error::buffer_overflow;
      }
      const auto [read_error, size] =
          co_await stream_.async_read_some(buffer_.prepare(room), kNoThrow);
      buffer_.commit(size);
      if (read_error == asio::error::eof) {
        co_return parser_->got_some() ? bhttp::error::partial_message
                                      : bhttp::error::end_of_stream;
      }
      if (read_error) {
        co_return read_error;
      }
    }
  }

  // Whether the head that was read is an answer's or an interim one, after
  // `interim_heads` of those. The parser takes more than HTTP allows.
  absl::Status CheckHead(int interim_heads) const {
    if (has_folded_line_) {
      return BadAnswer("a line of the answer's head begins with a blank");
    }
    const unsigned status = parser_->get().result_int();
    if (status < kFirstStatus || status > kLastStatus) {
      return BadAnswer(absl::StrCat("the status code ", status, " is invalid"));
    }
    if (status >= kFirstFinalStatus) {
      return HasKnownTransferCoding()
                 ? absl::OkStatus()
                 : BadAnswer("the answer is in an unknown transfer coding");
    }
    if (status == kSwitchingProtocols || interim_heads == kMaxInterimHeads) {
      return BadAnswer("an interim response takes the place of an answer");
    }
    return absl::OkStatus();
  }

  // Whether the body is in no transfer coding, or in chunks alone. The parser
  // would return the bytes of any other as they are, up to the connection's
  // end, to a length that does not count then, or to the last chunk (RFC 9112,
  // section 6.3).
  bool HasKnownTransferCoding() const {
    const auto& message = parser_->get();
    const auto [first, last] =
        message.equal_range(bhttp::field::transfer_encoding);
    if (first == last) {
      return true;
    }
    const std::string list(first->value());
    const std::vector<absl::string_view> codings =
        absl::StrSplit(list, ',', absl::SkipWhitespace());
    return std::next(first) == last && message.version() == kHttp11 &&
           parser_->chunked() && codings.size() == 1 &&
           absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(codings.front()),
                                  kChunked);
  }

  // Returns the head that was read.
  Response TakeHead() const {
    Response head;
    head.status = parser_->get().result_int();
    for (const auto& field : parser_->get()) {
      // Replaced by the length that the parser goes by.
      if (field.name() != bhttp::field::content_length) {
        head.headers.Add(std::string(field.name_string()),
                         std::string(field.value()));
      }
    }
    if (const auto length = parser_->content_length()) {
      head.headers.Add("Content-Length", absl::StrCat(*length));
    }
    return head;
  }

  absl::Status BadAnswer(absl::string_view reason) const {
    return MakeError(ErrorKind::kBadAnswer,
                     absl::StrCat(EndpointText(endpoint_), ": ", reason),
                     "check that the peer speaks HTTP/1.1");
  }

  void SetTimeout(Millis timeout) {
    stream_.expires_after(std::chrono::milliseconds(timeout.count()));
  }

  tcp::endpoint endpoint_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  boost::optional<bhttp::response_parser<bhttp::buffer_body>> parser_;
  std::string read_buffer_ = std::string(kReadBufferBytes, '\0');
  bool skip_body_ = false;
  bool may_have_been_sent_ = false;
  bool response_complete_ = false;
  bool ended_by_peer_ = false;
  // A line of the head that is being read begins with a blank.
  bool has_folded_line_ = false;
  // The connection was lost while the request was sent, so that the end of its
  // bytes is not the end of an answer.
  bool lost_in_write_ = false;
};

Task<absl::StatusOr<Response>> SendAndReadResponse(Connection& connection,
                                                   const Request& request,
                                                   const FetchLimits& limits) {
  const GroupMember member(limits.group, connection);
  if (member.closed()) {
    co_return MakeError(ErrorKind::kConnectionLost, "the connection was closed",
                        "send the request again");
  }
  const base::Clock clock = base::Clock::Monotonic();
  const Millis end = clock.Now() + limits.total_timeout;
  const auto step_timeout = [&] {
    return std::min(limits.response_timeout, end - clock.Now());
  };
  const absl::Status sent = co_await connection.Send(request, step_timeout());
  if (!sent.ok()) {
    co_return sent;
  }
  absl::StatusOr<Response> head = co_await connection.ReadHead(step_timeout());
  if (!head.ok()) {
    co_return head;
  }
  for (;;) {
    const Millis timeout = step_timeout();
    if (timeout <= Millis(0)) {
      co_return MakeError(ErrorKind::kTimeout,
                          "the response was not complete in time",
                          "check the peer and the network path to it");
    }
    const absl::StatusOr<std::string_view> chunk =
        co_await connection.ReadSome(timeout);
    if (!chunk.ok()) {
      co_return chunk.status();
    }
    if (chunk->empty()) {
      co_return head;
    }
    if (head->body.size() + chunk->size() > limits.body_bytes) {
      co_return MakeError(ErrorKind::kTooLarge,
                          "the response body exceeds the size limit",
                          "raise the body limit or request less data");
    }
    head->body.append(*chunk);
  }
}

}  // namespace

Task<absl::StatusOr<std::unique_ptr<Connection>>> Connect(
    tcp::endpoint endpoint,
    Millis timeout) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(std::chrono::milliseconds(timeout.count()));
  const auto [error] = co_await stream.async_connect(endpoint, kNoThrow);
  if (error) {
    co_return MakeError(
        ErrorKind::kConnectFailed,
        absl::StrCat(EndpointText(endpoint), ": ", error.message()),
        "check that the peer is listening on this address");
  }
  boost::system::error_code ignored;
  stream.socket().set_option(tcp::no_delay(true), ignored);
  co_return std::make_unique<BeastConnection>(endpoint, std::move(stream));
}

Task<absl::StatusOr<std::unique_ptr<Connection>>> Client::AcquireConnection(
    tcp::endpoint endpoint,
    Millis timeout,
    std::optional<Millis> max_idle) {
  const Millis now = base::Clock::Monotonic().Now();
  auto& idle = idle_connections_[EndpointText(endpoint)];
  while (!idle.empty()) {
    IdleConnection kept = std::move(idle.back());
    idle.pop_back();
    const bool is_too_old = max_idle && now - kept.since > *max_idle;
    if (!is_too_old && !kept.connection->HasUnexpectedInput()) {
      co_return std::move(kept.connection);
    }
  }
  co_return co_await Connect(endpoint, timeout);
}

void Client::ReleaseConnection(const tcp::endpoint& endpoint,
                               std::unique_ptr<Connection> connection) {
  auto& idle = idle_connections_[EndpointText(endpoint)];
  if (connection->IsReusable() && idle.size() < kMaxIdlePerEndpoint) {
    idle.push_back({std::move(connection), base::Clock::Monotonic().Now()});
  }
}

Task<FetchResult> Client::Fetch(tcp::endpoint endpoint,
                                Request request,
                                FetchLimits limits) {
  absl::StatusOr<std::unique_ptr<Connection>> connection =
      absl::UnknownError("not connected");
  if (limits.new_connection) {
    connection = co_await Connect(endpoint, limits.connect_timeout);
  } else {
    connection = co_await AcquireConnection(endpoint, limits.connect_timeout,
                                            limits.max_idle);
  }
  if (!connection.ok()) {
    co_return FetchResult{connection.status()};
  }
  FetchResult result;
  result.reused_connection = (*connection)->MayHaveBeenSent();
  result.response = co_await SendAndReadResponse(**connection, request, limits);
  result.may_have_been_sent = (*connection)->MayHaveBeenSent();
  if (result.response.ok()) {
    ReleaseConnection(endpoint, *std::move(connection));
  }
  co_return result;
}

}  // namespace dandelion::http
