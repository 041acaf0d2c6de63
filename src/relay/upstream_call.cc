#include "relay/upstream_call.h"

#include <utility>

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "absl/strings/str_cat.h"

namespace dandelion::relay {
namespace {

using base::Millis;
using base::Task;

constexpr int kFirstSuccess = 200;
constexpr int kLastSuccess = 299;
// Bodies up to this size are sent completely before the answer is read. An
// upstream may answer a longer request before it has read it, so the answer is
// read while the request is sent.
constexpr size_t kMaxSequentialBody = 2 * 1024;
// Answers to other requests that are skipped on one connection, and bytes of
// their bodies in all.
constexpr int kMaxSkippedAnswers = 16;
constexpr size_t kMaxSkippedBytes = 4 * 1024 * 1024;

bool IsSuccess(int status) {
  return status >= kFirstSuccess && status <= kLastSuccess;
}

// Reads and discards the rest of an answer, and subtracts its length from
// `bytes_left`. Returns false if reading fails or the answer is longer.
Task<bool> SkipBody(http::Connection& connection,
                    Millis timeout,
                    size_t* bytes_left) {
  for (;;) {
    const absl::StatusOr<std::string_view> piece =
        co_await connection.ReadSome(timeout);
    if (!piece.ok() || piece->size() > *bytes_left) {
      co_return false;
    }
    if (piece->empty()) {
      co_return true;
    }
    *bytes_left -= piece->size();
  }
}

// Whether `answer` shows that another upstream has the address now. Without a
// name in the answer that is assumed, unless the intended upstream may have
// refused the version that the caller requires.
bool IsFromOtherUpstream(const UpstreamCall& call,
                         const UpstreamResponseHead& answer) {
  if (!answer.misdirected) {
    return false;
  }
  return answer.upstream.empty() ? !call.requires_version
                                 : answer.upstream != call.upstream;
}

// Classifies an answer by its head. Sets `reason` unless it is `kAnswered`.
SendOutcome ClassifyAnswer(const UpstreamCall& call,
                           const UpstreamResponseHead& answer,
                           int status,
                           std::string* reason) {
  if (IsFromOtherUpstream(call, answer)) {
    *reason = "the address belongs to another upstream";
    return SendOutcome::kOtherUpstream;
  }
  if (answer.not_executed) {
    *reason =
        absl::StrCat("the upstream rejected the request with status ", status);
    return SendOutcome::kNotRun;
  }
  if (answer.has_content_encoding || (IsSuccess(status) && !answer.has_seal)) {
    *reason = "the answer is encoded or lacks the upstream's seal";
    return SendOutcome::kBroken;
  }
  return SendOutcome::kAnswered;
}

// Reads the head of an answer while its request is sent. Closes the connection
// if that fails, because an upstream without an answer may not read the rest.
Task<absl::StatusOr<http::Response>> ReadHeadDuringSend(
    http::Connection& connection,
    Millis timeout) {
  absl::StatusOr<http::Response> head = co_await connection.ReadHead(timeout);
  if (!head.ok()) {
    connection.Close();
  }
  co_return head;
}

Task<absl::StatusOr<http::Response>> SendAndReadHead(
    http::Connection& connection,
    const UpstreamCall& call) {
  using boost::asio::experimental::awaitable_operators::operator&&;
  if (call.body.size() <= kMaxSequentialBody) {
    const absl::Status sent = co_await connection.Send(call.request, call.body,
                                                       call.response_timeout);
    if (!sent.ok()) {
      co_return sent;
    }
    co_return co_await connection.ReadHead(call.response_timeout);
  }
  auto [sent, head] = co_await (
      connection.Send(call.request, call.body, call.response_timeout) &&
      ReadHeadDuringSend(connection, call.response_timeout));
  co_return std::move(head);
}

// Calls an upstream. The connection may still be open when this failed.
Task<UpstreamReply> ConnectAndCall(const PlatformProtocol& protocol,
                                   UpstreamCall call) {
  UpstreamReply reply;
  absl::StatusOr<std::unique_ptr<http::Connection>> connection =
      co_await http::Connect(call.address, call.connect_timeout);
  if (!connection.ok()) {
    reply.reason = std::string(connection.status().message());
    co_return reply;
  }
  reply.connection = *std::move(connection);
  call.on_connection(reply.connection.get());
  reply.end = SendOutcome::kBroken;
  absl::StatusOr<http::Response> head =
      co_await SendAndReadHead(*reply.connection, call);
  size_t bytes_left = kMaxSkippedBytes;
  for (int skipped = 0; head.ok(); ++skipped) {
    reply.answer = protocol.parse_response_head(*head);
    const bool for_other_request =
        !reply.answer.request.empty() && reply.answer.request != call.id;
    if (!for_other_request) {
      break;
    }
    if (skipped == kMaxSkippedAnswers) {
      reply.reason = "too many answers to other requests";
      co_return reply;
    }
    const bool read_to_end = co_await SkipBody(
        *reply.connection, call.response_timeout, &bytes_left);
    if (!read_to_end) {
      reply.reason = "the answer to another request could not be skipped";
      co_return reply;
    }
    head = co_await reply.connection->ReadHead(call.response_timeout);
  }
  if (!head.ok()) {
    reply.reason = std::string(head.status().message());
    reply.ended_in_head = reply.connection->EndedByPeer();
    co_return reply;
  }
  reply.head = *std::move(head);
  reply.has_head = true;
  reply.end =
      ClassifyAnswer(call, reply.answer, reply.head.status, &reply.reason);
  co_return reply;
}

}  // namespace

Task<UpstreamReply> CallUpstream(const PlatformProtocol& protocol,
                                 UpstreamCall call) {
  UpstreamReply reply = co_await ConnectAndCall(protocol, std::move(call));
  if (reply.connection && reply.end != SendOutcome::kAnswered) {
    reply.connection->Close();
  }
  co_return reply;
}

}  // namespace dandelion::relay
