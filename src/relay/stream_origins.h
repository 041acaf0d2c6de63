#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/condition.h"
#include "base/ids.h"
#include "base/task.h"
#include "relay/origin_reader.h"
#include "store/retry_backoff.h"
#include "store/store.h"

namespace dandelion::relay {

/// Where the origin of a stream was found.
enum class OriginSource {
  /// This daemon has begun the stream itself.
  kOwn,
  kStore,
  /// Only one version can have begun any stream of the pool.
  kOnlyVersion,
  kUnknown
};

/// Returns the name that is written to the log.
std::string_view ToString(OriginSource source);

/// The daemon's knowledge of which pool and version began which stream. What it
/// begins itself it records in the store, so that other daemons, and this one
/// after a restart, know it when a caller takes the stream up again. `store`
/// must outlive it.
class StreamOrigins {
 public:
  struct Hooks {
    /// Returns milliseconds since the Unix epoch.
    std::function<int64_t()> unix_now;
    /// Returns how many calls per second this daemon may append with.
    std::function<double()> calls_per_second;
    /// Whether this daemon removes records that others have left behind.
    std::function<bool()> removes_leftovers;
  };
  struct Found {
    std::optional<StreamOrigin> origin;
    OriginSource source = OriginSource::kUnknown;
  };
  /// Calls that may be sent at once after a pause.
  static constexpr double kBurstCalls = 3;
  /// Removals alone are written no more often than this.
  static constexpr base::Millis kRemovalInterval{5000};
  /// Origins of streams that have ended are kept for this long, as a caller may
  /// have missed the end.
  static constexpr base::Millis kEndedKeptFor{5000};
  /// How often the store is read for records that others have left behind.
  static constexpr base::Millis kSearchInterval{300'000};
  /// Most streams whose origins are kept; further ones are unknown.
  static constexpr size_t kMaxKept = 20'000;

  StreamOrigins(const base::Executor& executor,
                base::Clock clock,
                store::StreamOriginStore& store,
                Hooks hooks);

  /// Notes that `origin` may begin the stream of the request `id` now, in place
  /// of any that was noted before, and records it soon. To be called before the
  /// request is sent. Callers may take the stream up for `keep_for`.
  void Begin(const base::RequestId& id,
             StreamOrigin origin,
             base::Millis keep_for);
  /// Waits until no record in the store names another origin than the last one
  /// of `Begin`, for at most `kMaxRecordWait`. To be awaited before the first
  /// event is passed on.
  base::Task<void> AwaitRecorded(base::RequestId id);
  /// Notes that nobody takes up the stream of the request `id`.
  void End(const base::RequestId& id);
  /// Returns what began the stream of the request `id`; reads the store if this
  /// daemon did not begin it. Takes `longest` at most, or `kMaxReadTime`.
  base::Task<Found> Find(base::RequestId id, base::Millis longest);

  /// Writes and removes records. Runs until the process ends.
  base::Task<void> Keep();

  static constexpr base::Millis kMaxRecordWait{300};
  static constexpr base::Millis kMaxReadTime{1000};

 private:
  struct Kept {
    StreamOrigin origin;
    /// Number of other origins that were sent to the store before.
    int sequence = 0;
    base::Millis keep_until{0};
    int64_t begun_at = 0;
    /// A record of this origin was sent, and was acknowledged.
    bool sent = false;
    bool recorded = false;
  };
  using Batch = std::vector<store::StreamOriginChange>;
  struct SentRecord {
    std::string key;
    int sequence = 0;
  };

  /// Reads the store for records that others have left behind, now and then.
  base::Task<void> FindLeftovers();
  /// Drops what callers no longer take up, and queues its removal.
  void Expire();
  void QueueRemovals(const std::string& key, const Kept& kept);
  void QueueLeftovers();
  /// Queues all records again if the store came back from an older copy.
  void CheckStoreEra();
  /// Whether there is something to write now.
  bool HasCall() const;
  bool TakeCall();
  Batch TakeBatch(std::vector<SentRecord>* sent);
  base::Task<void> WriteBatch();
  void RecordResult(const std::vector<SentRecord>& sent, bool written);

  base::Clock clock_;
  store::StreamOriginStore& store_;
  Hooks hooks_;
  OriginReader reader_;
  std::map<std::string, Kept> kept_;
  /// Keys of `kept_` whose origin is to be written.
  std::set<std::string> unwritten_;
  /// Keys of records to be removed.
  std::set<std::string> removals_;
  /// Streams that found no room since the last check.
  size_t not_kept_ = 0;
  std::optional<int64_t> era_;
  double calls_left_ = kBurstCalls;
  base::Millis calls_counted_at_;
  base::Millis called_at_;
  base::Millis checked_at_;
  base::Millis searched_at_;
  store::RetryBackoff backoff_;
  /// Something was queued.
  base::Condition queued_;
  /// Records were acknowledged.
  base::Condition recorded_;
};

}  // namespace dandelion::relay
