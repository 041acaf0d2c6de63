#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::fleet {

/// What an upstream says of itself in the platform's store.
struct UpstreamEntry {
  base::PoolName pool;
  boost::asio::ip::tcp::endpoint address;
  base::DataCentreId data_centre;
  int64_t slots = 1;
  bool leaving = false;
  /// How much longer it is cold.
  base::Millis cold_left{0};
  /// The time of its start, by its own clock; a new one means that it knows
  /// nothing of what it knew before.
  int64_t started_at = 0;

  bool operator==(const UpstreamEntry&) const = default;
};

/// One upstream as this daemon knows it.
struct Upstream {
  base::UpstreamId id;
  UpstreamEntry entry;
  base::Millis listed_at;
  /// Cold until then.
  base::Millis cold_until;
  /// Set once it was known to be leaving, or gone from the list.
  std::optional<base::Millis> leaving_since;

  bool ColdAt(base::Millis now) const { return now < cold_until; }
};

/// The upstreams that the store lists, and the data centres that operators
/// have taken out.
///
/// Load pattern: upstreams reclaimed at short notice, entries that lapse while
/// the store is away, ids that start again.
class UpstreamList {
 public:
  /// After the store was away, entries that lapsed meanwhile come back within
  /// this time if their upstream lives.
  static constexpr base::Millis kReturnGrace{2000};
  /// An upstream that is gone is remembered for this long.
  static constexpr base::Millis kGoneKept{30'000};

  struct Hooks {
    std::function<void(const Upstream&)> on_listed;
    /// An upstream is leaving or gone: its runs should move.
    std::function<void(const Upstream&, std::string_view reason)> on_leaving;
    /// The same id has started anew: everything known of it is void.
    std::function<void(const base::UpstreamId&)> on_restarted;
  };

  explicit UpstreamList(Hooks hooks) : hooks_(std::move(hooks)) {}

  /// Takes what the store says of `id`; nothing means that the entry is gone.
  void Set(const base::UpstreamId& id,
           std::optional<UpstreamEntry> entry,
           base::Millis now);
  /// The store answers again after a time in which it did not.
  void OnStoreBack(base::Millis now) { lapses_until_ = now + kReturnGrace; }
  /// An engine said itself that it leaves.
  void MarkLeaving(const base::UpstreamId& id,
                   std::string_view reason,
                   base::Millis now);
  void SetEvacuated(const base::DataCentreId& data_centre, bool evacuated);
  bool Evacuated(const base::DataCentreId& data_centre) const {
    return evacuated_.contains(data_centre);
  }
  /// Drops what is only remembered.
  void Prune(base::Millis now);

  /// Whether new work may be sent to `upstream`.
  bool Usable(const Upstream& upstream) const;
  const Upstream* Find(const base::UpstreamId& id) const;
  /// The usable upstreams of a pool.
  std::vector<const Upstream*> UsableOf(const base::PoolName& pool) const;
  /// All listed upstreams of a pool, usable or not.
  size_t SizeOf(const base::PoolName& pool) const;
  const std::map<base::UpstreamId, Upstream>& all() const { return all_; }

 private:
  void Remove(const base::UpstreamId& id, base::Millis now);

  Hooks hooks_;
  std::map<base::UpstreamId, Upstream> all_;
  std::set<base::DataCentreId> evacuated_;
  base::Millis lapses_until_{-1};
};

}  // namespace dandelion::fleet
