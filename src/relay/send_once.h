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

}  // namespace dandelion::relay
