#pragma once

#include <optional>
#include <string>

#include "relay/forwarder.h"

namespace dandelion::relay {

/// Sends a request that has entered to the upstream at `place`, and notes how
/// that went: in the call's history, in the upstream's health and in the log.
base::Task<UpstreamReply> SendOnce(const ForwardServices& services,
                                   ForwardCallPtr call,
                                   const moving::Place& place,
                                   std::optional<RunCopy> copy,
                                   std::optional<int64_t> after_event);

/// The request's pool, by the weights of its route; null if none is defined.
const fleet::Pool* PoolOf(const ForwardCall& call);

/// Whether to try another upstream after `end`; spends a repeat if so.
bool TrySendAgain(const ForwardServices& services,
                  const ForwardCall& call,
                  const fleet::Pool& pool,
                  SendEnd end);

/// Another upstream for a request that may be sent again; nothing if there is
/// none that is free now. It doesn't wait: what the first upstream answered is
/// due to the caller.
std::optional<moving::Place> PlaceAgain(const ForwardServices& services,
                                        const ForwardCall& call,
                                        const PlaceRequest& request,
                                        SendEnd end);

}  // namespace dandelion::relay
