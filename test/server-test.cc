#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "http/server.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;
using boost::asio::ip::tcp;

Task<void> Answer(http::Exchange& exchange) {
  if (exchange.request().target == "/throw") {
    throw std::runtime_error("unexpected");
  }
  http::Response response;
  response.body = "answer";
  (void)co_await exchange.Respond(std::move(response));
}

/// Sends `bytes` to a server with `limits` and returns all that it sends until
/// it closes the connection.
std::string SendToServer(const http::ServerLimits& limits, std::string bytes) {
  boost::asio::io_context context;
  http::Server server(context.get_executor(), limits, Answer);
  const tcp::endpoint loopback(boost::asio::ip::address_v4::loopback(), 0);
  REQUIRE(server.BindAndAccept(loopback).ok());
  tcp::socket caller(context);
  caller.connect({loopback.address(), server.port()});
  std::string received;
  bool done = false;
  boost::asio::async_write(
      caller, boost::asio::buffer(bytes),
      [&](boost::system::error_code, size_t) {
        boost::asio::async_read(
            caller, boost::asio::dynamic_buffer(received),
            [&](boost::system::error_code, size_t) { done = true; });
      });
  while (!done) {
    context.run_one();
  }
  server.StopAccepting();
  server.CloseAll();
  while (context.poll() > 0) {
  }
  return received;
}

TEST_CASE("a request that stops arriving is answered with 408", "[server]") {
  http::ServerLimits limits;
  limits.header_timeout = Millis(20);
  limits.body_timeout = Millis(20);
  const std::string head = "POST /1 HTTP/1.1\r\nHost: front.example\r\n";
  const std::string begun =
      GENERATE(std::string(), std::string("Content-Length: 100\r\n\r\nbegin"));
  CHECK(SendToServer(limits, head + begun).starts_with("HTTP/1.1 408"));
}

TEST_CASE("a complete answer to a HEAD request has a body", "[server]") {
  const std::string answer = SendToServer(
      http::ServerLimits(),
      "HEAD / HTTP/1.1\r\nHost: front.example\r\nConnection: close\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.ends_with("\r\n\r\n"));
}

/// A server on the loopback address and callers that connect to it.
class ServerFixture {
 public:
  explicit ServerFixture(const http::ServerLimits& limits,
                         http::ServerHooks hooks = {},
                         http::Handler handler = Answer)
      : server(context.get_executor(),
               limits,
               std::move(handler),
               std::move(hooks)) {
    REQUIRE(server.BindAndAccept(loopback_).ok());
  }
  ~ServerFixture() {
    server.StopAccepting();
    server.CloseAll();
    while (context.poll() > 0) {
    }
  }

  tcp::endpoint endpoint() const {
    return {loopback_.address(), server.port()};
  }
  tcp::socket Connect() {
    tcp::socket caller(context);
    caller.connect(endpoint());
    return caller;
  }
  /// Sends a request, and returns the first bytes of the answer; empty if the
  /// server closed the connection.
  std::string Ask(tcp::socket& caller) {
    boost::asio::write(caller,
                       boost::asio::buffer(std::string(
                           "GET / HTTP/1.1\r\nHost: front.example\r\n\r\n")));
    std::string received(200, '\0');
    bool done = false;
    caller.async_read_some(boost::asio::buffer(received),
                           [&](boost::system::error_code, size_t size) {
                             received.resize(size);
                             done = true;
                           });
    RunUntil([&done] { return done; });
    return received;
  }
  /// Runs tasks until the condition holds; fails after ten seconds.
  void RunUntil(const std::function<bool()>& condition) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition()) {
      REQUIRE(std::chrono::steady_clock::now() < end);
      context.run_one_for(std::chrono::milliseconds(100));
    }
  }
  /// Whether the server has closed a connection on which nothing is due.
  bool IsClosed(tcp::socket& caller) {
    boost::system::error_code error;
    caller.non_blocking(true);
    char byte = 0;
    caller.receive(boost::asio::buffer(&byte, 1), 0, error);
    return error && error != boost::asio::error::would_block;
  }

  boost::asio::io_context context;
  http::Server server;

 private:
  const tcp::endpoint loopback_{boost::asio::ip::address_v4::loopback(), 0};
};

/// Leaves the process without a free descriptor.
class NoFreeDescriptors {
 public:
  NoFreeDescriptors() {
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before_) == 0);
    const int lowest_free = open("/dev/null", O_RDONLY);
    REQUIRE(lowest_free >= 0);
    close(lowest_free);
    rlimit none = before_;
    none.rlim_cur = static_cast<rlim_t>(lowest_free);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
  }
  ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;

 private:
  rlimit before_{};
};

TEST_CASE("a server without a free descriptor says that it cannot accept",
          "[server]") {
  int failures = 0;
  int resumed = 0;
  int accepted = 0;
  http::ServerHooks hooks;
  hooks.on_accept_failed = [&failures](std::string_view) { ++failures; };
  hooks.on_accept_resumed = [&resumed](Millis) { ++resumed; };
  hooks.on_accepted = [&accepted] { ++accepted; };
  ServerFixture fixture({}, hooks);
  CHECK(fixture.server.CanAccept());
  tcp::socket caller(fixture.context);
  caller.open(tcp::v4());
  {
    const NoFreeDescriptors none;
    caller.connect(fixture.endpoint());
    fixture.RunUntil([&failures] { return failures > 0; });
    CHECK_FALSE(fixture.server.CanAccept());
  }
  fixture.RunUntil([&accepted] { return accepted > 0; });
  CHECK(fixture.server.CanAccept());
  CHECK(failures == 1);
  CHECK(resumed == 1);
  CHECK(fixture.Ask(caller).starts_with("HTTP/1.1 200"));
}

TEST_CASE("a server without a free descriptor closes an idle connection",
          "[server]") {
  ServerFixture fixture({});
  tcp::socket idle = fixture.Connect();
  REQUIRE(fixture.Ask(idle).starts_with("HTTP/1.1 200"));
  tcp::socket caller(fixture.context);
  caller.open(tcp::v4());
  const NoFreeDescriptors none;
  caller.connect(fixture.endpoint());
  CHECK(fixture.Ask(caller).starts_with("HTTP/1.1 200"));
  CHECK(fixture.IsClosed(idle));
}

TEST_CASE("an unexpected error ends one connection, not the process",
          "[server]") {
  std::vector<std::string> reasons;
  http::ServerHooks hooks;
  hooks.on_handler_failed = [&reasons](std::string_view reason) {
    reasons.emplace_back(reason);
  };
  ServerFixture fixture({}, hooks);
  tcp::socket other = fixture.Connect();
  tcp::socket failed = fixture.Connect();
  boost::asio::write(failed, boost::asio::buffer(std::string(
                                 "GET /throw HTTP/1.1\r\nHost: h\r\n\r\n")));
  fixture.RunUntil([&reasons] { return !reasons.empty(); });
  CHECK(reasons == std::vector<std::string>{"unexpected"});
  CHECK(fixture.IsClosed(failed));
  CHECK(fixture.Ask(other).starts_with("HTTP/1.1 200"));
}

TEST_CASE("an idle connection is closed after the idle timeout", "[server]") {
  http::ServerLimits limits;
  limits.idle_timeout = Millis(20);
  ServerFixture fixture(limits);
  tcp::socket unused = fixture.Connect();
  tcp::socket used = fixture.Connect();
  REQUIRE(fixture.Ask(used).starts_with("HTTP/1.1 200"));
  fixture.RunUntil([&fixture] { return fixture.server.connections() == 0; });
  CHECK(fixture.IsClosed(unused));
  CHECK(fixture.IsClosed(used));
}

TEST_CASE("idle connections make room for new ones at the limit", "[server]") {
  int rejected = 0;
  http::ServerHooks hooks;
  hooks.on_rejected = [&rejected] { ++rejected; };
  http::ServerLimits limits;
  limits.connections = 2;
  ServerFixture fixture(limits, hooks);
  tcp::socket first = fixture.Connect();
  REQUIRE(fixture.Ask(first).starts_with("HTTP/1.1 200"));
  tcp::socket second = fixture.Connect();
  REQUIRE(fixture.Ask(second).starts_with("HTTP/1.1 200"));
  CHECK(fixture.server.CanAccept());
  tcp::socket third = fixture.Connect();
  CHECK(fixture.Ask(third).starts_with("HTTP/1.1 200"));
  CHECK(rejected == 0);
  // Connections that have not sent their first request are not closed.
  tcp::socket silent = fixture.Connect();
  tcp::socket also_silent = fixture.Connect();
  fixture.RunUntil([&fixture] { return !fixture.server.CanAccept(); });
  tcp::socket late = fixture.Connect();
  CHECK(fixture.Ask(late).starts_with("HTTP/1.1 503"));
  CHECK(rejected == 1);
}

// The answer pauses, as a stream does between two events.
TEST_CASE("a caller that takes its answer makes room for others", "[server]") {
  constexpr size_t kRoom = 1'000'000;
  constexpr std::chrono::milliseconds kPause(50);
  http::ServerLimits limits;
  limits.request_memory_bytes = kRoom;
  bool resumed = false;
  bool gone = false;
  const auto handler = [&](http::Exchange& exchange) -> Task<void> {
    if (exchange.request().target != "/paused") {
      co_await Answer(exchange);
      co_return;
    }
    exchange.OnCallerDisconnect([&gone] { gone = true; });
    (void)co_await exchange.StartStream(http::Response());
    (void)co_await exchange.Write("first");
    while (!resumed && !gone) {
      co_await base::SleepFor(Millis(5));
    }
    (void)co_await exchange.Write("second");
    (void)co_await exchange.Finish();
  };
  ServerFixture fixture(limits, {}, handler);
  const auto make_request = [](const std::string& target, size_t bytes) {
    return "POST " + target + " HTTP/1.1\r\nHost: front.example\r\n" +
           "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" +
           std::string(bytes, 'x');
  };
  tcp::socket caller = fixture.Connect();
  const std::string request = make_request("/paused", kRoom / 2);
  boost::asio::async_write(caller, boost::asio::buffer(request),
                           [](boost::system::error_code, size_t) {});
  std::string received;
  const auto read_until = [&](const std::string& text) {
    bool done = false;
    boost::asio::async_read_until(
        caller, boost::asio::dynamic_buffer(received), text,
        [&done](boost::system::error_code, size_t) { done = true; });
    fixture.RunUntil([&done] { return done; });
    return received.find(text) != std::string::npos;
  };
  REQUIRE(read_until("first"));
  const auto paused_until = std::chrono::steady_clock::now() + kPause;
  fixture.RunUntil([paused_until] {
    return std::chrono::steady_clock::now() > paused_until;
  });
  // There is no room for this one while the other is answered.
  tcp::socket other = fixture.Connect();
  const std::string large = make_request("/", kRoom / 2);
  boost::asio::async_write(other, boost::asio::buffer(large),
                           [](boost::system::error_code, size_t) {});
  std::string answer;
  bool answered = false;
  boost::asio::async_read_until(
      other, boost::asio::dynamic_buffer(answer), "\r\n",
      [&answered](boost::system::error_code, size_t) { answered = true; });
  fixture.RunUntil([&answered] { return answered; });
  resumed = true;
  CHECK(read_until("second"));
  CHECK_FALSE(gone);
  CHECK(answer.starts_with("HTTP/1.1 503"));
}

TEST_CASE("callers that arrive together are accepted together", "[server]") {
  constexpr int kCallers = 30;
  int accepted = 0;
  http::ServerHooks hooks;
  hooks.on_accepted = [&accepted] { ++accepted; };
  ServerFixture fixture({}, hooks);
  std::vector<tcp::socket> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(fixture.Connect());
  }
  int turns = 0;
  while (accepted < kCallers) {
    fixture.context.run_one();
    turns += accepted > 0 ? 1 : 0;
  }
  CHECK(turns <= 2);
}

TEST_CASE("a server that does not listen says that it cannot accept",
          "[server]") {
  boost::asio::io_context context;
  http::Server server(context.get_executor(), {}, Answer);
  const tcp::endpoint loopback(boost::asio::ip::address_v4::loopback(), 0);
  REQUIRE(server.Bind(loopback).ok());
  CHECK_FALSE(server.CanAccept());
  REQUIRE(server.StartAccepting().ok());
  CHECK(server.CanAccept());
  server.StopAccepting();
  CHECK_FALSE(server.CanAccept());
  context.poll();
}

}  // namespace
}  // namespace dandelion::test
