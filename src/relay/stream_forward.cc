#include "relay/stream_forward.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "relay/answer_evidence.h"
#include "relay/event_splitter.h"
#include "relay/generation_size.h"
#include "relay/send_once.h"
#include "relay/token_pace.h"
#include "telemetry/events.h"

namespace dandelion::relay {
namespace {

using base::Millis;
using base::Task;
using migration::ActiveGeneration;
using migration::GenerationPtr;
using migration::Place;
using telemetry::CounterId;
using telemetry::Emit;
using telemetry::Event;
using telemetry::Timing;

constexpr int kOk = 200;
// A generation waits for capacity for at most this many times its answer
// target. A late but complete answer is better than none.
constexpr int64_t kMaxWaitInTargets = 3;
constexpr int kHighestPriority = 0;
// Generations with a shorter output are urgent, because they free their memory
// soon.
constexpr int64_t kShortOutputTokens = 128;
// Longest wait for the result of the final copy after the stream broke.
constexpr Millis kFinalCopyTimeout{1500};
// A stream with a longer event is broken.
constexpr size_t kMaxEventBytes = 1024 * 1024;
// Events up to this size need no room of their own.
constexpr size_t kSmallEventBytes = size_t{16} * 1024;

/// Forwards one generation, with retries and switches to KV cache copies.
class StreamForwarder {
 public:
  StreamForwarder(const ForwardServices& services,
                  ForwardCallPtr call,
                  fleet::Pool pool)
      : services_(services),
        call_(std::move(call)),
        pool_(std::move(pool)),
        generation_(std::make_shared<ActiveGeneration>(services.executor)) {
    generation_->id = call_->admitted.caller.id;
    generation_->pool = pool_.name;
    generation_->size = EstimateSize(call_->admitted.caller);
    generation_->tokens_per_event = pool_.engine->tokens_per_event;
    generation_->last_event = call_->admitted.caller.after_event.value_or(0);
    resume_after_ = call_->admitted.caller.after_event;
  }

  ~StreamForwarder() {
    generation_->ended = true;
    generation_->final_copy_ended.cancel();
    services_.migrator.Remove(generation_);
    if (done_ || !started_) {
      services_.origins.End(generation_->id);
    }
    if (generation_->copy && !generation_->copy->cache.handle.empty()) {
      base::Spawn(services_.executor,
                  services_.engines.FreeCopy(generation_->copy->cache.source,
                                             generation_->copy->cache.handle));
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
      co_return EndedWithoutPlace(wait);
    }
    while (place && MayGoOn()) {
      request_.excluded.insert(place->upstream);
      generation_->place = std::move(*place);
      place = std::nullopt;
      const SendOutcome end = co_await GenerateAtPlace();
      if (done_ || call_->ended() || may_crash_engines_ || !MayGoOn()) {
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
    request_.begun_at = call_->begun_at;
    request_.organisation = call_->admitted.organisation;
    request_.version_draw = DrawVersion(*call_);
    request_.answer_target = call_->admitted.route.answer_target;
    request_.answer_by = call_->arrived + request_.answer_target;
    request_.deadline = call_->deadline();
    call_->is_urgent = call_->admitted.priority == kHighestPriority ||
                       generation_->size.output_tokens < kShortOutputTokens;
    request_.is_urgent = call_->is_urgent;
    generation_->size.is_urgent = call_->is_urgent;
    request_.size = generation_->size;
    request_.wait_until =
        std::min(call_->deadline() - EstimateDuration(generation_->size),
                 services_.clock.Now() +
                     call_->admitted.route.answer_target * kMaxWaitInTargets);
  }

  Task<WaitResult> Wait() { return WaitForSend(services_, call_, request_); }

  // Whether the version that began the stream is known, once it has begun.
  bool MayGoOn() const {
    return !started_ || !services_.placer.HasOtherVersion(generation_->place);
  }

  ForwardResult Ended(SendOutcome end, std::string reason) {
    result_.end = end;
    if (result_.reason.empty()) {
      result_.reason = std::move(reason);
    }
    return result_;
  }

  ForwardResult EndedWithoutPlace(const WaitResult& wait) {
    result_.capacity_in = wait.capacity_in;
    return Ended(call_->EndReasonOr(UnsentOutcome(wait)), UnsentReason(wait));
  }

  // Runs the generation at `generation_->place`, and from KV cache copies when
  // its stream breaks and there is one.
  Task<SendOutcome> GenerateAtPlace() {
    services_.migrator.Add(generation_);
    SendOutcome end = co_await PassStream(std::nullopt);
    while (!done_ && !call_->ended() && !may_crash_engines_) {
      const bool switched = co_await SwitchToCopy(end);
      if (!switched) {
        break;
      }
      const KvCacheCopy from = std::exchange(resume_copy_, {});
      end = co_await PassStream(from);
    }
    services_.migrator.Remove(generation_);
    if (!done_) {
      Ended(call_->EndReasonOr(end), "");
    }
    co_return end;
  }

  // Prepares a resend that continues after the last event that was forwarded.
  void PrepareResume() {
    if (started_) {
      resume_after_ = generation_->last_event;
      // Its caller waits for the next event, not for the first.
      request_.answer_target = Millis(0);
    }
    generation_->has_events = false;
    generation_->may_be_stopped = false;
    splitter_.Reset();
  }

  // Takes the KV cache copy that the migrator has made. If an engine refused
  // the last copy with `end`, takes the one of the source that has stopped.
  std::optional<migration::PlacedCopy> TakeCopy(SendOutcome end) {
    std::optional<migration::PlacedCopy> copy =
        std::exchange(copy_at_source_, std::nullopt);
    if (!MayGoOn()) {
      return std::nullopt;
    }
    if (generation_->copy && !generation_->copy->cache.handle.empty()) {
      copy = std::exchange(generation_->copy, std::nullopt);
      if (copy->stopped_source) {
        copy_at_source_.emplace();
        copy_at_source_->place = *std::move(copy->stopped_source);
        copy_at_source_->cache = copy->cache;
      }
      return copy;
    }
    return DidNotRun(end) ? std::move(copy) : std::nullopt;
  }

  // Waits once for the result of a final copy that is under way.
  Task<void> AwaitFinalCopy() {
    if (generation_->final_copy_running && !call_->ended() &&
        !awaited_final_copy_) {
      awaited_final_copy_ = true;
      co_await base::SleepOnTimer(generation_->final_copy_ended,
                                  kFinalCopyTimeout);
    }
  }

  // Switches to a KV cache copy, if there is one. Waits for the result of a
  // final copy that is under way. Returns false if there is no copy.
  Task<bool> SwitchToCopy(SendOutcome end) {
    co_await AwaitFinalCopy();
    std::optional<migration::PlacedCopy> taken = TakeCopy(end);
    if (!taken) {
      co_return false;
    }
    services_.migrator.Remove(generation_);
    migration::PlacedCopy copy = *std::move(taken);
    resume_copy_ = copy.cache;
    const base::UpstreamId from = generation_->place.upstream;
    generation_->place = std::move(copy.place);
    PrepareResume();
    services_.metrics.Add(CounterId::kResumes);
    Emit(Event::kStreamResumed,
         {{"request", generation_->id.value()},
          {"from", from.value()},
          {"upstream", generation_->place.upstream.value()},
          {"version", generation_->place.version.value()},
          {"after_event", absl::StrCat(generation_->last_event)}});
    generation_->migrating = false;
    services_.migrator.Add(generation_);
    co_return true;
  }

  // Sends the request to `generation_->place` and forwards events until the
  // stream ends or breaks.
  Task<SendOutcome> PassStream(std::optional<KvCacheCopy> copy) {
    evidence_.emplace(services_, call_, generation_->place.upstream);
    awaited_final_copy_ = false;
    pace_ = {};
    UpstreamReply reply = co_await SendOnce(
        services_, call_, generation_->place, std::move(copy), resume_after_);
    if (reply.end != SendOutcome::kAnswered) {
      result_.reason = reply.reason;
      if (reply.ended_in_head) {
        evidence_->RecordEndInHead();
      }
      RecordIfBroken(reply.end);
      co_return reply.end;
    }
    const absl::Cleanup closed = [this] { call_->SetConnection(nullptr); };
    if (reply.head.status != kOk) {
      co_return co_await HandleEngineError(reply);
    }
    evidence_->RecordHead(services_.clock.Now());
    const SendOutcome end = co_await PassEvents(reply);
    RecordIfBroken(end);
    co_return end;
  }

  // Records the end of an answer that the engine broke off, unless it was told
  // to stop the generation.
  void RecordIfBroken(SendOutcome end) {
    if (end == SendOutcome::kBroken && !generation_->may_be_stopped) {
      may_crash_engines_ =
          evidence_->RecordBreak(result_.reason, services_.clock.Now());
    }
  }

  // Passes an engine's error to the caller, unless another engine can be tried
  // now or part of a stream was already sent.
  Task<SendOutcome> HandleEngineError(UpstreamReply& reply) {
    next_place_ =
        PlaceRetry(services_, *call_, request_, SendOutcome::kAnswered);
    if (!started_ && !next_place_) {
      result_ = co_await PassAnswer(
          services_, call_, generation_->place.upstream, reply, "", *evidence_);
      done_ = true;
      co_return SendOutcome::kAnswered;
    }
    result_.reason =
        absl::StrCat("the engine answered with status ", reply.head.status);
    co_return SendOutcome::kBroken;
  }

  Task<SendOutcome> PassEvents(UpstreamReply& reply) {
    const Millis sent_at = services_.clock.Now();
    Millis last_event_at = sent_at;
    for (;;) {
      const absl::StatusOr<std::string_view> piece =
          co_await reply.connection->ReadSome(
              call_->OperationTimeout(services_.clock.Now()));
      if (!piece.ok()) {
        evidence_->RecordFailedRead(*reply.connection);
        co_return co_await StreamBroke(std::string(piece.status().message()));
      }
      if (!generation_->has_events && !MayGoOn()) {
        evidence_->RecordOwnEnd();
        co_return co_await StreamBroke(
            "the engine restarted with another version");
      }
      if (piece->empty()) {
        co_return co_await FinishStream(reply);
      }
      const bool passed = co_await PassPiece(reply, *piece, &last_event_at);
      if (!passed) {
        co_return call_->EndReasonOr(SendOutcome::kCallerGone);
      }
      const size_t held = splitter_.incomplete().size();
      if (held > kMaxEventBytes ||
          (held > kSmallEventBytes && !call_->exchange.HoldAnswer(held))) {
        evidence_->RecordOwnEnd();
        co_return co_await StreamBroke(
            held > kMaxEventBytes
                ? "an event of the stream exceeds the size limit"
                : "there is no memory for a large event of the stream");
      }
    }
  }

  // Ends a stream that broke. That is the engine's failure unless it was told
  // to stop the generation.
  Task<SendOutcome> StreamBroke(std::string reason) {
    result_.reason = std::move(reason);
    co_await AwaitFinalCopy();
    if (!generation_->may_be_stopped) {
      RecordBrokenAnswer(services_, *call_, generation_->place.upstream);
    }
    co_return call_->EndReasonOr(SendOutcome::kBroken);
  }

  // Forwards the events that `piece` completes. Returns false if writing to the
  // caller fails.
  Task<bool> PassPiece(UpstreamReply& reply,
                       std::string_view piece,
                       Millis* last_event_at) {
    std::string bytes;
    for (StreamEvent& event : splitter_.Append(piece)) {
      if (event.id && resume_after_ && *event.id <= generation_->last_event) {
        continue;  // Already sent to the caller.
      }
      if (event.id) {
        generation_->last_event = *event.id;
      }
      bytes += event.bytes;
      RecordEvent(last_event_at);
      UpdateSize();
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

  // Reserves more memory for an output that exceeds its estimate, so that fewer
  // others are placed on its engine.
  void UpdateSize() {
    routing::GenerationSize& size = generation_->size;
    const int64_t expected =
        ExpectedOutput(size, generation_->TokensMade(),
                       call_->admitted.caller.max_output_tokens);
    if (expected > size.output_tokens) {
      size.output_tokens = expected;
      generation_->place.reservation.RaiseTokens(size.TotalTokens());
    }
  }

  // Records the time to the first event, or since the last one.
  void RecordEvent(Millis* last_event_at) {
    const Millis now = services_.clock.Now();
    if (!generation_->has_events) {
      generation_->has_events = true;
      generation_->place.reservation.MarkPromptProcessed();
      services_.placer.RecordFirstToken(pool_.name, generation_->place);
    } else {
      const double token_ms =
          static_cast<double>((now - *last_event_at).count()) /
          static_cast<double>(generation_->tokens_per_event);
      services_.placer.RecordTokenTime(generation_->place.upstream, token_ms);
      RecordPace(token_ms);
    }
    if (!started_) {
      services_.metrics.Observe(
          Timing::kFirstToken, call_->admitted.organisation,
          call_->admitted.route.name.value(), (now - call_->arrived).seconds());
    }
    evidence_->RecordContent(now);
    *last_event_at = now;
  }

  // Counts the time per token for the pool's roll-out: once for each answer, as
  // the times within one depend on each other.
  void RecordPace(double token_ms) {
    if (const std::optional<double> mean_ms = pace_.Record(token_ms)) {
      services_.rollouts.RecordTokenTime(generation_->place.upstream,
                                         call_->admitted.route.name, *mean_ms);
    }
  }

  Task<absl::Status> StartAnswer(UpstreamReply& reply) {
    started_ = true;
    request_.begun_at = generation_->place.version;
    call_->answer_started = true;
    co_await services_.origins.AwaitRecorded(generation_->id);
    result_.status = reply.head.status;
    http::Response head;
    head.status = reply.head.status;
    head.headers = http::WithoutHopByHopHeaders(reply.head.headers);
    // If the stream breaks, another engine's events complete it, and their
    // length is not known.
    head.headers.Remove("Content-Length");
    co_return co_await call_->exchange.StartStream(std::move(head));
  }

  // Ends the caller's answer, unless the stream ended within an event or
  // because the engine was told to stop the generation.
  Task<SendOutcome> FinishStream(UpstreamReply& reply) {
    if (!splitter_.incomplete().empty()) {
      co_return co_await StreamBroke(
          "the stream ended in the middle of an event");
    }
    if (reply.connection->BodyEndsWithConnection()) {
      co_await AwaitFinalCopy();
      if (generation_->may_be_stopped) {
        co_return co_await StreamBroke(
            "the generation was stopped for its final copy");
      }
    }
    // The end of a connection may look like the end of an answer that an engine
    // had only begun when it crashed.
    if (!generation_->has_events && !resume_after_) {
      co_return co_await StreamBroke("the stream ended before its first event");
    }
    if (!started_) {
      const absl::Status head = co_await StartAnswer(reply);
      if (!head.ok()) {
        co_return SendOutcome::kCallerGone;
      }
    }
    evidence_->RecordComplete(services_.clock.Now());
    (void)co_await call_->exchange.Finish();
    done_ = true;
    result_.end = SendOutcome::kAnswered;
    result_.reason.clear();
    co_return SendOutcome::kAnswered;
  }

  const ForwardServices& services_;
  ForwardCallPtr call_;
  PlaceRequest request_;
  /// Place for the next send, if one was already chosen.
  std::optional<Place> next_place_;
  fleet::Pool pool_;
  GenerationPtr generation_;
  EventSplitter splitter_;
  /// Number of the event after which the engine is asked to continue.
  std::optional<int64_t> resume_after_;
  /// What the current answer says about the parts of the prompt.
  std::optional<AnswerEvidence> evidence_;
  /// Times between events of the current answer.
  TokenPace pace_;
  /// The result of the final copy was waited for after the stream's end.
  bool awaited_final_copy_ = false;
  /// The answer broke as it began, and the prompt has a part that may be the
  /// cause. Another engine would crash as well.
  bool may_crash_engines_ = false;
  /// The copy from which the next send continues.
  KvCacheCopy resume_copy_;
  /// The copy to use if the engine refuses `resume_copy_`.
  std::optional<migration::PlacedCopy> copy_at_source_;
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
  if (forward.started() && result.end != SendOutcome::kAnswered) {
    Emit(Event::kRunLost, {{"request", call->admitted.caller.id.value()},
                           {"end", std::string(ToString(result.end))},
                           {"reason", result.reason}});
    services.metrics.Add(CounterId::kGenerationsLost);
    call->exchange.Abort();
    result.end = SendOutcome::kAnswered;
  }
  co_return result;
}

}  // namespace dandelion::relay
