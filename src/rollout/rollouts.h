#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/upstream_list.h"
#include "rollout/plan.h"
#include "rollout/tracker.h"
#include "rollout/types.h"
#include "rollout/version_choice.h"

namespace dandelion::rollout {

/// A state in the store, and the order that it belongs to.
struct RecordedState {
  base::SoftwareVersion target;
  int64_t order_offset = 0;
  State state = State::kRunning;
};

/// This daemon's part in the roll-outs of the fleet: what it counts, what it
/// knows of the others' counts and decisions, and what it decides if it is the
/// decider. One daemon decides at a time; any other that takes itself for the
/// decider yields to the one whose name sorts first.
///
/// A share counts only for `kDecisionLifetime`, so a daemon that hears of no
/// decision sends nothing to a target version. Final states last: they pass
/// from daemon to daemon, and the store keeps them for daemons that start. A
/// completion is announced only once the store has it, as it makes operators
/// stop the old upstreams; a reversal is announced at once.
class Rollouts {
 public:
  static constexpr base::Millis kDecisionLifetime{2000};
  /// How often the decider renews a decision.
  static constexpr base::Millis kRenewalInterval{500};

  struct Hooks {
    /// Whether this daemon decides, if no other does.
    std::function<bool()> is_decider;
    /// Requests of the fleet that run at an upstream.
    std::function<int64_t(const base::UpstreamId&)> running_on;
    /// A decision was made or heard that differs from the one before.
    std::function<void(const Decision&, std::string_view reason)> on_decision;
  };

  Rollouts(base::HostId self,
           const fleet::UpstreamList& upstreams,
           ExposureBound bound,
           Hooks hooks);

  /// Sets or removes the operator's order `name`.
  void SetOrder(const base::RolloutName& name,
                std::optional<Order> order,
                base::Millis now);
  /// Decides and renews what is due. To be called every few tens of
  /// milliseconds.
  void Tick(base::Millis now);

  /// A roll-out as this daemon knows it.
  struct View {
    base::RolloutName name;
    Order order;
    /// Nothing if no decision is known.
    std::optional<Decision> decision;
    base::Millis decision_age{0};
    /// What the fleet saw, as far as it was told to this daemon.
    Counts counts;
  };
  std::vector<View> Describe(base::Millis now) const;

  /// The rule for a pool; nothing unless the pool is being rolled out.
  std::optional<VersionRule> RuleFor(const base::PoolName& pool,
                                     base::Millis now) const;

  /// Count what became of a request at an upstream. Do nothing if its pool is
  /// not being rolled out.
  void RecordSend(const base::UpstreamId& upstream,
                  const base::RouteName& route);
  void RecordAnswer(const base::UpstreamId& upstream,
                    const base::RouteName& route,
                    base::Millis time);
  void RecordFailure(const base::UpstreamId& upstream,
                     const base::RouteName& route);
  void RecordBreak(const base::UpstreamId& upstream);
  void RecordTokenTime(const base::UpstreamId& upstream,
                       const base::RouteName& route,
                       double milliseconds);

  /// The counts of this daemon, or of its data centre, by order.
  std::map<int64_t, Counts> CollectCounts(bool of_data_centre) const;
  void ApplyMemberCounts(const base::HostId& from,
                         int64_t order_offset,
                         Counts counts);
  void ApplyDataCentreCounts(const base::DataCentreId& from,
                             int64_t order_offset,
                             Counts counts);

  /// Decisions for a heartbeat: all, or those that are new since the last call.
  /// `age` is how long ago each was made.
  struct SharedDecision {
    Decision decision;
    base::Millis age;
  };
  std::vector<SharedDecision> CollectDecisions(bool all, base::Millis now);
  bool has_new_decisions() const;
  void ApplyDecision(const SharedDecision& shared, base::Millis now);

  /// A state that the store should have, or that has to be read from it first.
  struct Pending {
    base::RolloutName name;
    Order order;
    /// Nothing if the store has not been read yet for this order.
    std::optional<State> to_record;
  };
  /// What the decider has to read or record in the store.
  std::vector<Pending> PendingRecords() const;
  /// Tells what the store has for an order; nothing if it has no state of it.
  void OnRecorded(const base::RolloutName& name,
                  const std::optional<RecordedState>& recorded,
                  base::Millis now);

 private:
  struct Rollout {
    Rollout(Order order, base::Millis now, const ExposureBound& bound)
        : plan(std::move(order), now, bound) {}

    const Order& order() const { return plan.order(); }

    RolloutPlan plan;
    Tracker tracker;
    std::optional<Decision> decision;
    /// When `decision` was made.
    base::Millis decided_at{0};
    bool is_new = false;
    /// The old version may be stopped once the store has the completion.
    bool may_complete = false;
    /// What the store had when it was last read; only set if `store_read`.
    std::optional<State> recorded;
    bool store_read = false;
  };

  /// The roll-out of the pool of an upstream; null if there is none.
  Rollout* FindFor(const base::UpstreamId& upstream, Side* side);
  RouteCounts* FindCounts(const base::UpstreamId& upstream,
                          const base::RouteName& route);
  Rollout* FindByOrder(int64_t order_offset);
  Evidence Collect(const Rollout& rollout) const;
  /// Whether another daemon decides, to which this one yields.
  bool YieldsTo(const Rollout& rollout, base::Millis now) const;
  void Decide(const base::RolloutName& name,
              Rollout& rollout,
              base::Millis now);
  void Announce(const base::RolloutName& name,
                Rollout& rollout,
                State state,
                double share,
                std::string_view reason,
                base::Millis now);

  base::HostId self_;
  const fleet::UpstreamList& upstreams_;
  ExposureBound bound_;
  Hooks hooks_;
  std::map<base::RolloutName, Rollout> rollouts_;
};

}  // namespace dandelion::rollout
