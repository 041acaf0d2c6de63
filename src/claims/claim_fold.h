#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"

namespace dandelion::claims {

/// What makes two non-idempotent requests the same one.
struct Identity {
  base::OrganisationId organisation;
  base::RouteName route;
  std::string key;

  /// One string, unambiguous whatever the parts contain.
  std::string Text() const;
};

/// The answer of a non-idempotent request, kept for its duplicates.
struct Outcome {
  /// False: the upstream may have acted, but its answer is not known.
  bool known = false;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// One step of a claim's life, as it stands in the log.
struct ClaimStep {
  enum class Kind { kClaim, kRelease, kOutcome };

  Kind kind = Kind::kClaim;
  std::string identity;
  /// Names the one attempt that may send the request.
  std::string attempt;
  /// Who made the attempt.
  base::HostId host;
  base::Incarnation incarnation;
  /// Hash of the request, so that a key is not used for two requests.
  std::string fingerprint;
  Outcome outcome;
};

/// Steps that one append carries, in order.
std::string EncodeSteps(const std::vector<ClaimStep>& steps);
/// Malformed records hold no steps.
std::vector<ClaimStep> DecodeSteps(std::string_view text);

/// The state of one identity.
struct Claim {
  ClaimStep winner;
  bool finished = false;
  Outcome outcome;
};

/// Folds the `claims` stream. The first claim on an identity wins until it is
/// released; later ones change nothing. All readers of the same offsets agree.
class ClaimFold {
 public:
  /// Folds the record at `offset`; offsets below `next()` change nothing.
  void Apply(base::Offset offset, std::string_view record);
  /// Forgets identities whose last record the log no longer keeps.
  void Expire(base::Offset first);

  /// Null if the identity is free.
  const Claim* Find(const std::string& identity) const;
  base::Offset next() const { return next_; }
  size_t size() const { return claims_.size(); }

 private:
  struct Entry {
    Claim claim;
    base::Offset last;
  };

  void ApplyStep(base::Offset offset, ClaimStep step);

  std::unordered_map<std::string, Entry> claims_;
  /// Identities by the offset that touched them last.
  std::multimap<base::Offset, std::string> by_offset_;
  base::Offset next_{1};
};

}  // namespace dandelion::claims
