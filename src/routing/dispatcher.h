#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "absl/status/statusor.h"
#include "admission/fair_queue.h"
#include "admission/length_model.h"
#include "admission/slot_holder.h"
#include "admission/stop_deadline.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/task.h"
#include "config/tables.h"
#include "membership/membership.h"
#include "routing/explain.h"
#include "routing/self_reports.h"
#include "routing/slot_choice.h"
#include "routing/upstream_model.h"

namespace dandelion::routing {

/// A request that needs a slot on an upstream.
struct PlacementRequest {
  base::RequestId id;
  base::OrganisationId organisation;
  config::Route route;
  int64_t prompt_tokens = 1;
  /// Hash of the first part of the prompt; 0 for none.
  uint64_t prefix = 0;
  /// By this host's clock.
  base::Millis deadline;
  /// Longest time from the send to an upstream until a stop of this daemon no
  /// longer loses the request; the deadline may end it earlier.
  base::Millis longest_run;
  /// Upstreams that must not be chosen.
  std::set<base::UpstreamId> excluded;
};

class Dispatcher;

/// Holds a slot on an upstream and releases it on destruction. Must not outlive
/// its dispatcher.
class SlotPlacement {
 public:
  SlotPlacement(Dispatcher& dispatcher,
                uint64_t key,
                config::Upstream upstream,
                base::Incarnation incarnation,
                bool is_generation);
  ~SlotPlacement();
  SlotPlacement(const SlotPlacement&) = delete;
  SlotPlacement& operator=(const SlotPlacement&) = delete;

  const config::Upstream& upstream() const { return upstream_; }
  /// The upstream's incarnation at the time of the choice; empty if unknown.
  const base::Incarnation& incarnation() const { return incarnation_; }

  /// Records a token other than the first: the number of output tokens so far
  /// and the time since the token before.
  void OnToken(int64_t generated_tokens, base::Millis gap);
  /// Records the first token; ignored unless the upstream is an engine.
  void OnFirstToken(base::Millis since_start, int64_t prompt_tokens);
  /// Sets how the request ended, neutral by default. It counts for the
  /// upstream's health when the slot is released.
  void SetOutcome(admission::SlotHolder::RequestOutcome outcome) {
    outcome_ = outcome;
  }

 private:
  Dispatcher& dispatcher_;
  uint64_t key_;
  config::Upstream upstream_;
  base::Incarnation incarnation_;
  bool is_generation_;
  admission::SlotHolder::RequestOutcome outcome_ =
      admission::SlotHolder::RequestOutcome::kNeutral;
};

/// Chooses upstreams for requests and queues requests that no upstream can take
/// yet.
class Dispatcher {
 public:
  struct Hooks {
    /// Called when more slots are needed, to ask their owners soon.
    std::function<void()> request_slots;
  };

  Dispatcher(base::Executor executor,
             base::Clock clock,
             admission::SlotHolder& slots,
             membership::Membership& membership,
             const admission::StopDeadline& stop_deadline,
             size_t queue_per_organisation,
             Hooks hooks);

  /// Waits until an upstream takes the request. Fails with
  /// - `kNotReady` before the first call of `OnTables`,
  /// - `kNoUpstream` if the pool has no upstream in service that is neither
  ///   leaving nor excluded,
  /// - `kOverloaded` if the organisation's queue is full, or the predicted wait
  ///   or the pause that every upstream asked for ends after the deadline,
  /// - `kTimeout` if the deadline passes while the request waits,
  /// - `kDraining` as `CheckStop` does, also while the request waits.
  base::Task<absl::StatusOr<std::unique_ptr<SlotPlacement>>> Place(
      PlacementRequest request);

  /// Fails with `kDraining` if the daemon is stopping and the request, sent
  /// now, might not end in time.
  absl::Status CheckStop(const PlacementRequest& request) const;
  /// Replaces the tables and tries the waiting requests.
  void OnTables(std::shared_ptr<const config::Tables> tables);
  /// Places waiting requests; to be called whenever slots may have become free.
  void DispatchWaiting();
  /// Records that an upstream has rejected a request and wants no other from
  /// this daemon for `pause`.
  void RecordPause(const base::UpstreamId& upstream, base::Millis pause);
  /// Records the output length of a finished generation, in tokens, and
  /// corrects what its organisation was charged by the expected length.
  void ObserveLength(const PlacementRequest& request, int64_t tokens);

  /// Waiting requests of the upstream's pool per upstream, rounded up.
  int64_t EstimateQueuedPerUpstream(const config::Upstream& upstream) const;
  /// Headroom, in tokens, that the first waiting request of the upstream's pool
  /// needs; 0 if none waits for headroom.
  double HeadroomNeeded(const config::Upstream& upstream) const;
  /// Whether slots are wanted on an upstream of another data centre: it is in
  /// service, and requests of its pool wait or the pool has no upstream in
  /// service in this data centre.
  bool WantsRemoteSlots(const config::Upstream& upstream) const;
  /// Predicts the memory of this daemon's own generations on the upstream.
  admission::Occupancy PredictOwnOccupancy(const base::UpstreamId& upstream);
  /// Requests that wait, in all pools.
  size_t queued() const;
  /// Predicted time in seconds, 1 to 600, after which an upstream may take a
  /// request that was rejected.
  int64_t RetryAfterSeconds(const PlacementRequest& request);

  Explanations& explanations() { return explanations_; }
  const admission::LengthModel& lengths() const { return lengths_; }

 private:
  friend class SlotPlacement;

  struct PendingRequest {
    const PlacementRequest* request;
    /// Cancelled to wake up the request once it is placed.
    boost::asio::steady_timer* timer;
    /// Null until the request is placed.
    std::unique_ptr<SlotPlacement> placement;
  };
  struct PoolQueue {
    explicit PoolQueue(size_t max_per_organisation)
        : waiters(max_per_organisation) {}
    admission::FairQueue waiters;
    /// By ticket.
    std::map<uint64_t, PendingRequest*> pending;
    /// Headroom, in tokens, that the first request rejected for lack of it
    /// needs; 0 for none.
    double headroom_needed = 0;
  };

  PoolQueue& FindOrAddQueue(const base::PoolName& pool);
  /// When the first of the usable upstreams takes requests again, by what they
  /// say of themselves.
  base::Millis SendableAt(const PlacementRequest& request);
  /// Upstreams of the pool that are in service, not leaving and not excluded.
  std::vector<const config::Upstream*> UsableUpstreams(
      const PlacementRequest& request) const;
  SlotCandidate MakeCandidate(const PlacementRequest& request,
                              const config::Upstream& upstream);
  /// Returns null if no upstream can take the request now.
  std::unique_ptr<SlotPlacement> TryPlace(const PlacementRequest& request);
  /// Returns null if no lease covers another slot on the upstream.
  std::unique_ptr<SlotPlacement> TakeSlot(const PlacementRequest& request,
                                          const config::Upstream& upstream);
  ChoiceRequest MakeChoiceRequest(const PlacementRequest& request) const;
  /// Returns 0 if the wait cannot be predicted.
  double PredictWaitMs(const PlacementRequest& request) const;
  void RecordExplanation(const PlacementRequest& request, const Choice& choice);
  void Release(uint64_t key,
               const base::UpstreamId& upstream,
               admission::SlotHolder::RequestOutcome outcome);

  base::Executor executor_;
  base::Clock clock_;
  admission::SlotHolder& slots_;
  membership::Membership& membership_;
  const admission::StopDeadline& stop_deadline_;
  size_t queue_per_organisation_;
  Hooks hooks_;
  SelfReports self_reports_;
  std::shared_ptr<const config::Tables> tables_;
  std::map<base::PoolName, std::unique_ptr<PoolQueue>> queues_;
  std::map<base::UpstreamId, UpstreamModel> models_;
  admission::LengthModel lengths_;
  Explanations explanations_;
  /// Last key of a placement or ticket of a waiting request.
  uint64_t last_key_ = 0;
  /// Set while waiting requests are being placed, to prevent re-entry.
  bool dispatching_ = false;
};

}  // namespace dandelion::routing
