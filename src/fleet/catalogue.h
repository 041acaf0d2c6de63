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

/// What may be done with a request again.
enum class RequestKind {
  /// May run more than once.
  kIdempotent,
  /// Runs once at most.
  kNonIdempotent,
  /// A generation that is streamed; runs once at most unless its route lets it
  /// be resumed.
  kGeneration,
};

/// A pool that gets a part of a route's requests.
struct PoolShare {
  base::PoolName pool;
  double weight = 1;
};

/// Which requests go where, and what is promised to their callers.
struct Route {
  base::RouteName name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  /// A broken stream may go on at another upstream after its last event.
  bool resumable = false;
  /// Longest time until the final answer.
  base::Millis timeout{30'000};
  /// Time to the answer, or to a stream's first event, that is aimed at.
  base::Millis answer_aim{1000};
  /// 0 is the most urgent.
  int priority = 0;
  /// Upstreams to which one request may be sent.
  int most_upstreams = 1;
  /// Callers need no key.
  bool is_public = false;
  std::vector<PoolShare> pools;

  /// Whether a request may be sent again after it may have run.
  bool Repeatable() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kGeneration && resumable);
  }
};

/// What a model engine of a pool can hold and do.
struct EngineTraits {
  int64_t slots = 1;
  /// Memory for prompts and outputs, in tokens.
  int64_t memory_tokens = 0;
  double bytes_per_token = 0;
  /// Link for moved memory, in Mbit/s.
  double link_mbps = 0;
  bool can_move_runs = false;
  /// Tokens in one event of a stream.
  int64_t tokens_per_event = 1;
};

/// Upstreams under one name.
struct Pool {
  base::PoolName name;
  /// Requests a second that a cold upstream bears; 0 if it is never cold.
  double cold_requests_per_second = 0;
  /// Absent for plain services.
  std::optional<EngineTraits> engine;
};

/// Whom a request is for.
struct Organisation {
  base::OrganisationId name;
  /// Goes before the route's priority.
  std::optional<int> priority;
};

/// What a caller may send, and how long it may take.
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
  /// Organisations by their keys. Requests need a key if there are any.
  std::map<std::string, Organisation> organisation_by_key;
  bool needs_keys = false;
  CallerLimits limits;

  /// The route of `host` with the longest prefix of `path`; null if none.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const Pool* FindPool(const base::PoolName& name) const;
};

using CataloguePtr = std::shared_ptr<const Catalogue>;

/// A pool of `route` by weight; `point` lies in [0, 1). Null if the route has
/// no pool that is defined.
const Pool* ChoosePool(const Catalogue& catalogue,
                       const Route& route,
                       double point);

}  // namespace dandelion::fleet
