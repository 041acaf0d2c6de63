#include "entry/request_handler.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/json_values.h"
#include "telemetry/events.h"

namespace dandelion::entry {
namespace {

using base::ErrorKind;
using base::MakeError;
using base::Millis;
using base::Ran;
using base::Task;
using nlohmann::json;
using relay::ResumePoint;
using telemetry::Emit;
using telemetry::Event;

// Rough estimate of a prompt's length in tokens; engines tokenize it
// themselves.
constexpr size_t kBytesPerToken = 4;
// Length in bytes of the prompt's first part, whose hash goes into
// `PlacementRequest::prefix`; shorter prompts have no hash.
constexpr size_t kPrefixBytes = 1024;
// Largest answer in bytes that is collected in memory.
constexpr size_t kMaxBufferedBytes = 32UL * 1024 * 1024;
// Longest time per token of a generation on a loaded engine.
constexpr Millis kLongestTokenTime{100};
// Retry-After in seconds for a request that another daemon can serve now.
constexpr int64_t kRetryElsewhereSeconds = 1;

std::string DumpJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

int StatusCodeOf(ErrorKind kind, Ran ran) {
  switch (kind) {
    case ErrorKind::kInvalidRequest:
    case ErrorKind::kKeyRequired:
      return 400;
    case ErrorKind::kUnauthorised:
      return 403;
    case ErrorKind::kNoRoute:
      return 404;
    case ErrorKind::kInProgress:
      return 409;
    case ErrorKind::kGenerationLost:
      return 410;
    case ErrorKind::kTooLarge:
      return 413;
    case ErrorKind::kPromptQuarantined:
      return 422;
    case ErrorKind::kOverloaded:
      return 429;
    case ErrorKind::kTimeout:
      return 504;
    case ErrorKind::kConnectFailed:
    case ErrorKind::kConnectionLost:
    case ErrorKind::kBadAnswer:
    case ErrorKind::kOutcomeUnknown:
      return 502;
    case ErrorKind::kDraining:
      return ran == Ran::kNo ? 503 : 502;
    default:
      return ran == Ran::kUnknown ? 502 : 503;
  }
}

// Returns the body of an error response: problem details with additional
// members.
json ProblemDetails(const absl::Status& status, Ran ran) {
  return {{"type", "about:blank"},
          {"title", std::string(status.message())},
          {"kind", std::string(base::ToString(base::KindOf(status)))},
          {"ran", std::string(base::ToString(ran))},
          {"remedy", base::RemedyOf(status)}};
}

// Returns the prompt as one text: `messages` if there are any, else `prompt`.
// Values that are not strings are returned as JSON.
std::string ExtractPrompt(const json& body) {
  if (body.contains("messages")) {
    return DumpJson(body.at("messages"));
  }
  const json prompt = body.value("prompt", json(""));
  return prompt.is_string() ? prompt.get<std::string>() : DumpJson(prompt);
}

// Formats a token as a server-sent event, whose id names the token to resume
// at.
std::string FormatTokenEvent(const std::string& resume_token,
                             const upstream::Token& token) {
  const json data = {{"choices", {{{"index", 0}, {"text", token.text}}}}};
  return absl::StrCat("id: ", resume_token, ":", token.index,
                      "\ndata: ", DumpJson(data), "\n\n");
}

// A parsed Last-Event-ID header.
struct LastEvent {
  std::string token;
  int64_t index = 0;
};

// Parses "TOKEN:INDEX". Returns nothing if the text has another form.
std::optional<LastEvent> ParseLastEvent(std::string_view text) {
  const size_t colon = text.rfind(':');
  LastEvent event;
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(colon + 1);
  if (!absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()),
                        &event.index) ||
      event.index < 0) {
    return std::nullopt;
  }
  event.token = std::string(text.substr(0, colon));
  return event;
}

http::Response EventStreamHead(const base::RequestId& id) {
  http::Response head;
  head.headers.Add("Content-Type", "text/event-stream");
  head.headers.Add("Cache-Control", "no-store");
  head.headers.Add("X-Request-Id", id.value());
  return head;
}

// Returns the parts of a prompt under which engines may crash: its first part,
// if it has a hash, and the whole. Each pool has a model of its own, so the
// same text is another part in another pool.
admission::PartList MakeParts(const routing::PlacementRequest& work,
                              const std::string& prompt) {
  const std::string& pool = work.route.pool.value();
  const uint64_t seed = XXH3_64bits(pool.data(), pool.size());
  admission::PartList parts;
  if (work.prefix != 0) {
    parts.emplace_back(absl::StrCat("prefix-", absl::Hex(work.prefix ^ seed)));
  }
  const uint64_t whole =
      XXH3_64bits_withSeed(prompt.data(), prompt.size(), seed);
  parts.emplace_back(absl::StrCat("prompt-", absl::Hex(whole)));
  return parts;
}

}  // namespace

/// A caller's request, parsed and matched to a route.
struct RequestHandler::IncomingRequest {
  routing::PlacementRequest work;
  config::PoolKind pool_kind = config::PoolKind::kService;
  std::string prompt;
  base::Tokens max_tokens;
  bool wants_stream = false;
  Millis received_at;
};

RequestHandler::RequestHandler(base::Clock clock,
                               const kernel::Tuning& tuning,
                               const relay::ResumeTokens& resume_tokens,
                               relay::GenerationRelay& generation_relay,
                               relay::ServiceRelay& service_relay,
                               routing::Dispatcher& dispatcher,
                               telemetry::Metrics& metrics,
                               Hooks hooks)
    : clock_(std::move(clock)),
      tuning_(tuning),
      resume_tokens_(resume_tokens),
      generation_relay_(generation_relay),
      service_relay_(service_relay),
      dispatcher_(dispatcher),
      metrics_(metrics),
      hooks_(std::move(hooks)) {}

absl::StatusOr<RequestHandler::IncomingRequest> RequestHandler::ParseRequest(
    const http::Request& request) const {
  const std::shared_ptr<const config::Tables> tables = hooks_.tables();
  if (!tables) {
    return MakeError(ErrorKind::kNotReady, "no configuration is installed yet",
                     "retry, or publish tables");
  }
  IncomingRequest incoming;
  incoming.received_at = clock_.Now();
  routing::PlacementRequest& work = incoming.work;
  work.organisation =
      base::OrganisationId(std::string(request.headers.Find("X-Organisation")));
  if (work.organisation.empty()) {
    return MakeError(ErrorKind::kInvalidRequest,
                     "the X-Organisation header is missing",
                     "send the organisation in the X-Organisation header");
  }
  const config::Route* route = tables->FindRoute(
      request.Path(), work.organisation, request.headers.Find("X-Label"));
  if (route == nullptr) {
    return MakeError(ErrorKind::kNoRoute,
                     absl::StrCat("no route takes ", request.target),
                     "check the path, or publish a route for it");
  }
  work.route = *route;
  Millis time_left = tuning_.request_timeout;
  int64_t deadline_ms = 0;
  const std::string_view timeout = request.headers.Find("X-Timeout-Ms");
  if (absl::SimpleAtoi(absl::string_view(timeout.data(), timeout.size()),
                       &deadline_ms) &&
      deadline_ms > 0) {
    time_left = std::min(time_left, Millis(deadline_ms));
  }
  work.deadline = clock_.Now() + time_left;
  incoming.pool_kind = tables->pools.at(route->pool);
  if (incoming.pool_kind == config::PoolKind::kService ||
      request.headers.Has("Last-Event-ID")) {
    return incoming;
  }
  const json body = base::ParseJson(request.body);
  if (!body.is_object()) {
    return MakeError(ErrorKind::kInvalidRequest,
                     "the body is not a JSON object, or nested too deeply",
                     "send a completion request as JSON");
  }
  try {
    incoming.prompt = ExtractPrompt(body);
    incoming.max_tokens = base::Tokens(body.value("max_tokens", int64_t{0}));
    incoming.wants_stream = body.value("stream", false);
  } catch (const json::exception& error) {
    return MakeError(ErrorKind::kInvalidRequest, error.what(),
                     "see docs/API.md for the fields and their types");
  }
  work.prompt_tokens = std::max<int64_t>(
      1, static_cast<int64_t>(incoming.prompt.size() / kBytesPerToken));
  if (incoming.prompt.size() >= kPrefixBytes) {
    work.prefix = XXH3_64bits(incoming.prompt.data(), kPrefixBytes);
  }
  return incoming;
}

Task<void> RequestHandler::Handle(http::Exchange& exchange) {
  const http::Request& request = exchange.request();
  base::RequestId id(std::string(request.headers.Find("X-Request-Id")));
  constexpr size_t kMaxIdBytes = 128;
  if (id.empty() || id.value().size() > kMaxIdBytes) {
    id = base::RequestId(base::RandomHexId());
  }
  absl::StatusOr<IncomingRequest> incoming = ParseRequest(request);
  if (!incoming.ok()) {
    co_await RespondWithError(exchange, id, incoming.status(), Ran::kNo, 0);
    co_return;
  }
  incoming->work.id = id;
  incoming->work.longest_run = LongestRun(request, *incoming);
  const absl::Status taken = dispatcher_.CheckStop(incoming->work);
  if (!taken.ok()) {
    co_await RespondWithError(exchange, id, taken, Ran::kNo, 0);
    co_return;
  }
  if (incoming->pool_kind == config::PoolKind::kService) {
    co_await RelayServiceCall(exchange, *std::move(incoming));
  } else if (request.headers.Has("Last-Event-ID")) {
    co_await ResumeGeneration(exchange, *std::move(incoming));
  } else {
    co_await RelayGeneration(exchange, *std::move(incoming));
  }
}

bool RequestHandler::IsStream(const IncomingRequest& incoming) {
  return incoming.wants_stream &&
         incoming.work.route.delivery == config::Delivery::kStream;
}

Millis RequestHandler::LongestRun(const http::Request& request,
                                  const IncomingRequest& incoming) const {
  if (incoming.pool_kind == config::PoolKind::kService) {
    return tuning_.request_timeout;
  }
  // From its first token on, a stream can be resumed at another daemon.
  if (IsStream(incoming) || request.headers.Has("Last-Event-ID")) {
    return tuning_.first_token_timeout;
  }
  if (incoming.max_tokens <= base::Tokens(0)) {
    return tuning_.request_timeout;
  }
  // More tokens than that take longer than any request may.
  const int64_t tokens =
      std::min(incoming.max_tokens.count(), tuning_.request_timeout.count());
  return tuning_.first_token_timeout + kLongestTokenTime * tokens;
}

Task<void> RequestHandler::RelayGeneration(http::Exchange& exchange,
                                           IncomingRequest incoming) {
  if (IsStream(incoming)) {
    co_await StreamGeneration(exchange, std::move(incoming));
  } else {
    co_await BufferGeneration(exchange, std::move(incoming));
  }
}

relay::GenerationCall RequestHandler::MakeGenerationCall(
    const IncomingRequest& incoming) const {
  relay::GenerationCall call;
  call.work = incoming.work;
  call.prompt = incoming.prompt;
  call.max_tokens = incoming.max_tokens;
  call.parts = MakeParts(incoming.work, incoming.prompt);
  return call;
}

Task<void> RequestHandler::StreamGeneration(http::Exchange& exchange,
                                            IncomingRequest incoming) {
  bool started = false;
  std::string sealed_token;
  const base::RequestId& id = incoming.work.id;
  relay::TokenSink sink =
      [&](const ResumePoint& point,
          const std::vector<upstream::Token>& tokens) -> Task<absl::Status> {
    if (!started) {
      started = true;
      sealed_token = resume_tokens_.Seal(point);
      const http::Response head = EventStreamHead(id);
      absl::Status written = co_await exchange.StartStream(head);
      if (!written.ok()) {
        co_return written;
      }
    }
    std::string events;
    for (const upstream::Token& token : tokens) {
      events += FormatTokenEvent(sealed_token, token);
    }
    co_return co_await exchange.Write(events);
  };
  relay::GenerationCall call = MakeGenerationCall(incoming);
  const relay::RelayResult result =
      co_await generation_relay_.Run(std::move(call), sink, [] {});
  if (result.status.ok()) {
    if (!started) {
      const http::Response head = EventStreamHead(id);
      co_await exchange.StartStream(head);
    }
    co_await exchange.Write("data: [DONE]\n\n");
    co_await exchange.Finish();
    RecordCompletion(incoming, result.tokens);
  } else if (!started) {
    co_await RespondWithError(exchange, id, result.status, result.ran,
                              ComputeRetryAfter(result.status, incoming.work));
  } else if (base::KindOf(result.status) != ErrorKind::kConnectionLost) {
    const json problem = ProblemDetails(result.status, result.ran);
    const std::string event =
        absl::StrCat("event: error\ndata: ", DumpJson(problem), "\n\n");
    co_await exchange.Write(event);
    co_await exchange.Finish();
    if (base::KindOf(result.status) != ErrorKind::kDraining) {
      Emit(Event::kGenerationLost,
           {{"request", id.value()},
            {"organisation", incoming.work.organisation.value()}});
    }
  }
  LogIfCut(incoming, result.status, result.ran, started);
}

Task<void> RequestHandler::BufferGeneration(http::Exchange& exchange,
                                            IncomingRequest incoming) {
  std::string text;
  bool too_large = false;
  relay::TokenSink sink =
      [&](const ResumePoint&,
          const std::vector<upstream::Token>& tokens) -> Task<absl::Status> {
    for (const upstream::Token& token : tokens) {
      text += token.text;
    }
    too_large = text.size() > kMaxBufferedBytes;
    co_return too_large
        ? MakeError(ErrorKind::kTooLarge, "the answer exceeds the size limit",
                    "request the answer as a stream")
        : absl::OkStatus();
  };
  relay::GenerationCall call = MakeGenerationCall(incoming);
  call.restartable = true;
  const relay::RelayResult result = co_await generation_relay_.Run(
      std::move(call), sink, [&text] { text.clear(); });
  const base::RequestId& id = incoming.work.id;
  if (!result.status.ok()) {
    const absl::Status status =
        too_large ? MakeError(ErrorKind::kTooLarge,
                              "the answer exceeds the size limit",
                              "request the answer as a stream")
                  : result.status;
    LogIfCut(incoming, status, result.ran, false);
    co_await RespondWithError(exchange, id, status, result.ran,
                              ComputeRetryAfter(status, incoming.work));
    co_return;
  }
  const json body = {
      {"id", id.value()},
      {"object", "text_completion"},
      {"choices", {{{"index", 0}, {"text", text}, {"finish_reason", "stop"}}}},
      {"usage",
       {{"prompt_tokens", incoming.work.prompt_tokens},
        {"completion_tokens", result.tokens}}}};
  if (incoming.wants_stream) {
    // The caller asked for a stream, but the route delivers complete answers.
    const http::Response head = EventStreamHead(id);
    co_await exchange.StartStream(head);
    const std::string event =
        absl::StrCat("data: ", DumpJson(body), "\n\ndata: [DONE]\n\n");
    co_await exchange.Write(event);
    co_await exchange.Finish();
  } else {
    http::Response response = http::JsonResponse(200, DumpJson(body));
    response.headers.Add("X-Request-Id", id.value());
    co_await exchange.Respond(std::move(response));
  }
  RecordCompletion(incoming, result.tokens);
}

Task<void> RequestHandler::ResumeGeneration(http::Exchange& exchange,
                                            IncomingRequest incoming) {
  const base::RequestId& id = incoming.work.id;
  const std::optional<LastEvent> last_event =
      ParseLastEvent(exchange.request().headers.Find("Last-Event-ID"));
  absl::StatusOr<ResumePoint> point =
      last_event ? resume_tokens_.Open(last_event->token)
                 : MakeError(ErrorKind::kUnauthorised,
                             "the Last-Event-ID header is malformed",
                             "send the id of the last event received");
  if (point.ok() && point->organisation != incoming.work.organisation) {
    point = MakeError(ErrorKind::kUnauthorised,
                      "the stream belongs to another organisation",
                      "resume with the organisation that started it");
  }
  if (!point.ok()) {
    co_await RespondWithError(exchange, id, point.status(), Ran::kNo, 0);
    co_return;
  }
  bool started = false;
  relay::TokenSink sink =
      [&](const ResumePoint&,
          const std::vector<upstream::Token>& tokens) -> Task<absl::Status> {
    if (!started) {
      started = true;
      const http::Response head = EventStreamHead(id);
      absl::Status written = co_await exchange.StartStream(head);
      if (!written.ok()) {
        co_return written;
      }
    }
    std::string events;
    for (const upstream::Token& token : tokens) {
      events += FormatTokenEvent(last_event->token, token);
    }
    co_return co_await exchange.Write(events);
  };
  const relay::RelayResult result = co_await generation_relay_.Resume(
      incoming.work, *std::move(point), last_event->index + 1, sink);
  if (result.status.ok()) {
    if (!started) {
      const http::Response head = EventStreamHead(id);
      co_await exchange.StartStream(head);
    }
    co_await exchange.Write("data: [DONE]\n\n");
    co_await exchange.Finish();
    RecordCompletion(incoming, result.tokens);
  } else if (!started) {
    co_await RespondWithError(exchange, id, result.status, result.ran, 0);
  } else {
    const json problem = ProblemDetails(result.status, result.ran);
    const std::string event =
        absl::StrCat("event: error\ndata: ", DumpJson(problem), "\n\n");
    co_await exchange.Write(event);
    co_await exchange.Finish();
  }
  LogIfCut(incoming, result.status, result.ran, started);
}

Task<void> RequestHandler::RelayServiceCall(http::Exchange& exchange,
                                            IncomingRequest incoming) {
  const http::Request& request = exchange.request();
  relay::ServiceCall call;
  call.work = incoming.work;
  call.method = request.method;
  call.target = request.target;
  call.content_type = std::string(request.headers.Find("Content-Type"));
  call.body = request.body;
  call.key = std::string(request.headers.Find("Idempotency-Key"));
  relay::ServiceResult result = co_await service_relay_.Run(std::move(call));
  const base::RequestId& id = incoming.work.id;
  if (!result.response.ok()) {
    LogIfCut(incoming, result.response.status(), result.ran, false);
    co_await RespondWithError(
        exchange, id, result.response.status(), result.ran,
        ComputeRetryAfter(result.response.status(), incoming.work));
    co_return;
  }
  http::Response response;
  response.status = result.response->status;
  for (const http::Header& line : result.response->headers.lines()) {
    // Connection and framing headers apply to a single connection; the others
    // are set below.
    static constexpr std::array<std::string_view, 4> kConnectionHeaders = {
        "connection", "transfer-encoding", "content-length", "keep-alive"};
    std::string name = line.name;
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const bool skipped =
        std::find(kConnectionHeaders.begin(), kConnectionHeaders.end(), name) !=
            kConnectionHeaders.end() ||
        name == "x-request-id" || name == "x-ran";
    if (!skipped) {
      response.headers.Add(line.name, line.value);
    }
  }
  response.headers.Add("X-Request-Id", id.value());
  response.headers.Add("X-Ran", std::string(base::ToString(result.ran)));
  if (result.replayed) {
    response.headers.Add("Idempotent-Replayed", "true");
  }
  response.body = std::move(result.response->body);
  co_await exchange.Respond(std::move(response));
  RecordCompletion(incoming, 0);
}

Task<void> RequestHandler::RespondWithError(http::Exchange& exchange,
                                            const base::RequestId& id,
                                            absl::Status status,
                                            Ran ran,
                                            int64_t retry_after_s) {
  const ErrorKind kind = base::KindOf(status);
  const std::string name(base::ToString(kind));
  metrics_.AddRejection(name);
  Emit(ran == Ran::kNo ? Event::kRequestRefused : Event::kRequestFailed,
       {{"request", id.value()},
        {"organisation",
         std::string(exchange.request().headers.Find("X-Organisation"))},
        {"kind", name},
        {"ran", std::string(base::ToString(ran))},
        {"reason", std::string(status.message())}});
  dispatcher_.explanations().AddLine(
      id, absl::StrCat("ended: ", name, ": ", status.message()));
  http::Response response;
  response.status = StatusCodeOf(kind, ran);
  response.headers.Add("Content-Type", "application/problem+json");
  response.headers.Add("X-Request-Id", id.value());
  if (kind == ErrorKind::kDraining && ran == Ran::kNo) {
    retry_after_s = kRetryElsewhereSeconds;
  }
  if (retry_after_s > 0) {
    response.headers.Add("Retry-After", absl::StrCat(retry_after_s));
  }
  response.body = DumpJson(ProblemDetails(status, ran));
  co_await exchange.Respond(std::move(response));
}

void RequestHandler::LogIfCut(const IncomingRequest& incoming,
                              const absl::Status& status,
                              Ran ran,
                              bool answering) {
  if (base::KindOf(status) != ErrorKind::kDraining || ran == Ran::kNo) {
    return;
  }
  Emit(Event::kRequestCut,
       {{"request", incoming.work.id.value()},
        {"organisation", incoming.work.organisation.value()},
        {"age_ms", absl::StrCat((clock_.Now() - incoming.received_at).count())},
        {"answering", answering ? "1" : "0"}});
}

int64_t RequestHandler::ComputeRetryAfter(
    const absl::Status& status,
    const routing::PlacementRequest& work) const {
  switch (base::KindOf(status)) {
    case ErrorKind::kOverloaded:
    case ErrorKind::kNoUpstream:
    case ErrorKind::kClaimUnavailable:
    case ErrorKind::kInProgress:
      return dispatcher_.RetryAfterSeconds(work);
    default:
      return 0;
  }
}

void RequestHandler::RecordCompletion(const IncomingRequest& incoming,
                                      int64_t tokens) {
  const routing::PlacementRequest& work = incoming.work;
  dispatcher_.explanations().AddLine(
      work.id, absl::StrCat("ended: whole answer, ", tokens, " tokens"));
  Emit(Event::kRequestDone,
       {{"request", work.id.value()},
        {"organisation", work.organisation.value()},
        {"route", work.route.name.value()},
        {"tokens", absl::StrCat(tokens)},
        {"ms", absl::StrCat((clock_.Now() - incoming.received_at).count())}});
}

}  // namespace dandelion::entry
