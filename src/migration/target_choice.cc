#include "migration/target_choice.h"

#include <algorithm>

#include "routing/cheapest.h"

namespace dandelion::migration {
namespace {

// Share of the target's memory that stays free.
constexpr double kMemoryReserve = 0.05;
// A copy to another data centre takes this many times as long as one within a
// data centre.
constexpr double kRemoteCopyFactor = 2;
// Each other generation that leaves the source adds this share of the copy time
// to the cost, since its copy waits for the same link.
constexpr double kCompetingCopyFactor = 0.5;
// Weight of decode time against copy time. The notice before an engine ends is
// short, so the copy matters more.
constexpr double kDecodeWeight = 0.1;
// Cost of a full target. If it leaves too, all its generations have to be
// migrated at once.
constexpr double kFillCostMs = 800;
// Cost of a target whose recent requests all failed.
constexpr double kFailureCostMs = 2000;

bool HasRoom(const routing::UpstreamCandidate& candidate,
             const MigrationSize& size,
             int64_t memory_tokens) {
  const double usable =
      static_cast<double>(memory_tokens) * (1 - kMemoryReserve);
  const int64_t needed =
      candidate.load.tokens + size.tokens_held + size.tokens_left;
  return candidate.load.running < candidate.slots &&
         static_cast<double>(needed) <= usable;
}

double ComputeCost(const MigrationTarget& target,
                   const MigrationSize& size,
                   int64_t memory_tokens) {
  const double copy_ms =
      size.copy_ms * (target.in_source_data_centre ? 1 : kRemoteCopyFactor);
  const double waiting =
      1 + kCompetingCopyFactor * static_cast<double>(size.others_leaving);
  const double ms_per_token =
      size.copy_ms /
      static_cast<double>(std::max<int64_t>(1, size.tokens_held));
  const double queue_ms =
      static_cast<double>(target.candidate.load.arriving_tokens) * ms_per_token;
  const double decode_ms =
      static_cast<double>(size.tokens_left) *
      target.candidate.speed.average_ms.value_or(routing::kDefaultTokenMs);
  const double fill = static_cast<double>(target.candidate.load.tokens) /
                      static_cast<double>(std::max<int64_t>(1, memory_tokens));
  return copy_ms * waiting + queue_ms + decode_ms * kDecodeWeight +
         fill * kFillCostMs + target.candidate.failure_rate * kFailureCostMs;
}

}  // namespace

std::optional<size_t> ChooseTarget(const std::vector<MigrationTarget>& targets,
                                   const MigrationSize& size,
                                   int64_t memory_tokens) {
  return routing::FindCheapest(
      targets,
      [&](const MigrationTarget& target) {
        return ComputeCost(target, size, memory_tokens);
      },
      [&](const MigrationTarget& target) {
        return HasRoom(target.candidate, size, memory_tokens);
      });
}

}  // namespace dandelion::migration
