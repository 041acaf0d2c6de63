#pragma once

#include "relay/forwarder.h"

namespace dandelion::relay {

/// How forwarding a request ended.
struct ForwardEnd {
  /// `kAnswered` if the caller has its final answer, or all there will be.
  SendEnd end = SendEnd::kNotSent;
  std::string reason;
  /// Of the answer that went to the caller.
  int status = 0;
};

/// Forwards a request to a plain service. Short answers are read whole before
/// they are passed on, so that one that breaks off can be asked for again.
base::Task<ForwardEnd> ForwardPlain(const ForwardServices& services,
                                    ForwardCallPtr call,
                                    fleet::Pool pool);

/// Passes the rest of an answer on, whatever its length. `first` is the part
/// of the body that was read.
base::Task<ForwardEnd> PassAnswer(const ForwardServices& services,
                                  ForwardCallPtr call,
                                  UpstreamReply& reply,
                                  std::string first);

}  // namespace dandelion::relay
