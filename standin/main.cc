// standin ROLE IP:PORT [OPTIONS_JSON]: simulates an external system (an engine,
// a service or the platform) for tests and the demo.
#include <fmt/core.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "standin/common.h"

namespace dandelion::standin {
namespace {

int Run(const std::string& role, const RoleSettings& settings) {
  boost::asio::io_context context(1);
  http::Handler handler;
  if (role == "engine") {
    handler = MakeEngine(context.get_executor(), settings);
  } else if (role == "service") {
    handler = MakeService(context.get_executor(), settings);
  } else if (role == "platform") {
    handler = MakePlatform(context.get_executor(), settings);
  } else {
    fmt::print(
        stderr,
        "standin: unknown role \"{}\"; use engine, service or platform\n",
        role);
    return 2;
  }
  boost::asio::ip::tcp::endpoint endpoint;
  if (!http::ParseEndpoint(settings.listen, &endpoint)) {
    fmt::print(stderr, "standin: \"{}\" is not IP:PORT\n", settings.listen);
    return 2;
  }
  http::Server server(context.get_executor(), http::ServerLimits(),
                      std::move(handler));
  if (const absl::Status listening = server.BindAndAccept(endpoint);
      !listening.ok()) {
    fmt::print(stderr, "standin: {}\n", listening.ToString());
    return 1;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { context.stop(); });
  context.run();
  return 0;
}

}  // namespace
}  // namespace dandelion::standin

int main(int argc, char** argv) {
  if (argc < 3) {
    fmt::print(stderr,
               "usage: standin engine|service|platform IP:PORT [OPTIONS]\n");
    return 2;
  }
  dandelion::standin::RoleSettings settings;
  settings.listen = argv[2];
  settings.options = argc > 3 ? nlohmann::json::parse(argv[3], nullptr, false)
                              : nlohmann::json::object();
  if (settings.options.is_discarded()) {
    fmt::print(stderr, "standin: the options are not valid JSON\n");
    return 2;
  }
  return dandelion::standin::Run(argv[1], settings);
}
