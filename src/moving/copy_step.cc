#include "moving/copy_step.h"

namespace dandelion::moving {
namespace {

// A copy that returns within this time met no queue, and neither will the next.
constexpr base::Millis kShortCopy{60};

}  // namespace

CopyStep AfterCopy(relay::CopyOutcome outcome,
                   base::Millis took,
                   bool have_copy) {
  switch (outcome) {
    case relay::CopyOutcome::kCopied:
      return took <= kShortCopy ? CopyStep::kStopAndCopy : CopyStep::kCopyAgain;
    case relay::CopyOutcome::kNoRun:
    case relay::CopyOutcome::kBusy:
      return CopyStep::kWait;
    case relay::CopyOutcome::kNoRoom:
    case relay::CopyOutcome::kUnknown:
      return have_copy ? CopyStep::kKeepCopy : CopyStep::kOtherTarget;
  }
  return CopyStep::kOtherTarget;
}

}  // namespace dandelion::moving
