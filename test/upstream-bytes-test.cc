#include <catch2/catch.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>

#include "base/error.h"
#include "platform_client/platform_client.h"
#include "test/raw-bytes-support.h"

namespace dandelion::test {
namespace {

using base::ErrorKind;
using base::Millis;
using base::Task;
using fleet::RequestKind;

http::Handler RespondWith(std::string body) {
  return [body = std::move(body)](http::Exchange& exchange) -> Task<void> {
    http::Response response;
    response.body = body;
    (void)co_await exchange.Respond(std::move(response));
  };
}

TEST_CASE("an append's response of the wrong type is an error", "[bytes]") {
  ForwardFixture fixture;
  FakeUpstream upstream(
      fixture.executor(),
      RespondWith(GENERATE(as<std::string>(), "[]", "{\"offset\": \"1\"}")));
  http::Client client;
  const auto log = platform_client::MakeHttpLog(client, upstream.address());
  const auto result = RunTask(fixture, log->Append("topic", "data"));
  REQUIRE(result);
  CHECK_FALSE(result->offset.ok());
  CHECK(result->may_be_in_log);
  upstream.CloseAll();
}

// Answers without length or chunks.

TEST_CASE("an unframed plain answer is passed on completely", "[bytes]") {
  ForwardFixture fixture;
  PublishUnsafeRoute(fixture);
  // Shorter and longer than what is buffered before an answer is passed on.
  const std::string body(GENERATE(0, 6, 300'000), 'a');
  fixture.AddRawUpstream("u-1", "write", RawHead("r-1", kUnframed) + body);
  const auto response = fixture.SendRequest(CallerRequestFor("write", "r-1"));
  REQUIRE(response.ok());
  CHECK(response->status == 200);
  CHECK(response->body == body);
  CHECK(response->headers.Find("X-Dandeliondyke-Response-Seal") == "seal");
}

TEST_CASE("an unframed stream is passed on completely", "[bytes]") {
  ForwardFixture fixture("draft", RequestKind::kGeneration);
  const std::string events = EventText(1) + EventText(2) + EventText(3);
  fixture.AddRawUpstream("u-1", "draft", RawHead("r-1", kUnframed) + events);
  const auto response = fixture.SendRequest(CallerRequestFor("draft", "r-1"));
  REQUIRE(response.ok());
  CHECK(response->status == 200);
  CHECK(response->body == events);
}

TEST_CASE("an unframed answer that is reset is not passed on as complete",
          "[bytes]") {
  ForwardFixture fixture;
  PublishUnsafeRoute(fixture);
  const size_t size = GENERATE(6, 300'000);
  RawAnswer answer{RawHead("r-1", kUnframed) + std::string(size, 'a')};
  answer.reset = true;
  fixture.AddRawUpstream("u-1", "write", std::move(answer));
  const auto response = fixture.SendRequest(CallerRequestFor("write", "r-1"));
  // Only an answer that was not begun can be replaced by a failure.
  CHECK((!response.ok() || response->status == 502));
}

TEST_CASE("a head that ends in the middle is no answer", "[bytes]") {
  ForwardFixture fixture;
  const bool generation = GENERATE(false, true);
  if (generation) {
    fixture.AddRoute("write", RequestKind::kGeneration).timeout = kLongTime;
    fixture.Publish();
  } else {
    PublishUnsafeRoute(fixture);
  }
  const std::string head = RawHead("r-1", kUnframed);
  // Everything but the last byte of the empty line, the line before it, and
  // cuts within the first line, a name and a value.
  const size_t kept = GENERATE_COPY(
      size_t{1}, size_t{9}, head.find("\r\n"), head.find("\r\n") + 2,
      head.find(':'), head.find(':') + 3, head.size() - 4, head.size() - 3,
      head.size() - 2, head.size() - 1);
  RawAnswer answer{head.substr(0, kept)};
  answer.reset = GENERATE(false, true);
  fixture.AddRawUpstream("u-1", "write", std::move(answer));
  const auto response = fixture.SendRequest(CallerRequestFor("write", "r-1"));
  REQUIRE(response.ok());
  CHECK(response->status == 502);
  CHECK(response->headers.Find("X-Dandeliondyke-Response-Seal").empty());
}

TEST_CASE("a head that ends in the middle fails a fetch", "[bytes]") {
  ForwardFixture fixture;
  const std::string head = RawHead("r-1", kUnframed);
  const size_t kept = GENERATE_COPY(size_t{9}, head.find("\r\n") + 2,
                                    head.size() - 2, head.size() - 1);
  RawUpstream upstream(fixture.executor(), {head.substr(0, kept)});
  http::Client client;
  const auto result =
      RunTask(fixture, client.Fetch(upstream.address(), http::Request(), {}));
  REQUIRE(result);
  CHECK_FALSE(result->response.ok());
  CHECK(result->may_have_been_sent);
}

TEST_CASE("a stream that ends within an event or never ends it is resumed",
          "[bytes]") {
  ForwardFixture fixture;
  PublishRetryableRoute(fixture, RequestKind::kGeneration);
  const bool endless = GENERATE(false, true);
  int calls = 0;
  const auto handler = [&](http::Exchange& exchange) -> Task<void> {
    const bool first = ++calls == 1;
    http::Response head = SealedResponse(exchange.request(), "");
    absl::Status written = co_await exchange.StartStream(std::move(head));
    const std::string events =
        first ? EventText(1) + "id: 2\nda" : EventText(2);
    written = co_await exchange.Write(events);
    const std::string piece(kRepeatedPiece, 'x');
    for (size_t sent = 0; first && endless && written.ok() &&
                          sent < RawUpstream::kMaxRepeatedBytes;
         sent += piece.size()) {
      written = co_await exchange.Write(piece);
    }
    if (written.ok()) {
      (void)co_await exchange.Finish();
    }
  };
  FakeUpstream& first = fixture.AddUpstream("u-1", "draft", handler);
  FakeUpstream& second = fixture.AddUpstream("u-2", "draft", handler);
  const auto response =
      fixture.SendRequest(CallerRequestFor("draft", "r-1", kLongTime));
  REQUIRE(response.ok());
  CHECK(response->body == EventText(1) + EventText(2));
  CHECK(first.seen().size() == 1);
  CHECK(second.seen().size() == 1);
}

TEST_CASE("a stream that ends within an event does not look complete",
          "[bytes]") {
  ForwardFixture fixture("draft", RequestKind::kGeneration);
  const std::string framing = GENERATE(as<std::string>(), kUnframed, kChunked);
  std::string body = EventText(1) + "id: 2\nda";
  if (framing == kChunked) {
    REQUIRE(body.size() == 0x17);
    body = "17\r\n" + body + "\r\n0\r\n\r\n";
  }
  fixture.AddRawUpstream("u-1", "draft", RawHead("r-1", framing) + body);
  CHECK_FALSE(fixture.SendRequest(CallerRequestFor("draft", "r-1")).ok());
  CHECK(fixture.loads.own_loads().empty());
}

TEST_CASE("a stream that ends before its first event does not look complete",
          "[bytes]") {
  ForwardFixture fixture("draft", RequestKind::kGeneration);
  const std::string framing = GENERATE(as<std::string>(), kUnframed, kChunked);
  const std::string body = framing == kChunked ? "0\r\n\r\n" : "";
  fixture.AddRawUpstream("u-1", "draft", RawHead("r-1", framing) + body);
  const auto response = fixture.SendRequest(CallerRequestFor("draft", "r-1"));
  REQUIRE(response.ok());
  CHECK(response->status == 502);
}

TEST_CASE("a stream that ends within an event counts as the engine's failure",
          "[bytes]") {
  ForwardFixture fixture("draft", RequestKind::kGeneration);
  fixture.AddRawUpstream(
      "u-1", "draft", RawHead("r-1", kUnframed) + EventText(1) + "id: 2\nda");
  CHECK_FALSE(fixture.SendRequest(CallerRequestFor("draft", "r-1")).ok());
  CHECK(fixture.health.FailureRate(base::UpstreamId("u-1")) > 0);
}

TEST_CASE("an answer that breaks off counts as the upstream's failure",
          "[bytes]") {
  ForwardFixture fixture;
  PublishUnsafeRoute(fixture);
  const size_t size = GENERATE(6, 300'000);
  fixture.AddRawUpstream(
      "u-1", "write",
      RawHead("r-1", "Content-Length: 400000\r\n") + std::string(size, 'a'));
  const auto response = fixture.SendRequest(CallerRequestFor("write", "r-1"));
  CHECK((!response.ok() || response->status == 502));
  CHECK(fixture.health.FailureRate(base::UpstreamId("u-1")) > 0);
}

TEST_CASE("a caller's disconnect does not count as the engine's failure",
          "[bytes]") {
  ForwardFixture fixture("draft", RequestKind::kGeneration);
  RawAnswer answer{RawHead("r-1", kUnframed)};
  answer.repeated = EventText(1);
  answer.pause = Millis(5);
  const RawUpstream& upstream =
      fixture.AddRawUpstream("u-1", "draft", std::move(answer));
  boost::asio::ip::tcp::socket caller(fixture.executor());
  caller.connect({boost::asio::ip::address_v4::loopback(), fixture.port()});
  const std::string request =
      "GET /draft/1 HTTP/1.1\r\nHost: front.example\r\n"
      "X-Dandeliondyke-Request-Id: r-1\r\n\r\n";
  boost::asio::write(caller, boost::asio::buffer(request));
  std::string received(1, '\0');
  bool started = false;
  boost::asio::async_read(caller, boost::asio::buffer(received),
                          [&started](auto, size_t) { started = true; });
  REQUIRE(fixture.RunUntil([&started] { return started; }));
  caller.close();
  CHECK(fixture.RunUntil([&upstream] { return upstream.cut() == 1; }));
  CHECK(fixture.RunUntil([&] { return fixture.loads.own_loads().empty(); }));
  CHECK(fixture.health.FailureRate(base::UpstreamId("u-1")) == 0);
}

TEST_CASE("a connection whose end ended an answer is not used again",
          "[bytes]") {
  ForwardFixture fixture;
  // Without "Connection: close", only the missing length shows how it ends.
  const RawUpstream upstream(fixture.executor(),
                             RawAnswer{RawHead("r-1", "") + "whole"});
  http::Client client;
  for (int i = 1; i <= 2; ++i) {
    const auto result = RunTask(
        fixture,
        client.Fetch(upstream.address(), http::Request(), http::FetchLimits()));
    REQUIRE(result);
    REQUIRE(result->response.ok());
    CHECK(result->response->body == "whole");
    CHECK(upstream.connections() == i);
  }
}

TEST_CASE("an aborted answer to an HTTP/1.0 caller does not look complete",
          "[bytes]") {
  ForwardFixture fixture("draft", RequestKind::kGeneration);
  fixture.AddRawUpstream(
      "u-1", "draft", RawHead("r-1", kUnframed) + EventText(1) + "id: 2\nda");
  boost::asio::ip::tcp::socket caller(fixture.executor());
  caller.connect({boost::asio::ip::address_v4::loopback(), fixture.port()});
  const std::string request =
      "GET /draft/1 HTTP/1.0\r\nHost: front.example\r\n"
      "X-Dandeliondyke-Request-Id: r-1\r\n\r\n";
  boost::asio::write(caller, boost::asio::buffer(request));
  std::string answer;
  std::optional<boost::system::error_code> end;
  boost::asio::async_read(
      caller, boost::asio::dynamic_buffer(answer),
      [&end](const boost::system::error_code& error, size_t) { end = error; });
  REQUIRE(fixture.RunUntil([&end] { return end.has_value(); }));
  CHECK(*end == boost::asio::error::connection_reset);
}

/// A server that answers requests on kept connections with fixed bytes: the
/// first on each connection with `first`, further ones with `next`.
class KeptServer {
 public:
  KeptServer(ForwardFixture& fixture, std::string first, std::string next)
      : acceptor_(fixture.executor(),
                  {boost::asio::ip::address_v4::loopback(), 0}),
        first_(std::move(first)),
        next_(std::move(next)) {
    base::Spawn(fixture.executor(), AcceptAll());
  }
  ~KeptServer() { acceptor_.close(); }

  boost::asio::ip::tcp::endpoint address() const {
    return acceptor_.local_endpoint();
  }
  int connections() const { return connections_; }
  /// Sends bytes on the last connection that no request has asked for.
  void SendUnasked(const std::string& bytes) {
    boost::asio::write(*last_, boost::asio::buffer(bytes));
  }

 private:
  Task<void> AcceptAll() {
    for (;;) {
      auto [error, socket] = co_await acceptor_.async_accept(base::kNoThrow);
      if (error) {
        co_return;
      }
      ++connections_;
      last_ = std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket));
      base::Spawn(acceptor_.get_executor(), Serve(last_, first_, next_));
    }
  }

  static Task<void> Serve(std::shared_ptr<boost::asio::ip::tcp::socket> socket,
                          std::string first,
                          std::string next) {
    std::string request(1000, '\0');
    for (const std::string* bytes = &first;; bytes = &next) {
      const auto [error, size] = co_await socket->async_read_some(
          boost::asio::buffer(request), base::kNoThrow);
      if (error) {
        co_return;
      }
      co_await boost::asio::async_write(*socket, boost::asio::buffer(*bytes),
                                        base::kNoThrow);
    }
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::string first_;
  std::string next_;
  int connections_ = 0;
  std::shared_ptr<boost::asio::ip::tcp::socket> last_;
};

const std::string kRefusal =
    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Ran: no\r\n\r\n";
const std::string kPlainAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer";

http::FetchResult Fetch(ForwardFixture& fixture,
                        http::Client& client,
                        const KeptServer& server) {
  http::Request request;
  request.method = "GET";
  request.target = "/";
  auto result = RunTask(
      fixture, client.Fetch(server.address(), request, http::FetchLimits()));
  REQUIRE(result);
  return *std::move(result);
}

TEST_CASE("a refusal that is written twice is taken for the next answer",
          "[bytes]") {
  ForwardFixture fixture;
  http::Client client;
  SECTION("the copy comes with the refusal") {
    KeptServer server(fixture, kRefusal + kRefusal, kPlainAnswer);
    CHECK_FALSE(Fetch(fixture, client, server).reused_connection);
    CHECK_FALSE(Fetch(fixture, client, server).reused_connection);
    CHECK(server.connections() == 2);
  }
  SECTION("the copy comes before the next request") {
    KeptServer server(fixture, kRefusal, kPlainAnswer);
    CHECK_FALSE(Fetch(fixture, client, server).reused_connection);
    server.SendUnasked(kRefusal);
    CHECK_FALSE(Fetch(fixture, client, server).reused_connection);
    CHECK(server.connections() == 2);
  }
  SECTION("the copy comes with the next answer") {
    // It can't be told from that answer. Whoever trusts a refusal must see that
    // it may be a late one.
    KeptServer server(fixture, kRefusal, kRefusal + kPlainAnswer);
    CHECK_FALSE(Fetch(fixture, client, server).reused_connection);
    CHECK(Fetch(fixture, client, server).reused_connection);
    CHECK(server.connections() == 1);
  }
}

/// Sends a request for a stream and returns all bytes that its caller receives
/// until the connection ends.
Task<std::string> ReceiveRaw(boost::asio::ip::tcp::endpoint daemon) {
  boost::asio::ip::tcp::socket socket(
      co_await boost::asio::this_coro::executor);
  co_await socket.async_connect(daemon, base::kNoThrow);
  const std::string request =
      "POST /draft/1 HTTP/1.1\r\nHost: front.example\r\n"
      "X-Dandeliondyke-Request-Id: r-1\r\n"
      "X-Dandeliondyke-Deadline-Ms: 5000\r\nConnection: close\r\n"
      "Content-Length: 0\r\n\r\n";
  co_await boost::asio::async_write(socket, boost::asio::buffer(request),
                                    base::kNoThrow);
  std::string received;
  co_await boost::asio::async_read(
      socket, boost::asio::dynamic_buffer(received), base::kNoThrow);
  co_return received;
}

TEST_CASE("the error of the next engine gets into a stream that broke off",
          "[bytes]") {
  ForwardFixture fixture;
  PublishRetryableRoute(fixture, RequestKind::kGeneration);
  fixture.AddRawUpstream(
      "u-1", "draft",
      RawHead("r-1", kChunked) + "f\r\n" + EventText(1) + "\r\n");
  // An error with the engine's seal, one without, a refusal, and bytes that are
  // no answer.
  const std::string error = GENERATE(
      std::string("HTTP/1.1 500 Error\r\nX-Dandeliondyke-Request-Id: r-1\r\n"
                  "X-Dandeliondyke-Response-Seal: seal\r\n"
                  "Content-Length: 13\r\n\r\nengine failed"),
      std::string("HTTP/1.1 502 Error\r\nContent-Length: 13\r\n\r\n"
                  "engine failed"),
      std::string("HTTP/1.1 200 OK\r\nX-Dandeliondyke-Request-Id: r-1\r\n"
                  "Content-Length: 15\r\n\r\nengine failed\n\n"),
      std::string("HTTP/1.1 503 Busy\r\nX-Dandeliondyke-Request-Id: r-1\r\n"
                  "X-Dandeliondyke-Not-Executed: 1\r\n"
                  "Content-Length: 13\r\n\r\nengine failed"),
      std::string("engine failed\r\n\r\n"));
  fixture.AddRawUpstream("u-2", "draft", error);
  // Makes the first engine the first choice.
  const routing::LoadReservation busy(fixture.loads, base::UpstreamId("u-2"),
                                      {1, 5000, 0, 0});
  const std::optional<std::string> answer = RunTask(
      fixture,
      ReceiveRaw({boost::asio::ip::address_v4::loopback(), fixture.port()}));
  REQUIRE(answer);
  const std::string& received = *answer;
  CHECK(received.find("engine failed") == std::string::npos);
  CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(received.find(EventText(1)) != std::string::npos);
  // The stream must not look complete: its last chunk is missing.
  CHECK_FALSE(received.ends_with("0\r\n\r\n"));
}

}  // namespace
}  // namespace dandelion::test
