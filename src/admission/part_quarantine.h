#pragma once

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::admission {

/// The parts of one prompt that other requests may share, in order.
using PartList = std::vector<base::PartId>;

/// How far an answer had come when its engine stopped, the earliest first.
enum class BreakStage {
  /// Its first byte had arrived, but no content.
  kBegun,
  /// The first content had arrived a moment before. Answers that happened to be
  /// young look the same, so this is weaker evidence.
  kContentSent,
};

/// The unproven parts of each request that broke in one crash.
using CrashedRequests = std::map<PartList, BreakStage>;

/// What daemons tell each other about parts. All times are ages.
struct PartEvidence {
  /// Answers that broke as they began because their engine stopped.
  struct Crash {
    base::UpstreamId upstream;
    base::Millis age;
    CrashedRequests requests;
  };
  struct Quarantine {
    PartList parts;
    int64_t crashes = 0;
    base::Millis break_age;
    /// Requests that were let through to test the parts, and the age of the
    /// last.
    int64_t trials = 0;
    base::Millis trial_age;
  };
  struct Proof {
    base::PartId part;
    base::Millis age;
  };

  std::vector<Crash> crashes;
  std::vector<Quarantine> quarantines;
  std::vector<Proof> proofs;

  bool empty() const {
    return crashes.empty() && quarantines.empty() && proofs.empty();
  }
};

/// Decides which parts of prompts crash the engines that answer them, from how
/// answers end at this daemon and at its peers.
///
/// A part is proven while an engine has recently answered a prompt with it and
/// kept running; a proven part is never quarantined. An unproven part is
/// quarantined once engines crashed under it at several upstreams, unless
/// another part explains these crashes better. Parts that have only been seen
/// together are quarantined together: a request is rejected if it has all of
/// them.
class PartQuarantine {
 public:
  /// How long a sound answer proves a part.
  static constexpr base::Millis kProofTime{60'000};
  /// Crashes of several upstreams within this time count as one, because they
  /// are likely to have a common cause outside the prompts.
  static constexpr base::Millis kCommonCauseTime{250};
  /// Crashes, at as many upstreams, that quarantine a part if they came before
  /// the content of its answers.
  static constexpr size_t kCrashesToQuarantine = 2;
  /// Crashes, at two upstreams or more, that quarantine it if some came after
  /// the first content.
  static constexpr size_t kLateCrashesToQuarantine = 4;
  /// Minimum time between the first report of a part and its quarantine, in
  /// which peers can prove it.
  static constexpr base::Millis kProofWait{500};
  /// How long a crash counts.
  static constexpr base::Millis kCrashMemory{300'000};
  /// Time from the last crash to the first trial request. Each further trial
  /// waits twice as long, up to `kMaxTrialDelay`.
  static constexpr base::Millis kTrialDelay{120'000};
  static constexpr base::Millis kMaxTrialDelay{1'920'000};
  /// Trials of several daemons are spread over this time.
  static constexpr base::Millis kTrialSpread{30'000};
  /// Minimum time between two answers with the proof of the same part.
  static constexpr base::Millis kProofInterval{1000};

  /// A quarantine without crashes and trials for this long is forgotten.
  static constexpr base::Millis kQuarantineMemory{3'600'000};
  /// Reports of breaks at one upstream within this time are of one crash.
  static constexpr base::Millis kSameCrashTime{2000};

  static constexpr size_t kMaxProvenParts = 4096;
  static constexpr size_t kMaxCrashes = 48;
  static constexpr size_t kMaxRequestsPerCrash = 24;
  static constexpr size_t kMaxPartsPerRequest = 16;
  static constexpr size_t kMaxQuarantines = 64;
  static constexpr size_t kMaxProofsToSend = 64;
  static constexpr int64_t kMaxTrials = 16;
  /// Parts with a longer identifier, in bytes, are ignored.
  static constexpr size_t kMaxPartLength = 64;

  struct Hooks {
    /// An engine crashed under the part, which is not proven.
    std::function<void(const base::PartId&, const base::UpstreamId&)>
        on_suspected;
    std::function<void(const base::PartId&, int64_t crashes)> on_quarantined;
    std::function<void(const base::PartId&)> on_cleared;
  };

  PartQuarantine(base::HostId self, Hooks hooks);

  /// Records that an engine answered a prompt with these parts and kept
  /// running. An engine may crash just after it began an answer, so this must
  /// not be called at the first bytes of one.
  void RecordSound(const PartList& parts, base::Millis now);
  /// Records that an answer to a prompt with these parts broke as it began.
  void RecordBreak(const base::UpstreamId& upstream,
                   const PartList& parts,
                   base::Millis now,
                   BreakStage stage = BreakStage::kBegun);
  /// Quarantines parts whose proof wait is over and forgets old evidence. Must
  /// be called every few tens of milliseconds.
  void Tick(base::Millis now);

  /// Returns the quarantined part because of which a request with `parts` must
  /// be rejected.
  std::optional<base::PartId> FindQuarantined(const PartList& parts,
                                              base::Millis now) const;
  /// Whether the rejected request with `parts` may be let through, to test if
  /// engines still crash. True for one request per trial delay.
  bool TryTrial(const PartList& parts, base::Millis now);
  /// Whether an engine has crashed under an unproven part of `parts`. Such a
  /// request should not be sent to a second engine.
  bool IsSuspect(const PartList& parts, base::Millis now) const;

  /// Returns all evidence if `all` is set, else what is new at this daemon
  /// since the last call.
  PartEvidence CollectEvidence(bool all, base::Millis now);
  /// Whether this daemon has evidence that it has not collected for peers yet.
  bool has_changes() const { return changed_; }
  void ApplyPeerEvidence(const base::HostId& from,
                         const PartEvidence& evidence,
                         base::Millis now);

  size_t quarantine_count() const { return quarantines_.size(); }

 private:
  struct Crash {
    base::UpstreamId upstream;
    base::Millis at;
    /// When this daemon learned of the crash.
    base::Millis known_at;
    CrashedRequests requests;
    bool changed = false;
  };
  /// The evidence that is counted together, and how much of it quarantines.
  struct Standard {
    /// Breaks at later stages are not counted.
    BreakStage last_stage;
    size_t crashes;
    size_t upstreams;
  };
  struct Quarantine {
    PartList parts;
    int64_t crashes = 0;
    base::Millis last_break_at;
    int64_t trials = 0;
    base::Millis last_trial_at;
    bool changed = false;
  };
  struct Proof {
    base::Millis sound_at;
    /// When peers were last told of it.
    std::optional<base::Millis> told_at;
    std::list<base::PartId>::iterator position;
  };
  /// An unproven part and the crashes under it.
  struct Candidate {
    base::PartId part;
    std::set<size_t> crashes;
    /// Parts that were in all crashed requests with this one, and this one.
    PartList companions;
    base::Millis known_at;
    /// The number of crashes, and whether the part is quarantined already. The
    /// stronger of two candidates explains the crashes that they share.
    std::pair<size_t, bool> strength;
  };

  /// Whether a crash at `at` is no evidence against the part.
  bool IsProvenAt(const base::PartId& part, base::Millis at) const;
  PartList UnprovenOf(const PartList& parts, base::Millis at) const;
  void AddProof(const base::PartId& part, base::Millis sound_at);
  /// Queues the proof of the part for the peers.
  void AnswerWithProof(const base::PartId& part, base::Millis now);
  /// Queues the proofs of those parts that were proven at `at`.
  void AnswerWithProofs(const PartList& parts,
                        base::Millis at,
                        base::Millis now);
  /// Removes a proven part from crashes and quarantines.
  void RemoveProvenPart(const base::PartId& part);
  /// Returns the record of the crash, null if none of the parts is unproven or
  /// there is no room for it.
  Crash* AddCrash(const base::UpstreamId& upstream,
                  const PartList& parts,
                  BreakStage stage,
                  base::Millis at,
                  base::Millis now);
  /// Drops a crash to make room for one with a break at `stage`. Returns false
  /// if all known ones are stronger evidence.
  bool DropCrash(BreakStage stage);
  /// Adds a request that broke in `crash`. Returns false if that is no news, or
  /// there is no room for it.
  static bool AddRequest(const PartList& parts, BreakStage stage, Crash* crash);
  /// Adds it, or merges it with a known one. Replaces narrower ones.
  void AddQuarantine(Quarantine quarantine);
  /// Merges what another daemon knows of a quarantine of the same parts.
  void MergeQuarantine(const Quarantine& other, Quarantine* known);
  void EvaluateCrashes(base::Millis now);
  /// Quarantines the candidates that nothing else explains.
  void QuarantineCandidates(const std::vector<Candidate>& candidates,
                            base::Millis now);
  std::vector<Candidate> MakeCandidates(const Standard& standard) const;
  bool IsQuarantinedAlone(const base::PartId& part) const;
  /// Removes candidates whose crashes are explained by stronger ones. Returns
  /// the parts of the removed ones.
  std::set<base::PartId> RemoveExplained(
      const Standard& standard,
      std::vector<Candidate>* candidates) const;
  void RemoveQuarantinesOf(const std::set<base::PartId>& parts);
  /// The number of crashes, those with a probable common cause counted as one,
  /// and of their upstreams.
  struct CrashCount {
    size_t causes = 0;
    size_t upstreams = 0;
  };
  CrashCount CountCrashes(const std::set<size_t>& crashes) const;
  bool Meets(const Standard& standard, const std::set<size_t>& crashes) const;
  bool HasLateBreaks() const;
  bool IsReported(const base::PartId& part) const;
  static base::Millis LastActivity(const Quarantine& quarantine);
  base::Millis NextTrialAt(const Quarantine& quarantine) const;

  base::HostId self_;
  Hooks hooks_;
  std::unordered_map<base::PartId, Proof> proofs_;
  /// Parts with a proof, the most recently proven first.
  std::list<base::PartId> proof_order_;
  /// Ordered by time.
  std::vector<Crash> crashes_;
  std::vector<Quarantine> quarantines_;
  std::set<base::PartId> proofs_to_send_;
  bool must_evaluate_ = false;
  /// When the proof wait of the next candidate is over.
  std::optional<base::Millis> evaluate_at_;
  /// Whether peers are to be told of something.
  bool changed_ = false;
};

}  // namespace dandelion::admission
