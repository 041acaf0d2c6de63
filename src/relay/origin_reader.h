#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/condition.h"
#include "base/ids.h"
#include "base/task.h"
#include "store/store.h"

namespace dandelion::relay {

/// The pool and the version of its upstreams that began a stream.
struct StreamOrigin {
  base::PoolName pool;
  base::SoftwareVersion version;

  bool operator==(const StreamOrigin&) const = default;
};

/// Returns the key of a stream in the store. IDs of any bytes are safe.
std::string OriginKey(const base::RequestId& id);
/// Returns the key of a stream's record. A stream has one for each origin that
/// was noted for it, numbered from 0; the last one counts.
std::string OriginRecordKey(const std::string& key, int sequence);

/// Reads the origins of streams from the store on demand. `store` must outlive
/// it.
class OriginReader {
 public:
  /// Records older than this are left behind by daemons that were killed.
  static constexpr base::Millis kMaxAge{600'000};
  /// Most streams that are remembered; the oldest are forgotten first.
  static constexpr size_t kMaxStreams = 20'000;

  OriginReader(const base::Executor& executor,
               base::Clock clock,
               store::StreamOriginStore& store,
               std::function<int64_t()> unix_now);

  /// Reads all records that were written before this call. Calls share reads.
  /// Returns false if that fails or takes longer than `longest`.
  base::Task<bool> Read(base::Millis longest);
  /// Returns the origin of a stream as last read.
  std::optional<StreamOrigin> Find(const std::string& key) const;
  /// Returns the keys of records that were left behind, once each.
  std::vector<std::string> TakeLeftovers();

 private:
  base::Task<void> ReadOnce();
  base::Task<bool> ReadTopic();
  void Apply(const store::StreamOriginUpdate& update);
  void ApplyRecord(const store::StreamOriginChange& record);
  /// Forgets everything, so that the next read starts anew.
  void Reset();

  base::Executor executor_;
  base::Clock clock_;
  store::StreamOriginStore& store_;
  std::function<int64_t()> unix_now_;
  /// By stream and number.
  std::map<std::string, std::map<int, StreamOrigin>> streams_;
  /// Streams in the order in which they were read.
  std::deque<std::string> order_;
  std::vector<std::string> leftovers_;
  /// Up to where the topic was read; nothing if it has to be read anew.
  std::optional<int64_t> position_;
  std::optional<int64_t> era_;
  /// Reads are numbered by their start.
  uint64_t begun_ = 0;
  uint64_t succeeded_ = 0;
  uint64_t failed_ = 0;
  bool reading_ = false;
  base::Condition read_ended_;
};

}  // namespace dandelion::relay
