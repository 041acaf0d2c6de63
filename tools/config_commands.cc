#include <fmt/core.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/ids.h"
#include "config/config_service.h"
#include "config/fold.h"
#include "config/rows.h"
#include "http/client.h"
#include "http/server.h"
#include "platform/log.h"
#include "tools/command.h"

namespace dandelion::tools {
namespace {

using base::Millis;
using base::Offset;
using base::Task;
using nlohmann::json;

/// The log, and the fold of everything that it holds.
struct Store {
  http::Client client;
  std::unique_ptr<platform::Log> log;
  config::Fold fold;
  /// What became of each publication, by its publish id.
  std::map<std::string, config::FoldResult> results;
  std::vector<std::string> history;
};

void Complain(const absl::Status& status) {
  const std::string remedy = base::RemedyOf(status);
  fmt::print(stderr, "dandelionctl: {}{}{}\n", std::string(status.message()),
             remedy.empty() ? "" : "\n  remedy: ", remedy);
}

absl::Status Open(const Options& options, Store* store) {
  boost::asio::ip::tcp::endpoint endpoint;
  if (!http::ParseEndpoint(options.platform, &endpoint)) {
    return base::MakeError(
        base::ErrorKind::kInvalidSettings,
        absl::StrCat("--platform \"", options.platform, "\" is not IP:PORT"),
        "name the platform's log service");
  }
  store->log = platform::MakeHttpLog(store->client, endpoint);
  return absl::OkStatus();
}

std::string Describe(Offset offset,
                     const config::ConfigRecord& record,
                     const config::FoldResult& result) {
  if (record.is_snapshot) {
    return absl::StrCat(offset.count(), " snapshot of version ",
                        record.version.count());
  }
  std::string line = absl::StrCat(
      offset.count(),
      result.folded == config::Folded::kAccepted ? " accepted" : " rejected");
  for (const config::Change& change : record.changes) {
    absl::StrAppend(&line, " ", change.value.empty() ? "-" : "+", change.key);
  }
  if (!result.reason.ok()) {
    absl::StrAppend(&line, " (", result.reason.message(), ")");
  }
  return line;
}

Task<absl::Status> ReadAll(Store& store) {
  for (;;) {
    const Offset from = store.fold.next();
    const absl::StatusOr<platform::LogPage> page =
        co_await store.log->Read(config::kConfigStream, from);
    if (!page.ok()) {
      co_return page.status();
    }
    for (const platform::LogRecord& entry : page->records) {
      const config::FoldResult result =
          store.fold.Apply(entry.offset, entry.data);
      const absl::StatusOr<config::ConfigRecord> record =
          config::Decode(entry.data);
      if (record.ok() && result.folded != config::Folded::kGap &&
          result.folded != config::Folded::kOld) {
        store.history.push_back(Describe(entry.offset, *record, result));
        store.results[record->publish_id] = result;
      }
    }
    if (store.fold.next() == from || store.fold.next() >= page->next) {
      co_return absl::OkStatus();
    }
  }
}

// Appends a record and reads it back: its answer may be lost after the append.
Task<Exit> Publish(Store& store, config::ConfigRecord record) {
  record.publish_id = base::RandomName();
  const platform::AppendResult appended =
      co_await store.log->Append(config::kConfigStream, Encode(record));
  if (!appended.offset.ok() && !appended.may_be_in_log) {
    Complain(appended.offset.status());
    co_return Exit::kUnreachable;
  }
  constexpr int kTries = 20;
  constexpr Millis kPause(500);
  for (int i = 0; i < kTries; ++i) {
    const absl::Status read = co_await ReadAll(store);
    const auto result = store.results.find(record.publish_id);
    if (result != store.results.end()) {
      if (result->second.folded == config::Folded::kAccepted) {
        fmt::print("accepted as version {}\n", store.fold.version().count());
        co_return Exit::kDone;
      }
      Complain(result->second.reason);
      co_return base::KindOf(result->second.reason) ==
              base::ErrorKind::kLostRace
          ? Exit::kLostRace
          : Exit::kInvalid;
    }
    if (read.ok() && !appended.offset.ok()) {
      // An append without an answer may still be on its way: wait once more.
      if (i > 1) {
        Complain(appended.offset.status());
        co_return Exit::kUnreachable;
      }
    }
    co_await base::Delay(kPause);
  }
  fmt::print(stderr,
             "dandelionctl: the outcome is unknown: the log cannot be read\n"
             "  remedy: run `config history` once the platform is back\n");
  co_return Exit::kOutcomeUnknown;
}

bool LoadTables(const Options& options, std::string* text, Exit* exit) {
  if (options.arguments.empty() || !ReadFile(options.arguments[0], text)) {
    fmt::print(
        stderr, "dandelionctl: {}: cannot be read\n",
        options.arguments.empty() ? "TABLES.json" : options.arguments[0]);
    *exit = Exit::kUsage;
    return false;
  }
  const std::vector<config::Problem> problems = config::CheckTables(*text);
  for (const config::Problem& problem : problems) {
    fmt::print(stderr, "{}: {}\n  remedy: {}\n", problem.place, problem.what,
               problem.remedy);
  }
  *exit = problems.empty() ? Exit::kDone : Exit::kInvalid;
  return problems.empty();
}

Task<Exit> RunValidate(const Options& options) {
  std::string text;
  Exit exit = Exit::kDone;
  if (LoadTables(options, &text, &exit)) {
    fmt::print("the tables are valid\n");
  }
  co_return exit;
}

// Opens the log and folds it; complains and returns false on failure.
Task<bool> OpenAndRead(const Options& options, Store& store, Exit* exit) {
  absl::Status status = Open(options, &store);
  *exit = Exit::kUsage;
  if (status.ok()) {
    status = co_await ReadAll(store);
    *exit = Exit::kUnreachable;
  }
  if (!status.ok()) {
    Complain(status);
  }
  co_return status.ok();
}

Task<Exit> RunPublish(const Options& options) {
  std::string text;
  Exit exit = Exit::kDone;
  if (!LoadTables(options, &text, &exit)) {
    co_return exit;
  }
  Store store;
  const bool opened = co_await OpenAndRead(options, store, &exit);
  if (!opened) {
    co_return exit;
  }
  if (options.based_on >= 0 &&
      store.fold.version() != Offset(options.based_on)) {
    fmt::print(stderr,
               "dandelionctl: version {} is in force, not {}\n"
               "  remedy: look at `config diff` and publish again\n",
               store.fold.version().count(), options.based_on);
    co_return Exit::kLostRace;
  }
  config::ConfigRecord record = config::MakeRecord(store.fold.rows(), text);
  if (record.changes.empty()) {
    fmt::print("nothing changes; version {} is in force\n",
               store.fold.version().count());
    co_return Exit::kDone;
  }
  co_return co_await Publish(store, std::move(record));
}

Task<Exit> RunConfig(const Options& options) {
  const std::string what =
      options.arguments.empty() ? "show" : options.arguments[0];
  Store store;
  Exit exit = Exit::kDone;
  const bool opened = co_await OpenAndRead(options, store, &exit);
  if (!opened) {
    co_return exit;
  }
  if (what == "history") {
    for (const std::string& line : store.history) {
      fmt::print("{}\n", line);
    }
    co_return Exit::kDone;
  }
  if (what == "show") {
    fmt::print(stderr, "version {}\n", store.fold.version().count());
    fmt::print("{}\n", config::FormatTables(store.fold.rows(), 2));
    co_return Exit::kDone;
  }
  if (what == "diff" && options.arguments.size() == 2) {
    Options file = options;
    file.arguments = {options.arguments[1]};
    std::string text;
    if (!LoadTables(file, &text, &exit)) {
      co_return exit;
    }
    for (const config::Change& change :
         config::MakeRecord(store.fold.rows(), text).changes) {
      fmt::print("{} {} {}\n", change.value.empty() ? "-" : "+", change.key,
                 change.value);
    }
    co_return Exit::kDone;
  }
  fmt::print(stderr, "usage: dandelionctl config show|history|diff FILE\n");
  co_return Exit::kUsage;
}

absl::StatusOr<config::Change> ServiceChange(const config::Rows& rows,
                                             const std::string& kind,
                                             const std::string& name,
                                             bool in_service) {
  const std::string key = absl::StrCat(kind, "/", name);
  const auto row = rows.find(key);
  const bool exists = row != rows.end() && !row->second.value.empty();
  config::Change change;
  change.key = key;
  change.replaces = exists ? row->second.version : Offset(0);
  if (kind == "data_centre") {
    change.value = config::DataCentreValue(in_service);
    return change;
  }
  if (kind != "upstream" || !exists) {
    return base::MakeError(base::ErrorKind::kInvalidTables,
                           absl::StrCat("there is no ", key),
                           "name data_centre/NAME or upstream/ID");
  }
  change.value = config::WithDrained(row->second.value, !in_service);
  return change;
}

// Takes one row out of service or back. A race on the same row is tried
// again: the operator's wish does not depend on the other change.
Task<Exit> SetInService(const Options& options, bool in_service) {
  const std::string target =
      options.arguments.empty() ? "" : options.arguments[0];
  const size_t slash = target.find('/');
  if (slash == std::string::npos) {
    fmt::print(stderr,
               "usage: dandelionctl drain|restore data_centre/NAME | "
               "upstream/ID\n");
    co_return Exit::kUsage;
  }
  constexpr int kTries = 10;
  Exit exit = Exit::kLostRace;
  for (int i = 0; i < kTries && exit == Exit::kLostRace; ++i) {
    Store store;
    const bool opened = co_await OpenAndRead(options, store, &exit);
    if (!opened) {
      co_return exit;
    }
    absl::StatusOr<config::Change> change =
        ServiceChange(store.fold.rows(), target.substr(0, slash),
                      target.substr(slash + 1), in_service);
    if (!change.ok()) {
      Complain(change.status());
      co_return Exit::kInvalid;
    }
    config::ConfigRecord record;
    record.changes.push_back(*std::move(change));
    exit = co_await Publish(store, std::move(record));
  }
  co_return exit;
}

}  // namespace

bool ReadFile(const std::string& path, std::string* text) {
  std::ifstream file(path);
  std::ostringstream content;
  content << file.rdbuf();
  *text = content.str();
  return static_cast<bool>(file);
}

std::vector<Command> ConfigCommands() {
  return {
      {"validate", "TABLES.json", "check the tables; publish nothing",
       RunValidate},
      {"publish", "TABLES.json", "put the tables in force", RunPublish},
      {"config", "show|history|diff FILE", "read the configuration", RunConfig},
      {"drain", "data_centre/NAME|upstream/ID", "take it out of service",
       [](const Options& options) { return SetInService(options, false); }},
      {"restore", "data_centre/NAME|upstream/ID", "bring it back",
       [](const Options& options) { return SetInService(options, true); }},
  };
}

}  // namespace dandelion::tools
