#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/task.h"
#include "migration/active_generation.h"
#include "migration/copy_step.h"

namespace dandelion::migration {

/// Migrates generations away from leaving engines, one task per generation.
/// This class only copies KV caches. The task that forwards the stream resends
/// the request to the engine that holds the copy once the old stream breaks.
class Migrator {
 public:
  struct Hooks {
    /// Chooses a target for `generation`, other than the engines in `excluded`,
    /// and reserves its load there. Empty if no engine has capacity.
    std::function<std::optional<Place>(
        const ActiveGeneration& generation,
        const std::set<base::UpstreamId>& excluded)>
        choose;
    /// Returns whether an engine is known to be leaving.
    std::function<bool(const base::UpstreamId&)> leaving;
    /// Called with what an engine says of itself as it answers an order.
    std::function<void(const base::UpstreamId&, const routing::SelfReport&)>
        on_self_report;
  };

  Migrator(const base::Executor& executor,
           base::Clock clock,
           relay::EngineControl& engines,
           Hooks hooks);

  /// Tracks a generation on the engine of its `place`. Starts to migrate it at
  /// once if that engine is leaving.
  void Add(const GenerationPtr& generation);
  /// Stops tracking a generation. A migration that is under way is not
  /// cancelled.
  void Remove(const GenerationPtr& generation);
  /// Starts to migrate every generation on `upstream` that is not being
  /// migrated yet. `reason` is written to the log.
  void MigrateFrom(const base::UpstreamId& upstream, const std::string& reason);
  /// Returns the engines that have generations of this daemon.
  std::set<base::UpstreamId> UsedEngines() const;

  /// Number of final copies that succeeded.
  uint64_t migrated() const { return migrated_; }
  /// Number of final copies that failed.
  uint64_t failed() const { return failed_; }

 private:
  base::Task<void> Migrate(GenerationPtr generation, std::string reason);
  /// Chooses a target if there is none yet and copies the KV cache there once
  /// without stopping the generation. Returns the next step, after the pause
  /// that it asks for. Adds targets that failed to `excluded`.
  base::Task<CopyStep> CopyWhileRunning(GenerationPtr generation,
                                        base::UpstreamId source,
                                        std::set<base::UpstreamId>* excluded);
  /// Stops the generation and makes the final copy.
  base::Task<void> StopAndCopy(GenerationPtr generation);

  base::Executor executor_;
  base::Clock clock_;
  relay::EngineControl& engines_;
  Hooks hooks_;
  std::multimap<base::UpstreamId, GenerationPtr> generations_;
  uint64_t migrated_ = 0;
  uint64_t failed_ = 0;
};

}  // namespace dandelion::migration
