#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/task.h"

namespace dandelion::tools {

/// Exit codes of dandelionctl.
enum class Exit {
  kDone = 0,
  /// The call failed in a way that has no code of its own.
  kFailed = 1,
  kUsage = 2,
  /// The tables are invalid; nothing was published.
  kInvalid = 3,
  /// Somebody else changed a row first; nothing was published.
  kLostRace = 4,
  /// The change may or may not be in force.
  kOutcomeUnknown = 5,
  /// The platform cannot be reached; nothing was published.
  kUnreachable = 6,
};

/// Everything that the command line gives.
struct Options {
  std::vector<std::string> arguments;
  /// "IP:PORT" of the platform.
  std::string platform;
  /// Comma-separated "IP:PORT" of daemons' admin ports.
  std::string admin;
  /// Comma-separated "IP:PORT" of daemons' callers' ports.
  std::string to;
  std::string organisation;
  std::string label;
  std::string path = "/v1/completions";
  std::string key;
  std::string prompt;
  std::string body;
  /// Version that a publication must be based on; -1 for any.
  int based_on = -1;
  int times = 0;
  bool stream = false;
  bool json = false;
};

/// One verb of the tool.
struct Command {
  std::string name;
  std::string arguments;
  std::string help;
  std::function<base::Task<Exit>(const Options&)> run;
};

/// Verbs that read and write the configuration in the platform's log.
std::vector<Command> ConfigCommands();
/// Verbs that ask daemons, and those that send requests.
std::vector<Command> FleetCommands();

/// Reads a whole file. False if it cannot be read.
bool ReadFile(const std::string& path, std::string* text);

}  // namespace dandelion::tools
