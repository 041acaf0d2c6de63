#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

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

/// Loads on upstreams from several sources, with their sums, which are kept up
/// to date so that reading one costs the same with any number of sources.
class LoadSums {
 public:
  /// Replaces the load of `source` on `upstream`. Returns whether it differs.
  bool Set(const std::string& source,
           const base::UpstreamId& upstream,
           const Load& load);
  /// Removes the load of `source` from all upstreams but `kept`, and returns
  /// those on which it had any.
  std::set<base::UpstreamId> RemoveSource(
      const std::string& source,
      const std::set<base::UpstreamId>& kept);
  /// Removes the load of all sources on `upstream`.
  void RemoveUpstream(const base::UpstreamId& upstream);

  Load Of(const std::string& source, const base::UpstreamId& upstream) const;
  Load Total(const base::UpstreamId& upstream) const;
  /// The sums, without upstreams on which there is no load.
  const std::map<base::UpstreamId, Load>& totals() const { return totals_; }

 private:
  void AddToTotal(const base::UpstreamId& upstream,
                  const Load& added,
                  const Load& removed);

  std::map<std::string, std::map<base::UpstreamId, Load>> sources_;
  std::map<base::UpstreamId, Load> totals_;
};

/// Tracks the load that this daemon and all others put on each upstream.
///
/// Engine reports lag behind, so daemons that relied on them alone would all
/// send their requests to the same upstream.
///
/// A delegate adds up the loads of the daemons of its data centre and the sums
/// of the other data centres. Any other daemon goes by the sum that the
/// delegate which it follows gives it: the load of all daemons but itself.
class LoadTracker {
 public:
  /// Adds to this daemon's own load.
  void Add(const base::UpstreamId& upstream, const Load& load);
  /// Subtracts from this daemon's own load; does nothing if there is none.
  void Subtract(const base::UpstreamId& upstream, const Load& load);

  /// Whether the load of others is what a delegate says.
  void SetFollowing(bool following) { following_ = following; }
  /// Replaces the load of a daemon of this data centre.
  void SetMemberLoad(const base::HostId& member,
                     const base::UpstreamId& upstream,
                     const Load& load);
  /// Replaces the load of another data centre.
  void SetDataCentreLoad(const base::DataCentreId& data_centre,
                         const base::UpstreamId& upstream,
                         const Load& load);
  /// Replaces the load of all other daemons, as a delegate knows it.
  void SetFleetLoad(const base::UpstreamId& upstream, const Load& load);
  /// These remove the load of a source on all upstreams but `kept`.
  void RemoveMember(const base::HostId& member,
                    const std::set<base::UpstreamId>& kept = {});
  void RemoveDataCentre(const base::DataCentreId& data_centre,
                        const std::set<base::UpstreamId>& kept = {});
  void RemoveFleetLoads();
  /// Removes the load of all others on `upstream`; own load stays.
  void RemoveOthersOn(const base::UpstreamId& upstream);

  /// Returns this daemon's load; zero if it has none.
  Load OwnLoad(const base::UpstreamId& upstream) const;
  /// Returns the load of all daemons.
  Load TotalLoad(const base::UpstreamId& upstream) const;
  /// Returns the load of this daemon and the others of its data centre, as a
  /// delegate knows it.
  Load DataCentreLoad(const base::UpstreamId& upstream) const;
  /// Returns the load of all daemons but `member`.
  Load TotalLoadWithout(const base::HostId& member,
                        const base::UpstreamId& upstream) const;

  /// Upstreams whose loads have changed.
  struct Changes {
    std::set<base::UpstreamId> own;
    std::set<base::UpstreamId> data_centre;
    std::set<base::UpstreamId> fleet;
  };
  /// Returns what has changed since the last call.
  Changes ExtractChanges();
  bool HasChanges() const { return !changes_.fleet.empty(); }
  /// Returns all upstreams on which there is any load, by who has it.
  Changes Loaded() const;
  /// This daemon's load, without upstreams on which it has none.
  const std::map<base::UpstreamId, Load>& own_loads() const {
    return own_loads_;
  }

 private:
  void MarkOwnChanged(const base::UpstreamId& upstream);

  std::map<base::UpstreamId, Load> own_loads_;
  LoadSums members_;
  LoadSums data_centres_;
  std::map<base::UpstreamId, Load> fleet_loads_;
  bool following_ = false;
  Changes changes_;
};

}  // namespace dandelion::routing
