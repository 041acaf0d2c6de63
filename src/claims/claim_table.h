#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"

namespace dandelion::claims {

/// Identifies a non-idempotent request. Requests with equal identities are
/// duplicates, of which at most one is sent.
struct RequestIdentity {
  base::OrganisationId organisation;
  base::RouteName route;
  std::string key;

  /// Returns the parts as a JSON array, so that separators in the parts cause
  /// no ambiguity. Invalid UTF-8 is replaced by U+FFFD.
  std::string ToKey() const;
};

/// The answer to a non-idempotent request, kept to answer its duplicates.
struct Outcome {
  /// False if the upstream may have acted but its answer is not available; the
  /// other members then have no meaning.
  bool known = false;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// A change to the claim on one identity, as recorded in the log.
struct ClaimStep {
  enum class Kind {
    /// Claims the identity for `attempt`.
    kClaim,
    /// Withdraws the claim of an attempt that was certainly not executed.
    kRelease,
    /// Records the outcome of an attempt that was sent.
    kOutcome
  };

  Kind kind = Kind::kClaim;
  std::string identity;
  /// Unique id of the attempt that makes the step.
  std::string attempt;
  /// The daemon that makes the attempt. Set only for `kClaim`, as is
  /// `fingerprint`.
  base::HostId host;
  base::Incarnation incarnation;
  /// Hash of the request, to detect a key that is reused for a different one.
  std::string fingerprint;
  /// Set only for `kOutcome`.
  Outcome outcome;
};

/// Encodes steps, in order, as the JSON text of one log record.
std::string EncodeSteps(const std::vector<ClaimStep>& steps);
/// Returns the steps of a log record; empty if `text` is malformed.
std::vector<ClaimStep> DecodeSteps(std::string_view text);

/// The claim that holds an identity.
struct Claim {
  /// The first claim in log order, or the outcome step if the log no longer
  /// keeps the claim.
  ClaimStep winner;
  /// Whether the log holds the outcome; if so, `outcome` is set.
  bool finished = false;
  Outcome outcome;
};

/// The claims in force, built from the records of the `claims` log topic. The
/// first claim on an identity wins until it is released; other claims have no
/// effect. All readers that applied the same offsets hold the same claims.
class ClaimTable {
 public:
  /// Applies the record at `offset`. Ignores offsets below `next_offset()`.
  void Apply(base::Offset offset, std::string_view record);
  /// Removes identities whose last record has an offset below `first_kept`, the
  /// oldest offset that the log still keeps.
  void RemoveOlderThan(base::Offset first_kept);

  /// Returns null if nothing claims the identity. The pointer is valid until
  /// the next call of `Apply` or `RemoveOlderThan`.
  const Claim* Find(const std::string& identity) const;
  /// One past the last offset applied.
  base::Offset next_offset() const { return next_offset_; }
  /// Number of identities that are claimed or have an outcome.
  size_t size() const { return claims_.size(); }

 private:
  struct Entry {
    Claim claim;
    /// Offset of the last record that changed the claim.
    base::Offset last_offset;
  };

  void ApplyStep(base::Offset offset, ClaimStep step);

  std::unordered_map<std::string, Entry> claims_;
  /// Identities by the offset of each record that changed them. Entries that a
  /// later record made obsolete stay until `RemoveOlderThan` reaches them.
  std::multimap<base::Offset, std::string> identities_by_offset_;
  base::Offset next_offset_{1};
};

}  // namespace dandelion::claims
