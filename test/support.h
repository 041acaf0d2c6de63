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

/// What a caller has received.
struct Answer {
  /// 0 if the connection failed.
  int status = 0;
  std::string body;
  std::string ran;
  /// For a stream: the tokens' texts, and how it ended.
  std::vector<std::string> tokens;
  std::string last_id;
  bool done = false;
  std::string error_kind;
};

/// A request of a caller.
struct Call {
  std::string path = "/v1/completions";
  std::string organisation = "formulation";
  std::string label;
  std::string key;
  std::string body;
  std::string last_id;
  bool stream = false;
  /// Called after each token of a stream.
  std::function<void(size_t tokens)> on_token;
};

/// A completion request for `tokens` tokens that carry `nonce`.
Call Completion(const std::string& nonce, int tokens, bool stream);
/// A registration under an idempotency key.
Call Registration(const std::string& key);

/// Daemons and stand-ins as processes on an address of this process's own.
/// Daemons 1 and 2 are in "dc-a", 3 and 4 in "dc-b", each with two engines.
class Fleet {
 public:
  /// Options of the engines, as the stand-in takes them.
  explicit Fleet(Json engine_options = Json::object());
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts, stops or signals a process by its name: "host-1" to "host-4",
  /// "engine-1" to "engine-4", "archive-1", "platform".
  void Start(const std::string& name);
  void Signal(const std::string& name, int signal);
  /// Waits for the end of a process; its exit code, or -1 for a signal.
  int Wait(const std::string& name);
  /// Runs dandelionctl to its end and returns its exit code.
  int Tool(std::vector<std::string> arguments);
  /// Publishes the tables and waits until every daemon is ready and every
  /// upstream warm.
  void Open();

  void Fault(const std::string& name, const Json& fault);
  /// The stand-in's own record of what arrived when.
  Json Record(const std::string& name);
  Json Get(const std::string& name, const std::string& path);
  Json StatusOf(const std::string& host);

  base::Task<Answer> Send(std::string host, Call call);
  /// Sends and waits for the end.
  Answer Ask(const std::string& host, const Call& call);
  /// Starts a task; `Until` and `Ask` let it go on.
  void Spawn(base::Task<void> task);
  /// Lets tasks run until the condition holds; false at the time limit.
  bool Until(const std::function<bool()>& condition,
             base::Millis limit = base::Millis(10'000));
  /// Milliseconds of the clock that the stand-ins record.
  int64_t Now() const;

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
  void AddDaemon(int index, const std::string& keys);
  static pid_t Launch(const std::vector<std::string>& command,
                      const std::string& log);
  template <typename T>
  T Await(base::Task<T> task);

  boost::asio::io_context context_;
  std::string ip_;
  std::string platform_;
  std::string folder_;
  std::map<std::string, Process> processes_;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, std::string> admin_;
  base::Clock clock_ = base::Clock::Monotonic();
};

}  // namespace dandelion::test
