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

/// The entry that an upstream publishes about itself in the platform's store.
struct UpstreamEntry {
  base::PoolName pool;
  boost::asio::ip::tcp::endpoint address;
  base::DataCentreId data_centre;
  int64_t slots = 1;
  /// The upstream has announced its end.
  bool leaving = false;
  /// For how much longer the upstream is cold.
  base::Millis cold_remaining{0};
  /// Start time of the upstream by its own clock. A different value means that
  /// it restarted and lost its state.
  int64_t started_at = 0;
  /// Empty if the entry names none.
  base::SoftwareVersion version;
  /// Counts what the upstream has written since its start; 0 if the entry does
  /// not tell.
  int64_t sequence = 0;

  /// Whether the entries say the same of the upstream, whenever they were
  /// written.
  bool operator==(const UpstreamEntry& other) const {
    return pool == other.pool && address == other.address &&
           data_centre == other.data_centre && slots == other.slots &&
           leaving == other.leaving && cold_remaining == other.cold_remaining &&
           started_at == other.started_at && version == other.version;
  }
};

/// An upstream and its state as known to this daemon.
struct Upstream {
  base::UpstreamId id;
  UpstreamEntry entry;
  /// When it was first listed, or listed again after a restart.
  base::Millis listed_at;
  base::Millis cold_until;
  /// When it was found to be leaving or its entry was removed; empty if neither
  /// holds.
  std::optional<base::Millis> leaving_since;
  /// It said itself that it leaves. An entry that does not say so yet is then
  /// out of date.
  bool said_leaving = false;

  bool IsColdAt(base::Millis now) const { return now < cold_until; }
};

/// The upstreams that the store lists, and the data centres that operators have
/// evacuated. Handles upstreams that are reclaimed at short notice, entries
/// that expire while the store is unavailable, and upstreams that restart under
/// the same id.
class UpstreamList {
 public:
  /// After an outage of the store, live upstreams whose entries expired in it
  /// are listed again within this time.
  static constexpr base::Millis kRelistGrace{2000};
  /// An upstream is kept for this long after `leaving_since`.
  static constexpr base::Millis kRemovedRetention{30'000};

  struct Hooks {
    /// An upstream was listed for the first time, or again after a restart.
    std::function<void(const Upstream&)> on_listed;
    /// An upstream is leaving or its entry was removed; its generations should
    /// be migrated.
    std::function<void(const Upstream&, std::string_view reason)> on_leaving;
    /// An upstream restarted under the same id; state kept for the id is void.
    std::function<void(const base::UpstreamId&)> on_restarted;
  };

  explicit UpstreamList(Hooks hooks) : hooks_(std::move(hooks)) {}

  /// Applies the store's entry for `id`; without a value, the entry was
  /// removed.
  void ApplyEntry(const base::UpstreamId& id,
                  std::optional<UpstreamEntry> entry,
                  base::Millis now);
  /// Tells that the store answers again after an outage. Entries removed within
  /// `kRelistGrace` from `now` do not trigger `on_leaving`.
  void OnStoreRecovered(base::Millis now) {
    relist_grace_until_ = now + kRelistGrace;
  }
  /// Marks an upstream as leaving because it said so itself, until it restarts.
  /// Does nothing if it is unknown.
  void MarkLeaving(const base::UpstreamId& id,
                   std::string_view reason,
                   base::Millis now);
  /// Makes the upstreams of a data centre unusable, or usable again.
  void SetEvacuated(const base::DataCentreId& data_centre, bool evacuated);
  bool IsEvacuated(const base::DataCentreId& data_centre) const {
    return evacuated_.contains(data_centre);
  }
  /// Erases upstreams that have been leaving or removed for longer than
  /// `kRemovedRetention`.
  void Prune(base::Millis now);

  /// Whether new requests may be sent to `upstream`.
  bool IsUsable(const Upstream& upstream) const;
  /// Returns null if `id` is unknown.
  const Upstream* Find(const base::UpstreamId& id) const;
  /// Returns the upstreams of a pool to which new requests may be sent.
  std::vector<const Upstream*> UsableInPool(const base::PoolName& pool) const;
  /// Counts the upstreams of a pool that are listed, usable or not.
  size_t CountListed(const base::PoolName& pool) const;
  const std::map<base::UpstreamId, Upstream>& listed_upstreams() const {
    return listed_upstreams_;
  }

 private:
  void Remove(const base::UpstreamId& id, base::Millis now);

  Hooks hooks_;
  std::map<base::UpstreamId, Upstream> listed_upstreams_;
  std::set<base::DataCentreId> evacuated_;
  base::Millis relist_grace_until_{-1};
};

}  // namespace dandelion::fleet
