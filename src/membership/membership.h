#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "membership/transport.h"

namespace dandelion::membership {

/// A daemon of the roster, the list of daemons that are expected to exist.
struct Member {
  base::HostId id;
  base::DataCentreId data_centre;
};

/// Numbers of daemons of a data centre, as seen by this daemon.
struct Visibility {
  /// Daemons that are up.
  int64_t visible = 0;
  /// Daemons that are expected to exist.
  int64_t roster = 0;
};

/// Tracks which daemons are up. Within a data centre every daemon sends
/// heartbeats to every other. To each remote data centre, two delegates chosen
/// by rendezvous hashing send heartbeats to one daemon at a time, with a
/// summary of the daemons that are up.
class Membership {
 public:
  static constexpr base::Millis kHeartbeatInterval{400};
  /// A member of the same data centre counts as down after this silence.
  static constexpr base::Millis kMemberTimeout{1300};
  /// Delegates send to remote data centres every this many ticks.
  static constexpr int kTicksPerSummary = 2;
  /// A remote member counts as down after this silence. It is longer since
  /// summaries take more hops.
  static constexpr base::Millis kSummaryTimeout{4000};
  /// A member that is down and missing from the host list leaves the roster
  /// only after this time, so that the two sides of a network partition do not
  /// both see themselves as complete.
  static constexpr base::Millis kRosterGrace{5000};
  /// Delegates per remote data centre.
  static constexpr size_t kDelegates = 2;

  struct Hooks {
    std::function<void(const base::HostId&, const proto::Envelope&)> send;
    /// A member came up or went down.
    std::function<void(const base::HostId&, bool up)> on_change;
    /// This daemon's configuration version.
    std::function<base::Offset()> config_version;
    /// A peer has a higher configuration version.
    std::function<void(const base::HostId&)> on_newer_config;
  };

  Membership(Member self,
             base::Incarnation incarnation,
             std::vector<Member> others,
             base::Clock clock,
             Hooks hooks);

  /// Sends heartbeats and marks silent members as down. Must be called every
  /// `kHeartbeatInterval`.
  void Tick();
  /// Ignores heartbeats from hosts that are not members.
  void OnHeartbeat(const base::HostId& from,
                   const base::Incarnation& incarnation,
                   const proto::Heartbeat& heartbeat);
  /// Updates the roster from the platform's host list. `listed` has only hosts
  /// of daemons.
  void OnHostList(const std::set<base::HostId>& listed);
  /// Makes all further heartbeats tell that this daemon takes no new requests.
  void SetDraining() { draining_ = true; }

  /// Marks one incarnation of an upstream as leaving. Heartbeats spread this to
  /// all daemons.
  void MarkLeaving(const base::UpstreamId& upstream,
                   const base::Incarnation& incarnation);
  bool IsLeaving(const base::UpstreamId& upstream,
                 const base::Incarnation& incarnation) const;

  /// Returns the daemon that leases out the slots of `upstream`, chosen by
  /// rendezvous hashing over the daemons of `data_centre` that are up. Empty if
  /// none is up.
  std::optional<base::HostId> SlotOwnerOf(
      const base::UpstreamId& upstream,
      const base::DataCentreId& data_centre) const;

  /// True for this daemon itself; false for unknown hosts.
  bool IsUp(const base::HostId& host) const;
  Visibility VisibilityOf(const base::DataCentreId& data_centre) const;
  /// All other members that are up, in any data centre.
  std::vector<base::HostId> UpHosts() const;
  const Member& self() const { return self_; }

 private:
  struct State {
    Member member;
    uint32_t hash = 0;
    base::Incarnation incarnation;
    /// Time of the last contact, direct or by a summary.
    base::Millis heard_at{-1'000'000};
    bool up = false;
    bool draining = false;
    /// Since when the host list lacks the member; empty if it is listed.
    std::optional<base::Millis> unlisted_since;
  };

  /// A remote data centre's summary and the time of its arrival.
  struct ReceivedSummary {
    proto::DataCentreSummary summary;
    base::Millis heard_at;
  };

  void RecordContact(State& state, base::Millis heard_at);
  void MarkSilentMembersDown();
  proto::Envelope MakeHeartbeat() const;
  void ApplySummary(const proto::DataCentreSummary& summary);
  bool IsDelegateFor(const base::DataCentreId& remote) const;
  void SendToRemoteDataCentres();
  /// The daemons of `data_centre` that are up, including this one.
  std::vector<base::HostId> UpHostsIn(
      const base::DataCentreId& data_centre) const;

  Member self_;
  base::Incarnation incarnation_;
  base::Clock clock_;
  Hooks hooks_;
  std::map<base::HostId, State> states_;
  std::map<base::UpstreamId, base::Incarnation> leaving_;
  std::map<base::DataCentreId, size_t> next_remote_index_;
  std::map<uint32_t, base::HostId> id_by_hash_;
  /// Summaries that remote members sent since the last tick. They are forwarded
  /// as received. If daemons sent their own view of a remote data centre
  /// instead, they would confirm it to each other and a dead member would stay
  /// up for good.
  std::map<base::DataCentreId, ReceivedSummary> received_summaries_;
  int ticks_ = 0;
  bool draining_ = false;
};

/// Rendezvous hashing weight of `node` for `key`. The node with the highest
/// weight is chosen for the key.
uint64_t RendezvousWeight(std::string_view key, std::string_view node);

}  // namespace dandelion::membership
