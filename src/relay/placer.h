#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "admission/fair_queue.h"
#include "base/clock.h"
#include "base/task.h"
#include "fleet/catalogue.h"
#include "fleet/upstream_list.h"
#include "moving/run.h"
#include "routing/load_book.h"
#include "routing/placement.h"
#include "routing/upstream_health.h"

namespace dandelion::relay {

/// A request that needs an upstream.
struct PlaceRequest {
  fleet::Pool pool;
  base::OrganisationId organisation;
  /// Absent for plain services.
  std::optional<routing::GenerationSize> size;
  /// Urgent requests go before others.
  bool is_urgent = false;
  /// Upstreams that have failed this request.
  std::set<base::UpstreamId> excluded;
  /// Waiting longer is of no use.
  base::Millis wait_until{0};
  /// Carries the wait; cancelling it ends the wait. Outlives the request.
  boost::asio::steady_timer* wake = nullptr;
};

/// Finds upstreams for requests. What finds none waits, in an order that is
/// fair between organisations, until there is room or its time is over.
class Placer {
 public:
  struct Hooks {
    std::function<size_t()> daemons;
  };
  /// Requests of one organisation that wait.
  static constexpr size_t kMostWaiting = 200;

  Placer(base::Clock clock,
         base::DataCentreId data_centre,
         const fleet::UpstreamList& upstreams,
         routing::LoadBook& loads,
         routing::UpstreamHealth& health,
         Hooks hooks);

  /// A place with its load booked; nothing if there was none in time.
  base::Task<std::optional<moving::Place>> Place(PlaceRequest request);
  /// A place without waiting.
  std::optional<moving::Place> TryPlace(const PlaceRequest& request);
  /// Where `run` may move, without the engines in `excluded`.
  std::optional<moving::Place> ChooseMoveTarget(
      const moving::Run& run,
      const fleet::Pool& pool,
      const std::set<base::UpstreamId>& excluded);
  /// The upstreams of `request` that may take it now.
  std::vector<routing::Candidate> Candidates(const PlaceRequest& request) const;
  /// Places waiting requests; call it whenever room may have come.
  void Pump();

  size_t waiting() const { return waiting_.size(); }

 private:
  struct Waiting {
    PlaceRequest request;
    std::optional<moving::Place> place;
  };

  moving::Place PlaceAt(const base::UpstreamId& id, const routing::Load& load);
  bool ColdLimitReached(const fleet::Upstream& upstream,
                        const fleet::Pool& pool) const;
  void NoteColdSend(const fleet::Upstream& upstream);

  base::Clock clock_;
  base::DataCentreId data_centre_;
  const fleet::UpstreamList& upstreams_;
  routing::LoadBook& loads_;
  routing::UpstreamHealth& health_;
  Hooks hooks_;
  std::map<base::PoolName, admission::FairQueue> queues_;
  std::map<uint64_t, Waiting*> waiting_;
  uint64_t last_ticket_ = 0;
  /// Sends to cold upstreams in the last second.
  std::map<base::UpstreamId, std::deque<base::Millis>> cold_sends_;
};

}  // namespace dandelion::relay
