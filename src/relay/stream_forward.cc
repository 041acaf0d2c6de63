#include "relay/stream_forward.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "relay/event_splitter.h"
#include "relay/generation_size.h"
#include "relay/place_wait.h"
#include "relay/send_once.h"
#include "telemetry/events.h"

namespace dandelion::relay {
namespace {

using base::Millis;
using base::Task;
using moving::Place;
using moving::Run;
using moving::RunPtr;
using telemetry::Count;
using telemetry::Emit;
using telemetry::Event;
using telemetry::Timing;

constexpr int kOk = 200;
// A generation waits for capacity for at most this many times its answer aim. A
// late but complete answer is better than none.
constexpr int64_t kMaxWaitInTargets = 3;
constexpr int kHighestPriority = 0;
// Generations with a shorter output are urgent, because they free their memory
// soon.
constexpr int64_t kShortOutputTokens = 128;
// Longest wait for the result of the final copy after the stream broke.
constexpr Millis kFinalCopyTimeout{1500};

/// Forwards one generation, with retries and switches to KV cache copies.
class StreamForwarder {
 public:
  StreamForwarder(const ForwardServices& services,
                  ForwardCallPtr call,
                  fleet::Pool pool)
      : services_(services),
        call_(std::move(call)),
        pool_(std::move(pool)),
        run_(std::make_shared<Run>(services.executor)) {
    run_->id = call_->admitted.caller.id;
    run_->pool = pool_.name;
    run_->size = SizeOf(call_->admitted.caller);
    run_->tokens_per_event = pool_.engine->tokens_per_event;
    run_->last_event = call_->admitted.caller.after_event.value_or(0);
    resume_after_ = call_->admitted.caller.after_event;
  }

  ~StreamForwarder() {
    run_->ended = true;
    run_->final_copy_ended.cancel();
    services_.mover.Remove(run_);
    if (run_->copy && !run_->copy->cache.handle.empty()) {
      base::Spawn(services_.executor,
                  services_.engines.DropCopy(run_->copy->cache.source,
                                             run_->copy->cache.handle));
    }
  }
  StreamForwarder(const StreamForwarder&) = delete;
  StreamForwarder& operator=(const StreamForwarder&) = delete;

  /// Whether the head of an answer was sent to the caller.
  bool started() const { return started_; }

  /// Forwards the generation to its end.
  Task<ForwardResult> Forward() {
    MakePlaceRequest();
    WaitResult wait = co_await Wait();
    std::optional<Place> place = std::move(wait.place);
    if (!place) {
      result_.room_in = wait.room_in;
      co_return Ended(call_->EndReasonOr(SendEnd::kNotSent),
                      "no engine has enough free capacity");
    }
    while (place) {
      request_.excluded.insert(place->upstream);
      run_->place = std::move(*place);
      place = std::nullopt;
      const SendEnd end = co_await GenerateAtPlace();
      if (done_ || call_->ended()) {
        break;
      }
      PrepareResume();
      if (next_place_) {
        place = std::exchange(next_place_, std::nullopt);
      } else if (TryRetry(services_, *call_, pool_, end)) {
        wait = co_await Wait();
        place = std::move(wait.place);
      }
    }
    co_return result_;
  }

 private:
  void MakePlaceRequest() {
    request_.pool = pool_;
    request_.organisation = call_->admitted.organisation;
    call_->is_urgent = call_->admitted.priority == kHighestPriority ||
                       run_->size.output_tokens < kShortOutputTokens;
    request_.is_urgent = call_->is_urgent;
    run_->size.is_urgent = call_->is_urgent;
    request_.size = run_->size;
    request_.wait_until =
        std::min(call_->deadline(),
                 services_.clock.Now() +
                     call_->admitted.route.answer_target * kMaxWaitInTargets);
  }

  Task<WaitResult> Wait() {
    return WaitForPlace(services_.placer, services_.clock, request_,
                        call_->wake);
  }

  ForwardResult Ended(SendEnd end, std::string reason) {
    result_.end = end;
    if (result_.reason.empty()) {
      result_.reason = std::move(reason);
    }
    return result_;
  }

  // Runs the generation at `run_->place`, and from KV cache copies when its
  // stream breaks and there is one.
  Task<SendEnd> GenerateAtPlace() {
    services_.mover.Add(run_);
    SendEnd end = co_await PassStream(std::nullopt);
    while (!done_ && !call_->ended()) {
      const bool switched = co_await SwitchToCopy();
      if (!switched) {
        break;
      }
      const KvCacheCopy from = std::exchange(resume_copy_, {});
      end = co_await PassStream(from);
    }
    services_.mover.Remove(run_);
    if (!done_) {
      Ended(call_->EndReasonOr(end), "");
    }
    co_return end;
  }

  // Prepares a resend that continues after the last event that was forwarded.
  void PrepareResume() {
    if (started_) {
      resume_after_ = run_->last_event;
    }
    run_->has_events = false;
    splitter_.Reset();
  }

  // Switches to the KV cache copy that the mover has made, if there is one.
  // Waits for the result of a final copy that is under way. Returns false if
  // there is no copy.
  Task<bool> SwitchToCopy() {
    if (run_->final_copy_running) {
      co_await base::WaitFor(run_->final_copy_ended, kFinalCopyTimeout);
    }
    if (!run_->copy || run_->copy->cache.handle.empty()) {
      co_return false;
    }
    services_.mover.Remove(run_);
    moving::PlacedCopy copy = *std::move(run_->copy);
    run_->copy.reset();
    resume_copy_ = copy.cache;
    const base::UpstreamId from = run_->place.upstream;
    run_->place = std::move(copy.place);
    PrepareResume();
    services_.metrics.Add(Count::kResumes);
    Emit(Event::kStreamResumed,
         {{"request", run_->id.value()},
          {"from", from.value()},
          {"upstream", run_->place.upstream.value()},
          {"after_event", absl::StrCat(run_->last_event)}});
    run_->moving = false;
    services_.mover.Add(run_);
    co_return true;
  }

  // Sends the request to `run_->place` and forwards events until the stream
  // ends or breaks.
  Task<SendEnd> PassStream(std::optional<KvCacheCopy> copy) {
    UpstreamReply reply = co_await SendOnce(services_, call_, run_->place,
                                            std::move(copy), resume_after_);
    if (reply.end != SendEnd::kAnswered) {
      result_.reason = reply.reason;
      co_return reply.end;
    }
    const absl::Cleanup closed = [this] { call_->SetConnection(nullptr); };
    if (reply.head.status != kOk) {
      co_return co_await HandleEngineError(reply);
    }
    co_return co_await PassEvents(reply);
  }

  // Passes an engine's error to the caller, unless another engine can be tried
  // now or part of a stream was already sent.
  Task<SendEnd> HandleEngineError(UpstreamReply& reply) {
    next_place_ = PlaceRetry(services_, *call_, request_, SendEnd::kAnswered);
    if (!started_ && !next_place_) {
      result_ = co_await PassAnswer(services_, call_, reply, "");
      done_ = true;
      co_return SendEnd::kAnswered;
    }
    result_.reason =
        absl::StrCat("the engine answered with status ", reply.head.status);
    co_return SendEnd::kBroken;
  }

  Task<SendEnd> PassEvents(UpstreamReply& reply) {
    const Millis sent_at = services_.clock.Now();
    Millis last_event_at = sent_at;
    for (;;) {
      const absl::StatusOr<std::string_view> piece =
          co_await reply.connection->ReadSome(
              call_->OperationTimeout(services_.clock.Now()));
      if (!piece.ok()) {
        result_.reason = std::string(piece.status().message());
        services_.health.RecordAttempt(run_->place.upstream,
                                       routing::AttemptOutcome::kFailure,
                                       services_.clock.Now());
        co_return call_->EndReasonOr(SendEnd::kBroken);
      }
      if (piece->empty()) {
        co_return co_await FinishStream(reply);
      }
      const bool passed = co_await PassPiece(reply, *piece, &last_event_at);
      if (!passed) {
        co_return call_->EndReasonOr(SendEnd::kCallerGone);
      }
    }
  }

  // Forwards the events that `piece` completes. Returns false if writing to the
  // caller fails.
  Task<bool> PassPiece(UpstreamReply& reply,
                       std::string_view piece,
                       Millis* last_event_at) {
    std::string bytes;
    for (StreamEvent& event : splitter_.Feed(piece)) {
      if (event.id && resume_after_ && *event.id <= run_->last_event) {
        continue;  // Already sent to the caller.
      }
      if (event.id) {
        run_->last_event = *event.id;
      }
      bytes += event.bytes;
      RecordEvent(last_event_at);
    }
    if (bytes.empty()) {
      co_return true;
    }
    if (!started_) {
      const absl::Status head = co_await StartAnswer(reply);
      if (!head.ok()) {
        co_return false;
      }
    }
    const absl::Status written = co_await call_->exchange.Write(bytes);
    co_return written.ok();
  }

  // Records the time to the first event, or since the last one.
  void RecordEvent(Millis* last_event_at) {
    const Millis now = services_.clock.Now();
    if (!run_->has_events) {
      run_->has_events = true;
      run_->place.ticket.MarkPromptProcessed();
    } else {
      const double token_ms =
          static_cast<double>((now - *last_event_at).count()) /
          static_cast<double>(run_->tokens_per_event);
      services_.health.RecordTokenTime(run_->place.upstream, token_ms);
    }
    if (!started_) {
      services_.metrics.Observe(
          Timing::kFirstToken, call_->admitted.organisation,
          call_->admitted.route.name.value(), (now - call_->arrived).seconds());
    }
    *last_event_at = now;
  }

  Task<absl::Status> StartAnswer(UpstreamReply& reply) {
    started_ = true;
    result_.status = reply.head.status;
    http::Response head;
    head.status = reply.head.status;
    head.headers = http::WithoutConnectionHeaders(reply.head.headers);
    co_return co_await call_->exchange.StartStream(std::move(head));
  }

  // Ends the caller's answer, unless the stream ended within an event.
  Task<SendEnd> FinishStream(UpstreamReply& reply) {
    if (!splitter_.rest().empty()) {
      result_.reason = "the stream ended in the middle of an event";
      co_return SendEnd::kBroken;
    }
    if (!started_) {
      const absl::Status head = co_await StartAnswer(reply);
      if (!head.ok()) {
        co_return SendEnd::kCallerGone;
      }
    }
    (void)co_await call_->exchange.Finish();
    done_ = true;
    result_.end = SendEnd::kAnswered;
    result_.reason.clear();
    co_return SendEnd::kAnswered;
  }

  const ForwardServices& services_;
  ForwardCallPtr call_;
  PlaceRequest request_;
  /// Place for the next send, if one was already chosen.
  std::optional<Place> next_place_;
  fleet::Pool pool_;
  RunPtr run_;
  EventSplitter splitter_;
  /// Number of the event after which the engine is asked to continue.
  std::optional<int64_t> resume_after_;
  /// The copy from which the next send continues.
  KvCacheCopy resume_copy_;
  /// Whether the head of the answer was sent to the caller.
  bool started_ = false;
  /// Whether the caller was sent its final answer.
  bool done_ = false;
  ForwardResult result_;
};

}  // namespace

Task<ForwardResult> ForwardStream(const ForwardServices& services,
                                  ForwardCallPtr call,
                                  fleet::Pool pool) {
  StreamForwarder forward(services, call, std::move(pool));
  ForwardResult result = co_await forward.Forward();
  if (forward.started() && result.end != SendEnd::kAnswered) {
    Emit(Event::kRunLost, {{"request", call->admitted.caller.id.value()},
                           {"end", std::string(ToString(result.end))},
                           {"reason", result.reason}});
    services.metrics.Add(Count::kGenerationsLost);
    call->exchange.Abort();
    result.end = SendEnd::kAnswered;
  }
  co_return result;
}

}  // namespace dandelion::relay
