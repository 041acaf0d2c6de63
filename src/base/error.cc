#include "base/error.h"

#include <array>
#include <utility>

#include "absl/strings/cord.h"

namespace dandelion::base {
namespace {

constexpr std::string_view kKindUrl = "dandelion/kind";
constexpr std::string_view kRemedyUrl = "dandelion/remedy";

struct KindRow {
  ErrorKind kind;
  std::string_view name;
  absl::StatusCode code;
};

constexpr std::array kKinds = {
    KindRow{ErrorKind::kInvalidRequest, "invalid_request",
            absl::StatusCode::kInvalidArgument},
    KindRow{ErrorKind::kUnauthorised, "unauthorised",
            absl::StatusCode::kPermissionDenied},
    KindRow{ErrorKind::kNoRoute, "no_route", absl::StatusCode::kNotFound},
    KindRow{ErrorKind::kNotReady, "not_ready", absl::StatusCode::kUnavailable},
    KindRow{ErrorKind::kOverloaded, "overloaded",
            absl::StatusCode::kResourceExhausted},
    KindRow{ErrorKind::kNoUpstream, "no_upstream",
            absl::StatusCode::kUnavailable},
    KindRow{ErrorKind::kDraining, "draining", absl::StatusCode::kUnavailable},
    KindRow{ErrorKind::kConnectFailed, "connect_failed",
            absl::StatusCode::kUnavailable},
    KindRow{ErrorKind::kConnectionLost, "connection_lost",
            absl::StatusCode::kUnavailable},
    KindRow{ErrorKind::kTimeout, "timeout",
            absl::StatusCode::kDeadlineExceeded},
    KindRow{ErrorKind::kBadAnswer, "bad_answer", absl::StatusCode::kInternal},
    KindRow{ErrorKind::kGenerationLost, "generation_lost",
            absl::StatusCode::kDataLoss},
    KindRow{ErrorKind::kKeyRequired, "key_required",
            absl::StatusCode::kInvalidArgument},
    KindRow{ErrorKind::kClaimUnavailable, "claim_unavailable",
            absl::StatusCode::kUnavailable},
    KindRow{ErrorKind::kInProgress, "in_progress", absl::StatusCode::kAborted},
    KindRow{ErrorKind::kOutcomeUnknown, "outcome_unknown",
            absl::StatusCode::kUnknown},
    KindRow{ErrorKind::kPlatformUnreachable, "platform_unreachable",
            absl::StatusCode::kUnavailable},
    KindRow{ErrorKind::kConflict, "lost_race", absl::StatusCode::kAborted},
    KindRow{ErrorKind::kInvalidTables, "invalid_tables",
            absl::StatusCode::kInvalidArgument},
    KindRow{ErrorKind::kInvalidSettings, "invalid_settings",
            absl::StatusCode::kInvalidArgument},
    KindRow{ErrorKind::kTooLarge, "too_large", absl::StatusCode::kOutOfRange},
    KindRow{ErrorKind::kPromptQuarantined, "prompt_quarantined",
            absl::StatusCode::kFailedPrecondition},
    KindRow{ErrorKind::kInternal, "internal", absl::StatusCode::kInternal},
};

const KindRow& FindRow(ErrorKind kind) {
  for (const KindRow& row : kKinds) {
    if (row.kind == kind) {
      return row;
    }
  }
  return kKinds.back();
}

}  // namespace

std::string_view ToString(ErrorKind kind) {
  return FindRow(kind).name;
}

std::string_view ToString(Ran ran) {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kYes:
      return "yes";
    case Ran::kUnknown:
      return "unknown";
  }
  return "unknown";
}

absl::Status MakeError(ErrorKind kind,
                       std::string_view message,
                       std::string_view remedy) {
  const KindRow& row = FindRow(kind);
  absl::Status status(row.code,
                      absl::string_view(message.data(), message.size()));
  status.SetPayload(
      absl::string_view(kKindUrl.data(), kKindUrl.size()),
      absl::Cord(absl::string_view(row.name.data(), row.name.size())));
  status.SetPayload(
      absl::string_view(kRemedyUrl.data(), kRemedyUrl.size()),
      absl::Cord(absl::string_view(remedy.data(), remedy.size())));
  return status;
}

ErrorKind KindOf(const absl::Status& status) {
  const auto payload =
      status.GetPayload(absl::string_view(kKindUrl.data(), kKindUrl.size()));
  if (payload) {
    const std::string name(*payload);
    for (const KindRow& row : kKinds) {
      if (row.name == name) {
        return row.kind;
      }
    }
  }
  return ErrorKind::kInternal;
}

std::string RemedyOf(const absl::Status& status) {
  const auto payload = status.GetPayload(
      absl::string_view(kRemedyUrl.data(), kRemedyUrl.size()));
  return payload ? std::string(*payload) : std::string();
}

}  // namespace dandelion::base
