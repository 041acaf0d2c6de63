#pragma once

#include <functional>
#include <optional>
#include <string>

#include "admission/part_quarantine.h"
#include "base/clock.h"
#include "base/task.h"
#include "store/store.h"

namespace dandelion::kernel {

/// Keeps the quarantined parts in the platform's store, and restores them when
/// daemons have started. One daemon does so for the fleet; the others hear of
/// what it restores by heartbeats. All references must outlive it.
class QuarantineRecords {
 public:
  QuarantineRecords(base::Clock clock,
                    admission::PartQuarantine& quarantine,
                    store::QuarantineStore& store,
                    std::function<bool()> is_keeper);

  /// Restores once, then records each change. Runs until the process ends.
  base::Task<void> Keep();

 private:
  base::Task<void> Restore();
  base::Task<void> Record(std::string identity);

  base::Clock clock_;
  admission::PartQuarantine& quarantine_;
  store::QuarantineStore& store_;
  std::function<bool()> is_keeper_;
  /// The end of the topic as last read or written; nothing if it has to be
  /// read, again or for the first time.
  std::optional<int64_t> end_;
  /// Identifies the quarantines that the store has.
  std::string recorded_;
};

}  // namespace dandelion::kernel
