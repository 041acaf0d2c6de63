#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/task.h"
#include "claims/claim_fold.h"
#include "platform/log.h"
#include "proto/peer.pb.h"

namespace dandelion::claims {

inline constexpr char kClaimStream[] = "claims";

/// How a claim ended for the request that asked for it.
struct ClaimResult {
  enum class Kind {
    /// This request, and no other, may be sent.
    kWon,
    /// It ran before; `outcome` is its answer.
    kDone,
    /// It may have run, and nobody knows its answer.
    kUnknown,
    /// It still runs for another caller.
    kInProgress,
    /// The key was used for a different request.
    kKeyReused,
    /// No claim could be made; it was not sent.
    kUnavailable,
  };

  Kind kind = Kind::kUnavailable;
  std::string attempt;
  Outcome outcome;
};

/// Runs non-idempotent requests at most once: a request may be sent only by
/// the attempt whose claim stands first in the platform's log.
class ClaimService {
 public:
  static constexpr base::Millis kReadInterval{500};
  /// While a request waits for another one's outcome.
  static constexpr base::Millis kWaitInterval{50};
  /// A claimant that is away for this long leaves its outcome unknown.
  static constexpr base::Millis kClaimantTimeout{3000};
  /// A claim that was won longer ago than this is not sent any more.
  static constexpr base::Millis kMostClaimAge{10'000};
  /// Larger answers are not kept for duplicates.
  static constexpr size_t kMostBodyBytes = 64UL * 1024;

  struct Hooks {
    std::function<void(const base::HostId&, const proto::Envelope&)> send;
    std::function<bool(const base::HostId&)> is_up;
    /// Called after an append or a read of the log, for the metrics.
    std::function<void(bool append)> on_log_use;
    /// Replaces the rule "first in log order wins" in tests that expect the
    /// violation.
    bool waits_for_log_order = true;
  };

  ClaimService(base::Executor executor,
               base::Clock clock,
               base::HostId self,
               base::Incarnation incarnation,
               platform::Log& log,
               Hooks hooks);

  void Start();
  void Stop() { stopped_ = true; }
  /// Whether nothing remains to be appended.
  bool Settled() const { return !appending_; }

  /// Claims `identity` or finds out what became of it.
  base::Task<ClaimResult> Acquire(std::string identity,
                                  std::string fingerprint,
                                  base::Millis deadline);
  /// Must be called right before the first byte is sent; false forbids it.
  bool MaySend(const std::string& attempt);
  /// Takes `MaySend` back: it is proven that no byte has left.
  void NotSent(const std::string& attempt);
  /// The attempt was certainly not sent: others may claim.
  void Release(const std::string& identity, const std::string& attempt);
  /// The attempt was sent; `outcome` is its answer, or is not known.
  void Finish(const std::string& identity,
              const std::string& attempt,
              Outcome outcome);

  void OnQuestion(const base::HostId& from,
                  const proto::ClaimQuestion& question);
  void OnReply(const proto::ClaimReply& reply);

  size_t claims() const { return fold_.size(); }

 private:
  enum class Phase { kClaimed, kSending, kNotSent, kDone };
  struct Attempt {
    Phase phase = Phase::kClaimed;
    base::Millis won_at;
    Outcome outcome;
    base::Millis ended_at;
  };

  /// Waits for the append that carries a claim.
  struct AppendWait {
    explicit AppendWait(const base::Executor& executor) : timer(executor) {}
    boost::asio::steady_timer timer;
    bool done = false;
    bool appended = false;
  };
  struct Outgoing {
    ClaimStep step;
    /// Null for steps that nobody waits for.
    std::shared_ptr<AppendWait> wait;
  };

  base::Task<void> Run();
  base::Task<bool> ReadOnce();
  void Enqueue(ClaimStep step, std::shared_ptr<AppendWait> wait);
  base::Task<void> AppendLoop();
  base::Task<bool> AppendClaim(const ClaimStep& step);
  base::Task<ClaimResult> AwaitOther(const std::string& identity,
                                     const Claim& claim,
                                     base::Millis deadline);
  void ForgetOld();
  void Ask(const Claim& claim);

  base::Executor executor_;
  base::Clock clock_;
  base::HostId self_;
  base::Incarnation incarnation_;
  platform::Log& log_;
  Hooks hooks_;
  ClaimFold fold_;
  /// Whether the whole stream has been read at least once, and the log's
  /// latest state not long ago.
  bool caught_up_ = false;
  std::vector<Outgoing> outgoing_;
  bool appending_ = false;
  std::map<std::string, Attempt> attempts_;
  std::map<std::string, proto::ClaimReply> replies_;
  bool stopped_ = false;
};

}  // namespace dandelion::claims
