#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>

#include "base/ids.h"
#include "base/task.h"
#include "relay/dialect.h"
#include "routing/load_ticket.h"
#include "routing/placement.h"

namespace dandelion::moving {

/// The engine on which a run is.
struct Place {
  base::UpstreamId upstream;
  boost::asio::ip::tcp::endpoint address;
  base::DataCentreId data_centre;
  routing::LoadTicket ticket;
};

/// A copy of a run's memory, and where it lies.
struct PlacedCopy {
  Place place;
  relay::RunCopy copy;
};

/// A generation that is streamed to a caller, as the mover sees it. Shared by
/// the task that passes the stream on and the task that moves the run.
struct Run {
  explicit Run(const base::Executor& executor) : settled(executor) {}

  base::RequestId id;
  base::PoolName pool;
  routing::GenerationSize size;
  int64_t tokens_per_event = 1;
  Place place;
  /// The last event that the caller was sent.
  int64_t last_event = 0;
  /// The engine has made an event.
  bool begun = false;
  /// The stream ended, or its caller left.
  bool ended = false;
  /// A task moves the run.
  bool moving = false;
  /// The engine was told to stop the run; its stream will be cut.
  bool stopping = false;
  std::optional<PlacedCopy> copy;
  /// Cancelled when `stopping` ends.
  boost::asio::steady_timer settled;

  int64_t TokensHeld() const {
    return size.prompt_tokens + last_event * tokens_per_event;
  }
  int64_t TokensLeft() const {
    return std::max<int64_t>(
        0, size.output_tokens - last_event * tokens_per_event);
  }
};

using RunPtr = std::shared_ptr<Run>;

}  // namespace dandelion::moving
