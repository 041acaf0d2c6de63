#pragma once

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "test/fake-store.h"

extern char** environ;

namespace dandelion::test {

inline constexpr char kLoopback[] = "127.0.0.1";

/// Runs the daemon in its own process, with standard output in the file `log`.
/// Kills the process when destroyed.
class DaemonProcess {
 public:
  DaemonProcess(const std::string& settings_path, const std::string& log)
      : DaemonProcess({DANDELION_BUILD "/dandeliond-platform"},
                      settings_path,
                      log) {}
  /// Runs a program with arguments instead of the daemon.
  DaemonProcess(std::vector<std::string> command,
                const std::string& settings_path,
                const std::string& log) {
    std::vector<char*> arguments;
    for (std::string& word : command) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::string variable = "DANDELIONDYKE_CONFIG=" + settings_path;
    std::vector<char*> variables = {variable.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0600);
    const int spawn_error =
        posix_spawn(&pid_, command.front().c_str(), &actions, nullptr,
                    arguments.data(), variables.data());
    posix_spawn_file_actions_destroy(&actions);
    if (spawn_error != 0) {
      throw std::runtime_error("cannot start " + command.front());
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
  pid_t pid() const { return pid_; }
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

/// A store in the test's process, and what a daemon needs to run with it.
struct PlatformFixture {
  using json = nlohmann::json;
  using tcp = boost::asio::ip::tcp;

  PlatformFixture() : store(context.get_executor()) {}
  ~PlatformFixture() { EndTasks(); }

  /// Lets tasks whose connections were closed end. To be called before what
  /// they use is destroyed.
  void EndTasks() {
    context.restart();
    context.run_for(std::chrono::milliseconds(50));
  }

  /// Closes a door whose daemon has ended and lets its calls end. To be called
  /// before the door is destroyed.
  void CloseDoor(StoreDoor& door) {
    door.Close();
    RunUntil([&door] { return door.IsIdle(); });
    EndTasks();
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

  static json MakeUpstreamEntry(const std::string& pool,
                                const tcp::endpoint& address,
                                int slots) {
    return {
        {"backend", pool},
        {"addr", std::string(kLoopback) + ":" + std::to_string(address.port())},
        {"zone", "dc-a"},
        {"slots", slots},
        {"state", "ready"},
        {"cold-left-ms", 0},
        {"seq", 1},
        {"born", 1}};
  }
  static json MakeUpstreamEntry(const std::string& pool,
                                const FakeUpstream& upstream,
                                int slots) {
    return MakeUpstreamEntry(pool, upstream.address(), slots);
  }

  /// A loopback address of this process alone: neither daemons of other test
  /// processes nor outgoing connections take ports there.
  static std::string DaemonAddress() {
    constexpr int kValues = 250;
    const int pid = getpid();
    return "127." + std::to_string(1 + pid / (kValues * kValues) % kValues) +
           "." + std::to_string(1 + pid / kValues % kValues) + "." +
           std::to_string(1 + pid % kValues);
  }
  /// Returns "IP:PORT" with a port that no other socket uses now, and that no
  /// earlier call returned: who asked for that may not have bound it yet.
  std::string FindFreeAddress() {
    static std::set<uint16_t> returned;
    const std::string ip = DaemonAddress();
    for (;;) {
      const tcp::acceptor acceptor(
          context, tcp::endpoint(boost::asio::ip::make_address_v4(ip), 0));
      const uint16_t port = acceptor.local_endpoint().port();
      if (returned.insert(port).second) {
        return ip + ":" + std::to_string(port);
      }
    }
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
    settings.update(more_settings);
    return settings;
  }

  /// Runs the event loop until `condition` holds. Returns false if it does not
  /// hold within `limit`.
  bool RunUntil(const std::function<bool()>& condition,
                base::Millis limit = base::Millis(20'000)) {
    const auto deadline = std::chrono::steady_clock::now() +
                          std::chrono::milliseconds(limit.count());
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
  /// Fields that `MakeSettings` adds or replaces.
  json more_settings = json::object();
};

/// A caller that sends one request and collects the response.
struct Caller {
  explicit Caller(boost::asio::io_context& context)
      : connection(std::make_shared<Connection>(context)) {}
  // A read may be in progress, and ends later.
  ~Caller() { Close(); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  /// Returns false if the daemon does not accept the connection. `headers` are
  /// lines that each end with CRLF.
  bool SendRequest(const boost::asio::ip::tcp::endpoint& daemon,
                   int number,
                   const std::string& route = "draft",
                   const std::string& headers = "") {
    boost::system::error_code error;
    connection->socket.connect(daemon, error);
    if (error) {
      Close();
      return false;
    }
    const std::string request = "GET /" + route +
                                "/1 HTTP/1.1\r\nHost: front.example\r\n"
                                "X-Dandeliondyke-Request-Id: r-" +
                                std::to_string(number) + "\r\n" + headers +
                                "\r\n";
    boost::asio::write(connection->socket, boost::asio::buffer(request));
    Connection::ReadMore(connection);
    return true;
  }
  void Close() {
    boost::system::error_code ignored;
    connection->socket.close(ignored);
  }

  const std::string& received() const { return connection->received; }
  bool HasReceivedEvent() const {
    return received().find("data: x") != std::string::npos;
  }
  /// 0 unless a response has begun.
  int Status() const {
    constexpr size_t kStatusAt = std::string_view("HTTP/1.1 ").size();
    constexpr size_t kStatusDigits = 3;
    return received().size() < kStatusAt + kStatusDigits
               ? 0
               : std::stoi(received().substr(kStatusAt, kStatusDigits));
  }

  struct Connection {
    explicit Connection(boost::asio::io_context& context) : socket(context) {}

    static void ReadMore(const std::shared_ptr<Connection>& self) {
      self->socket.async_read_some(
          boost::asio::buffer(self->chunk), [self](auto error, size_t size) {
            self->received.append(self->chunk.data(), size);
            if (!error) {
              ReadMore(self);
            }
          });
    }

    boost::asio::ip::tcp::socket socket;
    std::array<char, 4096> chunk{};
    std::string received;
  };
  std::shared_ptr<Connection> connection;
};

/// A daemon with the fixture's store, from its start to its end.
struct RunningDaemon {
  explicit RunningDaemon(PlatformFixture& fixture) : fixture(fixture) {
    const nlohmann::json settings = fixture.MakeSettings();
    std::ofstream(path) << settings.dump();
    if (!http::ParseEndpoint(settings["callers"].get<std::string>(),
                             &address) ||
        !http::ParseEndpoint(settings["metrics"].get<std::string>(),
                             &metrics)) {
      throw std::runtime_error("the settings lack an address");
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

  /// Returns the lines of the log that have `text`, to explain a failure.
  std::string LoggedLines(const std::string& text) const {
    std::ifstream log(LogPath());
    std::string lines;
    for (std::string line; std::getline(log, line);) {
      if (line.find(text) != std::string::npos) {
        lines += line + "\n";
      }
    }
    return lines;
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

  PlatformFixture& fixture;
  std::string path = std::tmpnam(nullptr);
  boost::asio::ip::tcp::endpoint address;
  boost::asio::ip::tcp::endpoint metrics;
  std::optional<DaemonProcess> process;
};

}  // namespace dandelion::test
