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

/// A store and an engine whose streams never end, in the test's process.
struct StopFixture {
  StopFixture()
      : store(context.get_executor()),
        engine(context.get_executor(), SendEventThenStall) {
    store.AppendRecord("config", MakeConfig().dump(), "keyed.op");
    store.AppendRecord("u-1", MakeUpstreamEntry().dump(), "keyed.servers");
  }
  ~StopFixture() {
    engine.CloseAll();
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

  static json MakeConfig() {
    return {{"version", 1},
            {"routes",
             {{{"name", "draft"},
               {"host", "front.example"},
               {"path-prefix", "/draft/"},
               {"kind", "stream"},
               {"timeout-ms", 60'000},
               {"goal-ms", 1500},
               {"max-attempts", 1},
               {"backend", "engines"}}}},
            {"backends",
             {{{"name", "engines"},
               {"engine", {{"slots", 100}, {"kv-cap-tokens", 1'000'000}}}}}}};
  }

  json MakeUpstreamEntry() const {
    return {{"backend", "engines"},
            {"addr", std::string(kLoopback) + ":" +
                         std::to_string(engine.address().port())},
            {"zone", "dc-a"},
            {"slots", 100},
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
};

/// A caller that requests one stream and collects the response.
struct Caller {
  explicit Caller(boost::asio::io_context& context) : socket(context) {}

  /// Returns false if the daemon does not accept the connection.
  bool SendRequest(const tcp::endpoint& daemon, int number) {
    boost::system::error_code error;
    socket.connect(daemon, error);
    if (error) {
      socket.close();
      return false;
    }
    const std::string request =
        "GET /draft/1 HTTP/1.1\r\nHost: front.example\r\n"
        "X-Dandeliondyke-Request-Id: r-" +
        std::to_string(number) + "\r\n\r\n";
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

  tcp::socket socket;
  std::array<char, 4096> chunk{};
  std::string received;
};

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
