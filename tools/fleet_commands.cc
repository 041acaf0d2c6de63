#include <fmt/core.h>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/ids.h"
#include "http/client.h"
#include "http/server.h"
#include "membership/transport.h"
#include "tools/command.h"

namespace dandelion::tools {
namespace {

using base::Millis;
using base::Task;
using nlohmann::json;
using Endpoint = boost::asio::ip::tcp::endpoint;

bool ParseEndpoints(const std::string& text, std::vector<Endpoint>* endpoints) {
  for (const absl::string_view part : absl::StrSplit(text, ',')) {
    Endpoint endpoint;
    if (!http::ParseEndpoint(std::string_view(part.data(), part.size()),
                             &endpoint)) {
      fmt::print(
          stderr,
          "dandelionctl: \"{}\" is not IP:PORT\n"
          "  remedy: pass comma-separated IP:PORT addresses with --admin "
          "or --to\n",
          std::string(part));
      return false;
    }
    endpoints->push_back(endpoint);
  }
  return true;
}

std::string FormatEndpoint(const Endpoint& endpoint) {
  return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

Task<absl::StatusOr<http::Response>> FetchTarget(Endpoint endpoint,
                                                 std::string target) {
  http::Client client;
  http::Request request;
  request.target = std::move(target);
  const http::FetchLimits limits;
  http::FetchResult result =
      co_await client.Fetch(endpoint, std::move(request), limits);
  co_return std::move(result.response);
}

void PrintStatus(const json& status) {
  int64_t reachable_peers = 0;
  for (const json& peer : status.at("peers")) {
    reachable_peers += peer.at("up").get<bool>() ? 1 : 0;
  }
  fmt::print("{} {} version {} {} peers {}/{} in flight {} queued {}\n",
             status.at("host").get<std::string>(),
             status.at("data_centre").get<std::string>(),
             status.at("version").get<int64_t>(),
             status.at("readiness").get<std::string>(), reachable_peers,
             status.at("peers").size(), status.at("in_flight").get<int64_t>(),
             status.at("queued").get<int64_t>());
  for (const json& upstream : status.at("upstreams")) {
    fmt::print("  {:<16} {:<14} {:<12} leased {:>3} in flight {:>3} owner {}\n",
               upstream.at("id").get<std::string>(),
               upstream.at("data_centre").get<std::string>(),
               upstream.at("state").get<std::string>(),
               upstream.at("leased").get<int64_t>(),
               upstream.at("in_flight").get<int64_t>(),
               upstream.at("owner").get<std::string>());
  }
}

Task<ExitCode> RunStatus(const Options& options) {
  std::vector<Endpoint> endpoints;
  if (!ParseEndpoints(options.admin, &endpoints)) {
    co_return ExitCode::kUsage;
  }
  ExitCode exit_code = ExitCode::kSuccess;
  json statuses = json::array();
  for (const Endpoint& endpoint : endpoints) {
    const absl::StatusOr<http::Response> answer =
        co_await FetchTarget(endpoint, "/status");
    if (!answer.ok()) {
      fmt::print(stderr, "{}: no response: {}\n", FormatEndpoint(endpoint),
                 std::string(answer.status().message()));
      exit_code = ExitCode::kFailure;
      continue;
    }
    const json status = json::parse(answer->body);
    if (options.json) {
      statuses.push_back(status);
    } else {
      PrintStatus(status);
    }
  }
  if (options.json) {
    fmt::print("{}\n", statuses.dump(2));
  }
  co_return exit_code;
}

Task<ExitCode> RunWatch(const Options& options) {
  ExitCode exit_code = ExitCode::kSuccess;
  for (int i = 0; options.times == 0 || i < options.times; ++i) {
    if (i > 0) {
      co_await base::SleepFor(Millis(1000));
    }
    exit_code = co_await RunStatus(options);
    std::fflush(stdout);
  }
  co_return exit_code;
}

Task<ExitCode> RunExplain(const Options& options) {
  std::vector<Endpoint> endpoints;
  if (options.arguments.empty() || !ParseEndpoints(options.admin, &endpoints)) {
    fmt::print(stderr, "usage: dandelionctl explain REQUEST_ID --admin ...\n");
    co_return ExitCode::kUsage;
  }
  bool found = false;
  for (const Endpoint& endpoint : endpoints) {
    const std::string target =
        absl::StrCat("/explain?request=", options.arguments[0]);
    const absl::StatusOr<http::Response> answer =
        co_await FetchTarget(endpoint, target);
    if (!answer.ok() || answer->status != 200) {
      continue;
    }
    found = true;
    fmt::print("at {}:\n", FormatEndpoint(endpoint));
    for (const json& line : json::parse(answer->body)) {
      fmt::print("  {}\n", line.get<std::string>());
    }
  }
  if (!found) {
    fmt::print(stderr,
               "dandelionctl: no daemon has a record of this request\n");
  }
  co_return found ? ExitCode::kSuccess : ExitCode::kFailure;
}

void PrintRollout(const json& rollout) {
  fmt::print("{} {} -> {} {} share {:.2f} decided by {} {} ms ago\n",
             rollout.value("name", ""), rollout.value("pool", ""),
             rollout.value("target", ""), rollout.value("state", "undecided"),
             rollout.value("share", 0.0), rollout.value("decider", "nobody"),
             rollout.value("age_ms", int64_t{0}));
  for (const char* version : {"old_version", "target_version"}) {
    const json counts = rollout.value(version, json::object());
    fmt::print("  {:<16} sent {:>8} answered {:>8} failed {:>8}\n", version,
               counts.value("sent", int64_t{0}),
               counts.value("answered", int64_t{0}),
               counts.value("failed", int64_t{0}));
  }
}

Task<ExitCode> RunRollouts(const Options& options) {
  std::vector<Endpoint> endpoints;
  if (!ParseEndpoints(options.admin, &endpoints)) {
    co_return ExitCode::kUsage;
  }
  ExitCode exit_code = ExitCode::kSuccess;
  for (const Endpoint& endpoint : endpoints) {
    const absl::StatusOr<http::Response> answer =
        co_await FetchTarget(endpoint, "/rollouts");
    const json rollouts =
        answer.ok() ? json::parse(answer->body, nullptr, false) : json(nullptr);
    if (!rollouts.is_array()) {
      fmt::print(stderr,
                 "{}: no list of roll-outs\n  remedy: pass the addresses of "
                 "the metrics of dandeliond-platform with --admin\n",
                 FormatEndpoint(endpoint));
      exit_code = ExitCode::kFailure;
      continue;
    }
    if (options.json) {
      fmt::print("{}\n", rollouts.dump(2));
      continue;
    }
    fmt::print("at {}: {} roll-outs\n", FormatEndpoint(endpoint),
               rollouts.size());
    for (const json& rollout : rollouts) {
      PrintRollout(rollout);
    }
  }
  co_return exit_code;
}

http::Request MakeRequest(const Options& options) {
  http::Request request;
  request.target = options.path;
  request.headers.Add("X-Organisation", options.organisation);
  if (!options.label.empty()) {
    request.headers.Add("X-Label", options.label);
  }
  if (!options.key.empty()) {
    request.headers.Add("Idempotency-Key", options.key);
  }
  if (!options.prompt.empty()) {
    request.body =
        json({{"prompt", options.prompt}, {"stream", options.stream}}).dump();
  } else {
    request.body = options.body;
  }
  request.method = request.body.empty() ? "GET" : "POST";
  if (!request.body.empty()) {
    request.headers.Add("Content-Type", "application/json");
  }
  return request;
}

/// State of an event stream that may span several connections.
struct ReceivedStream {
  /// Id of the last event; the stream is resumed after it.
  std::string last_id;
  bool done = false;
  bool failed = false;
  /// The daemon is stopping; another one goes on with the stream.
  bool draining = false;
  /// Start of an event that is not complete yet.
  std::string pending;
};

// Whether `text` is the problem details of a daemon that is stopping.
bool IsDrainingProblem(std::string_view text) {
  const json problem = json::parse(text, nullptr, false);
  return problem.is_object() && problem.value("kind", "") == "draining";
}

// Prints the text of the events that `bytes` complete.
void PrintEvents(std::string_view bytes, ReceivedStream* received) {
  received->pending.append(bytes);
  size_t end = 0;
  while ((end = received->pending.find("\n\n")) != std::string::npos) {
    const std::string event = received->pending.substr(0, end);
    received->pending.erase(0, end + 2);
    bool is_error = false;
    for (const absl::string_view line : absl::StrSplit(event, '\n')) {
      const std::string text(line);
      if (text.rfind("id: ", 0) == 0) {
        received->last_id = text.substr(4);
      } else if (text == "data: [DONE]") {
        received->done = true;
      } else if (text.rfind("event: error", 0) == 0) {
        is_error = true;
      } else if (is_error && text.rfind("data: ", 0) == 0 &&
                 IsDrainingProblem(text.substr(6))) {
        received->draining = true;
      } else if (text.rfind("data: ", 0) == 0) {
        const json data = json::parse(text.substr(6), nullptr, false);
        if (data.is_object() && data.contains("choices")) {
          fmt::print("{}", data["choices"][0].value("text", ""));
        } else {
          fmt::print("{}", text.substr(6));
        }
        received->failed |= is_error;
      }
    }
  }
  std::fflush(stdout);
}

// Reads a stream from one connection. Returns true if the stream ended or the
// request was rejected, false if the stream broke off and can be resumed.
Task<bool> ReadStream(Endpoint endpoint,
                      const http::Request& request,
                      ReceivedStream& received,
                      ExitCode* exit_code) {
  constexpr Millis kTimeout(60'000);
  absl::StatusOr<std::unique_ptr<http::Connection>> connection =
      co_await http::Connect(endpoint, Millis(1000));
  if (!connection.ok()) {
    co_return false;
  }
  const absl::Status sent = co_await (*connection)->Send(request, kTimeout);
  if (!sent.ok()) {
    co_return false;
  }
  const absl::StatusOr<http::Response> head =
      co_await (*connection)->ReadHead(kTimeout);
  if (!head.ok()) {
    co_return false;
  }
  const bool rejected = head->status >= 400;
  received.draining = false;
  std::string problem;
  *exit_code = rejected ? ExitCode::kFailure : ExitCode::kSuccess;
  for (;;) {
    const absl::StatusOr<std::string_view> bytes =
        co_await (*connection)->ReadSome(kTimeout);
    if (!bytes.ok()) {
      co_return false;
    }
    if (bytes->empty()) {
      break;
    }
    if (rejected) {
      problem.append(*bytes);
    } else {
      PrintEvents(*bytes, &received);
    }
  }
  if (received.draining || IsDrainingProblem(problem)) {
    co_return false;
  }
  if (rejected) {
    fmt::print(stderr, "{}\n", problem);
  }
  if (received.failed) {
    *exit_code = ExitCode::kFailure;
  }
  co_return rejected || received.done || received.failed;
}

// Sends a request. A broken stream is resumed at the next daemon; a request
// without streaming is sent once, to the first daemon.
Task<ExitCode> RunSend(const Options& options) {
  std::vector<Endpoint> endpoints;
  if (options.organisation.empty() || !ParseEndpoints(options.to, &endpoints)) {
    fmt::print(stderr,
               "usage: dandelionctl send --to IP:PORT --organisation NAME "
               "[--prompt TEXT --stream | --path PATH --body JSON]\n");
    co_return ExitCode::kUsage;
  }
  const http::Request request = MakeRequest(options);
  ExitCode exit_code = ExitCode::kFailure;
  if (!options.stream) {
    http::Client client;
    http::FetchLimits limits;
    limits.response_timeout = Millis(600'000);
    limits.total_timeout = limits.response_timeout;
    const http::FetchResult result =
        co_await client.Fetch(endpoints[0], request, limits);
    if (!result.response.ok()) {
      fmt::print(stderr, "dandelionctl: {}\n",
                 std::string(result.response.status().message()));
      co_return ExitCode::kFailure;
    }
    fmt::print("{}\n", result.response->body);
    co_return result.response->status < 400 ? ExitCode::kSuccess
                                            : ExitCode::kFailure;
  }
  constexpr size_t kMaxAttempts = 20;
  ReceivedStream received;
  for (size_t i = 0; i < kMaxAttempts; ++i) {
    http::Request attempt = request;
    if (!received.last_id.empty()) {
      attempt.headers.Add("Last-Event-ID", received.last_id);
      received.pending.clear();
    }
    const Endpoint& endpoint = endpoints[i % endpoints.size()];
    const bool ended =
        co_await ReadStream(endpoint, attempt, received, &exit_code);
    if (ended) {
      break;
    }
    exit_code = ExitCode::kFailure;
    co_await base::SleepFor(Millis(200));
  }
  fmt::print("\n");
  co_return exit_code;
}

Task<ExitCode> RunKeys(const Options&) {
  const membership::ZmqTransport::Keys keys =
      membership::ZmqTransport::GenerateKeys();
  const json out = {{"peer_public", keys.public_key},
                    {"peer_secret", keys.secret_key},
                    {"resume", base::RandomHexId() + base::RandomHexId()},
                    {"operator_token", base::RandomHexId()}};
  fmt::print("{}\n", out.dump(2));
  co_return ExitCode::kSuccess;
}

}  // namespace

std::vector<Command> FleetCommands() {
  return {
      {"status", "", "print the status of daemons (--admin)", RunStatus},
      {"watch", "", "print the status every second (--admin, --times)",
       RunWatch},
      {"explain", "REQUEST_ID",
       "print the decisions made for a request (--admin)", RunExplain},
      {"rollouts", "",
       "print the roll-outs of dandeliond-platform (--admin: its metrics)",
       RunRollouts},
      {"send", "", "send a request as a caller (--to, --organisation)",
       RunSend},
      {"keys", "", "generate keys for the settings files", RunKeys},
  };
}

}  // namespace dandelion::tools
