#pragma once

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>

#include "base/ids.h"
#include "base/task.h"
#include "relay/platform_protocol.h"
#include "routing/load_reservation.h"
#include "routing/upstream_choice.h"

namespace dandelion::migration {

/// The upstream that was chosen for a request, and the load reserved there.
struct Place {
  base::UpstreamId upstream;
  boost::asio::ip::tcp::endpoint address;
  base::DataCentreId data_centre;
  /// Version of the upstream's software when it was chosen.
  base::SoftwareVersion version;
  routing::LoadReservation reservation;
  /// When it was chosen, the prompt tokens that the engine then had to process,
  /// with those of the request, and its time per token.
  base::Millis chosen_at{0};
  int64_t prefill_tokens = 0;
  double token_ms = 0;
  /// The load that the upstream then had.
  routing::Load load_before;
};

/// A copy of a generation's KV cache and the engine that holds it.
struct PlacedCopy {
  Place place;
  relay::KvCacheCopy cache;
  /// The source, if it has stopped the generation. It keeps the KV cache and
  /// can continue from it as well.
  std::optional<Place> stopped_source;
};

/// State of a generation that is streamed to a caller. Shared by the task that
/// forwards the stream and the task that migrates the generation.
struct ActiveGeneration {
  explicit ActiveGeneration(const base::Executor& executor)
      : final_copy_ended(executor) {}

  base::RequestId id;
  base::PoolName pool;
  routing::GenerationSize size;
  int64_t tokens_per_event = 1;
  /// The engine that runs the generation.
  Place place;
  /// Number of the last event that was forwarded to the caller.
  int64_t last_event = 0;
  /// Whether the engine has sent an event since it was given the request.
  bool has_events = false;
  /// Whether forwarding has ended, whatever the cause.
  bool ended = false;
  /// Whether a migration task works on this generation.
  bool migrating = false;
  /// Whether the final copy is under way. The engine stops the generation for
  /// it and closes the stream.
  bool final_copy_running = false;
  /// Whether the engine may have stopped the generation for a final copy, also
  /// if the result of that copy is not known. The end of a stream without
  /// framing then does not show that the stream is complete.
  bool may_be_stopped = false;
  /// The migration target and the KV cache copy there. The copy's handle is
  /// empty until the first copy was made.
  std::optional<PlacedCopy> copy;
  /// Cancelled when the final copy has ended, or forwarding has.
  boost::asio::steady_timer final_copy_ended;

  /// Returns the number of tokens in the events up to the last one, at most
  /// 2^40. Engines and callers number events as they like.
  int64_t TokensMade() const {
    constexpr int64_t kMaxEvents = INT64_C(1) << 31;
    constexpr int64_t kMaxTokens = INT64_C(1) << 40;
    return std::min(std::clamp<int64_t>(last_event, 0, kMaxEvents) *
                        std::min(tokens_per_event, kMaxEvents),
                    kMaxTokens);
  }
  /// Returns the estimated number of tokens in the KV cache now.
  int64_t TokensHeld() const { return size.prompt_tokens + TokensMade(); }
  /// Returns the estimated number of tokens still to be generated, at least 0.
  int64_t TokensLeft() const {
    return std::max<int64_t>(0, size.output_tokens - TokensMade());
  }
};

using GenerationPtr = std::shared_ptr<ActiveGeneration>;

}  // namespace dandelion::migration
