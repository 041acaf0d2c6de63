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

/// One daemon of the roster.
struct Member {
  base::HostId id;
  base::DataCentreId data_centre;
};

/// Daemons of one data centre that answer, and that are expected to exist.
struct Visibility {
  int64_t visible = 0;
  int64_t roster = 0;
};

/// Knows which daemons answer. Inside a data centre every daemon sends
/// heartbeats to every other; between data centres two delegates, chosen by
/// rendezvous hashing, send to one remote daemon at a time.
class Membership {
 public:
  static constexpr base::Millis kHeartbeatInterval{400};
  /// A member is taken as down after this silence.
  static constexpr base::Millis kMemberTimeout{1300};
  /// Between data centres delegates send every so many heartbeats.
  static constexpr int kTicksPerSummary = 2;
  /// Between data centres a summary takes more hops.
  static constexpr base::Millis kSummaryTimeout{4000};
  /// The roster forgets a member that the host list dropped only after this
  /// time, so that two sides of a split do not both count themselves whole.
  static constexpr base::Millis kRosterGrace{5000};
  static constexpr size_t kDelegates = 2;

  struct Hooks {
    std::function<void(const base::HostId&, const proto::Envelope&)> send;
    /// A member came up or went down.
    std::function<void(const base::HostId&, bool up)> on_change;
    std::function<base::Offset()> config_version;
    /// A peer has a higher version.
    std::function<void(const base::HostId&)> on_newer_config;
  };

  Membership(Member self,
             base::Incarnation incarnation,
             std::vector<Member> others,
             base::Clock clock,
             Hooks hooks);

  /// Sends heartbeats and notices silent members; call it every
  /// `kHeartbeatInterval`.
  void Tick();
  void OnHeartbeat(const base::HostId& from,
                   const base::Incarnation& incarnation,
                   const proto::Heartbeat& heartbeat);
  /// The platform's host list, without the hosts that are not daemons.
  void OnHostList(const std::set<base::HostId>& listed);
  /// Says in every heartbeat that this daemon takes no more work.
  void SetDraining() { draining_ = true; }

  /// Marks one run of an upstream as leaving; spreads on heartbeats.
  void MarkLeaving(const base::UpstreamId& upstream,
                   const base::Incarnation& incarnation);
  bool IsLeaving(const base::UpstreamId& upstream,
                 const base::Incarnation& incarnation) const;

  /// The daemon that leases out the slots of `upstream`: rendezvous hashing
  /// over the answering daemons of its data centre. Empty if none answers.
  std::optional<base::HostId> OwnerOf(
      const base::UpstreamId& upstream,
      const base::DataCentreId& data_centre) const;

  bool IsUp(const base::HostId& host) const;
  Visibility VisibilityOf(const base::DataCentreId& data_centre) const;
  std::vector<base::HostId> Up() const;
  const Member& self() const { return self_; }

 private:
  struct State {
    Member member;
    uint32_t hash = 0;
    base::Incarnation incarnation;
    base::Millis heard{-1'000'000};
    bool up = false;
    bool draining = false;
    std::optional<base::Millis> unlisted_since;
  };

  struct News {
    proto::DataCentreSummary summary;
    base::Millis heard;
  };

  void Hear(State& state, base::Millis heard);
  void Refresh();
  proto::Envelope MakeHeartbeat() const;
  void HearSummary(const proto::DataCentreSummary& summary);
  bool IsDelegateFor(const base::DataCentreId& remote) const;
  void SendAcross();
  std::vector<base::HostId> UpIn(const base::DataCentreId& data_centre) const;

  Member self_;
  base::Incarnation incarnation_;
  base::Clock clock_;
  Hooks hooks_;
  std::map<base::HostId, State> states_;
  std::map<base::UpstreamId, base::Incarnation> leaving_;
  std::map<base::DataCentreId, size_t> next_remote_;
  std::map<uint32_t, base::HostId> by_hash_;
  /// Summaries that remote members sent since the last heartbeat. They are
  /// passed on as received: this daemon's own belief, told to its peers and
  /// back, would keep a dead member up for good.
  std::map<base::DataCentreId, News> news_;
  int ticks_ = 0;
  bool draining_ = false;
};

/// Rendezvous weight of `node` for `key`.
uint64_t RendezvousWeight(std::string_view key, std::string_view node);

}  // namespace dandelion::membership
