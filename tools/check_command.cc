// `dandelionctl config check`: checks a configuration before it is sent.
#include <fmt/core.h>

#include <fstream>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "config/check_report.h"
#include "config/rows.h"
#include "config/syntax.h"
#include "config/tables_check.h"
#include "http/client.h"
#include "http/server.h"
#include "kernel/fleet_settings.h"
#include "platform/catalogue_check.h"
#include "platform/records.h"
#include "platform/store_client.h"
#include "tools/command.h"

namespace dandelion::tools {
namespace {

using base::Task;

absl::Status InvalidArgument(std::string what, std::string remedy) {
  return base::MakeError(base::ErrorKind::kInvalidSettings, what, remedy);
}

// Reads a file, or as much of it as shows that it is too large.
absl::StatusOr<std::string> ReadConfiguration(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text(config::kMaxFileBytes + 1, '\0');
  if (file) {
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
  }
  if (!file.is_open() || file.bad()) {
    return InvalidArgument(absl::StrCat("cannot read ", path),
                           "name a file that can be read");
  }
  text.resize(static_cast<size_t>(file.gcount()));
  return text;
}

absl::StatusOr<fleet::DaemonLimits> ReadLimits(const std::string& path) {
  fleet::DaemonLimits limits;
  if (path.empty()) {
    return limits;
  }
  const auto settings = kernel::LoadFleetSettings(path);
  if (!settings.ok()) {
    return settings.status();
  }
  limits.request_memory_bytes = settings->RequestMemoryBytes();
  limits.retry_ratio = settings->retry_ratio;
  limits.retry_slack = settings->retry_slack;
  return limits;
}

// Reads the configuration in force, in the platform's form, from its store.
Task<absl::StatusOr<std::string>> ReadCatalogueInForce(std::string platform) {
  boost::asio::ip::tcp::endpoint endpoint;
  if (!http::ParseEndpoint(platform, &endpoint)) {
    co_return InvalidArgument(
        absl::StrCat("--platform \"", platform, "\" is not IP:PORT"),
        "set it to the address of the platform's store");
  }
  http::Client client;
  platform::StoreClient store(client, [endpoint] { return endpoint; });
  const absl::StatusOr<store::Update> update =
      co_await store.ReadNewest(store::Topic::kOperator);
  if (!update.ok()) {
    co_return update.status();
  }
  for (const store::Record& record : update->records) {
    if (platform::IsCatalogueKey(record.key) && !record.removed) {
      co_return record.value;
    }
  }
  co_return InvalidArgument("no configuration is in force",
                            "check the file without --live");
}

// What a file is compared with; nothing if neither option is set.
Task<absl::StatusOr<std::optional<std::string>>> ReadOtherCatalogue(
    const Options& options) {
  std::optional<std::string> other;
  if (options.live || !options.against.empty()) {
    absl::StatusOr<std::string> text = std::string();
    if (options.live) {
      text = co_await ReadCatalogueInForce(options.platform);
    } else {
      text = ReadConfiguration(options.against);
    }
    if (!text.ok()) {
      co_return text.status();
    }
    other = *std::move(text);
  }
  co_return other;
}

Task<absl::StatusOr<std::optional<config::Rows>>> ReadOtherRows(
    const Options& options,
    const RowsReader& read_rows) {
  std::optional<config::Rows> rows;
  if (options.live) {
    absl::StatusOr<config::Rows> in_force = co_await read_rows(options);
    if (!in_force.ok()) {
      co_return in_force.status();
    }
    rows = *std::move(in_force);
  } else if (!options.against.empty()) {
    const absl::StatusOr<std::string> text = ReadConfiguration(options.against);
    if (!text.ok()) {
      co_return text.status();
    }
    const std::vector<config::Problem> problems = config::CheckTables(*text);
    if (!problems.empty()) {
      co_return config::ToStatus(base::ErrorKind::kInvalidTables, problems);
    }
    rows = config::SplitTables(*text);
  }
  co_return rows;
}

Task<absl::StatusOr<config::CheckReport>> CheckFile(
    const Options& options,
    const RowsReader& read_rows) {
  const absl::StatusOr<std::string> text =
      ReadConfiguration(options.arguments[1]);
  if (!text.ok()) {
    co_return text.status();
  }
  if (!platform::IsCatalogueText(*text)) {
    auto rows = co_await ReadOtherRows(options, read_rows);
    if (!rows.ok()) {
      co_return rows.status();
    }
    co_return config::CheckTablesFile(*text, *rows);
  }
  const absl::StatusOr<fleet::DaemonLimits> limits =
      ReadLimits(options.settings);
  if (!limits.ok()) {
    co_return limits.status();
  }
  auto other = co_await ReadOtherCatalogue(options);
  if (!other.ok()) {
    co_return other.status();
  }
  co_return platform::CheckCatalogueFile(*text, *other, *limits);
}

}  // namespace

Task<ExitCode> RunConfigCheck(const Options& options,
                              const RowsReader& read_rows) {
  constexpr size_t kArguments = 2;
  if (options.arguments.size() != kArguments ||
      (options.live && !options.against.empty())) {
    fmt::print(stderr,
               "usage: dandelionctl config check FILE [--against FILE | --live "
               "--platform IP:PORT] [--settings FILE] [--json]\n");
    co_return ExitCode::kErrors;
  }
  const auto report = co_await CheckFile(options, read_rows);
  if (!report.ok()) {
    PrintError(report.status());
    co_return base::KindOf(report.status()) ==
            base::ErrorKind::kPlatformUnreachable
        ? ExitCode::kUnreachable
        : ExitCode::kErrors;
  }
  fmt::print("{}", options.json ? config::FormatAsJson(*report)
                                : config::FormatAsText(*report));
  if (report->HasErrors()) {
    co_return ExitCode::kErrors;
  }
  co_return report->findings.empty() ? ExitCode::kSuccess : ExitCode::kWarnings;
}

}  // namespace dandelion::tools
