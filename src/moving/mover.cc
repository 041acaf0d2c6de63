#include "moving/mover.h"

#include <utility>
#include <vector>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "moving/copy_step.h"
#include "telemetry/events.h"

namespace dandelion::moving {
namespace {

using base::Millis;
using base::Task;
using base::UpstreamId;
using relay::CopyOutcome;
using relay::CopyResult;
using telemetry::Emit;
using telemetry::Event;

// Pause while the generation has not begun, and before a copy is tried again.
constexpr Millis kRetryPause{30};
// Pause while no engine has capacity, or until the stream of a source that can
// no longer be copied from breaks.
constexpr Millis kNoCapacityPause{100};
constexpr Millis kCopyTimeout{4000};
// A migration is given up after this many steps, pauses included.
constexpr int kMaxTries = 60;

std::string_view ToString(CopyOutcome outcome) {
  switch (outcome) {
    case CopyOutcome::kCopied:
      return "copied";
    case CopyOutcome::kNoRun:
      return "no_run";
    case CopyOutcome::kBusy:
      return "busy";
    case CopyOutcome::kNoRoom:
      return "no_room";
    case CopyOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

Mover::Mover(const base::Executor& executor,
             base::Clock clock,
             relay::EngineControl& engines,
             Hooks hooks)
    : executor_(executor),
      clock_(std::move(clock)),
      engines_(engines),
      hooks_(std::move(hooks)) {}

void Mover::Add(const RunPtr& run) {
  runs_.emplace(run->place.upstream, run);
  if (hooks_.leaving(run->place.upstream)) {
    Leave(run->place.upstream, "placed on a leaving engine");
  }
}

void Mover::Remove(const RunPtr& run) {
  std::erase_if(runs_, [&](const auto& item) { return item.second == run; });
}

void Mover::Leave(const UpstreamId& upstream, const std::string& reason) {
  const auto [first, last] = runs_.equal_range(upstream);
  std::vector<RunPtr> to_migrate;
  for (auto item = first; item != last; ++item) {
    if (!item->second->moving) {
      to_migrate.push_back(item->second);
    }
  }
  for (const RunPtr& run : to_migrate) {
    run->moving = true;
    base::Spawn(executor_, Migrate(run, reason));
  }
}

std::set<UpstreamId> Mover::Engines() const {
  std::set<UpstreamId> engines;
  for (const auto& [upstream, run] : runs_) {
    engines.insert(upstream);
  }
  return engines;
}

Task<void> Mover::Migrate(RunPtr run, std::string reason) {
  const UpstreamId source = run->place.upstream;
  std::set<UpstreamId> excluded = {source};
  for (int tries = 0; tries < kMaxTries; ++tries) {
    if (run->ended || run->place.upstream != source) {
      break;
    }
    if (!run->has_events) {
      co_await base::Delay(kRetryPause);
      continue;
    }
    const bool ready = co_await CopyWhileRunning(run, source, &excluded);
    if (ready && !run->ended) {
      co_await StopAndCopy(run);
      break;
    }
  }
  run->moving = false;
  Emit(Event::kRunMoved, {{"request", run->id.value()},
                          {"from", source.value()},
                          {"reason", reason},
                          {"copied", run->copy ? "1" : "0"},
                          {"ended", run->ended ? "1" : "0"}});
}

Task<bool> Mover::CopyWhileRunning(RunPtr run,
                                   UpstreamId source,
                                   std::set<UpstreamId>* excluded) {
  if (!run->copy) {
    std::optional<Place> target = hooks_.choose(*run, *excluded);
    if (!target) {
      co_await base::Delay(kNoCapacityPause);
      co_return false;
    }
    run->copy.emplace();
    run->copy->place = *std::move(target);
  }
  const auto source_address = run->place.address;
  const auto target_address = run->copy->place.address;
  const UpstreamId target = run->copy->place.upstream;
  const Millis started = clock_.Now();
  const CopyResult result = co_await engines_.CopyRun(
      source_address, run->id, target_address, false, kCopyTimeout);
  const Millis took = clock_.Now() - started;
  Emit(Event::kRunCopied, {{"request", run->id.value()},
                           {"from", source.value()},
                           {"to", target.value()},
                           {"outcome", std::string(ToString(result.outcome))},
                           {"took_ms", absl::StrCat(took.count())},
                           {"events", absl::StrCat(result.events_made)}});
  if (!run->copy || run->place.upstream != source) {
    co_return false;  // The stream broke and was resumed from the copy.
  }
  if (!result.handle.empty()) {
    run->copy->cache = {source_address, result.handle};
    run->copy->place.ticket.MarkKvCacheArrived();
  }
  const bool have_copy = !run->copy->cache.handle.empty();
  switch (AfterCopy(result.outcome, took, have_copy)) {
    case CopyStep::kStopAndCopy:
      co_return true;
    case CopyStep::kCopyAgain:
      break;
    case CopyStep::kWait:
      co_await base::Delay(kRetryPause);
      break;
    case CopyStep::kOtherTarget:
      excluded->insert(target);
      run->copy.reset();
      break;
    case CopyStep::kKeepCopy:
      co_await base::Delay(kNoCapacityPause);
      break;
  }
  co_return false;
}

Task<void> Mover::StopAndCopy(RunPtr run) {
  run->final_copy_running = true;
  const absl::Cleanup end_final_copy = [run] {
    run->final_copy_running = false;
    run->final_copy_ended.cancel();
  };
  const auto source_address = run->place.address;
  const auto target_address = run->copy->place.address;
  const Millis started = clock_.Now();
  const CopyResult result = co_await engines_.CopyRun(
      source_address, run->id, target_address, true, kCopyTimeout);
  const Millis took = clock_.Now() - started;
  Emit(Event::kRunCopied,
       {{"request", run->id.value()},
        {"to", run->copy ? run->copy->place.upstream.value() : ""},
        {"last", "1"},
        {"outcome", std::string(ToString(result.outcome))},
        {"took_ms", absl::StrCat(took.count())},
        {"events", absl::StrCat(result.events_made)}});
  const bool switched = run->place.address != source_address;
  if (run->ended || !run->copy || switched) {
    co_return;
  }
  if (!result.handle.empty()) {
    run->copy->cache = {source_address, result.handle};
  }
  if (result.outcome == CopyOutcome::kCopied) {
    ++migrated_;
    co_return;
  }
  ++failed_;
  Emit(Event::kRunMoveFailed,
       {{"request", run->id.value()},
        {"outcome", std::string(ToString(result.outcome))}});
  if (result.outcome == CopyOutcome::kNoRoom && !result.handle.empty()) {
    // The generation was stopped but its KV cache is still on the source, so it
    // is resumed there.
    Place source_place;
    source_place.upstream = run->place.upstream;
    source_place.address = source_address;
    source_place.data_centre = run->place.data_centre;
    run->copy->place = std::move(source_place);
  }
}

}  // namespace dandelion::moving
