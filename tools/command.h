#pragma once

#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/task.h"
#include "config/rows.h"

namespace dandelion::tools {

/// Exit codes of dandelionctl.
enum class ExitCode {
  kSuccess = 0,
  /// A failure that no other code covers.
  kFailure = 1,
  kUsage = 2,
  /// The tables are invalid; nothing was published.
  kInvalid = 3,
  /// A concurrent change to the same row came first; nothing was published.
  kConflict = 4,
  /// The change may or may not have been published.
  kOutcomeUnknown = 5,
  /// The platform cannot be reached; nothing was published.
  kUnreachable = 6,
  /// Of `config check` alone: what was found.
  kWarnings = 1,
  kErrors = 2,
};

/// Parsed command line, without the verb.
struct Options {
  std::vector<std::string> arguments;
  /// File of the version to compare with.
  std::string against;
  /// File with a daemon's settings.
  std::string settings;
  /// "IP:PORT" of the platform.
  std::string platform;
  /// Comma-separated "IP:PORT" of the daemons' admin servers.
  std::string admin;
  /// Comma-separated "IP:PORT" on which daemons accept callers' requests.
  std::string to;
  std::string organisation;
  std::string label;
  std::string path = "/v1/completions";
  std::string key;
  std::string prompt;
  std::string body;
  /// Publish only if this configuration version is current; -1 for any.
  int based_on = -1;
  /// Number of status reports that `watch` prints; 0 for no limit.
  int times = 0;
  bool stream = false;
  bool json = false;
  /// Compare with the version in force.
  bool live = false;
};

/// A verb of dandelionctl.
struct Command {
  std::string name;
  /// Arguments as shown in the usage text.
  std::string arguments;
  std::string help;
  std::function<base::Task<ExitCode>(const Options&)> run;
};

/// Returns the verbs that read and change the configuration in the platform's
/// log.
std::vector<Command> ConfigCommands();
/// Returns the verbs that query daemons or send requests to them, and `keys`.
std::vector<Command> FleetCommands();

/// Reads the rows in force from the platform's log.
using RowsReader =
    std::function<base::Task<absl::StatusOr<config::Rows>>(const Options&)>;
/// Checks the configuration file `options.arguments[1]`, a tables file or one
/// in the platform's form, and prints a report.
base::Task<ExitCode> RunConfigCheck(const Options& options,
                                    const RowsReader& read_rows);

/// Prints an error and its remedy to standard error.
void PrintError(const absl::Status& status);

/// Reads a file into `text`. Returns false if it cannot be read.
bool ReadFile(const std::string& path, std::string* text);

}  // namespace dandelion::tools
