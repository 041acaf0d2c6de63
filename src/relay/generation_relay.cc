#include "relay/generation_relay.h"

#include <algorithm>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "http/server.h"
#include "telemetry/events.h"

namespace dandelion::relay {

using admission::SlotHolder;
using base::ErrorKind;
using base::Millis;
using base::Ran;
using base::Task;
using base::UpstreamId;
using routing::PlacementRequest;
using telemetry::CounterId;
using telemetry::Emit;
using telemetry::Event;
using telemetry::Timing;

/// State of one generation whose stream is being read.
struct GenerationRelay::Progress {
  const PlacementRequest* work = nullptr;
  ResumePoint point;
  upstream::Endpoint engine;
  std::unique_ptr<upstream::GenerationStream> stream;
  routing::SlotPlacement* placement = nullptr;
  /// Index of the next token to deliver to the caller.
  int64_t next = 0;
  Millis started;
  Millis last_token;
  bool had_token = false;
  Millis first_token;
  const admission::PartList* parts = nullptr;
  /// Whether the engine is known not to crash under the prompt.
  bool is_sound = false;
  /// The engine has restarted or refuses connections.
  bool engine_stopped = false;
  /// Sum of the gaps between tokens beyond the stall bound.
  Millis stall;
};

namespace {

absl::Status StoppedError() {
  return base::MakeError(
      ErrorKind::kDraining, "the daemon stopped before the answer was complete",
      "resume the stream, or send the request again, at another daemon");
}

}  // namespace

GenerationRelay::GenerationRelay(base::Clock clock,
                                 const kernel::Tuning& tuning,
                                 const http::ConnectionGroup& sends,
                                 routing::Dispatcher& dispatcher,
                                 upstream::EngineClient& engines,
                                 admission::PartQuarantine& quarantine,
                                 telemetry::Metrics& metrics)
    : clock_(std::move(clock)),
      tuning_(tuning),
      sends_(sends),
      dispatcher_(dispatcher),
      engines_(engines),
      quarantine_(quarantine),
      metrics_(metrics) {}

void GenerationRelay::AddExplanation(const PlacementRequest& work,
                                     std::string line) {
  dispatcher_.explanations().AddLine(work.id, std::move(line));
}

Task<void> GenerationRelay::Cancel(const Progress& progress) {
  Task<void> cancel =
      engines_.Cancel(progress.engine, progress.point.generation);
  if (sends_.closed()) {
    base::Spawn(co_await boost::asio::this_coro::executor, std::move(cancel));
  } else {
    co_await std::move(cancel);
  }
}

Task<RelayResult> GenerationRelay::Run(GenerationCall call,
                                       TokenSink sink,
                                       std::function<void()> restart) {
  PlacementRequest& work = call.work;
  budget_.OnRequest(work.organisation, work.route.pool);
  if (quarantine_.FindQuarantined(call.parts, clock_.Now()) &&
      !quarantine_.TryTrial(call.parts, clock_.Now())) {
    RelayResult rejected;
    rejected.status =
        base::MakeError(ErrorKind::kPromptQuarantined,
                        "engines have crashed under prompts like this one",
                        "change the prompt, or have the engines repaired");
    co_return rejected;
  }
  int lost_starts = 0;
  Ran ran_before = Ran::kNo;
  for (;;) {
    Attempt attempt;
    RelayResult result = co_await RunOnce(call, sink, &attempt);
    const UpstreamId& used = attempt.used;
    if (result.ran == Ran::kNo) {
      result.ran = ran_before;
    }
    ran_before = result.ran;
    if (result.status.ok()) {
      dispatcher_.ObserveLength(work, result.tokens);
      co_return result;
    }
    if (attempt.lost_start) {
      ++lost_starts;
      if (!MayGoOnAfterLostStart(call, attempt, lost_starts)) {
        co_return result;
      }
      co_await base::SleepFor(kLostStartPause);
    }
    const bool fresh = result.tokens == 0 || call.restartable;
    if (!attempt.retry || !fresh || clock_.Now() >= work.deadline ||
        !budget_.TrySpend(work.organisation, work.route.pool)) {
      co_return result;
    }
    metrics_.Add(CounterId::kRetries);
    Emit(Event::kRequestRetried,
         {{"request", work.id.value()},
          {"organisation", work.organisation.value()},
          {"upstream", used.value()},
          {"reason", std::string(result.status.message())}});
    AddExplanation(work, absl::StrCat("retried after ", used.value(),
                                      " failed: ", result.status.message()));
    // Only the last upstream is excluded, so that after all were tried the
    // first may serve the request again.
    work.excluded = {used};
    restart();
  }
}

bool GenerationRelay::MayGoOnAfterLostStart(const GenerationCall& call,
                                            const Attempt& attempt,
                                            int lost_starts) {
  const Millis now = clock_.Now();
  const bool was_quarantined =
      quarantine_.FindQuarantined(call.parts, now).has_value();
  // An engine that crashes again after a restart counts as another one.
  const UpstreamId engine(
      absl::StrCat(attempt.used.value(), "/", attempt.incarnation.value()));
  quarantine_.RecordBreak(engine, call.parts, now);
  quarantine_.Tick(now);
  if (lost_starts == 1) {
    // Losses of other calls must have contributed to a quarantine.
    return !quarantine_.FindQuarantined(call.parts, now);
  }
  return !was_quarantined && lost_starts < kMaxLostStarts;
}

Task<RelayResult> GenerationRelay::RunOnce(const GenerationCall& call,
                                           const TokenSink& sink,
                                           Attempt* attempt) {
  const PlacementRequest& work = call.work;
  RelayResult result;
  absl::StatusOr<std::unique_ptr<routing::SlotPlacement>> placement =
      co_await dispatcher_.Place(work);
  if (!placement.ok() && !work.excluded.empty()) {
    PlacementRequest without_exclusion = work;
    without_exclusion.excluded.clear();
    placement = co_await dispatcher_.Place(without_exclusion);
  }
  if (!placement.ok()) {
    result.status = placement.status();
    co_return result;
  }
  const config::Upstream& upstream = (*placement)->upstream();
  attempt->used = upstream.id;
  attempt->retry = true;
  Progress progress;
  progress.work = &work;
  progress.parts = &call.parts;
  progress.placement = placement->get();
  progress.started = clock_.Now();
  progress.last_token = progress.started;
  http::ParseEndpoint(upstream.address, &progress.engine);
  progress.point =
      ResumePoint{upstream.id,         upstream.address,
                  base::Incarnation(), base::GenerationId(base::RandomHexId()),
                  work.organisation,   work.route.name};
  upstream::GenerationRequest request;
  request.id = progress.point.generation;
  request.request = work.id;
  request.prompt = call.prompt;
  request.prompt_tokens = base::Tokens(work.prompt_tokens);
  request.max_tokens = call.max_tokens;
  request.priority = work.route.request_class == "short" ? 0 : 1;
  upstream::OpenResult opened =
      co_await engines_.Start(progress.engine, std::move(request));
  if (opened.pause) {
    dispatcher_.RecordPause(upstream.id, *opened.pause);
  }
  if (opened.stream.ok()) {
    progress.stream = *std::move(opened.stream);
    progress.point.incarnation = progress.stream->incarnation();
    attempt->incarnation = progress.point.incarnation;
  }
  ReadEnd end = ReadEnd::kLost;
  const bool was_opened = progress.stream != nullptr;
  if (was_opened) {
    end = co_await ReadToEnd(progress, sink);
  } else {
    result.status = opened.stream.status();
    result.ran = opened.may_have_been_sent && !opened.rejected ? Ran::kUnknown
                                                               : Ran::kNo;
  }
  result.tokens = progress.next;
  if (end == ReadEnd::kDone) {
    (*placement)->SetOutcome(SlotHolder::RequestOutcome::kSuccess);
    quarantine_.RecordSound(call.parts, clock_.Now());
    result.status = absl::OkStatus();
    result.ran = Ran::kYes;
    metrics_.Observe(Timing::kCompleteAnswer, work.organisation,
                     work.route.request_class,
                     (clock_.Now() - progress.started).seconds());
    metrics_.Observe(Timing::kStall, work.organisation,
                     work.route.request_class, progress.stall.seconds());
    co_return result;
  }
  if (end == ReadEnd::kCallerGone) {
    // The generation is not cancelled, since its caller may resume the stream
    // at another daemon.
    attempt->retry = false;
    result.status = base::MakeError(ErrorKind::kConnectionLost,
                                    "the caller has gone", "resume the stream");
    result.ran = Ran::kYes;
    co_return result;
  }
  if (end == ReadEnd::kStopped) {
    attempt->retry = false;
    result.ran = Ran::kYes;
    result.status = StoppedError();
    const bool resumable = progress.next > 0 && !call.restartable;
    if (!resumable) {
      co_await Cancel(progress);
    }
    co_return result;
  }
  (*placement)->SetOutcome(SlotHolder::RequestOutcome::kFailure);
  if (opened.may_have_been_sent && !opened.rejected) {
    co_await Cancel(progress);
  }
  if (end == ReadEnd::kDeadline) {
    attempt->retry = false;
    result.ran = Ran::kYes;
    result.status =
        base::MakeError(ErrorKind::kTimeout, "the request's time is over",
                        "allow more time for long answers");
  } else if (was_opened) {
    attempt->lost_start = progress.engine_stopped && progress.next == 0;
    metrics_.Add(CounterId::kGenerationsLost);
    result.ran = Ran::kYes;
    result.status = base::MakeError(
        ErrorKind::kGenerationLost,
        absl::StrCat("the generation on ", upstream.id.value(), " was lost"),
        "send the request again for a new answer");
  }
  if (sends_.closed()) {
    attempt->retry = false;
    result.status = StoppedError();
  }
  co_return result;
}

Task<GenerationRelay::ReadEnd> GenerationRelay::ReadToEnd(
    Progress& progress,
    const TokenSink& sink) {
  Millis read_timeout = tuning_.stall_timeout;
  while (clock_.Now() < progress.work->deadline && !sends_.closed()) {
    if (progress.stream == nullptr) {
      const bool reconnected = co_await Reconnect(progress);
      if (!reconnected) {
        co_return sends_.closed() ? ReadEnd::kStopped : ReadEnd::kLost;
      }
    }
    absl::StatusOr<upstream::TokenBatch> batch =
        co_await progress.stream->ReadNext(read_timeout);
    if (!batch.ok()) {
      // An engine that sent nothing may be slow rather than hung, so the next
      // read waits longer.
      if (base::KindOf(batch.status()) == ErrorKind::kTimeout) {
        constexpr Millis kMaxReadTimeout(8000);
        read_timeout = std::min(kMaxReadTimeout, read_timeout * 2);
      }
      progress.stream.reset();
      AddExplanation(
          *progress.work,
          absl::StrCat("connection to ", progress.point.upstream.value(),
                       " failed at token ", progress.next, ": ",
                       batch.status().message()));
      continue;
    }
    bool gap = false;
    const absl::Status delivered =
        co_await Deliver(progress, batch->tokens, sink, &gap);
    if (!delivered.ok()) {
      co_return ReadEnd::kCallerGone;
    }
    if (gap) {
      progress.stream.reset();
      continue;
    }
    if (!batch->tokens.empty()) {
      read_timeout = tuning_.stall_timeout;
    }
    if (batch->done) {
      co_return ReadEnd::kDone;
    }
  }
  co_return sends_.closed() ? ReadEnd::kStopped : ReadEnd::kDeadline;
}

Task<bool> GenerationRelay::Reconnect(Progress& progress) {
  const Millis give_up = clock_.Now() + kUnreachableTimeout;
  while (clock_.Now() < give_up && clock_.Now() < progress.work->deadline &&
         !sends_.closed()) {
    upstream::OpenResult opened = co_await engines_.Resume(
        progress.engine, progress.point.generation, progress.next);
    if (opened.unknown_generation) {
      progress.engine_stopped = true;
      co_return false;
    }
    if (opened.stream.ok()) {
      progress.stream = *std::move(opened.stream);
      if (progress.stream->incarnation() != progress.point.incarnation) {
        progress.engine_stopped = true;
        co_return false;
      }
      metrics_.Add(CounterId::kResumes);
      Emit(Event::kStreamResumed,
           {{"request", progress.work->id.value()},
            {"organisation", progress.work->organisation.value()},
            {"upstream", progress.point.upstream.value()},
            {"token", absl::StrCat(progress.next)}});
      co_return true;
    }
    // Nothing was delivered yet, so starting on another engine is faster than
    // waiting for this one.
    const bool refused_connection = !opened.may_have_been_sent;
    if (progress.next == 0 && refused_connection) {
      progress.engine_stopped = true;
      co_return false;
    }
    co_await base::SleepFor(kResumePause);
  }
  co_return false;
}

Task<absl::Status> GenerationRelay::Deliver(
    Progress& progress,
    const std::vector<upstream::Token>& tokens,
    const TokenSink& sink,
    bool* gap) {
  std::vector<upstream::Token> fresh;
  for (const upstream::Token& token : tokens) {
    if (token.index < progress.next) {
      continue;
    }
    if (token.index > progress.next) {
      *gap = true;
      break;
    }
    fresh.push_back(token);
    ++progress.next;
  }
  if (fresh.empty()) {
    co_return absl::OkStatus();
  }
  const Millis now = clock_.Now();
  const Millis since = now - progress.last_token;
  const PlacementRequest& work = *progress.work;
  if (progress.had_token) {
    metrics_.Observe(Timing::kBetweenTokens, work.organisation,
                     work.route.request_class, since.seconds());
    if (since > kStallThreshold) {
      progress.stall = progress.stall + (since - kStallThreshold);
    }
  } else {
    metrics_.Observe(Timing::kFirstToken, work.organisation,
                     work.route.request_class,
                     (now - progress.started).seconds());
  }
  if (progress.placement != nullptr) {
    if (progress.had_token) {
      progress.placement->OnToken(progress.next, since);
    } else {
      progress.placement->OnFirstToken(now - progress.started,
                                       work.prompt_tokens);
    }
  }
  if (!progress.had_token) {
    progress.first_token = now;
  } else if (progress.parts != nullptr && !progress.is_sound &&
             now - progress.first_token >= kSoundAfter) {
    progress.is_sound = true;
    quarantine_.RecordSound(*progress.parts, now);
  }
  progress.had_token = true;
  progress.last_token = now;
  metrics_.Add(CounterId::kTokens, static_cast<double>(fresh.size()));
  co_return co_await sink(progress.point, fresh);
}

Task<RelayResult> GenerationRelay::Resume(PlacementRequest work,
                                          ResumePoint point,
                                          int64_t from,
                                          TokenSink sink) {
  Progress progress;
  progress.work = &work;
  progress.point = std::move(point);
  progress.next = from;
  progress.started = clock_.Now();
  progress.last_token = progress.started;
  http::ParseEndpoint(progress.point.address, &progress.engine);
  const ReadEnd end = co_await ReadToEnd(progress, sink);
  RelayResult result;
  result.ran = Ran::kYes;
  result.tokens = progress.next;
  if (end == ReadEnd::kLost) {
    Emit(Event::kGenerationLost,
         {{"request", work.id.value()},
          {"organisation", work.organisation.value()},
          {"upstream", progress.point.upstream.value()}});
    result.status = base::MakeError(ErrorKind::kGenerationLost,
                                    "the generation no longer exists",
                                    "send the request again for a new answer");
  } else if (end == ReadEnd::kDeadline) {
    result.status =
        base::MakeError(ErrorKind::kTimeout, "the request's time is over",
                        "allow more time for long answers");
  } else if (end == ReadEnd::kStopped) {
    result.status = StoppedError();
  } else if (end == ReadEnd::kCallerGone) {
    result.status = base::MakeError(ErrorKind::kConnectionLost,
                                    "the caller has gone", "resume the stream");
  }
  co_return result;
}

}  // namespace dandelion::relay
