#pragma once

#include "relay/answer_evidence.h"
#include "relay/forwarder.h"

namespace dandelion::relay {

/// Forwards a request to a plain service. Short answers are buffered completely
/// before they are passed on, so that a request whose answer is truncated can
/// be retried.
base::Task<ForwardResult> ForwardPlain(const ForwardServices& services,
                                       ForwardCallPtr call,
                                       fleet::Pool pool);

/// Passes an answer of any length from `upstream` to the caller. `first` is the
/// part of the body that was already read from the connection. `evidence` must
/// outlive the task.
base::Task<ForwardResult> PassAnswer(const ForwardServices& services,
                                     ForwardCallPtr call,
                                     base::UpstreamId upstream,
                                     UpstreamReply& reply,
                                     std::string first,
                                     AnswerEvidence& evidence);

}  // namespace dandelion::relay
