#pragma once

#include "relay/plain_forward.h"

namespace dandelion::relay {

/// Forwards a generation and passes its events to the caller as they arrive. If
/// the stream breaks, also because the engine leaves, it is resumed from the KV
/// cache copy if there is one. Otherwise, where the route allows it, another
/// engine continues after the last event.
base::Task<ForwardResult> ForwardStream(const ForwardServices& services,
                                        ForwardCallPtr call,
                                        fleet::Pool pool);

}  // namespace dandelion::relay
