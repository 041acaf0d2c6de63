#pragma once

#include "relay/forwarder.h"

namespace dandelion::relay {

/// Finds out where the stream that `call` takes up has begun. Returns its pool,
/// with `begun_at` of the call set. Null if that is not known or its route no
/// longer has the pool: it can't go on then.
base::Task<const fleet::Pool*> SelectPoolOfOrigin(
    const ForwardServices& services,
    ForwardCallPtr call);

/// Notes that a send of `call` to `place` may begin a stream that its caller
/// may take up.
void NoteOrigin(const ForwardServices& services,
                const ForwardCall& call,
                const migration::Place& place);

}  // namespace dandelion::relay
