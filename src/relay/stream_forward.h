#pragma once

#include "relay/plain_forward.h"

namespace dandelion::relay {

/// Forwards a generation and passes its events on as they arrive. When its
/// engine leaves or breaks off, the stream goes on at the copy of the run, or,
/// where the route allows it, at another engine after the last event.
base::Task<ForwardEnd> ForwardStream(const ForwardServices& services,
                                     ForwardCallPtr call,
                                     fleet::Pool pool);

}  // namespace dandelion::relay
