#include <fmt/core.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/ids.h"
#include "config/config_service.h"
#include "config/config_state.h"
#include "config/rows.h"
#include "http/client.h"
#include "http/server.h"
#include "platform_client/platform_client.h"
#include "tools/command.h"

namespace dandelion::tools {
namespace {

using base::Millis;
using base::Offset;
using base::Task;
using nlohmann::json;

/// The platform's configuration log and the state that results from applying
/// its records in order.
struct ConfigLog {
  http::Client client;
  std::unique_ptr<platform_client::Log> log;
  config::ConfigState config_state;
  /// Result of each record, by its publish id.
  std::map<std::string, config::ApplyResult> results;
  /// A line for each record, oldest first.
  std::vector<std::string> history;
};

absl::Status OpenLog(const Options& options, ConfigLog* config_log) {
  boost::asio::ip::tcp::endpoint endpoint;
  if (!http::ParseEndpoint(options.platform, &endpoint)) {
    return base::MakeError(
        base::ErrorKind::kInvalidSettings,
        absl::StrCat("--platform \"", options.platform, "\" is not IP:PORT"),
        "set it to the address of the platform's log service");
  }
  config_log->log = platform_client::MakeHttpLog(config_log->client, endpoint);
  return absl::OkStatus();
}

std::string DescribeRecord(Offset offset,
                           const config::ConfigRecord& record,
                           const config::ApplyResult& result) {
  if (record.is_snapshot) {
    return absl::StrCat(offset.count(), " snapshot of version ",
                        record.version.count());
  }
  std::string line = absl::StrCat(
      offset.count(), result.outcome == config::ApplyOutcome::kAccepted
                          ? " accepted"
                          : " rejected");
  for (const config::RowChange& change : record.changes) {
    absl::StrAppend(&line, " ", change.value.empty() ? "-" : "+", change.key);
  }
  if (!result.reason.ok()) {
    absl::StrAppend(&line, " (", result.reason.message(), ")");
  }
  return line;
}

// Applies the records that were appended since the last call.
Task<absl::Status> ReadNewRecords(ConfigLog& config_log) {
  for (;;) {
    const Offset from = config_log.config_state.next_offset();
    const absl::StatusOr<platform_client::LogPage> page =
        co_await config_log.log->Read(config::kConfigTopic, from);
    if (!page.ok()) {
      co_return page.status();
    }
    for (const platform_client::LogRecord& entry : page->records) {
      const config::ApplyResult result =
          config_log.config_state.Apply(entry.offset, entry.data);
      const absl::StatusOr<config::ConfigRecord> record =
          config::DecodeConfigRecord(entry.data);
      if (record.ok() && result.outcome != config::ApplyOutcome::kGap &&
          result.outcome != config::ApplyOutcome::kAlreadyApplied) {
        config_log.history.push_back(
            DescribeRecord(entry.offset, *record, result));
        config_log.results[record->publish_id] = result;
      }
    }
    if (config_log.config_state.next_offset() == from ||
        config_log.config_state.next_offset() >= page->next_offset) {
      co_return absl::OkStatus();
    }
  }
}

// Appends a record and reads the log until the record is found: the append may
// succeed although its response is lost, and only the log shows whether the
// record was accepted.
Task<ExitCode> PublishRecord(ConfigLog& config_log,
                             config::ConfigRecord record) {
  record.publish_id = base::RandomHexId();
  const platform_client::AppendResult appended =
      co_await config_log.log->Append(config::kConfigTopic,
                                      EncodeConfigRecord(record));
  if (!appended.offset.ok() && !appended.may_be_in_log) {
    PrintError(appended.offset.status());
    co_return ExitCode::kUnreachable;
  }
  constexpr int kMaxAttempts = 20;
  constexpr Millis kRetryInterval(500);
  for (int i = 0; i < kMaxAttempts; ++i) {
    const absl::Status read_status = co_await ReadNewRecords(config_log);
    const auto result = config_log.results.find(record.publish_id);
    if (result != config_log.results.end()) {
      if (result->second.outcome == config::ApplyOutcome::kAccepted) {
        fmt::print("accepted as version {}\n",
                   config_log.config_state.version().count());
        co_return ExitCode::kSuccess;
      }
      PrintError(result->second.reason);
      co_return base::KindOf(result->second.reason) ==
              base::ErrorKind::kConflict
          ? ExitCode::kConflict
          : ExitCode::kInvalid;
    }
    if (read_status.ok() && !appended.offset.ok()) {
      // An append whose response was lost may still reach the log: read the
      // log twice more before the append counts as failed.
      if (i > 1) {
        PrintError(appended.offset.status());
        co_return ExitCode::kUnreachable;
      }
    }
    co_await base::SleepFor(kRetryInterval);
  }
  fmt::print(stderr,
             "dandelionctl: the outcome is unknown: the log cannot be read\n"
             "  remedy: run `config history` once the platform is reachable\n");
  co_return ExitCode::kOutcomeUnknown;
}

bool LoadValidTables(const Options& options,
                     std::string* text,
                     ExitCode* exit_code) {
  if (options.arguments.empty() || !ReadFile(options.arguments[0], text)) {
    fmt::print(
        stderr, "dandelionctl: cannot read {}\n",
        options.arguments.empty() ? "TABLES.json" : options.arguments[0]);
    *exit_code = ExitCode::kUsage;
    return false;
  }
  const std::vector<config::Problem> problems = config::CheckTables(*text);
  for (const config::Problem& problem : problems) {
    fmt::print(stderr, "{}: {}\n  remedy: {}\n", problem.location, problem.what,
               problem.remedy);
  }
  *exit_code = problems.empty() ? ExitCode::kSuccess : ExitCode::kInvalid;
  return problems.empty();
}

Task<ExitCode> RunValidate(const Options& options) {
  std::string text;
  ExitCode exit_code = ExitCode::kSuccess;
  if (LoadValidTables(options, &text, &exit_code)) {
    fmt::print("the tables are valid\n");
  }
  co_return exit_code;
}

// Opens the log and applies its records. On failure prints the error, sets the
// exit code and returns false.
Task<bool> OpenAndReadLog(const Options& options,
                          ConfigLog& config_log,
                          ExitCode* exit_code) {
  absl::Status status = OpenLog(options, &config_log);
  *exit_code = ExitCode::kUsage;
  if (status.ok()) {
    status = co_await ReadNewRecords(config_log);
    *exit_code = ExitCode::kUnreachable;
  }
  if (!status.ok()) {
    PrintError(status);
  }
  co_return status.ok();
}

Task<ExitCode> RunPublish(const Options& options) {
  std::string text;
  ExitCode exit_code = ExitCode::kSuccess;
  if (!LoadValidTables(options, &text, &exit_code)) {
    co_return exit_code;
  }
  ConfigLog config_log;
  const bool log_read =
      co_await OpenAndReadLog(options, config_log, &exit_code);
  if (!log_read) {
    co_return exit_code;
  }
  if (options.based_on >= 0 &&
      config_log.config_state.version() != Offset(options.based_on)) {
    fmt::print(stderr,
               "dandelionctl: the current version is {}, not {}\n"
               "  remedy: check `config diff` and publish again\n",
               config_log.config_state.version().count(), options.based_on);
    co_return ExitCode::kConflict;
  }
  config::ConfigRecord record =
      config::MakePublishRecord(config_log.config_state.rows(), text);
  if (record.changes.empty()) {
    fmt::print("the tables are unchanged; the current version is {}\n",
               config_log.config_state.version().count());
    co_return ExitCode::kSuccess;
  }
  co_return co_await PublishRecord(config_log, std::move(record));
}

Task<absl::StatusOr<config::Rows>> ReadRowsInForce(const Options& options) {
  ConfigLog config_log;
  absl::Status status = OpenLog(options, &config_log);
  if (status.ok()) {
    status = co_await ReadNewRecords(config_log);
  }
  if (!status.ok()) {
    co_return status;
  }
  co_return config_log.config_state.rows();
}

Task<ExitCode> RunConfig(const Options& options) {
  const std::string subcommand =
      options.arguments.empty() ? "show" : options.arguments[0];
  if (subcommand == "check") {
    co_return co_await RunConfigCheck(options, ReadRowsInForce);
  }
  ConfigLog config_log;
  ExitCode exit_code = ExitCode::kSuccess;
  const bool log_read =
      co_await OpenAndReadLog(options, config_log, &exit_code);
  if (!log_read) {
    co_return exit_code;
  }
  if (subcommand == "history") {
    for (const std::string& line : config_log.history) {
      fmt::print("{}\n", line);
    }
    co_return ExitCode::kSuccess;
  }
  if (subcommand == "show") {
    fmt::print(stderr, "version {}\n",
               config_log.config_state.version().count());
    fmt::print("{}\n", config::FormatTables(config_log.config_state.rows(), 2));
    co_return ExitCode::kSuccess;
  }
  if (subcommand == "diff" && options.arguments.size() == 2) {
    Options file = options;
    file.arguments = {options.arguments[1]};
    std::string text;
    if (!LoadValidTables(file, &text, &exit_code)) {
      co_return exit_code;
    }
    for (const config::RowChange& change :
         config::MakePublishRecord(config_log.config_state.rows(), text)
             .changes) {
      fmt::print("{} {} {}\n", change.value.empty() ? "-" : "+", change.key,
                 change.value);
    }
    co_return ExitCode::kSuccess;
  }
  fmt::print(stderr,
             "usage: dandelionctl config show|history|diff FILE|check FILE\n");
  co_return ExitCode::kUsage;
}

absl::StatusOr<config::RowChange> MakeServiceChange(const config::Rows& rows,
                                                    const std::string& kind,
                                                    const std::string& name,
                                                    bool in_service) {
  const std::string key = absl::StrCat(kind, "/", name);
  const auto row = rows.find(key);
  const bool exists = row != rows.end() && !row->second.value.empty();
  config::RowChange change;
  change.key = key;
  change.expected_version = exists ? row->second.version : Offset(0);
  if (kind == "data_centre") {
    change.value = config::EncodeDataCentreState(in_service);
    return change;
  }
  if (kind != "upstream" || !exists) {
    return base::MakeError(
        base::ErrorKind::kInvalidTables, absl::StrCat("there is no ", key),
        "use data_centre/NAME or the upstream/ID of a known upstream");
  }
  change.value = config::WithDrained(row->second.value, !in_service);
  return change;
}

// Takes a data centre or an upstream out of service or puts it back. If another
// change to the same row came first, the change is retried: what the operator
// asked for does not depend on the other change.
Task<ExitCode> SetInService(const Options& options, bool in_service) {
  const std::string target =
      options.arguments.empty() ? "" : options.arguments[0];
  const size_t slash = target.find('/');
  if (slash == std::string::npos) {
    fmt::print(stderr,
               "usage: dandelionctl drain|restore data_centre/NAME | "
               "upstream/ID\n");
    co_return ExitCode::kUsage;
  }
  constexpr int kMaxAttempts = 10;
  ExitCode exit_code = ExitCode::kConflict;
  for (int i = 0; i < kMaxAttempts && exit_code == ExitCode::kConflict; ++i) {
    ConfigLog config_log;
    const bool log_read =
        co_await OpenAndReadLog(options, config_log, &exit_code);
    if (!log_read) {
      co_return exit_code;
    }
    absl::StatusOr<config::RowChange> change = MakeServiceChange(
        config_log.config_state.rows(), target.substr(0, slash),
        target.substr(slash + 1), in_service);
    if (!change.ok()) {
      PrintError(change.status());
      co_return ExitCode::kInvalid;
    }
    config::ConfigRecord record;
    record.changes.push_back(*std::move(change));
    exit_code = co_await PublishRecord(config_log, std::move(record));
  }
  co_return exit_code;
}

}  // namespace

void PrintError(const absl::Status& status) {
  const std::string remedy = base::RemedyOf(status);
  fmt::print(stderr, "dandelionctl: {}{}{}\n", std::string(status.message()),
             remedy.empty() ? "" : "\n  remedy: ", remedy);
}

bool ReadFile(const std::string& path, std::string* text) {
  std::ifstream file(path);
  std::ostringstream content;
  content << file.rdbuf();
  *text = content.str();
  return static_cast<bool>(file);
}

std::vector<Command> ConfigCommands() {
  return {
      {"validate", "TABLES.json", "check the tables without publishing them",
       RunValidate},
      {"publish", "TABLES.json", "publish the tables", RunPublish},
      {"config", "show|history|diff FILE|check FILE",
       "read or check the configuration", RunConfig},
      {"drain", "data_centre/NAME|upstream/ID",
       "take a data centre or upstream out of service",
       [](const Options& options) { return SetInService(options, false); }},
      {"restore", "data_centre/NAME|upstream/ID",
       "put a data centre or upstream back into service",
       [](const Options& options) { return SetInService(options, true); }},
  };
}

}  // namespace dandelion::tools
