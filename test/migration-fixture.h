#pragma once

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "test/forward-support.h"

namespace dandelion::test {

/// A stream that pauses after an event until the test resumes or breaks it.
class PausableStream {
 public:
  explicit PausableStream(base::Executor executor)
      : resume_signal_(std::move(executor)) {}

  /// A request that continues a generation is answered without a pause.
  http::Handler Handler(int64_t pause_after, int64_t last) {
    return [this, pause_after,
            last](http::Exchange& exchange) -> base::Task<void> {
      if (exchange.request().headers.Has("Last-Event-Id")) {
        const http::Handler rest = StreamUpTo(last, true);
        co_await rest(exchange);
        co_return;
      }
      http::Response head = SealedResponse(exchange.request(), "");
      absl::Status written = co_await exchange.StartStream(std::move(head));
      for (int64_t id = 1; written.ok() && id <= last; ++id) {
        const std::string event = EventText(id);
        written = co_await exchange.Write(event);
        if (id == pause_after && !resumed_) {
          is_paused = true;
          co_await base::SleepOnTimer(resume_signal_, base::Millis(10'000));
        }
        if (broken_) {
          exchange.Abort();
          co_return;
        }
      }
      (void)co_await exchange.Finish();
    };
  }
  void Resume() {
    resumed_ = true;
    resume_signal_.cancel();
  }
  void Break() {
    broken_ = true;
    Resume();
  }
  bool is_paused = false;

 private:
  boost::asio::steady_timer resume_signal_;
  bool resumed_ = false;
  bool broken_ = false;
};

/// A generation that is paused after its second event, and a second engine to
/// which it can be migrated.
struct MigrationFixture : ForwardFixture {
  explicit MigrationFixture(std::string target_version = "1",
                            bool resumable = false)
      : pausable(executor()) {
    fleet::Route& route = AddRoute("draft", fleet::RequestKind::kGeneration);
    route.resumable = resumable;
    route.max_upstreams = resumable ? 4 : 1;
    Publish();
    added_version = base::SoftwareVersion("1");
    AddUpstream("u-1", "draft", pausable.Handler(2, 6));
    base::Spawn(executor(), Send());
    REQUIRE(RunUntil([this] { return pausable.is_paused; }));
    added_version = base::SoftwareVersion(std::move(target_version));
    target = &AddUpstream("u-2", "draft", [this](http::Exchange& exchange) {
      return on_target_request(exchange);
    });
  }

  base::Task<void> Send() {
    http::Request request = CallerRequestFor("draft", "r-1");
    request.headers.Add("X-Dandeliondyke-Token-Count", "100,50");
    const boost::asio::ip::tcp::endpoint address(
        boost::asio::ip::address_v4::loopback(), port());
    http::FetchLimits limits;
    limits.new_connection = true;
    http::FetchResult result =
        co_await caller.Fetch(address, std::move(request), limits);
    answer = std::move(result.response);
    done = true;
  }

  void Leave() {
    fleet::UpstreamEntry entry = upstreams.Find(base::UpstreamId("u-1"))->entry;
    entry.leaving = true;
    upstreams.ApplyEntry(base::UpstreamId("u-1"), entry, base::Millis(1));
  }

  PausableStream pausable;
  FakeUpstream* target = nullptr;
  http::Handler on_target_request = StreamUpTo(6, true);
  http::Client caller;
  absl::StatusOr<http::Response> answer = absl::UnknownError("none");
  bool done = false;
};

}  // namespace dandelion::test
