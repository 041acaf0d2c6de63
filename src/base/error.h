#pragma once

#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace dandelion::base {

/// What went wrong, as callers and operators see it.
enum class ErrorKind {
  kInvalidRequest,
  kUnauthorised,
  kNoRoute,
  kNotReady,
  kOverloaded,
  kNoUpstream,
  kConnectFailed,
  kConnectionLost,
  kTimeout,
  kBadAnswer,
  kGenerationLost,
  kKeyRequired,
  kClaimUnavailable,
  kInProgress,
  kOutcomeUnknown,
  kPlatformUnreachable,
  kLostRace,
  kInvalidTables,
  kInvalidSettings,
  kTooLarge,
  kInternal,
};

/// Whether the upstream may have acted on a request.
enum class Ran { kNo, kYes, kUnknown };

std::string_view ToString(ErrorKind kind);
std::string_view ToString(Ran ran);

/// Builds a status that carries `kind` and a remedy for the reader.
absl::Status MakeError(ErrorKind kind,
                       std::string_view what,
                       std::string_view remedy);

/// The kind that `MakeError` stored; `kInternal` for any other status.
ErrorKind KindOf(const absl::Status& status);

/// The remedy that `MakeError` stored; empty for any other status.
std::string RemedyOf(const absl::Status& status);

}  // namespace dandelion::base
