#pragma once

#include <functional>

#include "base/task.h"
#include "membership/reach_directory.h"
#include "relay/forward_call.h"
#include "routing/upstream_reach.h"

namespace dandelion::relay {

struct ForwardServices;

/// What the hand-over of requests to other daemons needs. The referenced
/// objects must outlive it.
struct HandOverServices {
  routing::UpstreamReach& reach;
  membership::ReachDirectory& peers;
  /// Returns a random number in [0, 1).
  std::function<double()> random;
};

/// Whether another daemon may serve the request: nothing was sent to an
/// upstream or the caller, no daemon has handed it over, and one is known that
/// reaches the pool.
bool MayHandOver(const ForwardServices& services, const ForwardCall& call);

/// Whether the request is to be handed over before it is tried here: its pool
/// is lost, and it is not the one that tries the way.
bool HandsOverFirst(const ForwardServices& services, const ForwardCall& call);

/// Whether the request is to be handed over rather than sent to one more
/// upstream, as several could not be reached.
bool LeavesToPeer(const ForwardServices& services, const ForwardCall& call);

/// Whether a request that another daemon has handed over is to be refused
/// without a try, so that it goes to a third: this one can't reach the pool,
/// either.
bool RefusesHandedOver(const ForwardServices& services,
                       const ForwardCall& call);

/// Sends the request to a daemon that reaches its pool and passes the answer
/// on. Tries another daemon only if the request certainly has not been taken.
/// Returns `kNotSent` if none has taken it.
base::Task<ForwardResult> HandOver(const ForwardServices& services,
                                   ForwardCallPtr call);

/// Records for the pool's reach how a send ended.
void RecordReach(const ForwardServices& services,
                 const ForwardCall& call,
                 const base::UpstreamId& upstream,
                 SendOutcome end,
                 bool has_head);

}  // namespace dandelion::relay
