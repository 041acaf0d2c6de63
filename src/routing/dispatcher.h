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
#include "base/clock.h"
#include "base/ids.h"
#include "base/task.h"
#include "config/tables.h"
#include "membership/membership.h"
#include "routing/choice.h"
#include "routing/explain.h"
#include "routing/upstream_model.h"

namespace dandelion::routing {

/// A request that needs a place on an upstream.
struct WorkRequest {
  base::RequestId id;
  base::OrganisationId organisation;
  config::Route route;
  int64_t prompt_tokens = 1;
  /// Hash of the prompt's first part; 0 for none.
  uint64_t prefix = 0;
  /// By this host's clock.
  base::Millis deadline;
  std::set<base::UpstreamId> excluded;
};

class Dispatcher;

/// A slot on an upstream, given back on destruction.
class Placement {
 public:
  Placement(Dispatcher& dispatcher,
            uint64_t key,
            config::Upstream upstream,
            base::Incarnation incarnation,
            bool is_generation);
  ~Placement();
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  const config::Upstream& upstream() const { return upstream_; }
  const base::Incarnation& incarnation() const { return incarnation_; }

  /// Notes a token, with the time since the one before.
  void OnToken(int64_t made, base::Millis gap);
  void OnFirstToken(base::Millis since_start, int64_t prompt_tokens);
  /// How the request ended; neutral unless told.
  void SetEnded(admission::SlotHolder::Ended ended) { ended_ = ended; }

 private:
  Dispatcher& dispatcher_;
  uint64_t key_;
  config::Upstream upstream_;
  base::Incarnation incarnation_;
  bool is_generation_;
  admission::SlotHolder::Ended ended_ = admission::SlotHolder::Ended::kNeutral;
};

/// Chooses upstreams for requests and queues those that none can take yet.
class Dispatcher {
 public:
  struct Hooks {
    /// More slots are wanted.
    std::function<void()> hurry;
  };

  Dispatcher(base::Executor executor,
             base::Clock clock,
             admission::SlotHolder& slots,
             membership::Membership& membership,
             size_t queue_per_organisation,
             Hooks hooks);

  /// Waits for a place. Fails with `kOverloaded` if the queue is full or the
  /// predicted wait passes the deadline, with `kNoUpstream` if no upstream of
  /// the pool is in service, with `kTimeout` at the deadline.
  base::Task<absl::StatusOr<std::unique_ptr<Placement>>> Place(
      WorkRequest request);

  void OnTables(std::shared_ptr<const config::Tables> tables);
  /// Tries the waiting requests; call it when slots may have come free.
  void Pump();
  /// Notes the length of a finished answer.
  void ObserveLength(const WorkRequest& request, int64_t tokens);

  int64_t QueuedFor(const config::Upstream& upstream) const;
  /// Memory that the pool's first waiting request needs; 0 if none waits.
  double RoomNeeded(const config::Upstream& upstream) const;
  bool WantsRemote(const config::Upstream& upstream) const;
  admission::Occupancy OccupancyOn(const base::UpstreamId& upstream);
  size_t queued() const;
  /// Seconds after which a refused request may find a place.
  int64_t RetryAfterSeconds(const WorkRequest& request) const;

  Explanations& explanations() { return explanations_; }
  const admission::LengthModel& lengths() const { return lengths_; }

 private:
  friend class Placement;

  struct Pending {
    const WorkRequest* request;
    boost::asio::steady_timer* timer;
    std::unique_ptr<Placement> placement;
  };
  struct PoolQueue {
    explicit PoolQueue(size_t most) : fair(most) {}
    admission::FairQueue fair;
    std::map<uint64_t, Pending*> pending;
    /// What the first request that found no room needs.
    double room_needed = 0;
  };

  PoolQueue& QueueOf(const base::PoolName& pool);
  std::vector<const config::Upstream*> Usable(const WorkRequest& request) const;
  Candidate CandidateFrom(const WorkRequest& request,
                          const config::Upstream& upstream);
  std::unique_ptr<Placement> TryPlace(const WorkRequest& request);
  std::unique_ptr<Placement> Take(const WorkRequest& request,
                                  const config::Upstream& upstream);
  ChoiceRequest Describe(const WorkRequest& request) const;
  double PredictedWaitMs(const WorkRequest& request) const;
  void Explain(const WorkRequest& request, const Choice& choice);
  void Release(uint64_t key,
               const base::UpstreamId& upstream,
               admission::SlotHolder::Ended ended);

  base::Executor executor_;
  base::Clock clock_;
  admission::SlotHolder& slots_;
  membership::Membership& membership_;
  size_t queue_per_organisation_;
  Hooks hooks_;
  std::shared_ptr<const config::Tables> tables_;
  std::map<base::PoolName, std::unique_ptr<PoolQueue>> queues_;
  std::map<base::UpstreamId, UpstreamModel> models_;
  admission::LengthModel lengths_;
  Explanations explanations_;
  uint64_t last_key_ = 0;
  bool pumping_ = false;
};

}  // namespace dandelion::routing
