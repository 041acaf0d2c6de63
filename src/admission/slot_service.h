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

/// Runs the leases: asks the owners of upstreams for slots, answers asks at
/// those that this daemon owns, and polls their load reports.
class SlotService {
 public:
  static constexpr base::Millis kRoundInterval{500};
  /// A daemon with waiting requests asks sooner.
  static constexpr base::Millis kHurriedInterval{50};
  static constexpr base::Millis kPollInterval{250};
  /// An answer that takes longer is given up, and asked for again.
  static constexpr base::Millis kRoundTimeout{1000};
  static constexpr int64_t kSpareSlots = 2;
  /// In each round, about one of so many upstreams is asked for room.
  static constexpr uint64_t kRoomTurns = 3;
  /// Upstreams of one pool that a daemon leases from in its data centre.
  static constexpr size_t kFanOut = 48;

  struct Hooks {
    std::function<void(const base::HostId&, const proto::Envelope&)> send;
    /// Reads an upstream's load report.
    std::function<base::Task<absl::StatusOr<UpstreamReport>>(
        const config::Upstream&)>
        poll;
    /// New grants have arrived.
    std::function<void()> on_grants;
    /// Requests that wait for this upstream's pool, shared out over the
    /// upstreams that could take them.
    std::function<int64_t(const config::Upstream&)> queued;
    /// Memory that the first waiting request of the pool needs; 0 for none.
    std::function<double(const config::Upstream&)> room_needed;
    /// This daemon's predicted memory on an upstream.
    std::function<Occupancy(const base::UpstreamId&)> occupancy;
    /// Whether requests of this daemon may go to another data centre's
    /// upstream.
    std::function<bool(const config::Upstream&)> wants_remote;
  };

  SlotService(const base::Executor& executor,
              const base::Clock& clock,
              membership::Membership& membership,
              Hooks hooks);

  void Start();
  /// Stops asking; leases lapse by themselves.
  void Stop() { stopped_ = true; }

  void OnTables(std::shared_ptr<const config::Tables> tables);
  void OnRequest(const base::HostId& from, const proto::SlotRequest& request);
  void OnRevoke(const proto::SlotRevoke& revoke);
  void OnAnswer(const base::HostId& from, const proto::SlotAnswer& answer);
  /// Asks as soon as the hurried interval allows.
  void Hurry();

  SlotHolder& holder() { return holder_; }
  const SlotHolder& holder() const { return holder_; }
  const SlotOwner& owner() const { return owner_; }

 private:
  struct OpenRound {
    uint64_t number = 0;
    base::Millis asked{-1'000'000};
    bool answered = true;
  };

  base::Task<void> Run();
  void Ask();
  void ChooseNear();
  void RefreshOwnership();
  std::map<base::HostId, std::vector<const config::Upstream*>> GroupByOwner()
      const;
  void AskOwner(const base::HostId& owner,
                const std::vector<const config::Upstream*>& upstreams);
  SlotAsk MakeAsk(const config::Upstream& upstream);
  SlotGrant Grant(const base::HostId& holder,
                  uint64_t round,
                  const SlotAsk& ask);
  base::Task<void> Poll(base::UpstreamId id);
  void Revoke(const base::UpstreamId& id);
  void NoteReport(const base::UpstreamId& id,
                  const absl::StatusOr<UpstreamReport>& report);

  base::Executor executor_;
  base::Clock clock_;
  membership::Membership& membership_;
  Hooks hooks_;
  SlotOwner owner_;
  SlotHolder holder_;
  std::shared_ptr<const config::Tables> tables_;
  /// Upstreams of this data centre that this daemon leases from.
  std::set<base::UpstreamId> near_;
  std::set<base::UpstreamId> polled_;
  std::map<base::HostId, OpenRound> rounds_;
  uint64_t last_round_ = 0;
  uint64_t turns_ = 0;
  boost::asio::steady_timer wake_;
  base::Millis asked_at_;
  bool hurry_ = false;
  bool stopped_ = false;
};

}  // namespace dandelion::admission
