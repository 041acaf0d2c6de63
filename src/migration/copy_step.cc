#include "migration/copy_step.h"

namespace dandelion::migration {
namespace {

// A copy that takes no longer than this did not queue for the link, so the
// final copy is not expected to queue either.
constexpr base::Millis kMaxUnqueuedCopyTime{60};

}  // namespace

CopyStep ChooseNextStep(relay::CopyOutcome outcome,
                        base::Millis took,
                        bool have_copy) {
  switch (outcome) {
    case relay::CopyOutcome::kCopied:
      return took <= kMaxUnqueuedCopyTime ? CopyStep::kStopAndCopy
                                          : CopyStep::kCopyAgain;
    case relay::CopyOutcome::kNoGeneration:
    case relay::CopyOutcome::kBusy:
      return CopyStep::kWait;
    case relay::CopyOutcome::kTargetUnavailable:
    case relay::CopyOutcome::kUnknown:
      return have_copy ? CopyStep::kKeepCopy : CopyStep::kOtherTarget;
  }
  return CopyStep::kOtherTarget;
}

}  // namespace dandelion::migration
