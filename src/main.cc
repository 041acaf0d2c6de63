// dandeliond: the serving daemon that runs on each entry host.
#include <fmt/core.h>
#include <popt.h>
#include <sodium.h>
#include <tbb/task_arena.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>

#include "absl/cleanup/cleanup.h"
#include "base/heap.h"
#include "base/process_end.h"
#include "base/task.h"
#include "kernel/daemon.h"
#include "kernel/settings.h"
#include "telemetry/events.h"

namespace dandelion {
namespace {

constexpr int kExitStopped = 0;
constexpr int kExitDrainIncomplete = 1;
// Wrong arguments, invalid settings, or a service that could not start.
constexpr int kExitUsage = 2;

using telemetry::Emit;
using telemetry::Event;

// Drains the daemon, stores the exit code and stops `context`.
base::Task<void> DrainAndStop(kernel::Daemon& daemon,
                              boost::asio::io_context& context,
                              int* exit_code) {
  const absl::Cleanup stop = [&context] { context.stop(); };
  *exit_code = kExitDrainIncomplete;
  const bool finished = co_await daemon.Drain();
  *exit_code = finished ? kExitStopped : kExitDrainIncomplete;
}

// Runs the daemon until it is told to stop by SIGTERM or SIGINT, which drain
// it; a second signal stops it at once. Returns only if the daemon cannot
// start.
int RunDaemon(kernel::Settings settings) {
  boost::asio::io_context context(1);
  kernel::Daemon daemon(context.get_executor(), std::move(settings));
  if (const absl::Status start_status = daemon.Start(); !start_status.ok()) {
    Emit(Event::kStartFailed,
         {{"reason", std::string(start_status.message())}});
    return kExitUsage;
  }
  int exit_code = kExitStopped;
  int signals_received = 0;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  std::function<void()> wait_for_signal = [&] {
    signals.async_wait([&](boost::system::error_code error, int) {
      if (error) {
        return;
      }
      if (++signals_received > 1) {
        Emit(Event::kStopForced);
        exit_code = kExitDrainIncomplete;
        context.stop();
        return;
      }
      base::Spawn(context.get_executor(),
                  DrainAndStop(daemon, context, &exit_code));
      wait_for_signal();
    });
  };
  wait_for_signal();
  tbb::task_arena arena;
  arena.execute([&] {
    base::RunLoop(context, [](std::string_view reason) {
      Emit(Event::kTaskFailed, {{"reason", std::string(reason)}});
    });
  });
  base::EndProcess(exit_code);
}

struct Arguments {
  std::string settings_path;
  bool check_only = false;
  bool quiet = false;
};

// Returns 0, or the exit code if the arguments are wrong.
int ParseArguments(int argc, const char** argv, Arguments* arguments) {
  char* path = nullptr;
  int check_only = 0;
  int quiet = 0;
  const poptOption options[] = {{"settings", 's', POPT_ARG_STRING, &path, 0,
                                 "path of the JSON settings file", "FILE"},
                                {"check", 'c', POPT_ARG_NONE, &check_only, 0,
                                 "validate the settings and exit", nullptr},
                                {"quiet", 'q', POPT_ARG_NONE, &quiet, 0,
                                 "log warnings and errors only", nullptr},
                                POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext("dandeliond", argc, argv, options, 0), poptFreeContext);
  const int code = poptGetNextOpt(context.get());
  if (code < -1 || path == nullptr) {
    fmt::print(stderr, "dandeliond: {}\n",
               code < -1 ? poptStrerror(code) : "--settings is missing");
    poptPrintUsage(context.get(), stderr, 0);
    std::free(path);
    return kExitUsage;
  }
  arguments->settings_path = path;
  std::free(path);
  arguments->check_only = check_only != 0;
  arguments->quiet = quiet != 0;
  return 0;
}

int Main(int argc, const char** argv) {
  if (sodium_init() < 0) {
    fmt::print(stderr, "dandeliond: libsodium failed to initialize\n");
    return kExitUsage;
  }
  Arguments arguments;
  if (const int code = ParseArguments(argc, argv, &arguments); code != 0) {
    return code;
  }
  absl::StatusOr<kernel::Settings> settings =
      kernel::LoadSettings(arguments.settings_path);
  if (!settings.ok()) {
    fmt::print(stderr, "dandeliond: {}: {}\n", arguments.settings_path,
               std::string(settings.status().message()));
    return kExitUsage;
  }
  if (arguments.check_only) {
    fmt::print("{}: settings are valid\n", arguments.settings_path);
    return 0;
  }
  if (arguments.quiet) {
    telemetry::SetMinLevel(telemetry::Level::kWarning);
  }
  return RunDaemon(*std::move(settings));
}

}  // namespace
}  // namespace dandelion

int main(int argc, char** argv) {
  dandelion::base::ReturnLargeBlocks();
  std::signal(SIGPIPE, SIG_IGN);
  return dandelion::Main(argc, const_cast<const char**>(argv));
}
