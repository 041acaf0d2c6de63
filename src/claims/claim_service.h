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
#include "claims/claim_table.h"
#include "platform_client/platform_client.h"
#include "proto/peer.pb.h"

namespace dandelion::claims {

/// The log topic that holds the claims of all daemons.
inline constexpr char kClaimTopic[] = "claims";

/// What `ClaimService::Acquire` found out about a request.
struct ClaimResult {
  enum class Kind {
    /// The claim is won: `attempt`, and no other, may send the request.
    kWon,
    /// A duplicate ran before; `outcome` is its answer.
    kDone,
    /// A duplicate may have run, and its answer is not available.
    kUnknown,
    /// The wait ended before the outcome of a duplicate was known.
    kInProgress,
    /// A request with another fingerprint used the same identity.
    kKeyReused,
    /// The log could not be read or appended to. The request was not sent.
    kUnavailable,
  };

  Kind kind = Kind::kUnavailable;
  /// The attempt that may send the request, if `kind` is `kWon`.
  std::string attempt;
  /// Set only if `kind` is `kDone` or `kUnknown`.
  Outcome outcome;
};

/// Ensures that non-idempotent requests run at most once: only the attempt
/// whose claim comes first in the platform's log may send the request.
class ClaimService {
 public:
  /// Time between two reads of the log while no request waits.
  static constexpr base::Millis kReadInterval{500};
  /// Time between two checks while a request waits for the outcome of a
  /// duplicate.
  static constexpr base::Millis kOutcomePollInterval{50};
  /// The outcome counts as unknown if the host of the winning attempt does not
  /// reply for this long.
  static constexpr base::Millis kClaimantTimeout{3000};
  /// A request is not sent if its claim was won longer ago than this.
  static constexpr base::Millis kMaxClaimAge{10'000};
  /// Larger answers are not kept; their duplicates get `kUnknown`.
  static constexpr size_t kMaxOutcomeBodyBytes = 64UL * 1024;

  struct Hooks {
    /// Sends a message to a peer daemon.
    std::function<void(const base::HostId&, const proto::Envelope&)> send;
    std::function<bool(const base::HostId&)> is_up;
    /// Called after each request to the log, for the metrics: true for an
    /// append, false for a read.
    std::function<void(bool append)> on_log_request;
    /// Whether requests may go on waiting. False at the end of a stop.
    std::function<bool()> may_wait;
    /// If false, every claim that was appended wins, whatever its place in the
    /// log. For tests that must detect requests that run twice.
    bool waits_for_log_order = true;
  };

  ClaimService(base::Executor executor,
               base::Clock clock,
               base::HostId self,
               base::Incarnation incarnation,
               platform_client::Log& log,
               Hooks hooks);

  /// Reads the log every `kReadInterval` until `Stop`.
  void Start();
  void Stop() { stopped_ = true; }
  /// Whether no append is queued or under way.
  bool HasNoPendingAppends() const { return !appending_; }

  /// Claims `identity`, or waits until `deadline`, or until requests may no
  /// longer wait, for the outcome of the attempt that holds it.
  base::Task<ClaimResult> Acquire(std::string identity,
                                  std::string fingerprint,
                                  base::Millis deadline);
  /// Marks the attempt as being sent; must be called right before the first
  /// byte. Returns false if the request must not be sent: the attempt is not
  /// known, was sent before, has ended, or won its claim more than
  /// `kMaxClaimAge` ago.
  bool BeginSend(const std::string& attempt);
  /// Reverts `BeginSend`, so that the attempt may be sent again. Only for a
  /// request that the upstream certainly did not act on.
  void RevertSend(const std::string& attempt);
  /// Withdraws the claim of an attempt that was certainly not executed, so that
  /// another attempt may claim the identity.
  void Release(const std::string& identity, const std::string& attempt);
  /// Records the outcome of an attempt that was sent.
  void RecordOutcome(const std::string& identity,
                     const std::string& attempt,
                     Outcome outcome);

  /// Tells a peer the state of an attempt of this daemon. Sends no reply if the
  /// attempt is not known here.
  void OnClaimQuestion(const base::HostId& from,
                       const proto::ClaimQuestion& question);
  /// Stores a peer's reply for the requests that wait for its attempt.
  void OnClaimReply(const proto::ClaimReply& reply);

  /// Number of identities that are claimed or have an outcome.
  size_t claim_count() const { return claim_table_.size(); }

 private:
  enum class Phase {
    /// Being claimed, or claimed and not sent yet.
    kClaimed,
    /// `BeginSend` allowed the request; bytes may have left.
    kSending,
    /// Withdrawn by `Release`.
    kNotSent,
    /// Ended by `RecordOutcome`.
    kDone
  };
  /// An attempt of this daemon to claim an identity and send its request.
  struct Attempt {
    Phase phase = Phase::kClaimed;
    base::Millis won_at;
    Outcome outcome;
    /// Set if `phase` is `kNotSent` or `kDone`.
    base::Millis ended_at;
  };

  /// Signals a waiting coroutine that the append of its claim has ended.
  struct PendingAppend {
    explicit PendingAppend(const base::Executor& executor) : timer(executor) {}
    boost::asio::steady_timer timer;
    bool done = false;
    bool appended = false;
  };
  /// A step that waits to be appended.
  struct QueuedStep {
    ClaimStep step;
    /// Null if no coroutine waits for the append.
    std::shared_ptr<PendingAppend> wait;
  };

  base::Task<void> ReadLoop();
  base::Task<bool> CatchUp();
  void Enqueue(ClaimStep step, std::shared_ptr<PendingAppend> wait);
  base::Task<void> AppendLoop();
  /// Appends steps in one request and tells those that wait for them. Returns
  /// the steps that have to be appended again.
  base::Task<std::vector<QueuedStep>> AppendBatch(
      std::vector<QueuedStep> batch);
  base::Task<bool> AppendClaim(const ClaimStep& step);
  base::Task<ClaimResult> AwaitAttempt(const std::string& identity,
                                       const Claim& claim,
                                       base::Millis deadline);
  void RemoveOldEntries();
  void SendQuestion(const Claim& claim);

  base::Executor executor_;
  base::Clock clock_;
  base::HostId self_;
  base::Incarnation incarnation_;
  platform_client::Log& log_;
  Hooks hooks_;
  ClaimTable claim_table_;
  /// Whether the topic has been read to its end at least once.
  bool caught_up_ = false;
  std::vector<QueuedStep> queued_steps_;
  bool appending_ = false;
  /// Attempts of this daemon, by attempt id.
  std::map<std::string, Attempt> attempts_;
  /// Replies of peers that no request has read yet, by attempt id.
  std::map<std::string, proto::ClaimReply> replies_;
  bool stopped_ = false;
};

}  // namespace dandelion::claims
