#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "admission/fair_queue.h"
#include "admission/wait_predictor.h"
#include "base/clock.h"
#include "fleet/catalogue.h"
#include "fleet/upstream_list.h"
#include "migration/active_generation.h"
#include "rollout/version_choice.h"
#include "routing/load_tracker.h"
#include "routing/rate_share.h"
#include "routing/self_reports.h"
#include "routing/upstream_choice.h"
#include "routing/upstream_health.h"

namespace dandelion::relay {

/// A request that needs an upstream.
struct PlaceRequest {
  fleet::Pool pool;
  base::OrganisationId organisation;
  /// Absent for plain services.
  std::optional<routing::GenerationSize> size;
  /// Urgent requests are placed before others.
  bool is_urgent = false;
  /// Upstreams that have failed this request.
  std::set<base::UpstreamId> excluded;
  /// The version that began the stream, the only one at which it may go on. Not
  /// set for requests that begin.
  std::optional<base::SoftwareVersion> begun_at = {};
  /// Time at which the request gives up waiting.
  base::Millis wait_until{0};
  /// Target for the time to the answer, or to its first token, and when that
  /// time is over. Without a target, no request is late.
  base::Millis answer_target{0};
  base::Millis answer_by{0};
  /// When the complete answer is due at the latest. Matters with a target only.
  base::Millis deadline{0};
  /// Selects the version of the upstreams while the pool is rolled out, in
  /// [0, 1).
  double version_draw = 0;
};

/// Result of a request for a place.
struct PlaceResult {
  /// Set if the request got a place at once.
  std::optional<migration::Place> place;
  /// Queue ticket, set if the request waits.
  std::optional<uint64_t> ticket;
  /// Predicted time until the request would get a place, if known.
  std::optional<base::Millis> capacity_in;
};

/// Chooses upstreams for requests and reserves their load there. A request that
/// finds no capacity waits in the queue of its pool, which is fair between
/// organisations. A request whose predicted wait exceeds its limit is rejected
/// at once.
class Placer {
 public:
  struct Hooks {
    /// This daemon's rank among those that share the limit on requests to a
    /// cold upstream.
    std::function<routing::DaemonRank(const base::UpstreamId&)> rank;
    /// Returns a random number in [0, 1). Without it, choices are not spread.
    std::function<double()> random = {};
    /// The rule for the versions of a pool's upstreams; nothing unless the pool
    /// is being rolled out. May be empty.
    std::function<std::optional<rollout::VersionRule>(const base::PoolName&)>
        version_rule = {};
    /// What an upstream was found to take at once has changed; `limit` is that
    /// of its slots again once nothing speaks for fewer. May be empty.
    std::function<void(const base::UpstreamId&, int64_t limit, int64_t slots)>
        on_limit_learned = {};
  };
  /// Most waiting requests of one organisation in a pool's queue.
  static constexpr size_t kMaxWaitingPerOrganisation = 200;
  /// Most later requests that may be placed before an earlier one that needs
  /// more capacity than is free.
  static constexpr int kMaxTimesPassedOver = 3;

  Placer(base::Clock clock,
         base::DataCentreId data_centre,
         const fleet::UpstreamList& upstreams,
         routing::LoadTracker& loads,
         routing::UpstreamHealth& health,
         routing::SelfReports& self_reports,
         Hooks hooks);

  /// Called with the place, or with nothing if every usable upstream has failed
  /// the request, or none is left of the version that began its stream.
  using OnPlace = std::function<void(std::optional<migration::Place>)>;

  /// Returns a place with its load reserved, a ticket in the queue, or neither
  /// if the request is rejected. With a ticket, `on_place` is called once the
  /// wait has ended, unless `CancelWait` was called before.
  PlaceResult Place(PlaceRequest request, OnPlace on_place);
  /// Whether any upstream may be used for the request, now or later.
  bool HasUsable(const PlaceRequest& request) const {
    return !UsableFor(request).empty();
  }
  /// Removes a waiting request; does nothing if its wait has ended.
  void CancelWait(uint64_t ticket);
  /// Returns a place with its load reserved, or nothing if no upstream has
  /// capacity now. Ignores the queue.
  std::optional<migration::Place> TryPlace(const PlaceRequest& request);
  /// Chooses a migration target for `generation`, other than the engines in
  /// `excluded`, and reserves its load there. Empty if no engine of its version
  /// has capacity.
  std::optional<migration::Place> ChooseMigrationTarget(
      const migration::ActiveGeneration& generation,
      const fleet::Pool& pool,
      const std::set<base::UpstreamId>& excluded);
  /// Whether the upstream at `place` is listed with another version than when
  /// it was chosen. Either may then have run what was sent there.
  bool HasOtherVersion(const migration::Place& place) const;
  /// Learns from the time from sending a request to the head of its answer.
  void RecordAnswerTime(const migration::Place& place, base::Millis time);
  /// Learns from the time that an engine took for a token.
  void RecordTokenTime(const base::UpstreamId& upstream, double milliseconds);
  /// Learns from a generation at `place` whose first token has come.
  void RecordFirstToken(const base::PoolName& pool,
                        const migration::Place& place);
  /// Returns the upstreams that `request` may use, whether or not they have
  /// capacity. Ejected ones are included only if there is no other.
  std::vector<routing::UpstreamCandidate> FindCandidates(
      const PlaceRequest& request) const;
  /// Places waiting requests. To be called whenever capacity may have become
  /// free.
  void DispatchWaiting();

  /// Number of the upstreams of a pool that are listed.
  size_t CountUpstreams(const base::PoolName& pool) const;

  /// Number of waiting requests.
  size_t waiting() const { return waiting_.size(); }

 private:
  struct Waiting {
    PlaceRequest request;
    OnPlace on_place;
  };
  /// The waiting requests of one pool. Urgent requests have a wait predictor of
  /// their own.
  struct PoolQueue {
    admission::FairQueue queue{kMaxWaitingPerOrganisation, kMaxTimesPassedOver};
    admission::WaitPredictor urgent;
    admission::WaitPredictor others;

    admission::WaitPredictor& PredictorFor(const admission::Waiter& waiter) {
      return waiter.is_short ? urgent : others;
    }
    /// Tells the predictors whether requests wait.
    void UpdatePredictors(base::Millis now) {
      urgent.RecordQueueState(queue.size() > 0, now);
      others.RecordQueueState(queue.size() > 0, now);
    }
  };

  /// Returns the usable upstreams of the request's pool, only those of the
  /// version that began it for a stream that goes on.
  std::vector<const fleet::Upstream*> UsableFor(
      const PlaceRequest& request) const;
  PoolQueue& QueueFor(const PlaceRequest& request) {
    return queues_[{request.pool.name, request.begun_at}];
  }
  /// Returns the upstreams that the request may use by their versions, those to
  /// be preferred in the first list.
  rollout::VersionChoice ChooseVersions(const PlaceRequest& request) const;
  std::vector<routing::UpstreamCandidate> FindCandidatesAmong(
      const PlaceRequest& request,
      const std::vector<const fleet::Upstream*>& upstreams) const;
  /// Returns a place at one of `upstreams` with its load reserved, or nothing.
  std::optional<migration::Place> TryPlaceAmong(
      const PlaceRequest& request,
      const std::vector<const fleet::Upstream*>& upstreams);
  /// How late the first token of a request may come if it is placed now;
  /// nothing for a request without a target.
  std::optional<routing::FirstTokenBound> BoundFor(
      const PlaceRequest& request) const;
  /// From when on a request that waits can't be answered on time any more.
  base::Millis LateAt(const PlaceRequest& request) const;
  const routing::FirstTokenModel& FirstTokens(const base::PoolName& pool) const;
  /// Whether `request` excludes every usable upstream of its pool, or goes on
  /// with a stream of a version that none of them has. False if there is no
  /// usable upstream at all, as one may be listed soon.
  bool ExcludesAllUpstreams(const PlaceRequest& request) const;
  void DispatchQueue(PoolQueue& pool_queue);
  /// Places the streams of a pool that wait to go on.
  void DispatchBegun(const base::PoolName& pool);
  /// Places what can be placed now. Returns the place of `ticket`, if it got
  /// one.
  std::optional<migration::Place> DispatchFor(PoolQueue& pool_queue,
                                              uint64_t ticket);
  /// Reserves `load` at an upstream.
  migration::Place ReservePlace(const base::UpstreamId& id,
                                const routing::Load& load);
  /// Whether a cold upstream has had this daemon's share of the requests that
  /// its pool allows per second.
  bool ColdLimitReached(const fleet::Upstream& upstream,
                        const fleet::Pool& pool) const;
  /// When the first of the upstreams that `request` may still use takes
  /// requests again, by what they say of themselves: empty if none of them
  /// does, or if there is none.
  std::optional<base::Millis> SendableAt(const PlaceRequest& request) const;
  void RecordColdPlacement(const fleet::Upstream& upstream);
  /// Tells of a limit that differs from the one before.
  void ReportLimit(const fleet::Upstream& upstream, int64_t limit) const;

  base::Clock clock_;
  base::DataCentreId data_centre_;
  const fleet::UpstreamList& upstreams_;
  routing::LoadTracker& loads_;
  routing::UpstreamHealth& health_;
  routing::SelfReports& self_reports_;
  Hooks hooks_;
  /// Streams that go on wait apart, by version: where their version is full,
  /// they don't hold up the requests that others can take.
  std::map<std::pair<base::PoolName, std::optional<base::SoftwareVersion>>,
           PoolQueue>
      queues_;
  std::map<base::PoolName, routing::FirstTokenModel> first_tokens_;
  std::map<uint64_t, Waiting> waiting_;
  uint64_t last_ticket_ = 0;
  /// The learned limits that are below the upstreams' slots.
  mutable std::map<base::UpstreamId, int64_t> learned_limits_;
  /// The placements at each cold upstream.
  mutable std::map<base::UpstreamId, routing::SendWindow> cold_sends_;
};

}  // namespace dandelion::relay
