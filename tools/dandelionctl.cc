// dandelionctl: command line tool for operators and callers.
#include <fmt/core.h>
#include <popt.h>
#include <sodium.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdlib>
#include <memory>

#include "tools/command.h"

namespace dandelion::tools {
namespace {

std::vector<Command> AllCommands() {
  std::vector<Command> all = ConfigCommands();
  for (Command& command : FleetCommands()) {
    all.push_back(std::move(command));
  }
  return all;
}

void PrintUsage(std::FILE* out) {
  fmt::print(out, "usage: dandelionctl VERB [ARGUMENTS] [OPTIONS]\n\n");
  for (const Command& command : AllCommands()) {
    fmt::print(out, "  {:<10}{:<32}{}\n", command.name, command.arguments,
               command.help);
  }
  fmt::print(out,
             "\nexit codes: 0 done, 1 failed, 2 usage, 3 invalid tables, "
             "4 lost a race,\n5 outcome unknown, 6 platform unreachable;\n"
             "of config check: 0 clean, 1 warnings, 2 errors\n\n");
}

/// Owns the string that popt allocates for an option and copies it to the
/// target on destruction. The target keeps its value if the option is absent.
class TextOption {
 public:
  explicit TextOption(std::string* target) : target_(target) {}
  ~TextOption() {
    if (value_ != nullptr) {
      *target_ = value_;
    }
    std::free(value_);
  }
  TextOption(const TextOption&) = delete;
  TextOption& operator=(const TextOption&) = delete;
  char** value() { return &value_; }

 private:
  std::string* target_;
  char* value_ = nullptr;
};

bool ParseCommandLine(int argc,
                      const char** argv,
                      Options* options,
                      bool* help) {
  TextOption against(&options->against);
  TextOption settings(&options->settings);
  TextOption platform(&options->platform);
  TextOption admin(&options->admin);
  TextOption to(&options->to);
  TextOption organisation(&options->organisation);
  TextOption label(&options->label);
  TextOption path(&options->path);
  TextOption key(&options->key);
  TextOption prompt(&options->prompt);
  TextOption body(&options->body);
  int stream = 0;
  int as_json = 0;
  int live = 0;
  int wants_help = 0;
  const poptOption table[] = {
      {"against", 0, POPT_ARG_STRING, against.value(), 0,
       "compare the checked configuration with this one", "FILE"},
      {"live", 0, POPT_ARG_NONE, &live, 0,
       "compare the checked configuration with the version in force", nullptr},
      {"settings", 0, POPT_ARG_STRING, settings.value(), 0,
       "a daemon's settings, for the limits in them", "FILE"},
      {"platform", 'p', POPT_ARG_STRING, platform.value(), 0,
       "the platform's log service", "IP:PORT"},
      {"admin", 'a', POPT_ARG_STRING, admin.value(), 0,
       "addresses of the daemons' admin servers", "IP:PORT,..."},
      {"to", 't', POPT_ARG_STRING, to.value(), 0,
       "addresses on which daemons accept requests", "IP:PORT,..."},
      {"organisation", 'o', POPT_ARG_STRING, organisation.value(), 0,
       "the organisation that sends the request", "NAME"},
      {"label", 'l', POPT_ARG_STRING, label.value(), 0, "the request's label",
       "NAME"},
      {"path", 0, POPT_ARG_STRING, path.value(), 0, "the request's path",
       "PATH"},
      {"key", 'k', POPT_ARG_STRING, key.value(), 0, "the Idempotency-Key",
       "KEY"},
      {"prompt", 0, POPT_ARG_STRING, prompt.value(), 0,
       "send a completion request with this prompt", "TEXT"},
      {"body", 'b', POPT_ARG_STRING, body.value(), 0, "the request's body",
       "JSON"},
      {"based-on", 0, POPT_ARG_INT, &options->based_on, 0,
       "publish only if this version is current", "VERSION"},
      {"times", 0, POPT_ARG_INT, &options->times, 0,
       "number of reports to print; 0 for no limit", "N"},
      {"stream", 's', POPT_ARG_NONE, &stream, 0, "ask for a stream", nullptr},
      {"json", 'j', POPT_ARG_NONE, &as_json, 0, "print JSON", nullptr},
      {"help", 'h', POPT_ARG_NONE, &wants_help, 0, "show this help", nullptr},
      POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext("dandelionctl", argc, argv, table, 0), poptFreeContext);
  const int code = poptGetNextOpt(context.get());
  if (code < -1) {
    fmt::print(stderr, "dandelionctl: {}: {}\n",
               poptBadOption(context.get(), 0), poptStrerror(code));
    return false;
  }
  while (const char* argument = poptGetArg(context.get())) {
    options->arguments.emplace_back(argument);
  }
  options->stream = stream != 0;
  options->json = as_json != 0;
  options->live = live != 0;
  *help = wants_help != 0;
  if (*help) {
    PrintUsage(stdout);
    poptPrintHelp(context.get(), stdout, 0);
  }
  return true;
}

base::Task<void> RunTask(const Command& command,
                         const Options& options,
                         ExitCode* exit_code) {
  *exit_code = co_await command.run(options);
}

int Main(int argc, const char** argv) {
  Options options;
  bool help = false;
  if (sodium_init() < 0 || !ParseCommandLine(argc, argv, &options, &help)) {
    return static_cast<int>(ExitCode::kUsage);
  }
  if (help) {
    return 0;
  }
  const std::vector<Command> commands = AllCommands();
  const std::string verb =
      options.arguments.empty() ? "" : options.arguments[0];
  for (const Command& command : commands) {
    if (command.name == verb) {
      options.arguments.erase(options.arguments.begin());
      boost::asio::io_context context(1);
      ExitCode exit_code = ExitCode::kFailure;
      base::Spawn(context.get_executor(),
                  RunTask(command, options, &exit_code));
      context.run();
      return static_cast<int>(exit_code);
    }
  }
  PrintUsage(stderr);
  return static_cast<int>(ExitCode::kUsage);
}

}  // namespace
}  // namespace dandelion::tools

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return dandelion::tools::Main(argc, const_cast<const char**>(argv));
}
