#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "proto/peer.pb.h"

namespace dandelion::membership {

/// Where the daemons of the fleet take callers, and which pools each of them
/// can't reach. Every daemon states this of itself in heartbeats; those that
/// hear it pass it on.
class ReachDirectory {
 public:
  /// A statement that is older says nothing: its daemon may be gone.
  static constexpr base::Millis kLifetime{6000};
  /// A daemon that could not be reached is passed over for this time.
  static constexpr base::Millis kFailurePause{1000};
  /// A daemon of another data centre is chosen over one of this only if it has
  /// so many fewer of this daemon's requests in progress.
  static constexpr int kRemoteHandicap = 6;
  /// Bounds of what is taken from one heartbeat.
  static constexpr int kMaxStatements = 1024;
  static constexpr int kMaxPools = 256;

  /// `callers` is where this daemon takes callers; others can't be told of an
  /// unspecified address.
  ReachDirectory(base::HostId self,
                 base::DataCentreId data_centre,
                 const boost::asio::ip::tcp::endpoint& callers,
                 base::Clock clock);

  /// States which pools this daemon can't reach, and whether it takes callers.
  void SetOwn(std::set<base::PoolName> lost_pools, bool takes_callers);
  /// Adds what is known to a heartbeat: all, or only what is new since the last
  /// call.
  void AddTo(bool all, proto::FleetBeat* heartbeat);
  bool has_changes() const { return !changed_.empty(); }
  /// Takes the statements of a heartbeat that are newer than the known ones.
  void Apply(const proto::FleetBeat& heartbeat);
  /// Forgets what is out of date. To be called regularly.
  void Prune();

  struct Peer {
    base::HostId id;
    boost::asio::ip::tcp::endpoint callers;
  };
  /// Returns the daemon to which a request for `pool` is best handed over:
  /// one that reaches the pool and has the fewest of this daemon's requests in
  /// progress, of this data centre if possible. Nothing if there is none
  /// outside `excluded`. `random` returns a number in [0, 1).
  std::optional<Peer> Choose(const base::PoolName& pool,
                             const std::set<base::HostId>& excluded,
                             const std::function<double()>& random) const;
  /// Whether `Choose` would return any daemon.
  bool HasPeer(const base::PoolName& pool) const;
  /// A request is in progress at a daemon from now on, or no longer.
  void Begin(const base::HostId& id);
  void End(const base::HostId& id);
  /// No connection to the daemon could be made.
  void RecordFailure(const base::HostId& id);

 private:
  struct Statement {
    std::string callers_text;
    boost::asio::ip::tcp::endpoint callers;
    base::DataCentreId data_centre;
    std::set<base::PoolName> lost_pools;
    bool takes_callers = false;
    base::Millis stated_at;

    bool SaysTheSameAs(const Statement& other) const;
  };
  static std::optional<Statement> Decode(const proto::DaemonReach& in,
                                         base::Millis now);
  bool IsTarget(const base::HostId& id,
                const Statement& statement,
                const base::PoolName& pool) const;
  int InProgressAt(const base::HostId& id) const;

  base::HostId self_;
  base::Clock clock_;
  std::map<base::HostId, Statement> statements_;
  std::set<base::HostId> changed_;
  std::map<base::HostId, base::Millis> failed_at_;
  std::map<base::HostId, int> in_progress_;
};

}  // namespace dandelion::membership
