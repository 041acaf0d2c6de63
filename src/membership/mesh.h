#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "membership/record_exchange.h"
#include "membership/roster.h"
#include "membership/transport.h"
#include "store/reader_election.h"
#include "store/topic.h"

namespace dandelion::membership {

/// The daemons of the fleet, which find each other at run time, and the links
/// between them.
///
/// Each daemon reports to the delegates of its data centre, and delegates also
/// talk to those of the other data centres. A daemon follows one of its
/// delegates: it takes the load of all others from it, and changes over to the
/// other one when that falls silent. What a daemon sends thereby does not grow
/// with the fleet, and what crosses data centres grows with their number only.
/// Any daemon can be a delegate; those with the largest hosts are.
///
/// Links carry the records that one daemon has read in the platform's store,
/// with the age of the last verification; loads; and what the daemons know of
/// upstreams and prompt parts. This serves daemons whose calls the store
/// rejects and daemons that start during an outage of the store.
class Mesh {
 public:
  /// Interval between heartbeats on a link that has carried nothing else.
  static constexpr base::Millis kHeartbeatInterval{300};
  /// How often links are opened and closed as daemons come and go.
  static constexpr base::Millis kUpdateInterval{100};
  /// Minimum time between messages with news on all links, so that several
  /// changes go into one message: `kNewsIntervalPerLink` for each link, within
  /// these bounds.
  static constexpr base::Millis kMinNewsInterval{30};
  static constexpr base::Millis kMaxNewsInterval{100};
  static constexpr base::Millis kNewsIntervalPerLink{2};
  /// How often a link carries all loads, views and evidence, which heals what
  /// lost messages have left different.
  static constexpr base::Millis kFullInterval{1200};
  /// A new link carries everything for this long: the transport drops messages
  /// until it has connected.
  static constexpr base::Millis kConnectTime{400};
  /// Minimum time between two views of this data centre.
  static constexpr base::Millis kViewInterval{300};
  /// A daemon becomes a delegate this long after it was found to be the next,
  /// when the others have reported to it.
  static constexpr base::Millis kWarmUp{1000};
  /// How often a daemon without a delegate asks seeds for other daemons.
  static constexpr base::Millis kSeedInterval{1000};
  /// How often delegates ask seeds, and daemons that have fallen silent, so
  /// that parts of a fleet that lost each other meet again.
  static constexpr base::Millis kReunionInterval{5000};
  /// A daemon that lacks records for longer than this reads the store itself:
  /// delegates first, then the others.
  static constexpr base::Millis kPullPatience{150};
  static constexpr base::Millis kFollowerPullPatience{300};
  /// The same for a daemon that has just started: all may have.
  static constexpr base::Millis kStartPullPatience{1500};
  /// A follower that has heard no delegate for longer knows nothing of the
  /// others' loads any more.
  static constexpr base::Millis kFleetLoadLifetime{4000};
  /// If no `Tick` came for longer than this, the process was suspended or busy,
  /// and the silence of others says nothing.
  static constexpr base::Millis kMaxTickGap{400};
  /// Time from the first contact until the views of delegates are here.
  static constexpr base::Millis kIntroductionTime{1000};
  /// A daemon that has heard nobody, and has no list of the others, takes
  /// itself for the only one after this time.
  static constexpr base::Millis kAloneAfter{6000};

  struct Hooks {
    std::function<void(const base::HostId&, const proto::Envelope&)> send;
    std::function<void(const PeerAddress&)> connect;
    std::function<void(const base::HostId&)> disconnect;
    std::function<const store::TopicReplica&(store::Topic)> replica;
    /// A peer sent an update that was complete at `verified_at`. Returns the
    /// records that changed something.
    std::function<std::vector<store::Record>(store::Topic,
                                             const store::Update&,
                                             base::Millis verified_at)>
        on_update;
    /// Starts a round: until the next one, `add_loads` without `all` adds the
    /// loads that have changed between the last round and this one.
    std::function<void()> start_load_round;
    std::function<bool()> loads_changed;
    /// Adds loads of a scope, for `receiver`, to a heartbeat.
    std::function<void(proto::LoadScope,
                       const base::HostId& receiver,
                       bool all,
                       proto::FleetBeat*)>
        add_loads;
    /// Loads of a daemon of this data centre, of another data centre, and of
    /// all other daemons as the followed delegate knows them.
    std::function<void(const base::HostId&, const proto::FleetBeat&)>
        on_member_loads;
    std::function<void(const base::DataCentreId&, const proto::FleetBeat&)>
        on_data_centre_loads;
    std::function<void(const proto::FleetBeat&)> on_fleet_loads;
    /// The loads of a daemon, a data centre, or all other daemons count no
    /// more.
    std::function<void(const base::HostId&)> on_member_down;
    std::function<void(const base::DataCentreId&)> on_data_centre_down;
    std::function<void()> on_fleet_loads_lost;
    /// Whether this daemon goes by the loads of a delegate from now on, or by
    /// its own sums.
    std::function<void(bool)> on_following;
    /// Returns what this daemon knows of parts that crash engines: all, or only
    /// what is new since the last call.
    std::function<proto::PartEvidence(bool all)> part_evidence;
    std::function<bool()> has_new_part_evidence;
    std::function<void(const base::HostId&, const proto::PartEvidence&)>
        on_part_evidence;
    /// Adds what upstreams said of themselves to a heartbeat: all, or only what
    /// is new since the last call.
    std::function<void(bool all, proto::FleetBeat*)> add_self_reports;
    std::function<bool()> has_new_self_reports;
    std::function<void(const proto::FleetBeat&)> on_self_reports;
    /// Whether this daemon reads the topic in the store.
    std::function<bool(store::Topic)> is_reader;
    /// Whether the store answers this daemon late.
    std::function<bool()> store_slow;
  };

  /// Answers to pulls may take `answer_bytes_per_second` of the host's link.
  Mesh(const DaemonInfo& self,
       const base::Clock& clock,
       int64_t answer_bytes_per_second,
       Hooks hooks);

  /// Adds a daemon of which the address is known.
  void AddDaemon(const DaemonInfo& daemon);
  /// Adds an address at which a daemon may run whose name is not known.
  void AddSeed(const std::string& address);
  void OnMessage(const base::HostId& from, const proto::Envelope& message);
  /// Sends due messages, and changes links when daemons have come or gone. Must
  /// be called every few tens of milliseconds.
  void Tick();
  /// Sends an update that this daemon has read in the store over all links, or
  /// only announces it if it is large. Records that change nothing may be
  /// missing from `update`.
  void BroadcastUpdate(store::Topic topic, store::Update update);
  /// Marks the record at `offset` as a change, so that peers that lack it pull
  /// it. `BroadcastUpdate` does this for its records, and records that come
  /// from peers need it not.
  void MarkChange(store::Topic topic, int64_t offset) {
    records_.MarkChange(topic, offset);
  }
  /// Makes all further heartbeats tell that this daemon takes no new requests.
  void SetDraining();

  /// Whether any other daemon has been heard.
  bool HasContact() const { return first_contact_at_.has_value(); }
  /// All daemons that the platform lists were added.
  void RecordListed();
  /// Whether the daemons that share limits with this one are known: one of them
  /// was heard and had time to tell of the others, or the platform's list was
  /// added. A daemon that has neither for `kAloneAfter` takes itself for the
  /// only one.
  bool KnowsFleet() const;
  /// Whether this daemon is a delegate of its data centre.
  bool IsDelegate() const { return is_delegate_; }
  /// Whether this daemon is a delegate or will be one after `kWarmUp`.
  bool IsDelegateCandidate() const { return candidate_since_.has_value(); }
  /// Whether a known daemon is in another data centre.
  bool IsRemote(const base::HostId& id) const {
    return roster_.Find(id) && !IsLocal(id);
  }
  size_t link_count() const { return links_.size(); }
  /// Counts the daemons that are up, including this one.
  size_t DaemonCount() const { return roster_.DaemonCount(); }
  /// This daemon's rank by rendezvous hashing for `key` among the daemons that
  /// are up, from 0.
  size_t RankFor(std::string_view key) const { return roster_.RankFor(key); }
  /// Whether the delegates that this daemon is in contact with read the topic.
  std::vector<store::PeerReaderStatus> PeerReaderStatuses(
      store::Topic topic) const;
  /// Whether a reader of the store is known to get late answers.
  bool IsStoreSlow() const;
  /// Whether peers have had records of `topic` that this daemon lacks for
  /// longer than it may wait for them.
  bool IsBehind(store::Topic topic) const;

 private:
  /// A daemon to which this one sends.
  struct Link {
    base::Millis opened_at;
    /// Since when this daemon has taken the peer for a delegate.
    std::optional<base::Millis> chosen_at;
    /// Until when this daemon asks a peer that was silent to answer.
    std::optional<base::Millis> probed_until;
    /// When the peer last said that it takes this daemon for a delegate.
    std::optional<base::Millis> reported_at;
    bool follower = false;
    /// What the peer last said of itself.
    bool is_delegate = false;
    std::array<bool, store::kTopicCount> reading{};
    std::array<bool, store::kTopicCount> hears_reader{};
    bool store_slow = false;
    base::Millis next_heartbeat_at;
    base::Millis next_full_at;
    /// The peer's last timestamp, to be echoed, and the time of its arrival.
    int64_t last_timestamp = 0;
    base::Millis last_timestamp_at;
  };

  /// What changed since the last message with news.
  struct News {
    std::optional<proto::PartEvidence> evidence;
    /// With the decisions on roll-outs, or what daemons say of their reach.
    proto::FleetBeat self_reports;
    /// The daemons of this data centre that are up.
    bool view = false;
  };

  void OnHeartbeat(const base::HostId& from, const proto::FleetBeat& heartbeat);
  /// Answers with the records that the peer lacks or, if it asks for none, with
  /// the daemons that are known.
  void OnPull(const base::HostId& from, const proto::FleetPull& pull);
  /// Answers the pulls that wait, as far as the budget for answers allows.
  void AnswerPulls();
  void OnPeers(const base::HostId& from, const proto::FleetPeers& peers);
  void ApplyLoads(const base::HostId& from, const proto::FleetBeat& heartbeat);
  /// Takes views of its own data centre from any delegate, and of the others
  /// from the followed one.
  void ApplyViews(const base::HostId& from, const proto::FleetBeat& heartbeat);
  /// Passes records on that came from a peer.
  void RelayUpdate(const base::HostId& from,
                   store::Topic topic,
                   const store::Update& update);
  void SendUpdate(
      store::Topic topic,
      const store::Update& update,
      const std::function<bool(const base::HostId&, const Link&)>& is_receiver);

  /// Returns the link to a known daemon, and opens it if there is none.
  Link& OpenLink(const base::HostId& id);
  /// Whether the peer still takes this daemon for a delegate.
  bool IsReporting(const Link& link) const;
  bool IsProbed(const Link& link) const;
  bool IsLocal(const base::HostId& id) const;
  void UpdateLinks();
  void ChooseDelegates();
  void PassOverSilentDelegates();
  void ChooseFollowed();
  void ChoosePrimaries();
  void CloseUnusedLinks();
  void ReportContacts();
  void ProbeSilentDaemons();

  /// Whether this daemon or a delegate reads the topic.
  bool HearsReader(store::Topic topic) const;
  /// Makes an empty message from this daemon.
  proto::Envelope MakeEnvelope() const;
  /// Makes a heartbeat without loads, views and news.
  proto::Envelope MakeHeartbeat(const Link& link) const;
  proto::LoadScope ScopeFor(const base::HostId& to, const Link& link) const;
  bool CarriesLoads(const base::HostId& to, const Link& link) const;
  void AddViews(const base::HostId& to,
                const Link& link,
                proto::FleetBeat* heartbeat) const;
  void AddEverything(const base::HostId& to,
                     Link& link,
                     proto::FleetBeat* heartbeat);
  /// Returns whether there was any news for the peer.
  bool AddNews(const base::HostId& to,
               const Link& link,
               const News& news,
               proto::FleetBeat* heartbeat);
  proto::DataCentreView MakeView(const base::DataCentreId& data_centre,
                                 const Roster::View& view) const;
  /// Returns the entry of a known daemon, or of this one.
  proto::DaemonEntry MakeEntry(const base::HostId& id) const;
  void Send(const base::HostId& to, Link& link, const proto::Envelope& message);
  void SendDueHeartbeats();
  void SendNews();
  base::Millis NewsInterval() const;
  void AskSeeds();
  /// Asks a seed which daemons it knows.
  void SendHello(const base::HostId& seed);
  proto::FleetPull MakePull() const;

  base::Clock clock_;
  base::Millis started_at_;
  Hooks hooks_;
  Roster roster_;
  TimestampSource timestamps_;
  RecordExchange records_;
  std::map<base::HostId, Link> links_;
  std::deque<std::pair<base::HostId, proto::FleetPull>> waiting_pulls_;
  /// An address at which a daemon may run, linked under a name made from it.
  struct Seed {
    PeerAddress peer;
    bool connected = false;
  };
  std::vector<Seed> seeds_;
  bool is_delegate_ = false;
  std::optional<base::Millis> candidate_since_;
  /// When another daemon was first heard.
  std::optional<base::Millis> first_contact_at_;
  bool is_listed_ = false;
  bool draining_ = false;
  /// The delegate that this daemon goes by; empty if it is one itself or has
  /// none.
  std::optional<base::HostId> followed_;
  /// Whether all loads have arrived from a followed delegate since this daemon
  /// was one itself, and when the last ones did.
  bool has_fleet_loads_ = false;
  base::Millis fleet_loads_at_;
  /// For each other data centre, the delegate whose loads count.
  std::map<base::DataCentreId, base::HostId> primaries_;
  /// The daemons that were in contact at the last update of the links.
  std::set<base::HostId> contacts_;
  /// The last view of this data centre that was sent; another is news.
  std::set<DaemonHash> sent_view_;
  base::Millis last_tick_at_;
  base::Millis next_update_at_;
  base::Millis next_news_at_;
  base::Millis next_view_at_;
  base::Millis next_seeds_at_;
  base::Millis next_probes_at_;
};

}  // namespace dandelion::membership
