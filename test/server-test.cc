#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "http/server.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;
using boost::asio::ip::tcp;

Task<void> Answer(http::Exchange& exchange) {
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

}  // namespace
}  // namespace dandelion::test
