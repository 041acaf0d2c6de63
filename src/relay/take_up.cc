#include "relay/take_up.h"

#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"
#include "telemetry/events.h"

namespace dandelion::relay {
namespace {

using base::Millis;
using base::Task;
using telemetry::CounterId;
using telemetry::Emit;
using telemetry::Event;

// Callers may take a stream up for this much longer than their deadline, which
// covers the time of the messages.
constexpr Millis kTakeUpMargin{5000};

// How long a take-up waits for a list of upstreams that is newer than it, and
// how often it looks.
constexpr Millis kMaxListWait{2000};
constexpr Millis kListCheckInterval{30};

// How long callers may take up a stream that begins now.
Millis LongestTakeUp(const AdmittedRequest& request) {
  return std::max(request.route.timeout,
                  request.caller.deadline.value_or(Millis(0))) +
         kTakeUpMargin;
}

// The origin if the stream is not known itself: nothing unless the route has
// one pool, and that can have begun it at one version only. The stream began
// before its caller asked at `asked_at`, maybe through a daemon that knew newer
// upstreams than this one: so the list must be verified as of then.
Task<StreamOrigins::Found> FindOnlyOrigin(const ForwardServices& services,
                                          ForwardCallPtr call,
                                          Millis asked_at) {
  StreamOrigins::Found found;
  const fleet::Route& route = call->admitted.route;
  if (!services.only_version || route.pools.size() != 1) {
    co_return found;
  }
  const Millis give_up_at = std::min(asked_at + kMaxListWait, call->deadline());
  while (services.upstreams_verified_at() < asked_at &&
         services.clock.Now() < give_up_at) {
    co_await base::SleepFor(kListCheckInterval);
  }
  const base::PoolName& pool = route.pools.front().pool;
  const std::optional<base::SoftwareVersion> version = services.only_version(
      pool, asked_at - LongestTakeUp(call->admitted), asked_at);
  if (version) {
    found.origin = StreamOrigin{pool, *version};
    found.source = OriginSource::kOnlyVersion;
  }
  co_return found;
}

// The pool `name` if the route has it.
const fleet::Pool* FindPoolOfRoute(const ForwardCall& call,
                                   const base::PoolName& name) {
  const std::vector<fleet::PoolShare>& pools = call.admitted.route.pools;
  const bool has_pool = std::any_of(
      pools.begin(), pools.end(),
      [&name](const fleet::PoolShare& share) { return share.pool == name; });
  return has_pool ? call.admitted.catalogue->FindPool(name) : nullptr;
}

}  // namespace

Task<const fleet::Pool*> SelectPoolOfOrigin(const ForwardServices& services,
                                            ForwardCallPtr call) {
  const CallerRequest& caller = call->admitted.caller;
  const Millis started = services.clock.Now();
  StreamOrigins::Found found = co_await services.origins.Find(
      caller.resumes, call->deadline() - started);
  if (!found.origin) {
    found = co_await FindOnlyOrigin(services, call, started);
  }
  const StreamOrigin origin = found.origin.value_or(StreamOrigin());
  services.metrics.Add(CounterId::kTakeUps);
  if (!found.origin) {
    services.metrics.Add(CounterId::kTakeUpsOfUnknownOrigin);
  }
  Emit(Event::kStreamTakenUp,
       {{"request", caller.id.value()},
        {"resumes", caller.resumes.value()},
        {"pool", origin.pool.value()},
        {"version", origin.version.value()},
        {"source", std::string(ToString(found.source))},
        {"took_ms", absl::StrCat((services.clock.Now() - started).count())}});
  if (!found.origin) {
    co_return nullptr;
  }
  call->begun_at = origin.version;
  co_return FindPoolOfRoute(*call, origin.pool);
}

void NoteOrigin(const ForwardServices& services,
                const ForwardCall& call,
                const migration::Place& place) {
  const AdmittedRequest& request = call.admitted;
  const bool may_begin =
      request.route.kind == fleet::RequestKind::kGeneration &&
      request.route.resumable && !request.caller.takes_up &&
      !request.caller.id.empty() && !call.answer_started;
  if (may_begin) {
    services.origins.Begin(request.caller.id, {call.pool, place.version},
                           LongestTakeUp(request));
  }
}

}  // namespace dandelion::relay
