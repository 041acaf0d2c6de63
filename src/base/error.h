#pragma once

#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace dandelion::base {

/// The kinds of error that callers and operators see.
enum class ErrorKind {
  kInvalidRequest,
  kUnauthorised,
  kNoRoute,
  kNotReady,
  kOverloaded,
  kNoUpstream,
  kDraining,
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
  kConflict,
  kInvalidTables,
  kInvalidSettings,
  kTooLarge,
  kPromptQuarantined,
  kInternal,
};

/// Whether an upstream acted on a request; `kUnknown` if it may have.
enum class Ran { kNo, kYes, kUnknown };

/// The name of `kind` in responses, events and metrics.
std::string_view ToString(ErrorKind kind);
/// "no", "yes" or "unknown".
std::string_view ToString(Ran ran);

/// Builds an error status with `message` and stores `kind` and `remedy` in it.
/// `remedy` tells a person how to resolve the error.
absl::Status MakeError(ErrorKind kind,
                       std::string_view message,
                       std::string_view remedy);

/// The kind that `MakeError` stored in `status`; `kInternal` if there is none.
ErrorKind KindOf(const absl::Status& status);

/// The remedy that `MakeError` stored in `status`; empty if there is none.
std::string RemedyOf(const absl::Status& status);

}  // namespace dandelion::base
