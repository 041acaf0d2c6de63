#include <catch2/catch.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/engine_control.h"
#include "platform/store_client.h"
#include "test/broken-answers-support.h"
#include "test/daemon-support.h"
#include "upstream/engine_client.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;
using fleet::RequestKind;
using nlohmann::json;

// The other places where answers are read.

// A daemon as a process of its own, whose reads and writes happen while the
// upstream's do.

/// A daemon process whose upstreams all send the same bytes.
struct DaemonFixture : PlatformFixture {
  explicit DaemonFixture(const RawAnswer& answer) {
    // More than uploads, as one whose answer broke is avoided for a while.
    constexpr int kUpstreams = 8;
    store.AppendRecord(
        "config",
        json({{"version", 1},
              {"routes",
               {MakeRoute(kAnswerRoute, "non_idempotent", "services")}},
              {"backends", {{{"name", "services"}}}}})
            .dump(),
        "keyed.op");
    for (int i = 0; i < kUpstreams; ++i) {
      upstreams.push_back(
          std::make_unique<RawUpstream>(context.get_executor(), answer));
      store.AppendRecord(
          "u-" + std::to_string(i),
          MakeUpstreamEntry("services", upstreams.back()->address(), 10).dump(),
          "keyed.servers");
    }
    daemon = std::make_unique<RunningDaemon>(*this);
  }
  ~DaemonFixture() {
    daemon.reset();
    for (const auto& upstream : upstreams) {
      upstream->Close();
    }
    EndTasks();
  }

  /// Returns all bytes that the caller of an upload gets; empty if none come.
  std::string Upload() {
    const auto received = std::make_shared<std::optional<std::string>>();
    base::Spawn(context.get_executor(),
                StoreResult(UploadUntilTaken(daemon->address), received));
    RunUntil([&received] { return received->has_value(); });
    return received->value_or("");
  }

  /// Repeats an upload that is rejected, as all are until the daemon has read
  /// its configuration.
  static Task<std::string> UploadUntilTaken(tcp::endpoint daemon) {
    const std::string request =
        "POST /write/1 HTTP/1.1\r\nHost: front.example\r\n"
        "X-Dandeliondyke-Request-Id: r-1\r\nConnection: close\r\n"
        "Content-Length: " +
        std::to_string(kLongUpload) + "\r\n\r\n" +
        std::string(kLongUpload, 'q');
    std::string received;
    while (received.empty() || received.starts_with("HTTP/1.1 503")) {
      co_await base::SleepFor(Millis(5));
      tcp::socket socket(co_await boost::asio::this_coro::executor);
      co_await socket.async_connect(daemon, base::kNoThrow);
      co_await boost::asio::async_write(socket, boost::asio::buffer(request),
                                        base::kNoThrow);
      received.clear();
      co_await boost::asio::async_read(
          socket, boost::asio::dynamic_buffer(received), base::kNoThrow);
    }
    co_return received;
  }

  std::vector<std::unique_ptr<RawUpstream>> upstreams;
  std::unique_ptr<RunningDaemon> daemon;
};

constexpr int kUploads = 6;

TEST_CASE("a daemon process passes early answers that are whole on",
          "[answers]") {
  RawAnswer answer{RawHead("r-1", kUnframed) + "whole"};
  SECTION("its server reads the upload to its end") {
    answer.shut_down = true;
    answer.read_rest = true;
  }
  SECTION("its server ends its side, then resets the connection") {
    answer.shut_down = true;
    answer.reset = true;
  }
  SECTION("it has a length, and its server closes the connection") {
    answer.bytes = RawAnswerTo("r-1", "whole");
  }
  DaemonFixture fixture(answer);
  for (int i = 0; i < kUploads; ++i) {
    const std::string received = fixture.Upload();
    CHECK(received.starts_with("HTTP/1.1 200 "));
    CHECK(received.ends_with("\r\n\r\nwhole"));
  }
}

}  // namespace
}  // namespace dandelion::test
