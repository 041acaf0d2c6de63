#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <pcg_random.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "http/server.h"

// Random requests, most of them almost right, against a server in the test's
// process.

namespace dandelion::test {
namespace {

using base::Task;
using boost::asio::ip::tcp;

constexpr int kRequestsPerSeed = 400;
constexpr size_t kMemoryBytes = size_t{2} * 1024 * 1024;

class RequestGenerator {
 public:
  explicit RequestGenerator(uint64_t seed) : random_(seed) {}

  /// Returns bytes as a caller may send them on one connection.
  std::string Next() {
    std::string bytes;
    for (uint32_t i = 0; i <= random_(2); ++i) {
      bytes += MakeRequest();
    }
    if (random_(2) == 0) {
      Mutate(&bytes);
    }
    if (random_(3) == 0) {
      bytes.resize(random_(static_cast<uint32_t>(bytes.size()) + 1));
    }
    return bytes;
  }

  uint32_t Draw(uint32_t bound) { return random_(bound); }

 private:
  std::string MakeRequest() {
    constexpr std::array kMethods = {"GET", "POST", "HEAD", "PUT", "\x01"};
    std::string request = absl::StrCat(
        kMethods[random_(kMethods.size())], " /", std::string(random_(40), 'p'),
        random_(8) == 0 ? " HTTP/1.0" : " HTTP/1.1",
        "\r\nHost: front.example\r\n");
    for (uint32_t i = random_(6); i > 0; --i) {
      absl::StrAppend(&request, "X-", i, ": ", std::string(random_(200), 'v'),
                      "\r\n");
    }
    const std::string body(random_(4) == 0 ? random_(60'000) : random_(50),
                           'b');
    switch (random_(4)) {
      case 0:
        return request + "\r\n";
      case 1:
        return request + MakeChunked(body);
      default:
        return absl::StrCat(request, "Content-Length: ",
                            body.size() + (random_(10) == 0 ? 1 : 0),
                            "\r\n\r\n", body);
    }
  }

  std::string MakeChunked(const std::string& body) {
    std::string text = "Transfer-Encoding: chunked\r\n\r\n";
    for (size_t sent = 0; sent < body.size();) {
      const size_t size =
          std::min<size_t>(body.size() - sent, 1 + random_(5000));
      absl::StrAppend(&text, absl::Hex(size), random_(20) == 0 ? ";x=y" : "",
                      "\r\n", body.substr(sent, size), "\r\n");
      sent += size;
    }
    return absl::StrCat(text, "0\r\n",
                        random_(4) == 0 ? "X-Trailer: t\r\n" : "", "\r\n");
  }

  void Mutate(std::string* bytes) {
    constexpr uint32_t kByteValues = 256;
    for (uint32_t i = 0; i <= random_(4); ++i) {
      const size_t at = random_(static_cast<uint32_t>(bytes->size()));
      const char value = static_cast<char>(random_(kByteValues));
      switch (random_(3)) {
        case 0:
          (*bytes)[at] = value;
          break;
        case 1:
          bytes->insert(at, random_(30), value);
          break;
        default:
          bytes->erase(at, random_(30));
          break;
      }
      if (bytes->empty()) {
        return;
      }
    }
  }

  pcg32 random_;
};

Task<void> Answer(http::Exchange& exchange) {
  http::Response response;
  response.body = "answer";
  (void)co_await exchange.Respond(std::move(response));
}

struct FuzzFixture {
  FuzzFixture()
      : server(context.get_executor(), MakeLimits(), Answer, Hooks()) {
    REQUIRE(server.BindAndAccept(loopback).ok());
  }
  ~FuzzFixture() {
    server.StopAccepting();
    server.CloseAll();
    context.poll();
  }

  static http::ServerLimits MakeLimits() {
    http::ServerLimits limits;
    limits.header_bytes = 2048;
    limits.body_bytes = 64 * 1024;
    limits.request_memory_bytes = kMemoryBytes;
    return limits;
  }
  http::ServerHooks Hooks() {
    http::ServerHooks hooks;
    hooks.on_handler_failed = [this](std::string_view) { ++failures; };
    return hooks;
  }

  /// Sends `bytes` in pieces and returns what the server sends until the
  /// connection ends.
  std::string Send(const std::string& bytes, size_t piece) {
    tcp::socket caller(context);
    caller.connect({loopback.address(), server.port()});
    std::string received;
    bool done = false;
    boost::asio::async_read(
        caller, boost::asio::dynamic_buffer(received),
        [&done](boost::system::error_code, size_t) { done = true; });
    for (size_t sent = 0; sent < bytes.size(); sent += piece) {
      boost::system::error_code error;
      boost::asio::write(
          caller,
          boost::asio::buffer(bytes.data() + sent,
                              std::min(piece, bytes.size() - sent)),
          error);
      context.poll();
      most = std::max(most, server.request_memory());
    }
    boost::system::error_code ignored;
    caller.shutdown(tcp::socket::shutdown_send, ignored);
    while (!done) {
      context.run_one();
      most = std::max(most, server.request_memory());
    }
    return received;
  }

  tcp::endpoint loopback{boost::asio::ip::address_v4::loopback(), 0};
  boost::asio::io_context context;
  size_t most = 0;
  int failures = 0;
  http::Server server;
};

TEST_CASE("random requests harm the server or those that follow", "[fuzz]") {
  const uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  CAPTURE(seed);
  RequestGenerator generator(seed);
  FuzzFixture fixture;
  for (int i = 0; i < kRequestsPerSeed; ++i) {
    CAPTURE(i);
    const std::string bytes = generator.Next();
    const std::string answer = fixture.Send(bytes, 1 + generator.Draw(20'000));
    // Whatever is answered is HTTP.
    CHECK((answer.empty() || answer.starts_with("HTTP/1.1 ")));
    while (fixture.server.connections() > 0) {
      fixture.context.run_one();
    }
    REQUIRE(fixture.server.request_memory() == 0);
  }
  CHECK(fixture.failures == 0);
  CHECK(fixture.most <= kMemoryBytes);
  const std::string sound = fixture.Send(
      "GET / HTTP/1.1\r\nHost: front.example\r\nConnection: close\r\n\r\n",
      100);
  CHECK(sound.starts_with("HTTP/1.1 200"));
  CHECK(sound.ends_with("answer"));
}

}  // namespace
}  // namespace dandelion::test
