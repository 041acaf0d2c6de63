#include "claims/claim_service.h"

#include <utility>

#include "absl/cleanup/cleanup.h"
#include "telemetry/events.h"

namespace dandelion::claims {
namespace {

using base::HostId;
using base::Millis;
using base::Task;
using telemetry::Emit;
using telemetry::Event;

constexpr Millis kAppendRetryInterval(100);
// How long the state of an ended attempt is kept for the questions of peers.
constexpr Millis kAttemptRetention(60'000);

}  // namespace

ClaimService::ClaimService(base::Executor executor,
                           base::Clock clock,
                           HostId self,
                           base::Incarnation incarnation,
                           platform_client::Log& log,
                           Hooks hooks)
    : executor_(std::move(executor)),
      clock_(std::move(clock)),
      self_(std::move(self)),
      incarnation_(std::move(incarnation)),
      log_(log),
      hooks_(std::move(hooks)) {}

void ClaimService::Start() {
  base::SpawnRestarting(executor_, [this] { return ReadLoop(); });
}

Task<void> ClaimService::ReadLoop() {
  while (!stopped_) {
    co_await CatchUp();
    RemoveOldEntries();
    co_await base::SleepFor(kReadInterval);
  }
}

// Reads the topic to its end. Returns false if the log cannot be read.
Task<bool> ClaimService::CatchUp() {
  for (;;) {
    const base::Offset from = claim_table_.next_offset();
    const absl::StatusOr<platform_client::LogPage> page =
        co_await log_.Read(kClaimTopic, from);
    hooks_.on_log_request(false);
    if (!page.ok()) {
      co_return false;
    }
    claim_table_.RemoveOlderThan(page->first_offset);
    for (const platform_client::LogRecord& record : page->records) {
      claim_table_.Apply(record.offset, record.data);
    }
    if (page->records.empty() ||
        claim_table_.next_offset() >= page->next_offset) {
      caught_up_ = true;
      co_return true;
    }
  }
}

void ClaimService::Enqueue(ClaimStep step,
                           std::shared_ptr<PendingAppend> wait) {
  queued_steps_.push_back(QueuedStep{std::move(step), std::move(wait)});
  if (!appending_) {
    appending_ = true;
    base::SpawnRestarting(executor_, [this] { return AppendLoop(); });
  }
}

// Runs one append at a time. Steps that are queued meanwhile go into the next
// append together, so that a higher load makes larger batches instead of more
// requests to the log.
Task<void> ClaimService::AppendLoop() {
  while (!queued_steps_.empty()) {
    std::vector<QueuedStep> to_retry =
        co_await AppendBatch(std::exchange(queued_steps_, {}));
    if (!to_retry.empty()) {
      queued_steps_.insert(queued_steps_.begin(), to_retry.begin(),
                           to_retry.end());
      co_await base::SleepFor(kAppendRetryInterval);
    }
  }
  appending_ = false;
}

Task<std::vector<ClaimService::QueuedStep>> ClaimService::AppendBatch(
    std::vector<QueuedStep> batch) {
  // Callers that wait learn the result, whatever ends this task.
  const absl::Cleanup end_waits = [&batch] {
    for (QueuedStep& entry : batch) {
      if (entry.wait) {
        entry.wait->done = true;
        entry.wait->timer.cancel();
      }
    }
  };
  std::vector<ClaimStep> steps;
  steps.reserve(batch.size());
  for (const QueuedStep& entry : batch) {
    steps.push_back(entry.step);
  }
  const platform_client::AppendResult result =
      co_await log_.Append(kClaimTopic, EncodeSteps(steps));
  hooks_.on_log_request(true);
  std::vector<QueuedStep> to_retry;
  for (QueuedStep& entry : batch) {
    if (entry.wait) {
      // A caller waits for this claim: report a failed append instead of
      // retrying it.
      entry.wait->appended = result.offset.ok();
    } else if (!result.offset.ok()) {
      // Releases and outcomes are retried until they are appended. The failed
      // append may be in the log too, but a second copy of these steps has no
      // effect.
      to_retry.push_back(std::move(entry));
    }
  }
  co_return to_retry;
}

// Appends a claim and reads the log to its end, past the claim. Returns false
// if either fails, so that the order of the claims is not known.
Task<bool> ClaimService::AppendClaim(const ClaimStep& step) {
  const auto wait = std::make_shared<PendingAppend>(executor_);
  Enqueue(step, wait);
  while (!wait->done && hooks_.may_wait()) {
    co_await base::SleepOnTimer(wait->timer, kOutcomePollInterval);
  }
  if (!wait->appended) {
    co_return false;
  }
  co_return co_await CatchUp();
}

Task<ClaimResult> ClaimService::Acquire(std::string identity,
                                        std::string fingerprint,
                                        Millis deadline) {
  ClaimStep step;
  step.identity = identity;
  step.attempt = base::RandomHexId();
  step.host = self_;
  step.incarnation = incarnation_;
  step.fingerprint = fingerprint;
  ClaimResult result;
  while (clock_.Now() < deadline && hooks_.may_wait()) {
    if (!caught_up_) {
      const bool read = co_await CatchUp();
      if (!read) {
        co_return result;
      }
    }
    const Claim* claim = claim_table_.Find(identity);
    if (claim == nullptr) {
      attempts_[step.attempt] = Attempt();
      const bool order_known = co_await AppendClaim(step);
      claim = claim_table_.Find(identity);
      if (!order_known || claim == nullptr) {
        // The claim may be in the log although the append failed: release it
        // so that the caller's retry can claim the identity.
        Release(identity, step.attempt);
        Emit(Event::kClaimUnavailable, {{"attempt", step.attempt}});
        co_return result;
      }
      if (claim->winner.attempt == step.attempt ||
          !hooks_.waits_for_log_order) {
        attempts_[step.attempt].won_at = clock_.Now();
        Emit(Event::kClaimWon, {{"attempt", step.attempt}});
        result.kind = ClaimResult::Kind::kWon;
        result.attempt = step.attempt;
        co_return result;
      }
      attempts_.erase(step.attempt);
      Emit(Event::kClaimLost,
           {{"attempt", step.attempt}, {"winner", claim->winner.attempt}});
    }
    if (!claim->winner.fingerprint.empty() &&
        claim->winner.fingerprint != fingerprint) {
      result.kind = ClaimResult::Kind::kKeyReused;
      co_return result;
    }
    const Claim winning_claim = *claim;
    result = co_await AwaitAttempt(identity, winning_claim, deadline);
    if (result.kind != ClaimResult::Kind::kUnavailable) {
      co_return result;
    }
    // The winning claim was released: claim again, as a new attempt.
    step.attempt = base::RandomHexId();
  }
  result.kind = ClaimResult::Kind::kInProgress;
  co_return result;
}

// Waits until the outcome of another attempt is known or `deadline` passes.
// Returns `kUnavailable` if the attempt no longer holds the identity.
Task<ClaimResult> ClaimService::AwaitAttempt(const std::string& identity,
                                             const Claim& claim,
                                             Millis deadline) {
  const std::string attempt = claim.winner.attempt;
  const Millis started = clock_.Now();
  Millis claimant_seen_at = started;
  ClaimResult result;
  result.attempt = attempt;
  while (clock_.Now() < deadline && hooks_.may_wait()) {
    const Claim* current_claim = claim_table_.Find(identity);
    if (current_claim == nullptr || current_claim->winner.attempt != attempt) {
      co_return result;
    }
    if (current_claim->finished) {
      result.kind = current_claim->outcome.known ? ClaimResult::Kind::kDone
                                                 : ClaimResult::Kind::kUnknown;
      result.outcome = current_claim->outcome;
      co_return result;
    }
    const auto reply = replies_.find(attempt);
    if (reply != replies_.end()) {
      claimant_seen_at = clock_.Now();
      if (reply->second.state() == proto::ClaimReply::DONE) {
        result.kind = ClaimResult::Kind::kDone;
        result.outcome =
            Outcome{true, reply->second.status(), reply->second.content_type(),
                    reply->second.body()};
        co_return result;
      }
      replies_.erase(reply);
    }
    if (clock_.Now() - claimant_seen_at > kClaimantTimeout) {
      result.kind = ClaimResult::Kind::kUnknown;
      co_return result;
    }
    if (claim.winner.host == self_ &&
        claim.winner.incarnation == incarnation_) {
      claimant_seen_at = clock_.Now();
    } else {
      SendQuestion(claim);
    }
    co_await base::SleepFor(kOutcomePollInterval);
    co_await CatchUp();
  }
  result.kind = ClaimResult::Kind::kInProgress;
  co_return result;
}

void ClaimService::SendQuestion(const Claim& claim) {
  proto::Envelope message;
  proto::ClaimQuestion& question = *message.mutable_claim_question();
  question.set_identity(claim.winner.identity);
  question.set_attempt(claim.winner.attempt);
  hooks_.send(claim.winner.host, message);
}

bool ClaimService::BeginSend(const std::string& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || found->second.phase != Phase::kClaimed ||
      clock_.Now() - found->second.won_at > kMaxClaimAge) {
    return false;
  }
  found->second.phase = Phase::kSending;
  return true;
}

void ClaimService::RevertSend(const std::string& attempt) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end()) {
    found->second.phase = Phase::kClaimed;
  }
}

void ClaimService::Release(const std::string& identity,
                           const std::string& attempt) {
  Attempt& attempt_state = attempts_[attempt];
  attempt_state.phase = Phase::kNotSent;
  attempt_state.ended_at = clock_.Now();
  ClaimStep step;
  step.kind = ClaimStep::Kind::kRelease;
  step.identity = identity;
  step.attempt = attempt;
  Enqueue(std::move(step), nullptr);
  Emit(Event::kClaimReleased, {{"attempt", attempt}});
}

void ClaimService::RecordOutcome(const std::string& identity,
                                 const std::string& attempt,
                                 Outcome outcome) {
  if (outcome.body.size() > kMaxOutcomeBodyBytes) {
    outcome.body.clear();
    outcome.known = false;
  }
  Attempt& attempt_state = attempts_[attempt];
  attempt_state.phase = Phase::kDone;
  attempt_state.ended_at = clock_.Now();
  attempt_state.outcome = outcome;
  ClaimStep step;
  step.kind = ClaimStep::Kind::kOutcome;
  step.identity = identity;
  step.attempt = attempt;
  step.outcome = std::move(outcome);
  Enqueue(std::move(step), nullptr);
}

void ClaimService::OnClaimQuestion(const HostId& from,
                                   const proto::ClaimQuestion& question) {
  proto::Envelope message;
  proto::ClaimReply& reply = *message.mutable_claim_reply();
  reply.set_identity(question.identity());
  reply.set_attempt(question.attempt());
  const auto found = attempts_.find(question.attempt());
  if (found == attempts_.end()) {
    // An earlier incarnation of this host made the attempt, or it ended more
    // than `kAttemptRetention` ago.
    return;
  }
  const Attempt& attempt = found->second;
  switch (attempt.phase) {
    case Phase::kClaimed:
    case Phase::kSending:
      reply.set_state(proto::ClaimReply::RUNNING);
      break;
    case Phase::kNotSent:
      reply.set_state(proto::ClaimReply::NOT_SENT);
      break;
    case Phase::kDone:
      reply.set_state(attempt.outcome.known ? proto::ClaimReply::DONE
                                            : proto::ClaimReply::UNKNOWN);
      reply.set_status(attempt.outcome.status);
      reply.set_content_type(attempt.outcome.content_type);
      reply.set_body(attempt.outcome.body);
      break;
  }
  hooks_.send(from, message);
}

void ClaimService::OnClaimReply(const proto::ClaimReply& reply) {
  replies_[reply.attempt()] = reply;
}

// Removes attempts that ended long ago, and all stored replies if there are too
// many. Requests that still wait for a reply ask for it again.
void ClaimService::RemoveOldEntries() {
  const Millis now = clock_.Now();
  std::erase_if(attempts_, [now](const auto& entry) {
    const Attempt& attempt = entry.second;
    const bool ended =
        attempt.phase == Phase::kDone || attempt.phase == Phase::kNotSent;
    return ended && now - attempt.ended_at > kAttemptRetention;
  });
  constexpr size_t kMaxReplies = 1000;
  if (replies_.size() > kMaxReplies) {
    replies_.clear();
  }
}

}  // namespace dandelion::claims
