#include "test/support.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "absl/strings/str_cat.h"
#include "http/server.h"
#include "membership/transport.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;

constexpr int kHosts = 4;
constexpr int kEngines = 4;
constexpr char kOperatorToken[] = "0123456789abcdef";

std::string DataCentreForIndex(int index) {
  return index <= 2 ? "dc-a" : "dc-b";
}

http::Request MakeRequest(const Call& call) {
  http::Request request;
  request.method = call.body.empty() ? "GET" : "POST";
  request.target = call.path;
  request.headers.Add("X-Organisation", call.organisation);
  if (!call.label.empty()) {
    request.headers.Add("X-Label", call.label);
  }
  if (!call.timeout_ms.empty()) {
    request.headers.Add("X-Timeout-Ms", call.timeout_ms);
  }
  if (!call.key.empty()) {
    request.headers.Add("Idempotency-Key", call.key);
  }
  if (!call.last_id.empty()) {
    request.headers.Add("Last-Event-ID", call.last_id);
  }
  request.body = call.body;
  return request;
}

// Parses an event of a stream and adds it to the answer.
void ParseEvent(const std::string& event, Answer* answer) {
  std::string data;
  bool is_error = false;
  size_t start = 0;
  while (start < event.size()) {
    const size_t end = std::min(event.find('\n', start), event.size());
    const std::string line = event.substr(start, end - start);
    if (line.starts_with("id: ")) {
      answer->last_id = line.substr(4);
    } else if (line.starts_with("data: ")) {
      data = line.substr(6);
    } else if (line == "event: error") {
      is_error = true;
    }
    start = end + 1;
  }
  if (data == "[DONE]") {
    answer->done = true;
  } else if (is_error) {
    answer->error_kind = Json::parse(data).at("kind");
  } else {
    answer->tokens.push_back(Json::parse(data).at("choices").at(0).at("text"));
  }
}

// Parses the complete events at the start of `pending` and removes them.
void ParseEvents(std::string* pending, Answer* answer) {
  size_t end = 0;
  while ((end = pending->find("\n\n")) != std::string::npos) {
    ParseEvent(pending->substr(0, end), answer);
    pending->erase(0, end + 2);
  }
}

void ParseCompleteAnswer(Answer* answer) {
  const Json body = Json::parse(answer->body, nullptr, false);
  if (body.is_object()) {
    answer->ran = body.value("ran", answer->ran);
    answer->error_kind = body.value("kind", "");
  }
  answer->done = answer->status < 400;
}

}  // namespace

Call MakeCompletion(const std::string& nonce, int tokens, bool stream) {
  Call call;
  call.stream = stream;
  call.body = Json({{"prompt", absl::StrCat("[[nonce=", nonce,
                                            "]][[tokens=", tokens, "]]")},
                    {"stream", stream}})
                  .dump();
  return call;
}

Call MakeRegistration(const std::string& key) {
  Call call;
  call.path = "/formulas";
  call.key = key;
  call.body = Json({{"key", key}}).dump();
  return call;
}

Fleet::Fleet(const Json& engine_options, const Json& tuning) {
  const int pid = getpid();
  ip_ = absl::StrCat("127.", 1 + pid / 62500 % 250, ".", 1 + pid / 250 % 250,
                     ".", 1 + pid % 250);
  platform_ = absl::StrCat(ip_, ":9000");
  directory_ = std::filesystem::temp_directory_path() /
               absl::StrCat("dandelion-test-", pid);
  std::filesystem::create_directories(directory_);
  Json hosts = Json::array();
  for (int i = 1; i <= kHosts; ++i) {
    hosts.push_back({{"id", absl::StrCat("host-", i)}});
  }
  for (int i = 1; i <= kEngines; ++i) {
    hosts.push_back({{"id", absl::StrCat("engine-", i)}});
  }
  AddStandin("platform", "platform", 9000, {{"hosts", hosts}});
  for (int i = 1; i <= kEngines; ++i) {
    Json options = {{"id", absl::StrCat("engine-", i)},
                    {"slots", 8},
                    {"cold_slots", 2},
                    {"warming_ms", 600}};
    options.update(engine_options);
    AddStandin(absl::StrCat("engine-", i), "engine", 9100 + i, options);
  }
  AddStandin("archive-1", "service", 9201, {{"id", "archive-1"}});
  const auto keys = membership::ZmqTransport::GenerateKeys();
  const std::string keys_json = Json({{"peer_public", keys.public_key},
                                      {"peer_secret", keys.secret_key},
                                      {"resume", std::string(64, 'a')},
                                      {"operator_token", kOperatorToken}})
                                    .dump();
  for (int i = 1; i <= kHosts; ++i) {
    AddDaemon(i, keys_json, tuning);
  }
  for (const auto& [name, process] : processes_) {
    Start(name);
  }
}

Fleet::~Fleet() {
  for (auto& [name, process] : processes_) {
    if (process.pid > 0) {
      kill(process.pid, SIGKILL);
      waitpid(process.pid, nullptr, 0);
    }
  }
  std::filesystem::remove_all(directory_);
}

void Fleet::AddStandin(const std::string& name,
                       const std::string& role,
                       int port,
                       Json options) {
  addresses_[name] = absl::StrCat(ip_, ":", port);
  processes_[name].command = {DANDELION_BUILD "/standin", role,
                              addresses_[name], options.dump()};
}

void Fleet::AddDaemon(int index, const std::string& keys, const Json& tuning) {
  const std::string name = absl::StrCat("host-", index);
  Json peers = Json::array();
  for (int i = 1; i <= kHosts; ++i) {
    if (i != index) {
      peers.push_back({{"id", absl::StrCat("host-", i)},
                       {"data_centre", DataCentreForIndex(i)},
                       {"address", absl::StrCat(ip_, ":", 8200 + i)}});
    }
  }
  addresses_[name] = absl::StrCat(ip_, ":", 8000 + index);
  admin_addresses_[name] = absl::StrCat(ip_, ":", 8100 + index);
  Json all_tuning = {{"drain_notice_ms", 200},
                     {"request_timeout_ms", 20'000},
                     {"stall_timeout_ms", 500}};
  all_tuning.update(tuning);
  const Json settings = {{"id", name},
                         {"data_centre", DataCentreForIndex(index)},
                         {"listen", addresses_[name]},
                         {"admin", admin_addresses_[name]},
                         {"peer", absl::StrCat(ip_, ":", 8200 + index)},
                         {"platform", platform_},
                         {"peers", peers},
                         {"keys", Json::parse(keys)},
                         {"tuning", all_tuning}};
  const std::string path = absl::StrCat(directory_, "/", name, ".json");
  std::ofstream(path) << settings.dump();
  processes_[name].command = {DANDELION_BUILD "/dandeliond", "--settings",
                              path};
}

pid_t Fleet::Launch(const std::vector<std::string>& command,
                    const std::string& log) {
  std::vector<char*> arguments;
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  pid_t pid = -1;
  const int spawn_error = posix_spawn(&pid, arguments[0], &actions, nullptr,
                                      arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (spawn_error != 0) {
    throw std::runtime_error("cannot start " + command[0]);
  }
  return pid;
}

void Fleet::Start(const std::string& name) {
  Process& process = processes_.at(name);
  process.pid =
      Launch(process.command, absl::StrCat(directory_, "/", name, ".log"));
}

void Fleet::Signal(const std::string& name, int signal) {
  kill(processes_.at(name).pid, signal);
  if (signal == SIGKILL) {
    Wait(name);
  }
}

int Fleet::Wait(const std::string& name) {
  Process& process = processes_.at(name);
  int status = 0;
  waitpid(std::exchange(process.pid, -1), &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int Fleet::RunDandelionctl(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), DANDELION_BUILD "/dandelionctl");
  arguments.insert(arguments.end(), {"--platform", platform_});
  const pid_t pid =
      Launch(arguments, absl::StrCat(directory_, "/dandelionctl.log"));
  int status = 0;
  waitpid(pid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void Fleet::PublishTablesAndWait() {
  Json engines = Json::array();
  for (int i = 1; i <= kEngines; ++i) {
    const std::string name = absl::StrCat("engine-", i);
    engines.push_back({{"id", name},
                       {"address", addresses_[name]},
                       {"data_centre", DataCentreForIndex(i)},
                       {"slots", 8},
                       {"cold_slots", 2}});
  }
  const Json archive = {{"id", "archive-1"},
                        {"address", addresses_["archive-1"]},
                        {"data_centre", "dc-a"},
                        {"slots", 16},
                        {"cold_slots", 4}};
  const Json tables = {
      {"routes",
       {{{"name", "draft"},
         {"match", {{"path", "/v1/completions"}}},
         {"pool", "writers"}},
        {{"name", "check"},
         {"match", {{"path", "/v1/completions"}, {"label", "short"}}},
         {"pool", "writers"},
         {"class", "short"},
         {"deliver", "whole"}},
        {{"name", "register"},
         {"match", {{"path", "/formulas"}}},
         {"pool", "archive"},
         {"class", "short"},
         {"idempotent", false}}}},
      {"pools",
       {{{"name", "writers"}, {"kind", "engine"}, {"upstreams", engines}},
        {{"name", "archive"},
         {"kind", "service"},
         {"upstreams", Json::array({archive})}}}}};
  const std::string path = absl::StrCat(directory_, "/tables.json");
  std::ofstream(path) << tables.dump();
  if (!RunUntil([&] { return RunDandelionctl({"publish", path}) == 0; })) {
    throw std::runtime_error("publishing the tables failed");
  }
  const bool all_ready = RunUntil(
      [this] {
        for (int i = 1; i <= kHosts; ++i) {
          const Json status = GetStatus(absl::StrCat("host-", i));
          if (!status.value("ready", false)) {
            return false;
          }
          for (const Json& upstream : status.at("upstreams")) {
            const bool local =
                upstream.at("data_centre") == DataCentreForIndex(i);
            if (local && upstream.at("state") != "warm") {
              return false;
            }
          }
          for (const Json& peer : status.at("peers")) {
            if (!peer.at("up").get<bool>()) {
              return false;
            }
          }
        }
        return true;
      },
      Millis(20'000));
  if (!all_ready) {
    throw std::runtime_error("the fleet did not become ready");
  }
}

template <typename T>
T Fleet::Await(Task<T> task) {
  std::optional<T> result;
  const auto run_task = [&](Task<T> inner) -> Task<void> {
    result = co_await std::move(inner);
  };
  base::Spawn(context_.get_executor(), run_task(std::move(task)));
  RunUntil([&] { return result.has_value(); }, Millis(60'000));
  return std::move(result).value();
}

void Fleet::InjectFault(const std::string& name, const Json& fault) {
  http::Request request;
  request.method = "POST";
  request.target = "/fault";
  request.body = fault.dump();
  boost::asio::ip::tcp::endpoint endpoint;
  http::ParseEndpoint(addresses_.at(name), &endpoint);
  http::Client client;
  const http::FetchResult result =
      Await(client.Fetch(endpoint, request, http::FetchLimits()));
  if (!result.response.ok()) {
    throw std::runtime_error("the stand-in did not accept the fault");
  }
}

Json Fleet::GetJson(const std::string& name, const std::string& path) {
  http::Request request;
  request.target = path;
  boost::asio::ip::tcp::endpoint endpoint;
  const auto admin = admin_addresses_.find(name);
  http::ParseEndpoint(
      admin == admin_addresses_.end() ? addresses_.at(name) : admin->second,
      &endpoint);
  http::Client client;
  const http::FetchResult result =
      Await(client.Fetch(endpoint, request, http::FetchLimits()));
  return result.response.ok()
             ? Json::parse(result.response->body, nullptr, false)
             : Json::object();
}

Json Fleet::GetEvents(const std::string& name) {
  return GetJson(name, "/record");
}

void Fleet::DrainByOperator(const std::string& host) {
  http::Request request;
  request.method = "POST";
  request.target = "/drain";
  request.headers.Add("Authorization", absl::StrCat("Bearer ", kOperatorToken));
  boost::asio::ip::tcp::endpoint endpoint;
  http::ParseEndpoint(admin_addresses_.at(host), &endpoint);
  http::Client client;
  const http::FetchResult result =
      Await(client.Fetch(endpoint, request, http::FetchLimits()));
  if (!result.response.ok() || result.response->status != 202) {
    throw std::runtime_error("the daemon did not accept the drain");
  }
}

Json Fleet::GetStatus(const std::string& host) {
  return GetJson(host, "/status");
}

Task<Answer> Fleet::Send(std::string host, Call call) {
  constexpr Millis kTimeout(30'000);
  Answer answer;
  boost::asio::ip::tcp::endpoint endpoint;
  http::ParseEndpoint(addresses_.at(host), &endpoint);
  absl::StatusOr<std::unique_ptr<http::Connection>> connection =
      co_await http::Connect(endpoint, Millis(1000));
  if (!connection.ok()) {
    co_return answer;
  }
  const http::Request request = MakeRequest(call);
  const absl::Status sent = co_await (*connection)->Send(request, kTimeout);
  if (!sent.ok()) {
    co_return answer;
  }
  const absl::StatusOr<http::Response> head =
      co_await (*connection)->ReadHead(kTimeout);
  if (!head.ok()) {
    co_return answer;
  }
  const bool is_event_stream =
      head->headers.Find("Content-Type") == "text/event-stream";
  answer.ran = std::string(head->headers.Find("X-Ran"));
  for (;;) {
    const absl::StatusOr<std::string_view> bytes =
        co_await (*connection)->ReadSome(kTimeout);
    if (!bytes.ok()) {
      break;
    }
    if (bytes->empty()) {
      answer.status = head->status;
      break;
    }
    answer.body.append(*bytes);
    if (is_event_stream) {
      ParseEvents(&answer.body, &answer);
      if (call.on_token) {
        call.on_token(answer.tokens.size());
      }
    }
  }
  if (!is_event_stream && answer.status != 0) {
    ParseCompleteAnswer(&answer);
  }
  co_return answer;
}

Answer Fleet::SendAndWait(const std::string& host, const Call& call) {
  return Await(Send(host, call));
}

void Fleet::Spawn(Task<void> task) {
  base::Spawn(context_.get_executor(), std::move(task));
}

bool Fleet::RunUntil(const std::function<bool()>& condition, Millis limit) {
  const Millis end = clock_.Now() + limit;
  while (!condition()) {
    if (clock_.Now() >= end) {
      return false;
    }
    context_.restart();
    context_.run_for(std::chrono::milliseconds(2));
    if (context_.stopped()) {
      // No task is left to run: wait instead of polling the condition in a
      // busy loop, so that other processes get CPU time.
      boost::asio::steady_timer timer(context_, std::chrono::milliseconds(5));
      timer.wait();
    }
  }
  return true;
}

int64_t Fleet::NowMs() const {
  return clock_.Now().count();
}

}  // namespace dandelion::test
