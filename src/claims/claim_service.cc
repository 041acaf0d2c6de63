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

constexpr Millis kRetryInterval(100);
// How long an ended attempt answers questions of peers.
constexpr Millis kAttemptMemory(60'000);

}  // namespace

ClaimService::ClaimService(base::Executor executor,
                           base::Clock clock,
                           HostId self,
                           base::Incarnation incarnation,
                           platform::Log& log,
                           Hooks hooks)
    : executor_(std::move(executor)),
      clock_(std::move(clock)),
      self_(std::move(self)),
      incarnation_(std::move(incarnation)),
      log_(log),
      hooks_(std::move(hooks)) {}

void ClaimService::Start() {
  base::Spawn(executor_, Run());
}

Task<void> ClaimService::Run() {
  while (!stopped_) {
    co_await ReadOnce();
    ForgetOld();
    co_await base::Delay(kReadInterval);
  }
}

Task<bool> ClaimService::ReadOnce() {
  for (;;) {
    const base::Offset from = fold_.next();
    const absl::StatusOr<platform::LogPage> page =
        co_await log_.Read(kClaimStream, from);
    hooks_.on_log_use(false);
    if (!page.ok()) {
      co_return false;
    }
    fold_.Expire(page->first);
    for (const platform::LogRecord& record : page->records) {
      fold_.Apply(record.offset, record.data);
    }
    if (page->records.empty() || fold_.next() >= page->next) {
      caught_up_ = true;
      co_return true;
    }
  }
}

void ClaimService::Enqueue(ClaimStep step, std::shared_ptr<AppendWait> wait) {
  outgoing_.push_back(Outgoing{std::move(step), std::move(wait)});
  if (!appending_) {
    appending_ = true;
    base::Spawn(executor_, AppendLoop());
  }
}

// One append is under way at a time; what comes meanwhile goes into the next,
// so that batches grow with the load and the log's rate is kept.
Task<void> ClaimService::AppendLoop() {
  while (!outgoing_.empty()) {
    std::vector<Outgoing> batch = std::exchange(outgoing_, {});
    std::vector<ClaimStep> steps;
    steps.reserve(batch.size());
    for (const Outgoing& entry : batch) {
      steps.push_back(entry.step);
    }
    const platform::AppendResult result =
        co_await log_.Append(kClaimStream, EncodeSteps(steps));
    hooks_.on_log_use(true);
    std::vector<Outgoing> again;
    for (Outgoing& entry : batch) {
      if (entry.wait) {
        // A caller waits for its claim, which therefore fails at once.
        entry.wait->done = true;
        entry.wait->appended = result.offset.ok();
        entry.wait->timer.cancel();
      } else if (!result.offset.ok()) {
        // Releases and outcomes are repeated until they are in: twice in the
        // log they change nothing.
        again.push_back(std::move(entry));
      }
    }
    if (!again.empty()) {
      outgoing_.insert(outgoing_.begin(), again.begin(), again.end());
      co_await base::Delay(kRetryInterval);
    }
  }
  appending_ = false;
}

// Appends a claim and reads the log past it. False if the log's order could
// not be learned.
Task<bool> ClaimService::AppendClaim(const ClaimStep& step) {
  const auto wait = std::make_shared<AppendWait>(executor_);
  Enqueue(step, wait);
  while (!wait->done) {
    co_await base::WaitFor(wait->timer, kReadInterval);
  }
  if (!wait->appended) {
    co_return false;
  }
  co_return co_await ReadOnce();
}

Task<ClaimResult> ClaimService::Acquire(std::string identity,
                                        std::string fingerprint,
                                        Millis deadline) {
  ClaimStep step;
  step.identity = identity;
  step.attempt = base::RandomName();
  step.host = self_;
  step.incarnation = incarnation_;
  step.fingerprint = fingerprint;
  ClaimResult result;
  while (clock_.Now() < deadline) {
    if (!caught_up_) {
      const bool read = co_await ReadOnce();
      if (!read) {
        co_return result;
      }
    }
    const Claim* claim = fold_.Find(identity);
    if (claim == nullptr) {
      attempts_[step.attempt] = Attempt();
      const bool ordered = co_await AppendClaim(step);
      claim = fold_.Find(identity);
      if (!ordered || claim == nullptr) {
        // The claim may be in the log: free it for the caller's retry.
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
    const Claim other = *claim;
    result = co_await AwaitOther(identity, other, deadline);
    if (result.kind != ClaimResult::Kind::kUnavailable) {
      co_return result;
    }
    // It was released: try again, with a new attempt.
    step.attempt = base::RandomName();
  }
  result.kind = ClaimResult::Kind::kInProgress;
  co_return result;
}

// Waits until another attempt's fate is known. `kUnavailable` says that it
// was released.
Task<ClaimResult> ClaimService::AwaitOther(const std::string& identity,
                                           const Claim& claim,
                                           Millis deadline) {
  const std::string attempt = claim.winner.attempt;
  const Millis started = clock_.Now();
  Millis heard = started;
  ClaimResult result;
  result.attempt = attempt;
  while (clock_.Now() < deadline) {
    const Claim* now = fold_.Find(identity);
    if (now == nullptr || now->winner.attempt != attempt) {
      co_return result;
    }
    if (now->finished) {
      result.kind = now->outcome.known ? ClaimResult::Kind::kDone
                                       : ClaimResult::Kind::kUnknown;
      result.outcome = now->outcome;
      co_return result;
    }
    const auto reply = replies_.find(attempt);
    if (reply != replies_.end()) {
      heard = clock_.Now();
      if (reply->second.state() == proto::ClaimReply::DONE) {
        result.kind = ClaimResult::Kind::kDone;
        result.outcome =
            Outcome{true, reply->second.status(), reply->second.content_type(),
                    reply->second.body()};
        co_return result;
      }
      replies_.erase(reply);
    }
    if (clock_.Now() - heard > kClaimantTimeout) {
      result.kind = ClaimResult::Kind::kUnknown;
      co_return result;
    }
    if (claim.winner.host == self_ &&
        claim.winner.incarnation == incarnation_) {
      heard = clock_.Now();
    } else {
      Ask(claim);
    }
    co_await base::Delay(kWaitInterval);
    co_await ReadOnce();
  }
  result.kind = ClaimResult::Kind::kInProgress;
  co_return result;
}

void ClaimService::Ask(const Claim& claim) {
  proto::Envelope message;
  proto::ClaimQuestion& question = *message.mutable_claim_question();
  question.set_identity(claim.winner.identity);
  question.set_attempt(claim.winner.attempt);
  hooks_.send(claim.winner.host, message);
}

bool ClaimService::MaySend(const std::string& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || found->second.phase != Phase::kClaimed ||
      clock_.Now() - found->second.won_at > kMostClaimAge) {
    return false;
  }
  found->second.phase = Phase::kSending;
  return true;
}

void ClaimService::NotSent(const std::string& attempt) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end()) {
    found->second.phase = Phase::kClaimed;
  }
}

void ClaimService::Release(const std::string& identity,
                           const std::string& attempt) {
  Attempt& mine = attempts_[attempt];
  mine.phase = Phase::kNotSent;
  mine.ended_at = clock_.Now();
  ClaimStep step;
  step.kind = ClaimStep::Kind::kRelease;
  step.identity = identity;
  step.attempt = attempt;
  Enqueue(std::move(step), nullptr);
  Emit(Event::kClaimReleased, {{"attempt", attempt}});
}

void ClaimService::Finish(const std::string& identity,
                          const std::string& attempt,
                          Outcome outcome) {
  if (outcome.body.size() > kMostBodyBytes) {
    outcome.body.clear();
    outcome.known = false;
  }
  Attempt& mine = attempts_[attempt];
  mine.phase = Phase::kDone;
  mine.ended_at = clock_.Now();
  mine.outcome = outcome;
  ClaimStep step;
  step.kind = ClaimStep::Kind::kOutcome;
  step.identity = identity;
  step.attempt = attempt;
  step.outcome = std::move(outcome);
  Enqueue(std::move(step), nullptr);
}

void ClaimService::OnQuestion(const HostId& from,
                              const proto::ClaimQuestion& question) {
  proto::Envelope message;
  proto::ClaimReply& reply = *message.mutable_claim_reply();
  reply.set_identity(question.identity());
  reply.set_attempt(question.attempt());
  const auto found = attempts_.find(question.attempt());
  if (found == attempts_.end()) {
    // Another incarnation of this host made it: its fate is not known here.
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

void ClaimService::OnReply(const proto::ClaimReply& reply) {
  replies_[reply.attempt()] = reply;
}

void ClaimService::ForgetOld() {
  const Millis now = clock_.Now();
  std::erase_if(attempts_, [now](const auto& entry) {
    const Attempt& attempt = entry.second;
    const bool ended =
        attempt.phase == Phase::kDone || attempt.phase == Phase::kNotSent;
    return ended && now - attempt.ended_at > kAttemptMemory;
  });
  constexpr size_t kMostReplies = 1000;
  if (replies_.size() > kMostReplies) {
    replies_.clear();
  }
}

}  // namespace dandelion::claims
