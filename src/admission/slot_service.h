#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "admission/slot_holder.h"
#include "admission/slot_owner.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/task.h"
#include "config/tables.h"
#include "membership/membership.h"
#include "proto/peer.pb.h"

namespace dandelion::admission {

/// Exchanges slot leases with the other daemons. In regular rounds it asks the
/// owners of upstreams for slots; for the upstreams that this daemon owns, it
/// answers asks and polls load reports.
class SlotService {
 public:
  static constexpr base::Millis kRoundInterval{500};
  /// Shortest time between rounds when `RequestRound` requests one early.
  static constexpr base::Millis kMinRoundInterval{50};
  static constexpr base::Millis kPollInterval{250};
  /// An owner that has not answered for this long is asked again.
  static constexpr base::Millis kRoundTimeout{1000};
  /// Slots per upstream asked for beyond those needed now.
  static constexpr int64_t kSpareSlots = 2;
  /// In each round, about one in this many upstreams is asked for the headroom
  /// of the first waiting request.
  static constexpr uint64_t kHeadroomRotation = 3;
  /// Most upstreams of one pool that a daemon leases from in its own data
  /// centre.
  static constexpr size_t kFanOut = 48;

  struct Hooks {
    /// Sends a message to another daemon.
    std::function<void(const base::HostId&, const proto::Envelope&)> send;
    /// Reads an upstream's load report.
    std::function<base::Task<absl::StatusOr<UpstreamReport>>(
        const config::Upstream&)>
        poll;
    /// Called when new grants have been applied.
    std::function<void()> on_grants;
    /// Number of requests that wait for the upstream's pool, divided by the
    /// number of upstreams in the pool and rounded up.
    std::function<int64_t(const config::Upstream&)> queued;
    /// Headroom in tokens that the first waiting request of the pool needs; 0
    /// for none.
    std::function<double(const config::Upstream&)> headroom_needed;
    /// Predicted memory of this daemon's generations on an upstream.
    std::function<Occupancy(const base::UpstreamId&)> occupancy;
    /// Whether this daemon should lease slots of an upstream in another data
    /// centre.
    std::function<bool(const config::Upstream&)> wants_remote;
  };

  SlotService(const base::Executor& executor,
              const base::Clock& clock,
              membership::Membership& membership,
              Hooks hooks);

  /// Starts the rounds.
  void Start();
  /// Stops the rounds and the polling. Leases expire on their own.
  void Stop() { stopped_ = true; }

  /// Applies new tables and requests a round.
  void OnTables(std::shared_ptr<const config::Tables> tables);
  /// Answers another daemon's asks.
  void OnRequest(const base::HostId& from, const proto::SlotRequest& request);
  /// Gives up the lease on an upstream and requests a round.
  void OnRevoke(const proto::SlotRevoke& revoke);
  /// Applies the grants of another daemon.
  void OnAnswer(const base::HostId& from, const proto::SlotAnswer& answer);
  /// Requests the next round as soon as `kMinRoundInterval` allows.
  void RequestRound();

  SlotHolder& holder() { return holder_; }
  const SlotHolder& holder() const { return holder_; }
  const SlotOwner& owner() const { return owner_; }

 private:
  /// The last round of asks to one owner.
  struct RoundState {
    uint64_t number = 0;
    base::Millis started{-1'000'000};
    bool answered = true;
  };

  base::Task<void> RunRounds();
  void AskOwners();
  void SelectLocalUpstreams();
  void RefreshOwnership();
  std::map<base::HostId, std::vector<const config::Upstream*>> GroupByOwner()
      const;
  void AskOwner(const base::HostId& owner,
                const std::vector<const config::Upstream*>& upstreams);
  SlotAsk MakeAsk(const config::Upstream& upstream);
  SlotGrant AnswerAsk(const base::HostId& holder,
                      uint64_t round,
                      const SlotAsk& ask);
  base::Task<void> PollReports(base::UpstreamId id);
  void RevokeLeases(const base::UpstreamId& id);
  void HandleReport(const base::UpstreamId& id,
                    const absl::StatusOr<UpstreamReport>& report);

  base::Executor executor_;
  base::Clock clock_;
  membership::Membership& membership_;
  Hooks hooks_;
  SlotOwner owner_;
  SlotHolder holder_;
  std::shared_ptr<const config::Tables> tables_;
  /// Upstreams of its own data centre that this daemon leases from.
  std::set<base::UpstreamId> local_upstreams_;
  /// Upstreams with a running `PollReports`.
  std::set<base::UpstreamId> polling_;
  std::map<base::HostId, RoundState> rounds_;
  uint64_t last_round_number_ = 0;
  /// Number of times that all owners were asked.
  uint64_t round_count_ = 0;
  boost::asio::steady_timer wake_;
  base::Millis last_asked_;
  bool round_requested_ = false;
  bool stopped_ = false;
};

}  // namespace dandelion::admission
