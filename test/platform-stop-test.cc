#include <catch2/catch.hpp>

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>

#include "test/fake-store.h"

extern char** environ;

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;
using boost::asio::ip::tcp;
using nlohmann::json;

constexpr char kLoopback[] = "127.0.0.1";
constexpr int kStreams = 20;

/// Runs the daemon in its own process, with standard output in the file `log`.
/// Kills the process when destroyed.
class DaemonProcess {
 public:
  DaemonProcess(const std::string& settings_path, const std::string& log) {
    const std::string setting = "DANDELIONDYKE_CONFIG=" + settings_path;
    std::string program = DANDELION_BUILD "/dandeliond-platform";
    std::vector<char*> arguments = {program.data(), nullptr};
    std::string variable = setting;
    std::vector<char*> variables = {variable.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0600);
    const int spawn_error =
        posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments.data(),
                    variables.data());
    posix_spawn_file_actions_destroy(&actions);
    if (spawn_error != 0) {
      throw std::runtime_error("cannot start " + program);
    }
  }
  ~DaemonProcess() {
    if (!exit_code_) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  void SendSignal(int signal) { kill(pid_, signal); }
  /// Empty while the process runs; -1 if it was ended by a signal.
  std::optional<int> ExitCode() {
    int status = 0;
    if (!exit_code_ && waitpid(pid_, &status, WNOHANG) == pid_) {
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    return exit_code_;
  }

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

/// A store, an engine whose streams never end and a service with one slot that
/// never answers, in the test's process.
struct StopFixture {
  StopFixture()
      : store(context.get_executor()),
        engine(context.get_executor(), SendEventThenStall),
        service(context.get_executor(), Stall) {
    store.AppendRecord("config", MakeConfig().dump(), "keyed.op");
    store.AppendRecord("u-1", MakeUpstreamEntry("engines", engine, 100).dump(),
                       "keyed.servers");
    store.AppendRecord("u-2", MakeUpstreamEntry("services", service, 1).dump(),
                       "keyed.servers");
  }
  ~StopFixture() {
    engine.CloseAll();
    service.CloseAll();
    context.restart();
    context.run_for(std::chrono::milliseconds(50));
  }

  /// Sends one event, then keeps the stream open without sending more.
  static Task<void> SendEventThenStall(http::Exchange& exchange) {
    http::Response head = SealedResponse(exchange.request(), "");
    head.headers.Add("Content-Type", "text/event-stream");
    (void)co_await exchange.StartStream(std::move(head));
    const std::string event = "id: 1\ndata: x\n\n";
    (void)co_await exchange.Write(event);
    exchange.HoldOpen();
  }

  /// Keeps the request open without answering it.
  static Task<void> Stall(http::Exchange& exchange) {
    exchange.HoldOpen();
    co_return;
  }

  static json MakeRoute(const std::string& name,
                        const std::string& kind,
                        const std::string& pool) {
    return {{"name", name},
            {"host", "front.example"},
            {"path-prefix", "/" + name + "/"},
            {"kind", kind},
            {"timeout-ms", 60'000},
            {"goal-ms", 30'000},
            {"max-attempts", 1},
            {"backend", pool}};
  }

  static json MakeConfig() {
    return {{"version", 1},
            {"routes",
             {MakeRoute("draft", "stream", "engines"),
              MakeRoute("write", "non_idempotent", "services")}},
            {"backends",
             {{{"name", "engines"},
               {"engine", {{"slots", 100}, {"kv-cap-tokens", 1'000'000}}}},
              {{"name", "services"}}}}};
  }

  static json MakeUpstreamEntry(const std::string& pool,
                                const FakeUpstream& upstream,
                                int slots) {
    return {{"backend", pool},
            {"addr", std::string(kLoopback) + ":" +
                         std::to_string(upstream.address().port())},
            {"zone", "dc-a"},
            {"slots", slots},
            {"state", "ready"},
            {"cold-left-ms", 0},
            {"seq", 1},
            {"born", 1}};
  }

  /// Returns "IP:PORT" with a port that no other socket uses now.
  std::string FindFreeAddress() {
    tcp::acceptor acceptor(
        context, tcp::endpoint(boost::asio::ip::make_address_v4(kLoopback), 0));
    return std::string(kLoopback) + ":" +
           std::to_string(acceptor.local_endpoint().port());
  }

  json MakeSettings() {
    json settings = {{"host", "front-1"},
                     {"data_centre", "dc-a"},
                     {"seeds", json::array()},
                     {"store", std::string(kLoopback) + ":" +
                                   std::to_string(store.address().port())},
                     {"key_lifetime_ms", 5000},
                     {"strict_keys", true},
                     {"stop_grace_s", 3}};
    for (const char* name :
         {"callers", "readiness", "metrics", "peer_address"}) {
      settings[name] = FindFreeAddress();
    }
    return settings;
  }

  /// Runs the event loop until `condition` holds. Returns false if it does not
  /// hold within 20 s.
  bool RunUntil(const std::function<bool()>& condition) {
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    context.restart();
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline) {
        return false;
      }
      context.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  boost::asio::io_context context;
  FakeStore store;
  FakeUpstream engine;
  FakeUpstream service;
};

/// A caller that sends one request and collects the response.
struct Caller {
  explicit Caller(boost::asio::io_context& context) : socket(context) {}

  /// Returns false if the daemon does not accept the connection. `headers` are
  /// lines that each end with CRLF.
  bool SendRequest(const tcp::endpoint& daemon,
                   int number,
                   const std::string& route = "draft",
                   const std::string& headers = "") {
    boost::system::error_code error;
    socket.connect(daemon, error);
    if (error) {
      socket.close();
      return false;
    }
    const std::string request = "GET /" + route +
                                "/1 HTTP/1.1\r\nHost: front.example\r\n"
                                "X-Dandeliondyke-Request-Id: r-" +
                                std::to_string(number) + "\r\n" + headers +
                                "\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    ReadMore();
    return true;
  }

  void ReadMore() {
    socket.async_read_some(boost::asio::buffer(chunk),
                           [this](auto error, size_t size) {
                             received.append(chunk.data(), size);
                             if (!error) {
                               ReadMore();
                             }
                           });
  }

  bool HasReceivedEvent() const {
    return received.find("data: x") != std::string::npos;
  }
  /// 0 unless a response has begun.
  int Status() const {
    constexpr size_t kStatusAt = std::string_view("HTTP/1.1 ").size();
    constexpr size_t kStatusDigits = 3;
    return received.size() < kStatusAt + kStatusDigits
               ? 0
               : std::stoi(received.substr(kStatusAt, kStatusDigits));
  }

  tcp::socket socket;
  std::array<char, 4096> chunk{};
  std::string received;
};

/// A daemon with the fixture's store, from its start to its end.
struct RunningDaemon {
  explicit RunningDaemon(StopFixture& fixture) : fixture(fixture) {
    const json settings = fixture.MakeSettings();
    std::ofstream(path) << settings.dump();
    if (!http::ParseEndpoint(settings["callers"].get<std::string>(),
                             &address)) {
      throw std::runtime_error("the settings have no callers' address");
    }
    process.emplace(path, LogPath());
  }
  ~RunningDaemon() {
    process.reset();
    std::remove(path.c_str());
    std::remove(LogPath().c_str());
  }
  RunningDaemon(const RunningDaemon&) = delete;
  RunningDaemon& operator=(const RunningDaemon&) = delete;

  std::string LogPath() const { return path + ".log"; }

  bool HasLogged(const std::string& event) const {
    std::ifstream log(LogPath());
    const std::string text(std::istreambuf_iterator<char>(log), {});
    return text.find("name=" + event) != std::string::npos;
  }

  /// Returns a caller whose request to `route` has reached an upstream.
  /// Repeats requests that are rejected, as the daemon does until it has read
  /// the configuration and the upstreams.
  std::unique_ptr<Caller> SendUntilTaken(const std::string& route,
                                         const FakeUpstream& upstream) {
    std::unique_ptr<Caller> caller;
    const size_t seen = upstream.seen().size();
    const bool taken = fixture.RunUntil([&] {
      if (!caller || caller->Status() == kRejected) {
        caller = std::make_unique<Caller>(fixture.context);
        if (!caller->SendRequest(address, 1, route)) {
          caller.reset();
        }
      }
      return upstream.seen().size() > seen;
    });
    if (!taken) {
      throw std::runtime_error("no request reached an upstream");
    }
    return caller;
  }

  /// Sends SIGTERM and waits until the daemon has begun to stop.
  bool BeginStop() {
    process->SendSignal(SIGTERM);
    return fixture.RunUntil([this] { return HasLogged("drain_started"); });
  }
  bool WaitForExit() {
    return fixture.RunUntil([this] { return process->ExitCode().has_value(); });
  }

  static constexpr int kRejected = 503;

  StopFixture& fixture;
  std::string path = std::tmpnam(nullptr);
  tcp::endpoint address;
  std::optional<DaemonProcess> process;
};

TEST_CASE("a generation that a stopping daemon takes is not cut at its end",
          "[stop]") {
  StopFixture fixture;
  RunningDaemon daemon(fixture);
  const auto earlier = daemon.SendUntilTaken("draft", fixture.engine);
  REQUIRE(daemon.BeginStop());
  // The caller expects ten tokens but allows for more than fit into the stop.
  Caller late(fixture.context);
  REQUIRE(late.SendRequest(daemon.address, 2, "draft",
                           "X-Dandeliondyke-Token-Count: 10,4000\r\n"
                           "X-Dandeliondyke-Length-Hint: 10\r\n"));
  CHECK(daemon.WaitForExit());
  CHECK(late.Status() == RunningDaemon::kRejected);
}

TEST_CASE("a request that is unanswered when the drain ends gets an answer",
          "[stop]") {
  StopFixture fixture;
  RunningDaemon daemon(fixture);
  const auto sent = daemon.SendUntilTaken("write", fixture.service);
  Caller waiting(fixture.context);
  REQUIRE(waiting.SendRequest(daemon.address, 2, "write"));
  REQUIRE(daemon.BeginStop());
  CHECK(daemon.WaitForExit());
  CHECK(fixture.service.seen().size() == 1);
  constexpr int kOutcomeUnknown = 502;
  CHECK(sent->Status() == kOutcomeUnknown);
  CHECK(waiting.Status() == RunningDaemon::kRejected);
}

// Guards against a daemon that crashes or hangs when it stops with streams
// still open, which happens if services are destroyed before the tasks that use
// them.
TEST_CASE("the daemon exits after cutting streams that outlast its stop grace",
          "[stop]") {
  StopFixture fixture;
  const json settings = fixture.MakeSettings();
  const std::string path = std::tmpnam(nullptr);
  std::ofstream(path) << settings.dump();
  DaemonProcess daemon(path, path + ".log");
  tcp::endpoint address;
  REQUIRE(
      http::ParseEndpoint(settings["callers"].get<std::string>(), &address));
  // Replaces callers that got a 503 until all have a stream: the daemon rejects
  // requests until it has read the configuration and the upstream from the
  // store.
  std::vector<std::unique_ptr<Caller>> callers;
  const auto all_streams_started = [&] {
    std::erase_if(callers, [](const auto& caller) {
      return caller->received.find("HTTP/1.1 503") != std::string::npos;
    });
    while (callers.size() < kStreams) {
      callers.push_back(std::make_unique<Caller>(fixture.context));
      if (!callers.back()->SendRequest(address,
                                       static_cast<int>(callers.size()))) {
        callers.pop_back();
        return false;
      }
    }
    return std::all_of(callers.begin(), callers.end(), [](const auto& caller) {
      return caller->HasReceivedEvent();
    });
  };
  REQUIRE(fixture.RunUntil(all_streams_started));
  daemon.SendSignal(SIGTERM);
  CHECK(fixture.RunUntil([&daemon] { return daemon.ExitCode().has_value(); }));
  CHECK(daemon.ExitCode() == 0);
  std::remove(path.c_str());
  std::remove((path + ".log").c_str());
}

}  // namespace
}  // namespace dandelion::test
