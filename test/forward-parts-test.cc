#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "relay/answer_evidence.h"
#include "test/forward-support.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;
using fleet::RequestKind;

constexpr int kEngines = 12;
// Crashes after which requests with the part must no longer reach engines.
constexpr int kMaxCrashes = 5;
constexpr int kUnavailable = 503;
const std::string kCrashingPart = "bad0";

/// Engines of which each breaks off its answer to a prompt with
/// `kCrashingPart` after the head.
struct CrashFixture : ForwardFixture {
  explicit CrashFixture(bool resumable = false) {
    fleet::Route& route = AddRoute("draft", RequestKind::kGeneration);
    route.resumable = resumable;
    route.max_upstreams = resumable ? 3 : 1;
    Publish();
    for (int i = 0; i < kEngines; ++i) {
      AddUpstream("u-" + std::to_string(i), "draft", Handler());
    }
  }

  http::Handler Handler() {
    return [this](http::Exchange& exchange) -> Task<void> {
      http::Response head = SealedResponse(exchange.request(), "");
      (void)co_await exchange.StartStream(std::move(head));
      const std::string parts(
          exchange.request().headers.Find("X-Dandeliondyke-Prefix-Hash"));
      if (parts.find(kCrashingPart) != std::string::npos &&
          !(crashes_once && crashes > 0)) {
        ++crashes;
        if (!content.empty()) {
          (void)co_await exchange.Write(content);
          while (HasUnprocessedPrompt()) {
            co_await base::SleepFor(Millis(1));
          }
          AdvanceClock(answers_for);
          if (goes_on) {
            (void)co_await exchange.Write(EventText(2));
          }
        }
        // The connection's end then looks like the end of an empty answer.
        if (ends_cleanly) {
          (void)co_await exchange.Finish();
        } else {
          exchange.Abort();
        }
        co_return;
      }
      (void)co_await exchange.Write("id: 1\ndata: x\n\n");
      (void)co_await exchange.Finish();
    };
  }

  /// Whether the daemon waits for the first event of a generation.
  bool HasUnprocessedPrompt() const {
    const auto loads_now = loads.own_loads();
    return std::any_of(loads_now.begin(), loads_now.end(), [](const auto& own) {
      return own.second.unread_tokens > 0;
    });
  }

  /// Sends a request whose prompt has the shared parts, and a last part of its
  /// own. Requests come a second apart.
  http::Response Send(const std::string& shared_parts) {
    AdvanceClock(Millis(1000));
    const std::string id = "r-" + std::to_string(++requests);
    http::Request request = CallerRequestFor("draft", id);
    request.headers.Add("X-Dandeliondyke-Token-Count", "100,50");
    request.headers.Add("X-Dandeliondyke-Prefix-Hash",
                        shared_parts + "," + id + ":20");
    return SendRequestOrThrow(std::move(request));
  }

  int requests = 0;
  int crashes = 0;
  bool ends_cleanly = false;
  /// What is sent before a crash, and for how long the answer has run then.
  std::string content;
  Millis answers_for{0};
  /// Whether more content is sent after that time.
  bool goes_on = true;
  bool crashes_once = false;
};

TEST_CASE("requests with a part that crashes engines keep reaching engines",
          "[parts]") {
  CrashFixture fixture;
  fixture.ends_cleanly = GENERATE(false, true);
  CHECK(fixture.Send("ca11e4:80,70b1c:300").status == 200);
  http::Response response;
  for (int i = 0; i < kEngines; ++i) {
    response = fixture.Send("ca11e4:80,70b1c:300," + kCrashingPart + ":40");
    CHECK(fixture.Send("ca11e4:80,70b1c:300").status == 200);
  }
  CHECK(fixture.crashes <= kMaxCrashes);
  CHECK(response.status == kUnavailable);
  CHECK(response.headers.Has("Retry-After"));
}

TEST_CASE(
    "requests with a part that crashes engines are not told from others of "
    "their caller",
    "[parts]") {
  CrashFixture fixture;
  CHECK(fixture.Send("ca11e4:80,0the4:300").status == 200);
  // No sound request has the second part so far.
  for (int i = 0; i < kEngines; ++i) {
    (void)fixture.Send("ca11e4:80,70b1c:300," + kCrashingPart + ":40");
  }
  CHECK(fixture.crashes <= kMaxCrashes);
  CHECK(fixture.Send("ca11e4:80,0the4:300").status == 200);
  CHECK(fixture.Send("ca11e4:80,70b1c:300").status == 200);
  const int before = fixture.crashes;
  CHECK(fixture.Send("ca11e4:80," + kCrashingPart + ":40").status ==
        kUnavailable);
  CHECK(fixture.crashes == before);
}

/// Engines that all answer with the same bytes and end their connection, and a
/// request a second with `kCrashingPart`.
struct RawCrashFixture : ForwardFixture {
  RawCrashFixture(RequestKind kind, RawAnswer answer) {
    AddRoute("draft", kind);
    Publish();
    for (int i = 0; i < kEngines; ++i) {
      raw.push_back(&AddRawUpstream("u-" + std::to_string(i), "draft", answer));
    }
  }

  /// Returns the status of the answer, or 0 if it broke off.
  int SendCrashing() {
    AdvanceClock(Millis(1000));
    http::Request request = CallerRequestFor("draft", "r-1");
    request.headers.Add("X-Dandeliondyke-Prefix-Hash",
                        "ca11e4:80," + kCrashingPart + ":40,last:20");
    const auto response = SendRequest(std::move(request));
    for (RawUpstream* upstream : raw) {
      if (upstream->connections() > 0) {
        upstream->Close();  // It crashed and does not come back.
      }
    }
    return response.ok() ? response->status : 0;
  }
  int Sends() const {
    int sends = 0;
    for (const RawUpstream* upstream : raw) {
      sends += upstream->connections();
    }
    return sends;
  }

  std::vector<RawUpstream*> raw;
};

// Guards against a part that crashes engines while they write the head of the
// answer and is never quarantined.
TEST_CASE("a part that crashes engines within the head is never quarantined",
          "[parts]") {
  const std::string head = RawHead("r-1", "Transfer-Encoding: chunked\r\n");
  RawAnswer answer{
      head.substr(0, GENERATE_COPY(size_t{1}, size_t{60}, head.size() - 1))};
  answer.reset = GENERATE(false, true);
  RawCrashFixture fixture(RequestKind::kGeneration, answer);
  int status = 0;
  for (int i = 0; i < kEngines; ++i) {
    status = fixture.SendCrashing();
  }
  CHECK(status == kUnavailable);
  CHECK(fixture.Sends() <= kMaxCrashes);
}

// Guards against crashes under plain requests that accuse no part.
TEST_CASE(
    "a part that crashes engines under plain requests is never "
    "quarantined",
    "[parts]") {
  const std::string head = RawHead("r-1", "Content-Length: 4\r\n");
  RawAnswer answer{GENERATE_COPY(head.substr(0, 1), head.substr(0, 60), head)};
  answer.reset = GENERATE(false, true);
  RawCrashFixture fixture(RequestKind::kIdempotent, answer);
  int status = 0;
  for (int i = 0; i < kEngines; ++i) {
    status = fixture.SendCrashing();
  }
  CHECK(status == kUnavailable);
  CHECK(fixture.Sends() <= kMaxCrashes);
}

// Guards against a part that crashes engines just after the answer's first
// events or bytes and is never quarantined.
TEST_CASE(
    "a part that crashes engines after the first content is never quarantined",
    "[parts]") {
  const bool stream = GENERATE(true, false);
  RawAnswer answer{stream ? RawHead("r-1", "Transfer-Encoding: chunked\r\n") +
                                "f\r\n" + EventText(1) + "\r\n"
                          : RawHead("r-1", "Content-Length: 9\r\n") + "part"};
  answer.reset = GENERATE(false, true);
  RawCrashFixture fixture(
      stream ? RequestKind::kGeneration : RequestKind::kIdempotent, answer);
  int status = 0;
  for (int i = 0; i < kEngines; ++i) {
    status = fixture.SendCrashing();
  }
  CHECK(status == kUnavailable);
  CHECK(fixture.Sends() <= kMaxCrashes);
}

// Guards against sound parts that are rejected because engines are cut off or
// restart after they have answered for a while.
TEST_CASE("an engine that ends in the middle of an answer accuses a part",
          "[parts]") {
  CrashFixture fixture;
  fixture.content = EventText(1);
  fixture.answers_for = relay::AnswerEvidence::kSoundAnswerTime;
  fixture.goes_on = GENERATE(true, false);
  for (int i = 0; i < kEngines; ++i) {
    CHECK_THROWS(fixture.Send("ca11e4:80," + kCrashingPart + ":40"));
  }
  CHECK(fixture.crashes == kEngines);
  CHECK(fixture.quarantine.quarantine_count() == 0);
}

// Guards against sound parts that are rejected because the daemon closes
// connections on which an event does not end.
TEST_CASE("an event without end accuses a part", "[parts]") {
  RawAnswer answer{RawHead("r-1", "Connection: close\r\n")};
  answer.repeated = std::string(size_t{64} * 1024, 'x');
  RawCrashFixture fixture(RequestKind::kGeneration, answer);
  for (int i = 0; i < kEngines; ++i) {
    CHECK(fixture.SendCrashing() == 502);
  }
  CHECK(fixture.quarantine.quarantine_count() == 0);
}

// Guards against streams that are given up, though another engine can go on,
// because an engine crashed while they were young.
TEST_CASE("a young stream that an engine's crash broke is not resumed",
          "[parts]") {
  CrashFixture fixture(true);
  fixture.content = EventText(1);
  fixture.crashes_once = true;
  const http::Response response =
      fixture.Send("ca11e4:80," + kCrashingPart + ":40");
  CHECK(response.status == 200);
  CHECK(fixture.crashes == 1);
}

// Guards against sound parts that are rejected because engines restart before
// they answer, garble heads or send only interim ones.
TEST_CASE("engines that end without a begun head accuse a part", "[parts]") {
  const std::string head = RawHead("r-1", "Transfer-Encoding: chunked\r\n");
  RawAnswer answer{GENERATE_COPY(
      std::string(), std::string("HTTP/1.1 100 Continue\r\n\r\n"),
      std::string("not an answer\r\n\r\n"), head + "no size\r\n")};
  RawCrashFixture fixture(
      GENERATE(RequestKind::kGeneration, RequestKind::kIdempotent), answer);
  for (int i = 0; i < kEngines; ++i) {
    CHECK(fixture.SendCrashing() == 502);
  }
  CHECK(fixture.quarantine.quarantine_count() == 0);
}

TEST_CASE("a generation that broke as it began crashes a second engine",
          "[parts]") {
  CrashFixture fixture(true);
  const http::Response response =
      fixture.Send("ca11e4:80," + kCrashingPart + ":40");
  CHECK(response.status == 502);
  CHECK(fixture.crashes == 1);
}

TEST_CASE("a request is sent after it waited while its part was quarantined",
          "[parts]") {
  ForwardFixture fixture("draft", RequestKind::kGeneration);
  http::Request request = CallerRequestFor("draft", "r-1");
  request.headers.Add("X-Dandeliondyke-Prefix-Hash",
                      "ca11e4:80," + kCrashingPart + ":40,r-1:20");
  std::optional<http::Response> response;
  fixture.StartRequest(std::move(request),
                       [&response](absl::StatusOr<http::Response> received) {
                         response = std::move(received).value();
                       });
  const admission::PartList parts = {base::PartId("ca11e4"),
                                     base::PartId(kCrashingPart)};
  REQUIRE(
      fixture.RunUntil([&fixture] { return fixture.placer->waiting() == 1; }));
  for (const char* upstream : {"u-1", "u-2"}) {
    fixture.AdvanceClock(Millis(1000));
    fixture.quarantine.RecordBreak(base::UpstreamId(upstream), parts,
                                   fixture.Now());
  }
  fixture.AdvanceClock(Millis(1000));
  fixture.forwarder().RejectUnsendable();
  REQUIRE(fixture.RunUntil([&response] { return response.has_value(); }));
  CHECK(response->status == kUnavailable);
  CHECK(response->headers.Find("Retry-After") == "60.000");
}

}  // namespace
}  // namespace dandelion::test
