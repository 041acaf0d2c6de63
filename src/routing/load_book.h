#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "base/ids.h"

namespace dandelion::routing {

/// Work on one upstream.
struct Load {
  int64_t running = 0;
  /// Memory that the work is expected to hold at its end, in tokens.
  int64_t tokens = 0;
  /// Prompt tokens that have not been read yet.
  int64_t unread_tokens = 0;
  /// Memory of moved runs that is still on its way there, in tokens.
  int64_t arriving_tokens = 0;

  Load& operator+=(const Load& other);
  Load& operator-=(const Load& other);
  bool operator==(const Load&) const = default;
};

/// The work that this daemon and its peers have on each upstream.
///
/// Load pattern: many daemons that see the same stale reports and send their
/// work to the same upstream.
class LoadBook {
 public:
  void Add(const base::UpstreamId& upstream, const Load& load);
  void Subtract(const base::UpstreamId& upstream, const Load& load);
  void SetPeer(const base::HostId& peer,
               const base::UpstreamId& upstream,
               const Load& load);
  /// Forgets what `peer` has on upstreams.
  void DropPeer(const base::HostId& peer);
  void Forget(const base::UpstreamId& upstream);

  Load Own(const base::UpstreamId& upstream) const;
  /// Own work and that of all peers.
  Load Total(const base::UpstreamId& upstream) const;

  /// Upstreams on which own work changed since the last call.
  std::set<base::UpstreamId> TakeChanged();
  bool changed() const { return !changed_.empty(); }
  const std::map<base::UpstreamId, Load>& own() const { return own_; }

 private:
  std::map<base::UpstreamId, Load> own_;
  std::map<base::UpstreamId, std::map<base::HostId, Load>> peers_;
  std::set<base::UpstreamId> changed_;
};

}  // namespace dandelion::routing
