#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::fleet {

/// Whether a request may be executed more than once.
enum class RequestKind {
  /// May be executed more than once.
  kIdempotent,
  /// Is executed at most once.
  kNonIdempotent,
  /// A streamed generation; executed at most once unless its route is
  /// resumable.
  kGeneration,
};

/// A pool that receives a share of a route's requests.
struct PoolShare {
  base::PoolName pool;
  /// Relative to the weights of the route's other pools; at 0 or below, the
  /// pool receives nothing.
  double weight = 1;
};

/// Maps requests of one host and path prefix to pools, with the service levels
/// that their callers are promised.
struct Route {
  base::RouteName name;
  std::string host;
  /// Starts and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  /// A broken stream may be resumed after its last event at another upstream.
  bool resumable = false;
  /// Time limit for the complete answer.
  base::Millis timeout{30'000};
  /// Target for the time to the answer, or to the first event of a stream.
  base::Millis answer_target{1000};
  /// 0 is the highest priority; larger values are less urgent.
  int priority = 0;
  /// Upper limit on the upstreams to which one request may be sent.
  int max_upstreams = 1;
  /// Callers need no API key.
  bool is_public = false;
  std::vector<PoolShare> pools;

  /// Whether a request may be retried after it may have been executed.
  bool MayRunTwice() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kGeneration && resumable);
  }
};

/// Capacity and features of the model engines of a pool.
struct EngineTraits {
  /// Requests that an engine runs at a time.
  int64_t slots = 1;
  /// KV cache size, in tokens of prompts and outputs.
  int64_t memory_tokens = 0;
  /// KV cache bytes per token.
  double bytes_per_token = 0;
  /// Bandwidth for KV cache copies, in Mbit/s.
  double link_mbps = 0;
  /// Generations can be migrated between the engines.
  bool can_migrate = false;
  /// Tokens per event of a stream.
  int64_t tokens_per_event = 1;
};

/// A set of interchangeable upstreams.
struct Pool {
  base::PoolName name;
  /// Request rate that a cold upstream can handle; 0 for no limit.
  double cold_requests_per_second = 0;
  /// Absent if the upstreams are services other than model engines.
  std::optional<EngineTraits> engine;
};

/// An organisation that sends requests, identified by its API keys.
struct Organisation {
  base::OrganisationId name;
  /// Overrides the route's priority.
  std::optional<int> priority;
};

/// Limits on the sizes and times of callers' requests.
struct CallerLimits {
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 4 * 1024 * 1024;
  base::Millis header_timeout{10'000};
  base::Millis idle_timeout{60'000};
};

/// One version of the operators' configuration. Immutable once published.
struct Catalogue {
  int64_t version = 0;
  std::vector<Route> routes;
  std::map<base::PoolName, Pool> pools;
  /// Organisations by API key. One with several keys has several entries.
  std::map<std::string, Organisation> organisation_by_key;
  /// Organisations whose names can't be sent to upstreams; their keys are left
  /// out.
  std::vector<base::OrganisationId> refused_organisations;
  /// Requests on routes that are not public must have a known API key.
  bool needs_keys = false;
  CallerLimits limits;

  /// Returns the route of `host` with the longest matching prefix of `path`, or
  /// null if there is none. A port in `host` is ignored, and so is its case.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /// Returns the pool with that name, or null if it is not defined.
  const Pool* FindPool(const base::PoolName& name) const;
};

using CataloguePtr = std::shared_ptr<const Catalogue>;

/// Chooses a pool of `route` by weight. `point` is a random number in [0, 1).
/// Returns null if the route has no defined pool with a positive weight.
const Pool* ChoosePool(const Catalogue& catalogue,
                       const Route& route,
                       double point);

}  // namespace dandelion::fleet
