#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/error.h"
#include "store/store.h"

namespace dandelion::test {

/// A log of streams' origins in this process.
class FakeOriginStore : public store::StreamOriginStore {
 public:
  using Changes = std::vector<store::StreamOriginChange>;

  base::Task<absl::StatusOr<store::StreamOriginUpdate>> ReadOrigins(
      std::optional<int64_t> from) override {
    ++reads;
    // Copied first: what is written during the call is not read by it.
    const Changes at_start = log;
    co_await base::SleepFor(call_time);
    if (away) {
      co_return Away();
    }
    if (from && *from > static_cast<int64_t>(at_start.size())) {
      co_return base::MakeError(base::ErrorKind::kConflict, "no such offset",
                                "read all");
    }
    store::StreamOriginUpdate update;
    update.to = static_cast<int64_t>(at_start.size());
    update.snapshot = !from;
    update.changes.assign(at_start.begin() + from.value_or(0), at_start.end());
    co_return update;
  }
  base::Task<absl::Status> WriteOrigins(Changes changes) override {
    co_await base::SleepFor(call_time);
    if (away) {
      co_return Away();
    }
    batches.push_back(changes);
    log.insert(log.end(), changes.begin(), changes.end());
    co_return absl::OkStatus();
  }
  std::optional<int64_t> Era() const override { return era; }

  /// All that was written.
  Changes log;
  /// What each call has written.
  std::vector<Changes> batches;
  int reads = 0;
  bool away = false;
  std::optional<int64_t> era;
  base::Millis call_time{0};

 private:
  static absl::Status Away() {
    return base::MakeError(base::ErrorKind::kPlatformUnreachable, "away",
                           "wait");
  }
};

}  // namespace dandelion::test
