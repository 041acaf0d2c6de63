#include "upstream/engine_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"

namespace dandelion::upstream {
namespace {

using base::ErrorKind;
using base::Millis;
using base::Task;
using nlohmann::json;

constexpr Millis kConnectTimeout(500);
constexpr Millis kHeadTimeout(2000);
constexpr Millis kControlTimeout(500);
// A stream with a longer event is invalid.
constexpr size_t kMaxEventBytes = 1024 * 1024;

absl::Status BadAnswerError(std::string_view description) {
  return base::MakeError(ErrorKind::kBadAnswer, description,
                         "check that the engine's version is supported");
}

/// Parses the tokens of a stream of server-sent events.
class EventParser {
 public:
  // Parses the events that end within `bytes` into `batch` and keeps an
  // incomplete event for the next call.
  absl::Status ParseBytes(std::string_view bytes, TokenBatch* batch) {
    pending_.append(bytes);
    size_t start = 0;
    for (;;) {
      const size_t end = pending_.find("\n\n", start);
      if (end == std::string::npos) {
        break;
      }
      const std::string_view event(pending_.data() + start, end - start);
      if (absl::Status status = ParseEvent(event, batch); !status.ok()) {
        return status;
      }
      start = end + 2;
    }
    pending_.erase(0, start);
    if (pending_.size() > kMaxEventBytes) {
      return BadAnswerError("a stream event exceeds the size limit");
    }
    return absl::OkStatus();
  }

 private:
  static absl::Status ParseEvent(std::string_view event, TokenBatch* batch) {
    std::string_view id;
    std::string_view data;
    while (!event.empty()) {
      const size_t end = event.find('\n');
      const std::string_view line = event.substr(0, end);
      if (line == "event: done") {
        batch->done = true;
        return absl::OkStatus();
      }
      if (line.starts_with("id: ")) {
        id = line.substr(4);
      } else if (line.starts_with("data: ")) {
        data = line.substr(6);
      }
      event = end == std::string_view::npos ? std::string_view()
                                            : event.substr(end + 1);
    }
    Token token;
    if (!absl::SimpleAtoi(absl::string_view(id.data(), id.size()),
                          &token.index)) {
      return BadAnswerError("a stream event has no numeric id");
    }
    const json body = json::parse(data, nullptr, false);
    if (!body.is_object() || !body.contains("text") ||
        !body.at("text").is_string()) {
      return BadAnswerError("the data of a stream event has no text field");
    }
    token.text = body.at("text").get<std::string>();
    batch->tokens.push_back(std::move(token));
    return absl::OkStatus();
  }

  std::string pending_;
};

class HttpGenerationStream : public GenerationStream {
 public:
  HttpGenerationStream(std::unique_ptr<http::Connection> connection,
                       std::unique_ptr<http::GroupMember> member,
                       base::Incarnation incarnation)
      : connection_(std::move(connection)),
        member_(std::move(member)),
        incarnation_(std::move(incarnation)) {}

  Task<absl::StatusOr<TokenBatch>> ReadNext(Millis timeout) override {
    TokenBatch batch;
    const base::Clock clock = base::Clock::Monotonic();
    const Millis end = clock.Now() + timeout;
    while (batch.tokens.empty() && !batch.done) {
      const Millis left = end - clock.Now();
      if (left <= Millis(0)) {
        co_return base::MakeError(ErrorKind::kTimeout,
                                  "no stream event was complete in time",
                                  "check the engine's state");
      }
      const absl::StatusOr<std::string_view> bytes =
          co_await connection_->ReadSome(left);
      if (!bytes.ok()) {
        co_return bytes.status();
      }
      if (bytes->empty()) {
        co_return BadAnswerError("the stream ended without its final event");
      }
      if (absl::Status parsed = parser_.ParseBytes(*bytes, &batch);
          !parsed.ok()) {
        co_return parsed;
      }
    }
    co_return batch;
  }

  const base::Incarnation& incarnation() const override { return incarnation_; }

 private:
  std::unique_ptr<http::Connection> connection_;
  std::unique_ptr<http::GroupMember> member_;
  base::Incarnation incarnation_;
  EventParser parser_;
};

admission::UpstreamReport ParseReport(const json& body) {
  admission::UpstreamReport report;
  report.reachable = true;
  report.incarnation =
      base::Incarnation(body.value("incarnation", "unreported"));
  report.running = body.value("running", int64_t{0});
  report.waiting = body.value("waiting", int64_t{0});
  report.memory_used = body.value("memory_used", int64_t{0});
  report.memory_total = body.value("memory_total", int64_t{0});
  report.preemptions = body.value("preemptions", int64_t{0});
  report.cold = body.value("cold", false);
  report.leaving = body.value("leaving", false);
  return report;
}

}  // namespace

EngineClient::EngineClient(http::Client& client,
                           http::ConnectionGroup& streams,
                           base::HostId self)
    : client_(client), streams_(streams), self_(std::move(self)) {}

Task<OpenResult> EngineClient::Start(Endpoint engine,
                                     GenerationRequest request) {
  json body = {{"id", request.id.value()},
               {"prompt", std::move(request.prompt)},
               {"prompt_tokens", request.prompt_tokens.count()},
               {"priority", request.priority}};
  if (request.max_tokens > base::Tokens(0)) {
    body["max_tokens"] = request.max_tokens.count();
  }
  http::Request message;
  message.method = "POST";
  message.target = "/v1/generations";
  message.headers.Add("Content-Type", "application/json");
  message.headers.Add("X-Request-Id", request.request.value());
  message.body = body.dump();
  co_return co_await OpenStream(engine, std::move(message));
}

Task<OpenResult> EngineClient::Resume(Endpoint engine,
                                      base::GenerationId id,
                                      int64_t from) {
  http::Request message;
  message.target = absl::StrCat("/v1/generations/", id.value(), "?from=", from);
  message.headers.Add("X-Request-Id", id.value());
  co_return co_await OpenStream(engine, std::move(message));
}

Task<OpenResult> EngineClient::OpenStream(Endpoint engine,
                                          http::Request request) {
  const std::string request_id(request.headers.Find("X-Request-Id"));
  request.headers.Add("X-Daemon", self_.value());
  absl::StatusOr<std::unique_ptr<http::Connection>> connection =
      co_await http::Connect(engine, kConnectTimeout);
  if (!connection.ok()) {
    co_return OpenResult{connection.status()};
  }
  OpenResult result;
  auto member = std::make_unique<http::GroupMember>(&streams_, **connection);
  if (member->closed()) {
    result.stream =
        base::MakeError(ErrorKind::kConnectionLost, "the connection was closed",
                        "send the request again");
    co_return result;
  }
  const absl::Status sent = co_await (*connection)->Send(request, kHeadTimeout);
  result.may_have_been_sent = (*connection)->MayHaveBeenSent();
  if (!sent.ok()) {
    result.stream = sent;
    co_return result;
  }
  const absl::StatusOr<http::Response> head =
      co_await (*connection)->ReadHead(kHeadTimeout);
  if (!head.ok()) {
    result.stream = head.status();
    co_return result;
  }
  constexpr int kNotFound = 404;
  constexpr int kOk = 200;
  constexpr int kUnavailable = 503;
  if (head->status != kOk) {
    result.unknown_generation = head->status == kNotFound;
    result.rejected = !result.unknown_generation;
    if (head->status == kUnavailable) {
      result.pause = http::FindRetryAfter(head->headers);
    }
    result.stream = base::MakeError(
        ErrorKind::kOverloaded,
        absl::StrCat("the engine answered with status ", head->status),
        "check the engine's state and its slots in the tables");
    co_return result;
  }
  if (head->headers.Find("X-Request-Id") != request_id) {
    result.stream = BadAnswerError("the response belongs to another request");
    co_return result;
  }
  base::Incarnation incarnation(
      std::string(head->headers.Find("X-Engine-Incarnation")));
  result.stream = std::make_unique<HttpGenerationStream>(
      *std::move(connection), std::move(member), std::move(incarnation));
  co_return result;
}

Task<void> EngineClient::Cancel(Endpoint engine, base::GenerationId id) {
  http::Request message;
  message.method = "DELETE";
  message.target = absl::StrCat("/v1/generations/", id.value());
  http::FetchLimits limits;
  limits.response_timeout = kControlTimeout;
  limits.total_timeout = kControlTimeout;
  co_await client_.Fetch(engine, std::move(message), limits);
}

Task<absl::StatusOr<admission::UpstreamReport>> EngineClient::FetchLoadReport(
    Endpoint upstream) {
  http::Request message;
  message.target = "/v1/load";
  http::FetchLimits limits;
  limits.connect_timeout = kControlTimeout;
  limits.response_timeout = kControlTimeout;
  limits.total_timeout = kControlTimeout;
  http::FetchResult result =
      co_await client_.Fetch(upstream, std::move(message), limits);
  if (!result.response.ok()) {
    co_return result.response.status();
  }
  json body = json::parse(result.response->body, nullptr, false);
  if (!body.is_object()) {
    body = json::object();
  }
  try {
    co_return ParseReport(body);
  } catch (const json::exception& error) {
    co_return BadAnswerError(error.what());
  }
}

}  // namespace dandelion::upstream
