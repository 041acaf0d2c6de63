#include "http/client.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"

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

std::string Name(const tcp::endpoint& endpoint) {
  return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

absl::Status Failure(const tcp::endpoint& endpoint,
                     const boost::system::error_code& error) {
  const std::string what = absl::StrCat(Name(endpoint), ": ", error.message());
  if (error == beast::error::timeout) {
    return MakeError(ErrorKind::kTimeout, what,
                     "check that the peer is alive and its link is open");
  }
  return MakeError(ErrorKind::kConnectionLost, what,
                   "check that the peer is alive and its link is open");
}

class BeastConnection : public Connection {
 public:
  BeastConnection(tcp::endpoint endpoint, beast::tcp_stream stream)
      : endpoint_(std::move(endpoint)), stream_(std::move(stream)) {}

  Task<absl::Status> Send(const Request& request, Millis timeout) override {
    bhttp::request<bhttp::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    if (!request.headers.Has("Host")) {
      message.set(bhttp::field::host, Name(endpoint_));
    }
    for (const Header& line : request.headers.lines()) {
      message.insert(line.name, line.value);
    }
    message.body() = request.body;
    message.prepare_payload();
    without_body_ = request.method == "HEAD";
    ResetParser();
    may_have_left_ = true;
    Arm(timeout);
    const auto [error, size] =
        co_await bhttp::async_write(stream_, message, kNoThrow);
    if (error) {
      co_return Failure(endpoint_, error);
    }
    co_return absl::OkStatus();
  }

  Task<absl::StatusOr<Response>> ReadHead(Millis timeout) override {
    if (complete_) {
      ResetParser();
    }
    Arm(timeout);
    const auto [error, size] =
        co_await bhttp::async_read_header(stream_, buffer_, *parser_, kNoThrow);
    if (error) {
      co_return Failure(endpoint_, error);
    }
    Response head;
    head.status = parser_->get().result_int();
    for (const auto& field : parser_->get()) {
      head.headers.Add(std::string(field.name_string()),
                       std::string(field.value()));
    }
    co_return head;
  }

  Task<absl::StatusOr<std::string_view>> ReadSome(Millis timeout) override {
    // A chunk's size line alone completes a read without any body bytes.
    while (!parser_->is_done()) {
      auto& body = parser_->get().body();
      body.data = chunk_.data();
      body.size = chunk_.size();
      Arm(timeout);
      const auto [error, size] =
          co_await bhttp::async_read_some(stream_, buffer_, *parser_, kNoThrow);
      if (error && error != bhttp::error::need_buffer) {
        co_return Failure(endpoint_, error);
      }
      const size_t received = chunk_.size() - body.size;
      if (received > 0) {
        co_return std::string_view(chunk_.data(), received);
      }
    }
    complete_ = true;
    co_return std::string_view();
  }

  bool MayHaveLeft() const override { return may_have_left_; }

  bool Reusable() const override {
    return complete_ && parser_->get().keep_alive() && buffer_.size() == 0;
  }

  void Close() override { stream_.close(); }

 private:
  static constexpr size_t kChunkBytes = 16 * 1024;

  void ResetParser() {
    parser_.emplace();
    parser_->body_limit(boost::none);
    parser_->skip(without_body_);
    complete_ = false;
  }

  void Arm(Millis timeout) {
    stream_.expires_after(std::chrono::milliseconds(timeout.count()));
  }

  tcp::endpoint endpoint_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  boost::optional<bhttp::response_parser<bhttp::buffer_body>> parser_;
  std::string chunk_ = std::string(kChunkBytes, '\0');
  bool without_body_ = false;
  bool may_have_left_ = false;
  bool complete_ = false;
};

Task<absl::StatusOr<Response>> Converse(Connection& connection,
                                        const Request& request,
                                        const FetchLimits& limits) {
  const absl::Status sent =
      co_await connection.Send(request, limits.answer_timeout);
  if (!sent.ok()) {
    co_return sent;
  }
  absl::StatusOr<Response> head =
      co_await connection.ReadHead(limits.answer_timeout);
  if (!head.ok()) {
    co_return head;
  }
  for (;;) {
    const absl::StatusOr<std::string_view> chunk =
        co_await connection.ReadSome(limits.answer_timeout);
    if (!chunk.ok()) {
      co_return chunk.status();
    }
    if (chunk->empty()) {
      co_return head;
    }
    if (head->body.size() + chunk->size() > limits.body_bytes) {
      co_return MakeError(ErrorKind::kTooLarge, "the answer exceeds its limit",
                          "raise the body limit or ask for less");
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
    co_return MakeError(ErrorKind::kConnectFailed,
                        absl::StrCat(Name(endpoint), ": ", error.message()),
                        "check that the peer listens at this address");
  }
  boost::system::error_code ignored;
  stream.socket().set_option(tcp::no_delay(true), ignored);
  co_return std::make_unique<BeastConnection>(endpoint, std::move(stream));
}

Task<absl::StatusOr<std::unique_ptr<Connection>>> Client::Take(
    tcp::endpoint endpoint,
    Millis timeout) {
  auto& kept = idle_[Name(endpoint)];
  if (!kept.empty()) {
    std::unique_ptr<Connection> connection = std::move(kept.back());
    kept.pop_back();
    co_return connection;
  }
  co_return co_await Connect(endpoint, timeout);
}

void Client::Put(const tcp::endpoint& endpoint,
                 std::unique_ptr<Connection> connection) {
  auto& kept = idle_[Name(endpoint)];
  if (connection->Reusable() && kept.size() < kIdlePerEndpoint) {
    kept.push_back(std::move(connection));
  }
}

Task<FetchResult> Client::Fetch(tcp::endpoint endpoint,
                                Request request,
                                FetchLimits limits) {
  absl::StatusOr<std::unique_ptr<Connection>> connection =
      absl::UnknownError("not connected");
  if (limits.fresh_connection) {
    connection = co_await Connect(endpoint, limits.connect_timeout);
  } else {
    connection = co_await Take(endpoint, limits.connect_timeout);
  }
  if (!connection.ok()) {
    co_return FetchResult{connection.status()};
  }
  FetchResult result;
  result.response = co_await Converse(**connection, request, limits);
  result.may_have_left = (*connection)->MayHaveLeft();
  if (result.response.ok()) {
    Put(endpoint, *std::move(connection));
  }
  co_return result;
}

}  // namespace dandelion::http
