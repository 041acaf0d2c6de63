#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/task.h"
#include "http/client.h"

namespace dandelion::test {

using Json = nlohmann::json;

/// The response to a call, as far as it was received.
struct Answer {
  /// HTTP status; 0 if the connection failed before the end of the response.
  int status = 0;
  /// The body; of an event stream only an incomplete event at its end.
  std::string body;
  /// Whether the request was executed: "yes", "no", "unknown", or empty if the
  /// response does not say so.
  std::string ran;
  /// Texts of a stream's tokens.
  std::vector<std::string> tokens;
  /// Id of a stream's last event.
  std::string last_id;
  /// The stream ended with [DONE], or the status is below 400.
  bool done = false;
  /// "kind" of the error; empty if there was none.
  std::string error_kind;
};

/// A caller's request.
struct Call {
  std::string path = "/v1/completions";
  std::string organisation = "formulation";
  std::string label;
  std::string key;
  std::string body;
  std::string last_id;
  /// How long the caller waits, as text; empty for the daemon's own limit.
  std::string timeout_ms;
  bool stream = false;
  /// Called after each token of a stream.
  std::function<void(size_t tokens)> on_token;
};

/// Makes a completion request that is answered with `tokens` tokens, each of
/// which starts with `nonce`.
Call MakeCompletion(const std::string& nonce, int tokens, bool stream);
/// Makes a registration with an idempotency key.
Call MakeRegistration(const std::string& key);

/// Runs four daemons and the stand-ins that they need as processes. Daemons and
/// engines 1 and 2 are in "dc-a", 3 and 4 in "dc-b". The loopback address is
/// derived from the process id, so that test processes do not share ports.
class Fleet {
 public:
  /// Starts all processes. `engine_options` overrides options of the engine
  /// stand-ins, `tuning` the tuning of the daemons.
  explicit Fleet(const Json& engine_options = Json::object(),
                 const Json& tuning = Json::object());
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts a process. Names are "host-1" to "host-4", "engine-1" to
  /// "engine-4", "archive-1" and "platform".
  void Start(const std::string& name);
  /// Sends a signal to a process; after SIGKILL also waits for its end.
  void Signal(const std::string& name, int signal);
  /// Waits for the end of a process. Returns its exit code, or -1 if a signal
  /// ended it.
  int Wait(const std::string& name);
  pid_t pid(const std::string& name) const { return processes_.at(name).pid; }
  /// Runs dandelionctl and returns its exit code, or -1 if a signal ended it.
  int RunDandelionctl(std::vector<std::string> arguments);
  /// Publishes the tables and waits until every daemon is ready, sees all its
  /// peers and reports the upstreams of its data centre as warm. Throws
  /// std::runtime_error if that takes too long.
  void PublishTablesAndWait();

  /// Sets a fault at a stand-in. Throws std::runtime_error on failure.
  void InjectFault(const std::string& name, const Json& fault);
  /// Returns the events that a stand-in recorded, oldest first.
  Json GetEvents(const std::string& name);
  /// Fetches JSON from a stand-in, or from the admin server of a daemon.
  /// Returns an empty object if there is no response.
  Json GetJson(const std::string& name, const std::string& path);
  /// Drains a daemon as an operator does, at its admin server.
  void DrainByOperator(const std::string& host);
  /// Returns the /status of a daemon; an empty object if it does not respond.
  Json GetStatus(const std::string& host);

  /// Sends a call to a daemon.
  base::Task<Answer> Send(std::string host, Call call);
  /// Sends a call and runs tasks until its response has ended.
  Answer SendAndWait(const std::string& host, const Call& call);
  /// Starts a task. It runs while the test is inside a function of this class
  /// that waits for a condition or a response.
  void Spawn(base::Task<void> task);
  /// Runs tasks until the condition holds. Returns false at the time limit.
  bool RunUntil(const std::function<bool()>& condition,
                base::Millis limit = base::Millis(10'000));
  /// Milliseconds of the monotonic clock, as in the stand-ins' events.
  int64_t NowMs() const;

  /// Where a process listens for callers, as "IP:PORT".
  const std::string& address(const std::string& name) const {
    return addresses_.at(name);
  }
  const std::string& platform() const { return platform_; }

 private:
  struct Process {
    pid_t pid = -1;
    std::vector<std::string> command;
  };

  void AddStandin(const std::string& name,
                  const std::string& role,
                  int port,
                  Json options);
  void AddDaemon(int index, const std::string& keys, const Json& tuning);
  static pid_t Launch(const std::vector<std::string>& command,
                      const std::string& log);
  template <typename T>
  T Await(base::Task<T> task);

  boost::asio::io_context context_;
  std::string ip_;
  std::string platform_;
  std::string directory_;
  std::map<std::string, Process> processes_;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, std::string> admin_addresses_;
  base::Clock clock_ = base::Clock::Monotonic();
};

}  // namespace dandelion::test
