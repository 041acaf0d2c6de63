#include "migration/migrator.h"

#include <utility>
#include <vector>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "telemetry/events.h"

namespace dandelion::migration {
namespace {

using base::Millis;
using base::Task;
using base::UpstreamId;
using relay::KvCacheCopyOutcome;
using relay::KvCacheCopyResult;
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

std::string_view ToString(KvCacheCopyOutcome outcome) {
  switch (outcome) {
    case KvCacheCopyOutcome::kCopied:
      return "copied";
    case KvCacheCopyOutcome::kNoGeneration:
      return "no_run";
    case KvCacheCopyOutcome::kBusy:
      return "busy";
    case KvCacheCopyOutcome::kTargetUnavailable:
      return "no_room";
    case KvCacheCopyOutcome::kUnknown:
      return "unknown";
    case KvCacheCopyOutcome::kInexpressibleId:
      return "inexpressible_id";
  }
  return "unknown";
}

// Whether an engine that answered a final copy so has not stopped the
// generation for it.
bool DidNotStop(KvCacheCopyOutcome outcome) {
  return outcome == KvCacheCopyOutcome::kNoGeneration ||
         outcome == KvCacheCopyOutcome::kBusy ||
         outcome == KvCacheCopyOutcome::kInexpressibleId;
}

// The engine that runs `generation`, without a reservation: a generation that
// continues there needs no additional capacity.
Place SourceOf(const ActiveGeneration& generation) {
  Place source;
  source.upstream = generation.place.upstream;
  source.address = generation.place.address;
  source.data_centre = generation.place.data_centre;
  source.version = generation.place.version;
  return source;
}

}  // namespace

Migrator::Migrator(const base::Executor& executor,
                   base::Clock clock,
                   relay::EngineControl& engines,
                   Hooks hooks)
    : executor_(executor),
      clock_(std::move(clock)),
      engines_(engines),
      hooks_(std::move(hooks)) {}

void Migrator::Add(const GenerationPtr& generation) {
  generations_.emplace(generation->place.upstream, generation);
  if (hooks_.leaving(generation->place.upstream)) {
    MigrateFrom(generation->place.upstream, "placed on a leaving engine");
  }
}

void Migrator::Remove(const GenerationPtr& generation) {
  std::erase_if(generations_,
                [&](const auto& item) { return item.second == generation; });
}

void Migrator::MigrateFrom(const UpstreamId& upstream,
                           const std::string& reason) {
  const auto [first, last] = generations_.equal_range(upstream);
  std::vector<GenerationPtr> to_migrate;
  for (auto item = first; item != last; ++item) {
    if (!item->second->migrating) {
      to_migrate.push_back(item->second);
    }
  }
  for (const GenerationPtr& generation : to_migrate) {
    generation->migrating = true;
    base::Spawn(executor_, Migrate(generation, reason));
  }
}

std::set<UpstreamId> Migrator::UsedEngines() const {
  std::set<UpstreamId> engines;
  for (const auto& [upstream, generation] : generations_) {
    engines.insert(upstream);
  }
  return engines;
}

Task<void> Migrator::Migrate(GenerationPtr generation, std::string reason) {
  const absl::Cleanup end = [generation] { generation->migrating = false; };
  const UpstreamId source = generation->place.upstream;
  std::set<UpstreamId> excluded = {source};
  for (int tries = 0; tries < kMaxTries; ++tries) {
    if (generation->ended || generation->place.upstream != source) {
      break;
    }
    if (!generation->has_events) {
      co_await base::SleepFor(kRetryPause);
      continue;
    }
    const CopyStep next =
        co_await CopyWhileRunning(generation, source, &excluded);
    if (next == CopyStep::kGiveUp) {
      break;
    }
    if (next == CopyStep::kStopAndCopy && !generation->ended) {
      co_await StopAndCopy(generation);
      break;
    }
  }
  Emit(Event::kRunMoved, {{"request", generation->id.value()},
                          {"from", source.value()},
                          {"reason", reason},
                          {"copied", generation->copy ? "1" : "0"},
                          {"ended", generation->ended ? "1" : "0"}});
}

Task<CopyStep> Migrator::CopyWhileRunning(GenerationPtr generation,
                                          UpstreamId source,
                                          std::set<UpstreamId>* excluded) {
  if (!generation->copy) {
    std::optional<Place> target = hooks_.choose(*generation, *excluded);
    if (!target) {
      co_await base::SleepFor(kNoCapacityPause);
      co_return CopyStep::kWait;
    }
    generation->copy.emplace();
    generation->copy->place = *std::move(target);
  }
  const auto source_address = generation->place.address;
  const auto target_address = generation->copy->place.address;
  const UpstreamId target = generation->copy->place.upstream;
  const base::SoftwareVersion version = generation->place.version;
  const base::SoftwareVersion to_version = generation->copy->place.version;
  const Millis started = clock_.Now();
  const KvCacheCopyResult result = co_await engines_.CopyKvCache(
      source_address, generation->id, target_address, false, kCopyTimeout);
  const Millis took = clock_.Now() - started;
  hooks_.on_self_report(source, result.self);
  Emit(Event::kRunCopied, {{"request", generation->id.value()},
                           {"from", source.value()},
                           {"to", target.value()},
                           {"version", version.value()},
                           {"to_version", to_version.value()},
                           {"outcome", std::string(ToString(result.outcome))},
                           {"took_ms", absl::StrCat(took.count())},
                           {"events", absl::StrCat(result.events_produced)}});
  if (!generation->copy || generation->place.upstream != source) {
    // The stream broke and was resumed from the copy.
    co_return CopyStep::kWait;
  }
  if (!result.handle.empty()) {
    generation->copy->cache = {source_address, result.handle};
    generation->copy->place.reservation.MarkKvCacheArrived();
  }
  const bool have_copy = !generation->copy->cache.handle.empty();
  const CopyStep next = ChooseNextStep(result.outcome, took, have_copy);
  switch (next) {
    case CopyStep::kStopAndCopy:
    case CopyStep::kCopyAgain:
      break;
    case CopyStep::kGiveUp:
      generation->copy.reset();
      break;
    case CopyStep::kWait:
      co_await base::SleepFor(kRetryPause);
      break;
    case CopyStep::kOtherTarget:
      excluded->insert(target);
      generation->copy.reset();
      break;
    case CopyStep::kKeepCopy:
      co_await base::SleepFor(kNoCapacityPause);
      break;
  }
  co_return next;
}

Task<void> Migrator::StopAndCopy(GenerationPtr generation) {
  generation->final_copy_running = true;
  // An earlier final copy without a known result may have stopped it.
  const bool was_stopped = std::exchange(generation->may_be_stopped, true);
  const absl::Cleanup end_final_copy = [generation] {
    generation->final_copy_running = false;
    generation->final_copy_ended.cancel();
  };
  const auto source_address = generation->place.address;
  const auto target_address = generation->copy->place.address;
  const UpstreamId source = generation->place.upstream;
  const Millis started = clock_.Now();
  const KvCacheCopyResult result = co_await engines_.CopyKvCache(
      source_address, generation->id, target_address, true, kCopyTimeout);
  const Millis took = clock_.Now() - started;
  hooks_.on_self_report(source, result.self);
  Emit(
      Event::kRunCopied,
      {{"request", generation->id.value()},
       {"to", generation->copy ? generation->copy->place.upstream.value() : ""},
       {"last", "1"},
       {"outcome", std::string(ToString(result.outcome))},
       {"took_ms", absl::StrCat(took.count())},
       {"events", absl::StrCat(result.events_produced)}});
  const bool switched = generation->place.address != source_address;
  if (generation->ended || !generation->copy || switched) {
    co_return;
  }
  if (DidNotStop(result.outcome)) {
    generation->may_be_stopped = was_stopped;
  }
  if (!result.handle.empty()) {
    generation->copy->cache = {source_address, result.handle};
  }
  if (result.outcome == KvCacheCopyOutcome::kCopied) {
    generation->copy->stopped_source = SourceOf(*generation);
    ++migrated_;
    co_return;
  }
  ++failed_;
  Emit(Event::kRunMoveFailed,
       {{"request", generation->id.value()},
        {"outcome", std::string(ToString(result.outcome))}});
  if (result.outcome == KvCacheCopyOutcome::kTargetUnavailable &&
      !result.handle.empty()) {
    // The generation was stopped but its KV cache is still on the source, so it
    // is resumed there.
    generation->copy->place = SourceOf(*generation);
  }
}

}  // namespace dandelion::migration
