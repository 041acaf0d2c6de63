#include "migration/copy_step.h"

namespace dandelion::migration {
namespace {

// A copy that takes no longer than this did not queue for the link, so the
// final copy is not expected to queue either.
constexpr base::Millis kMaxUnqueuedCopyTime{60};

}  // namespace

CopyStep ChooseNextStep(relay::KvCacheCopyOutcome outcome,
                        base::Millis took,
                        bool have_copy) {
  switch (outcome) {
    case relay::KvCacheCopyOutcome::kCopied:
      return took <= kMaxUnqueuedCopyTime ? CopyStep::kStopAndCopy
                                          : CopyStep::kCopyAgain;
    case relay::KvCacheCopyOutcome::kNoGeneration:
    case relay::KvCacheCopyOutcome::kBusy:
      return CopyStep::kWait;
    case relay::KvCacheCopyOutcome::kTargetUnavailable:
    case relay::KvCacheCopyOutcome::kUnknown:
      return have_copy ? CopyStep::kKeepCopy : CopyStep::kOtherTarget;
    case relay::KvCacheCopyOutcome::kInexpressibleId:
      return CopyStep::kGiveUp;
  }
  return CopyStep::kOtherTarget;
}

}  // namespace dandelion::migration
