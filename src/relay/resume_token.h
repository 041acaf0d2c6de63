#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/ids.h"

namespace dandelion::relay {

/// Identifies a generation and its engine, so that any daemon can resume its
/// stream.
struct ResumePoint {
  base::UpstreamId upstream;
  /// "IP:PORT". Kept here because the upstream may have been removed from the
  /// tables.
  std::string address;
  base::Incarnation incarnation;
  base::GenerationId generation;
  base::OrganisationId organisation;
  base::RouteName route;
};

/// Encodes resume points as tokens with a message authentication code, so that
/// callers can't forge a token, for example for another organisation's stream.
class ResumeTokens {
 public:
  /// `key` is the authentication key as 64 hexadecimal digits.
  explicit ResumeTokens(std::string_view key);

  /// Returns the token for `point`. Its content is not encrypted.
  std::string Seal(const ResumePoint& point) const;
  /// Decodes a token. Fails with `kUnauthorised` if it is malformed or was not
  /// made with the same key.
  absl::StatusOr<ResumePoint> Open(std::string_view token) const;

 private:
  std::string key_;
};

}  // namespace dandelion::relay
