#pragma once

#include <optional>
#include <string>
#include <vector>

#include "relay/forwarder.h"
#include "relay/place_wait.h"

namespace dandelion::relay {

/// Sends an admitted request to the upstream at `place` and reads the head of
/// the answer. Records the outcome in the call's history, the upstream's health
/// and the log. The upstream continues from `copy` and sends the events after
/// `after_event`, where they are set.
base::Task<UpstreamReply> SendOnce(const ForwardServices& services,
                                   ForwardCallPtr call,
                                   const migration::Place& place,
                                   std::optional<KvCacheCopy> copy,
                                   std::optional<int64_t> after_event);

/// Returns the IDs of the parts as they are written to the log.
std::string JoinPartIds(const std::vector<base::PartId>& parts);

/// Selects the request's pool by the weights of its route. Null if the route
/// has no pool that is defined.
const fleet::Pool* SelectPool(const ForwardCall& call);

/// Returns a number in [0, 1) by which the version of the upstreams is selected
/// while a pool is rolled out.
double DrawVersion(const ForwardCall& call);

/// Waits for a place for the first or another send. Returns none if the daemon
/// stops before the request could end there, unless the caller already has a
/// part of the answer, or if a part of the prompt is quarantined; `stopping` or
/// `quarantined` is then set.
base::Task<WaitResult> WaitForSend(const ForwardServices& services,
                                   ForwardCallPtr call,
                                   PlaceRequest request);

/// Whether the request may still be sent: it ends before the daemon stops, or
/// the caller already has a part of its answer.
bool MaySend(const ForwardServices& services, const ForwardCall& call);

/// Whether a part of the prompt is quarantined, and the request is not meant to
/// test this part.
bool IsQuarantined(const ForwardServices& services, const ForwardCall& call);

/// Outcome and reason of a request that got no place.
SendOutcome UnsentOutcome(const WaitResult& wait);
std::string UnsentReason(const WaitResult& wait);

/// Records that an upstream's answer broke off. Does nothing if the answer was
/// closed from here because the caller has gone or the daemon stops.
void RecordBrokenAnswer(const ForwardServices& services,
                        const ForwardCall& call,
                        const base::UpstreamId& upstream);

/// Returns whether to retry on another upstream after a send that ended with
/// `end`. Spends a retry from the budget unless nothing was sent.
bool TryRetry(const ForwardServices& services,
              const ForwardCall& call,
              const fleet::Pool& pool,
              SendOutcome end);

/// Returns another upstream for a retry, or nothing if the request may not be
/// retried or no upstream is free now. It does not wait, because the answer of
/// the first upstream can be passed on instead.
std::optional<migration::Place> PlaceRetry(const ForwardServices& services,
                                           const ForwardCall& call,
                                           const PlaceRequest& request,
                                           SendOutcome end);

}  // namespace dandelion::relay
