#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/task.h"
#include "http/message.h"
#include "routing/self_reports.h"

namespace dandelion::relay {

/// Properties of a request that its caller sends in headers.
struct CallerRequest {
  base::RequestId id;
  /// How long the caller waits for the complete answer.
  std::optional<base::Millis> deadline;
  /// API key that identifies the organisation; empty if none was sent.
  std::string key;
  int64_t prompt_tokens = 0;
  /// The parts of the prompt that other requests may share, in order. The last
  /// part of a prompt belongs to one request or session and is left out.
  std::vector<base::PartId> shared_parts;
  /// Limit of the output; 0 if the caller set none.
  int64_t max_output_tokens = 0;
  /// The caller's estimate. It is right in the median but often far off.
  std::optional<int64_t> expected_output_tokens;
  /// The caller resumes a stream after the event of this number.
  std::optional<int64_t> after_event;
  /// The caller resumes a stream that another request began, whether or not its
  /// headers can be read.
  bool takes_up = false;
  /// That request, which brought the stream's first event. Empty if the caller
  /// names none.
  base::RequestId resumes;
  /// The caller accepts only one version of the model's weights. An upstream
  /// with another one refuses the request.
  bool requires_version = false;
  /// Another daemon, which can't reach the pool, has handed the request over:
  /// the version of that daemon's configuration. It is not handed on.
  std::optional<int64_t> handed_over;
};

/// A copy of a generation's KV cache on another engine. `handle` names it at
/// the engine at `source`, from which it was copied.
struct KvCacheCopy {
  boost::asio::ip::tcp::endpoint source;
  std::string handle;
};

/// Properties that are added to the caller's request for the upstream.
struct UpstreamRequestOptions {
  base::UpstreamId upstream;
  /// Empty for requests that need no API key.
  base::OrganisationId organisation;
  /// Time left until the final answer is due.
  base::Millis deadline_left{0};
  /// KV cache copy from which the engine continues a generation.
  std::optional<KvCacheCopy> copy;
  /// The engine sends only the events after this number.
  std::optional<int64_t> after_event;
  /// The engine schedules the request before others and preempts it last.
  bool is_urgent = false;
};

/// Properties of an answer, read from its status and headers.
struct UpstreamResponseHead {
  /// Carries the upstream's seal, which proves the answer's origin.
  bool has_seal = false;
  /// The upstream states that the request did not run.
  bool not_executed = false;
  /// The request was meant for another upstream or for another version of the
  /// weights; it did not run.
  bool misdirected = false;
  /// The upstream that answered; empty if the answer does not name it.
  base::UpstreamId upstream;
  /// The body has a content encoding, which a proxy between the upstream and
  /// the daemon must have added.
  bool has_content_encoding = false;
  /// ID of the request that is answered; empty if the answer has none.
  base::RequestId request;
  /// What the upstream says of itself.
  routing::SelfReport self = {};
  /// A daemon refuses a request that was handed over to it: it did not send the
  /// request and can't, but another daemon may.
  bool refused_hand_over = false;
};

/// What is added to a request that is handed over to another daemon.
struct HandOverMark {
  /// The version of the configuration by which it was admitted.
  int64_t config_version = 0;
  /// Time left until the final answer is due.
  base::Millis deadline_left{0};
};

/// Converts requests and answers between the daemon and the headers of one
/// platform's callers and upstreams.
struct PlatformProtocol {
  /// Parses a caller's headers. Fails with `kInvalidRequest` if they are
  /// malformed.
  std::function<absl::StatusOr<CallerRequest>(const http::Request&)>
      parse_caller_request;
  /// Makes the head of the request that is sent to an upstream.
  std::function<http::Request(const http::Request&,
                              const UpstreamRequestOptions&)>
      make_upstream_request;
  /// Parses the head of an upstream's answer.
  std::function<UpstreamResponseHead(const http::Response&)>
      parse_response_head;
  /// Makes the daemon's own answer to a request that was rejected or failed.
  std::function<http::Response(int status,
                               std::string_view reason,
                               std::optional<base::Millis> retry_after)>
      make_rejection;
  /// Makes the head of the request that is handed over to another daemon: as
  /// the caller sent it, with the mark.
  std::function<http::Request(const http::Request&, const HandOverMark&)>
      make_handed_over_request;
  /// Makes a rejection refuse a request that was handed over.
  std::function<void(http::Response*)> mark_refused_hand_over;
};

/// How a copy of a generation's KV cache ended.
enum class KvCacheCopyOutcome {
  kCopied,
  /// The engine has no such generation: it has not begun, or has ended.
  kNoGeneration,
  /// Another copy of this generation is under way.
  kBusy,
  /// The target lacks memory or can't be reached.
  kTargetUnavailable,
  /// The engine did not answer; the copy may have been made.
  kUnknown,
  /// The generation's ID can't be written in a copy order; none was sent.
  kInexpressibleId,
};

struct KvCacheCopyResult {
  KvCacheCopyOutcome outcome = KvCacheCopyOutcome::kUnknown;
  /// Names the copy; empty if there is none. May also be set with
  /// `kTargetUnavailable`.
  std::string handle;
  /// Number of events that the engine had generated.
  int64_t events_produced = 0;
  /// What the engine at the source says of itself.
  routing::SelfReport self = {};
};

/// State that an engine reports about itself. It may be some hundred
/// milliseconds old.
struct EngineReport {
  /// The engine announced that it ends soon.
  bool leaving = false;
  /// What the engine says of itself in the head of its answer.
  routing::SelfReport self = {};
};

/// Control requests to model engines.
class EngineControl {
 public:
  virtual ~EngineControl() = default;

  /// Copies the KV cache of the generation of request `generation` to the
  /// engine at `target`. A later call copies only what was added since. With
  /// `stop_generation`, the engine stops the generation first and closes its
  /// stream.
  virtual base::Task<KvCacheCopyResult> CopyKvCache(
      boost::asio::ip::tcp::endpoint source,
      base::RequestId generation,
      boost::asio::ip::tcp::endpoint target,
      bool stop_generation,
      base::Millis timeout) = 0;
  /// Frees the copy that is named `handle` at `source`.
  virtual base::Task<void> FreeCopy(boost::asio::ip::tcp::endpoint source,
                                    std::string handle) = 0;
  /// Fails if the engine does not answer or its report can't be parsed.
  virtual base::Task<absl::StatusOr<EngineReport>> FetchEngineReport(
      boost::asio::ip::tcp::endpoint engine) = 0;
};

}  // namespace dandelion::relay
