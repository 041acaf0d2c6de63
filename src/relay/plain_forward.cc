#include "relay/plain_forward.h"

#include <utility>

#include "relay/send_once.h"

namespace dandelion::relay {
namespace {

using base::Millis;
using base::Task;

// Bytes of an answer that are buffered before it is passed on.
constexpr size_t kMaxBufferedBody = 64 * 1024;
// What is held of an answer that is read, beside what has been read: a string
// that grows takes up to twice its bytes.
constexpr size_t kReadingBytes = size_t{32} * 1024;
// A request waits for a slot for at most this many times its answer target.
constexpr int64_t kMaxWaitInTargets = 2;
constexpr int kFirstServerError = 500;
constexpr int kFirstSuccess = 200;
constexpr int kLastSuccess = 299;
constexpr char kIncompleteReason[] =
    "the connection failed before the answer was complete";

struct ReadBody {
  std::string bytes;
  /// The end of the body was read.
  bool complete = false;
  /// Reading failed.
  bool broken = false;
};

// Reads no more than there is room for; the rest is passed on as it comes.
Task<ReadBody> ReadShortBody(const ForwardServices& services,
                             http::Exchange& exchange,
                             http::Connection& connection,
                             Millis timeout,
                             AnswerEvidence& evidence) {
  ReadBody body;
  while (body.bytes.size() < kMaxBufferedBody &&
         exchange.HoldAnswer(2 * body.bytes.size() + kReadingBytes)) {
    const absl::StatusOr<std::string_view> piece =
        co_await connection.ReadSome(timeout);
    if (!piece.ok()) {
      evidence.RecordFailedRead(connection);
      body.broken = true;
      co_return body;
    }
    if (piece->empty()) {
      body.complete = true;
      co_return body;
    }
    body.bytes.append(*piece);
    evidence.RecordContent(services.clock.Now());
  }
  co_return body;
}

// Returns the head for an answer that is streamed.
http::Response MakeStreamHead(const http::Response& head) {
  http::Response response;
  response.status = head.status;
  response.headers = http::WithoutHopByHopHeaders(head.headers);
  return response;
}

// Returns an answer that is sent with its complete body.
http::Response MakeCompleteResponse(const http::Response& head,
                                    std::string body) {
  http::Response response;
  response.status = head.status;
  response.headers = http::WithoutHopByHopHeaders(head.headers);
  // It is set again from the body.
  response.headers.Remove("Content-Length");
  response.body = std::move(body);
  return response;
}

PlaceRequest MakePlaceRequest(const ForwardServices& services,
                              ForwardCall& call,
                              const fleet::Pool& pool) {
  PlaceRequest request;
  request.pool = pool;
  request.begun_at = call.begun_at;
  request.organisation = call.admitted.organisation;
  request.version_draw = DrawVersion(call);
  request.answer_target = call.admitted.route.answer_target;
  request.answer_by = call.arrived + request.answer_target;
  request.deadline = call.deadline();
  request.wait_until =
      std::min(call.deadline(),
               services.clock.Now() +
                   call.admitted.route.answer_target * kMaxWaitInTargets);
  return request;
}

// Records a complete answer, which shows that the upstream kept running if it
// is a success.
void RecordComplete(const UpstreamReply& reply,
                    AnswerEvidence& evidence,
                    Millis now) {
  const int status = reply.head.status;
  if (status >= kFirstSuccess && status <= kLastSuccess) {
    evidence.RecordComplete(now);
  }
}

// An answer and its body, as far as it was buffered.
struct BufferedReply {
  UpstreamReply head;
  ReadBody body;
  // The answer broke, and a part of the prompt may be the cause.
  bool may_crash_engines = false;
};

Task<BufferedReply> SendAndReadBody(const ForwardServices& services,
                                    ForwardCallPtr call,
                                    const migration::Place& place,
                                    AnswerEvidence& evidence) {
  BufferedReply reply;
  reply.head =
      co_await SendOnce(services, call, place, std::nullopt, std::nullopt);
  if (reply.head.end == SendOutcome::kAnswered) {
    const Millis now = services.clock.Now();
    evidence.RecordHead(now);
    reply.body =
        co_await ReadShortBody(services, call->exchange, *reply.head.connection,
                               call->OperationTimeout(now), evidence);
  } else if (reply.head.ended_in_head) {
    evidence.RecordEndInHead();
  }
  if (reply.body.broken) {
    reply.head.connection->Close();
    RecordBrokenAnswer(services, *call, place.upstream);
    reply.head.end = call->EndReasonOr(SendOutcome::kBroken);
    reply.head.reason = kIncompleteReason;
  }
  if (reply.head.end == SendOutcome::kBroken) {
    reply.may_crash_engines =
        evidence.RecordBreak(reply.head.reason, services.clock.Now());
  }
  co_return reply;
}

}  // namespace

Task<ForwardResult> ForwardPlain(const ForwardServices& services,
                                 ForwardCallPtr call,
                                 fleet::Pool pool) {
  PlaceRequest request = MakePlaceRequest(services, *call, pool);
  WaitResult wait = co_await WaitForSend(services, call, request);
  std::optional<migration::Place> place = std::move(wait.place);
  ForwardResult result;
  result.end = call->EndReasonOr(UnsentOutcome(wait));
  result.reason = UnsentReason(wait);
  result.capacity_in = wait.capacity_in;
  while (place) {
    AnswerEvidence evidence(services, call, place->upstream);
    BufferedReply reply =
        co_await SendAndReadBody(services, call, *place, evidence);
    const bool failed = reply.head.end == SendOutcome::kAnswered &&
                        reply.head.head.status >= kFirstServerError &&
                        call->admitted.route.MayRunTwice();
    const base::UpstreamId upstream = place->upstream;
    request.excluded.insert(upstream);
    place.reset();
    if (failed) {
      place = PlaceRetry(services, *call, request, reply.head.end);
    } else if (reply.head.end != SendOutcome::kAnswered &&
               !reply.may_crash_engines &&
               TryRetry(services, *call, pool, reply.head.end)) {
      wait = co_await WaitForSend(services, call, request);
      place = std::move(wait.place);
    }
    if (!place && reply.head.end == SendOutcome::kAnswered) {
      co_return co_await PassAnswer(services, call, upstream, reply.head,
                                    std::move(reply.body.bytes), evidence);
    }
    call->SetConnection(nullptr);
    result.end = reply.head.end;
    result.reason = reply.head.reason;
  }
  co_return result;
}

Task<ForwardResult> PassAnswer(const ForwardServices& services,
                               ForwardCallPtr call,
                               base::UpstreamId upstream,
                               UpstreamReply& reply,
                               std::string first,
                               AnswerEvidence& evidence) {
  ForwardResult result;
  result.end = SendOutcome::kAnswered;
  result.status = reply.head.status;
  co_await services.origins.AwaitRecorded(call->admitted.caller.id);
  http::Connection& connection = *reply.connection;
  const bool is_head_request = call->exchange.request().method == "HEAD";
  absl::StatusOr<std::string_view> piece = co_await connection.ReadSome(
      call->OperationTimeout(services.clock.Now()));
  if (!piece.ok()) {
    // Nothing was sent to the caller yet, so a failure can still be reported.
    call->SetConnection(nullptr);
    result.end = call->EndReasonOr(SendOutcome::kBroken);
    result.reason = std::string(piece.status().message());
    if (result.end == SendOutcome::kBroken) {
      evidence.RecordFailedRead(connection);
      evidence.RecordBreak(result.reason, services.clock.Now());
    }
    co_return result;
  }
  if (piece->empty()) {
    RecordComplete(reply, evidence, services.clock.Now());
  }
  if (piece->empty() && !is_head_request) {
    http::Response complete =
        MakeCompleteResponse(reply.head, std::move(first));
    call->answer_started = true;
    (void)co_await call->exchange.Respond(std::move(complete));
    co_return result;
  }
  http::Response head = MakeStreamHead(reply.head);
  call->answer_started = true;
  absl::Status written = co_await call->exchange.StartStream(std::move(head));
  if (written.ok() && !first.empty()) {
    written = co_await call->exchange.Write(first);
    // Not kept while the rest is passed on.
    std::string().swap(first);
  }
  while (written.ok() && piece.ok() && !piece->empty()) {
    evidence.RecordContent(services.clock.Now());
    written = co_await call->exchange.Write(*piece);
    if (written.ok()) {
      piece = co_await connection.ReadSome(
          call->OperationTimeout(services.clock.Now()));
    }
  }
  if (written.ok() && piece.ok()) {
    RecordComplete(reply, evidence, services.clock.Now());
    (void)co_await call->exchange.Finish();
    co_return result;
  }
  if (!piece.ok()) {
    RecordBrokenAnswer(services, *call, upstream);
  }
  if (!piece.ok() &&
      call->EndReasonOr(SendOutcome::kBroken) == SendOutcome::kBroken) {
    evidence.RecordFailedRead(connection);
    evidence.RecordBreak(kIncompleteReason, services.clock.Now());
  }
  result.reason = written.ok()
                      ? kIncompleteReason
                      : "the answer could not be written to the caller";
  call->exchange.Abort();
  co_return result;
}

}  // namespace dandelion::relay
