// dandelionctl: the operators' and callers' tool.
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

void PrintCommands(std::FILE* out) {
  fmt::print(out, "usage: dandelionctl VERB [ARGUMENTS] [OPTIONS]\n\n");
  for (const Command& command : AllCommands()) {
    fmt::print(out, "  {:<10}{:<32}{}\n", command.name, command.arguments,
               command.help);
  }
  fmt::print(out,
             "\nexit codes: 0 done, 1 failed, 2 usage, 3 invalid tables, "
             "4 lost a race,\n5 outcome unknown, 6 platform unreachable\n\n");
}

/// popt's storage for one string option.
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

bool Parse(int argc, const char** argv, Options* options, bool* help) {
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
  int wants_help = 0;
  const poptOption table[] = {
      {"platform", 'p', POPT_ARG_STRING, platform.value(), 0,
       "the platform's log service", "IP:PORT"},
      {"admin", 'a', POPT_ARG_STRING, admin.value(), 0, "daemons' admin ports",
       "IP:PORT,..."},
      {"to", 't', POPT_ARG_STRING, to.value(), 0, "daemons' callers' ports",
       "IP:PORT,..."},
      {"organisation", 'o', POPT_ARG_STRING, organisation.value(), 0,
       "who sends the request", "NAME"},
      {"label", 'l', POPT_ARG_STRING, label.value(), 0, "the request's label",
       "NAME"},
      {"path", 0, POPT_ARG_STRING, path.value(), 0, "the request's path",
       "PATH"},
      {"key", 'k', POPT_ARG_STRING, key.value(), 0, "the Idempotency-Key",
       "KEY"},
      {"prompt", 0, POPT_ARG_STRING, prompt.value(), 0,
       "sends a completion request", "TEXT"},
      {"body", 'b', POPT_ARG_STRING, body.value(), 0, "the request's body",
       "JSON"},
      {"based-on", 0, POPT_ARG_INT, &options->based_on, 0,
       "publish only if this version is in force", "VERSION"},
      {"times", 0, POPT_ARG_INT, &options->times, 0,
       "how often to print; 0 goes on", "N"},
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
  *help = wants_help != 0;
  if (*help) {
    PrintCommands(stdout);
    poptPrintHelp(context.get(), stdout, 0);
  }
  return true;
}

base::Task<void> RunTask(const Command& command,
                         const Options& options,
                         Exit* exit) {
  *exit = co_await command.run(options);
}

int Main(int argc, const char** argv) {
  Options options;
  bool help = false;
  if (sodium_init() < 0 || !Parse(argc, argv, &options, &help)) {
    return static_cast<int>(Exit::kUsage);
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
      Exit exit = Exit::kFailed;
      base::Spawn(context.get_executor(), RunTask(command, options, &exit));
      context.run();
      return static_cast<int>(exit);
    }
  }
  PrintCommands(stderr);
  return static_cast<int>(Exit::kUsage);
}

}  // namespace
}  // namespace dandelion::tools

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return dandelion::tools::Main(argc, const_cast<const char**>(argv));
}
