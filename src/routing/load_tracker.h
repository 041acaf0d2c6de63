#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "base/ids.h"

namespace dandelion::routing {

/// Load that requests put on one upstream.
struct Load {
  /// Requests placed on the upstream that have not ended.
  int64_t running = 0;
  /// KV cache that the requests are expected to hold at their end, in tokens.
  int64_t tokens = 0;
  /// Prompt tokens that the engine has not processed yet.
  int64_t unread_tokens = 0;
  /// KV cache of migrating generations that has not arrived yet, in tokens.
  int64_t arriving_tokens = 0;

  Load& operator+=(const Load& other);
  Load& operator-=(const Load& other);
  bool operator==(const Load&) const = default;
};

/// Tracks the load that this daemon and its peers put on each upstream.
///
/// Engine reports lag behind, so daemons that relied on them alone would all
/// send their requests to the same upstream.
class LoadTracker {
 public:
  /// Adds to this daemon's own load.
  void Add(const base::UpstreamId& upstream, const Load& load);
  /// Subtracts from this daemon's own load; does nothing if there is none.
  void Subtract(const base::UpstreamId& upstream, const Load& load);
  /// Replaces the load of `peer` on `upstream`.
  void SetPeerLoad(const base::HostId& peer,
                   const base::UpstreamId& upstream,
                   const Load& load);
  /// Removes the load of `peer` from all upstreams.
  void RemovePeerLoads(const base::HostId& peer);
  /// Removes the load of all peers on `upstream`; own load stays.
  void RemovePeerLoadsOn(const base::UpstreamId& upstream);

  /// Returns this daemon's load; zero if it has none.
  Load OwnLoad(const base::UpstreamId& upstream) const;
  /// Returns the load of this daemon and all peers.
  Load TotalLoad(const base::UpstreamId& upstream) const;

  /// Returns the upstreams whose own load changed since the last call.
  std::set<base::UpstreamId> ExtractChanged();
  /// Whether own load changed since the last call of `ExtractChanged`.
  bool HasChangedLoads() const { return !changed_.empty(); }
  /// This daemon's load, without upstreams on which it has none.
  const std::map<base::UpstreamId, Load>& own_loads() const {
    return own_loads_;
  }

 private:
  std::map<base::UpstreamId, Load> own_loads_;
  std::map<base::UpstreamId, std::map<base::HostId, Load>> peer_loads_;
  std::set<base::UpstreamId> changed_;
};

}  // namespace dandelion::routing
