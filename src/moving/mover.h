#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/task.h"
#include "moving/run.h"

namespace dandelion::moving {

/// Moves runs away from engines that leave, one task per run. The task that
/// passes the stream on sends the request to the copy once the old stream is
/// cut.
class Mover {
 public:
  struct Hooks {
    /// Where `run` may go, without the engines in `excluded`; reserves room
    /// there.
    std::function<std::optional<Place>(
        const Run& run,
        const std::set<base::UpstreamId>& excluded)>
        choose;
    /// Whether an engine is known to leave.
    std::function<bool(const base::UpstreamId&)> leaving;
  };

  Mover(const base::Executor& executor,
        base::Clock clock,
        relay::EngineControl& engines,
        Hooks hooks);

  void Add(const RunPtr& run);
  void Remove(const RunPtr& run);
  /// Starts to move every run on `upstream`.
  void Leave(const base::UpstreamId& upstream, const std::string& reason);
  /// Engines on which this daemon has runs.
  std::set<base::UpstreamId> Engines() const;

  uint64_t moved() const { return moved_; }
  uint64_t failed() const { return failed_; }

 private:
  base::Task<void> Move(RunPtr run, std::string reason);
  base::Task<bool> CopyWhileRunning(RunPtr run,
                                    base::UpstreamId source,
                                    std::set<base::UpstreamId>* excluded);
  base::Task<void> StopAndCopy(RunPtr run);

  base::Executor executor_;
  base::Clock clock_;
  relay::EngineControl& engines_;
  Hooks hooks_;
  std::multimap<base::UpstreamId, RunPtr> runs_;
  uint64_t moved_ = 0;
  uint64_t failed_ = 0;
};

}  // namespace dandelion::moving
