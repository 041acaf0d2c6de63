#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/ids.h"

namespace dandelion::relay {

/// Where a generation runs, so that any daemon can go on with its stream.
struct ResumePoint {
  base::UpstreamId upstream;
  /// "IP:PORT"; the upstream may have left the tables.
  std::string address;
  base::Incarnation incarnation;
  base::GenerationId generation;
  base::OrganisationId organisation;
  base::RouteName route;
};

/// Seals resume points, so that callers can neither read another
/// organisation's nor make one up.
class ResumeTokens {
 public:
  /// `key` has 64 hexadecimal digits.
  explicit ResumeTokens(std::string_view key);

  std::string Seal(const ResumePoint& point) const;
  /// Fails with `kUnauthorised` on a token that was not sealed with the key.
  absl::StatusOr<ResumePoint> Open(std::string_view token) const;

 private:
  std::string key_;
};

}  // namespace dandelion::relay
