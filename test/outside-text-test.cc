#include <catch2/catch.hpp>

#include <cstring>
#include <memory>
#include <string>
#include <vector>

#include "migration/active_generation.h"
#include "platform/engine_control.h"
#include "platform/platform_protocol.h"
#include "platform/records.h"
#include "relay/generation_size.h"
#include "store/topic.h"
#include "test/daemon-support.h"

namespace dandelion::test {
namespace {

using base::RequestId;
using base::Task;
using boost::asio::ip::tcp;
using nlohmann::json;

constexpr int kOk = 200;

// JSON within the length of a record that is nested deeper than any stack.
std::string NestedArrays() {
  constexpr size_t kDepth = 100'000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

// Replaces the value of `field` by the JSON text `value`.
std::string WithField(json object,
                      const std::string& field,
                      const std::string& value) {
  object[field] = "@";
  std::string text = object.dump();
  text.replace(text.find("\"@\""), 3, value);
  return text;
}

/// A daemon process in front of one upstream, which it knows from a store that
/// others write to.
struct OutsideFixture : PlatformFixture {
  OutsideFixture() : upstream(context.get_executor(), RespondWithAnswer) {
    store.AppendRecord(
        "config",
        json({{"version", 1},
              {"routes", {MakeRoute("draft", "idempotent", "pool")}},
              {"backends", {{{"name", "pool"}}}}})
            .dump(),
        "keyed.op");
  }
  ~OutsideFixture() {
    daemon.reset();
    upstream.CloseAll();
    EndTasks();
  }

  void List(const std::string& id) {
    store.AppendRecord(id, MakeUpstreamEntry("pool", upstream, 10).dump());
  }
  void StartDaemon() { daemon = std::make_unique<RunningDaemon>(*this); }
  /// Whether the daemon runs and the upstream is reached through it.
  bool Serves() {
    const auto caller = daemon->SendUntilTaken("draft", upstream);
    return RunUntil([&] { return caller->Status() != 0; }) &&
           caller->Status() == kOk && !daemon->process->ExitCode();
  }

  FakeUpstream upstream;
  std::unique_ptr<RunningDaemon> daemon;
};

TEST_CASE("a deeply nested version in the store ends the daemon", "[outside]") {
  OutsideFixture fixture;
  const json entry =
      OutsideFixture::MakeUpstreamEntry("pool", fixture.upstream, 10);
  fixture.store.AppendRecord("nested",
                             WithField(entry, "version", NestedArrays()));
  const json order = {{"backend", "pool"}, {"over-s", 30}};
  fixture.store.AppendRecord(
      "rollout/nested", WithField(order, "to", NestedArrays()), "keyed.op");
  fixture.List("u-1");
  fixture.StartDaemon();
  CHECK(fixture.Serves());
  CHECK(fixture.daemon->HasLogged("store_record_refused"));
  CHECK(fixture.daemon->HasLogged("config_rejected"));
}

/// Answers any request with `body`.
http::Handler AnswerWith(std::string body) {
  return [body = std::move(body)](http::Exchange& exchange) -> Task<void> {
    (void)co_await exchange.Respond(http::JsonResponse(kOk, body));
  };
}

/// The control of one engine that answers with a fixed body.
struct ControlFixture {
  explicit ControlFixture(std::string body)
      : engine(context.get_executor(), AnswerWith(std::move(body))) {}
  ~ControlFixture() {
    engine.CloseAll();
    context.restart();
    context.run_for(std::chrono::milliseconds(50));
  }

  /// Runs `task` to its end and returns its result.
  template <typename Result>
  Result Run(Task<Result> task) {
    std::optional<Result> result;
    base::Spawn(
        context.get_executor(),
        [](Task<Result> inner, std::optional<Result>* out) -> Task<void> {
          *out = co_await std::move(inner);
        }(std::move(task), &result));
    context.restart();
    while (!result) {
      context.run_one();
    }
    return *std::move(result);
  }
  relay::KvCacheCopyResult Copy() {
    return Run(control.CopyKvCache(engine.address(), RequestId("r"),
                                   engine.address(), false,
                                   base::Millis(5000)));
  }

  boost::asio::io_context context;
  http::Client client;
  platform::HttpEngineControl control{client};
  FakeUpstream engine;
};

TEST_CASE("a deeply nested answer of an engine ends the daemon", "[outside]") {
  const auto body = [](const std::string& field) {
    return WithField({{"created-rev", 3}}, field, NestedArrays());
  };
  CHECK(ControlFixture(body("handle")).Copy().handle.empty());
  for (const std::string field : {"state", "leaves_ms"}) {
    CAPTURE(field);
    ControlFixture fixture(body(field));
    const auto report = fixture.Run(
        fixture.control.FetchEngineReport(fixture.engine.address()));
    REQUIRE(report.ok());
    CHECK_FALSE(report->leaving);
  }
}

std::string_view InstanceOf(const http::Request& request) {
  return request.headers.Find("X-Dandeliondyke-Expect-Instance");
}

TEST_CASE("an upstream's id adds headers to requests or harms peers' messages",
          "[outside]") {
  // Line breaks, bytes that protobuf's strings can't hold, blanks that are no
  // part of a header's value, and no id at all.
  const std::string id = GENERATE("u\r\nX-Added: 1", "u\n", "\xff\xfe",
                                  "\xed\xa0\x80", "u ", " u", "u\x7f", "");
  CAPTURE(id);
  OutsideFixture fixture;
  fixture.List("u-1");
  fixture.StartDaemon();
  REQUIRE(fixture.Serves());
  // Keys that need encoding can't end a page of the newest records.
  fixture.List(id);
  fixture.List("u-last");
  constexpr size_t kSomeRequests = 30;
  const auto& seen = fixture.upstream.seen();
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.Serves() && InstanceOf(seen.back()) == "u-last"; }));
  for (size_t end = seen.size() + kSomeRequests; seen.size() < end;) {
    REQUIRE(fixture.Serves());
  }
  for (const http::Request& request : seen) {
    CHECK_FALSE(request.headers.Has("X-Added"));
    const std::string_view instance = InstanceOf(request);
    CHECK((instance == "u-1" || instance == "u-last"));
  }
  CHECK(fixture.daemon->HasLogged("store_record_refused"));
}

TEST_CASE("a data centre or pool of an entry can't be named to peers",
          "[outside]") {
  const json entry = OutsideFixture::MakeUpstreamEntry(
      "pool", tcp::endpoint(tcp::v4(), 80), 10);
  for (const char* field : {"zone", "backend", "version"}) {
    for (const std::string value :
         {R"("a\r\nb")", R"("a\u0000")", R"(" a")", R"("\u007f")"}) {
      CAPTURE(field, value);
      CHECK_FALSE(
          platform::ParseUpstreamEntry(WithField(entry, field, value)).ok());
    }
    CHECK(
        platform::ParseUpstreamEntry(WithField(entry, field, R"("a b\u0142")"))
            .ok());
  }
}

TEST_CASE("an operator's key that peers can't be told is taken up",
          "[outside]") {
  OutsideFixture fixture;
  fixture.List("u-1");
  fixture.StartDaemon();
  REQUIRE(fixture.Serves());
  const std::string order =
      json({{"backend", "pool"}, {"to", "2"}, {"over-s", 30}}).dump();
  fixture.store.AppendRecord("rollout/\xff", order, "keyed.op");
  fixture.store.AppendRecord("evacuate/a\n", "{}", "keyed.op");
  fixture.store.AppendRecord("rollout/a02%#", order, "keyed.op");
  REQUIRE(fixture.RunUntil(
      [&] { return !fixture.daemon->LoggedLines("rollout=a02%#").empty(); }));
  CHECK_FALSE(fixture.daemon->LoggedLines("offset=1 ").empty());
  CHECK(fixture.daemon->HasLogged("config_rejected"));
  CHECK_FALSE(fixture.daemon->HasLogged("data_centre_evacuated"));
}

TEST_CASE("the name of an organisation adds headers to requests", "[outside]") {
  const json tenants = {{{"name", "a\r\nX-Added: 1"}, {"api-keys", {"k1"}}},
                        {{"name", "b"}, {"api-keys", {"k2"}}}};
  const auto catalogue =
      platform::ParseCatalogue(json({{"version", 1},
                                     {"routes", json::array()},
                                     {"backends", json::array()},
                                     {"tenants", tenants}})
                                   .dump());
  REQUIRE(catalogue.ok());
  CHECK((*catalogue)->needs_keys);
  CHECK_FALSE((*catalogue)->organisation_by_key.contains("k1"));
  CHECK((*catalogue)->organisation_by_key.contains("k2"));
}

/// Two daemon processes that know each other, in front of engines that crash at
/// some prompts.
struct PeersFixture : PlatformFixture {
  PeersFixture() {
    store.AppendRecord(
        "config",
        json({{"version", 1},
              {"routes", {MakeRoute("draft", "stream", "engines")}},
              {"backends",
               {{{"name", "engines"},
                 {"engine", {{"slots", 10}, {"kv-cap-tokens", 100'000}}}}}}})
            .dump(),
        "keyed.op");
    constexpr int kEngines = 8;
    for (int i = 0; i < kEngines; ++i) {
      engines.push_back(std::make_unique<FakeUpstream>(
          context.get_executor(), [](http::Exchange& exchange) -> Task<void> {
            return AnswerOrCrash(exchange);
          }));
      store.AppendRecord(
          "u-" + std::to_string(i),
          MakeUpstreamEntry("engines", *engines.back(), 10).dump());
    }
    first = std::make_unique<RunningDaemon>(*this);
    more_settings = {{"host", "front-2"}};
    second = std::make_unique<RunningDaemon>(*this);
  }
  ~PeersFixture() {
    first.reset();
    second.reset();
    for (const auto& engine : engines) {
      engine->CloseAll();
    }
    EndTasks();
  }

  static Task<void> AnswerOrCrash(http::Exchange& exchange) {
    const std::string parts(
        exchange.request().headers.Find("X-Dandeliondyke-Prefix-Hash"));
    (void)co_await exchange.StartStream(SealedResponse(exchange.request(), ""));
    if (parts.find("bad") != std::string::npos) {
      exchange.Abort();
      co_return;
    }
    (void)co_await exchange.Write(EventText(1));
    (void)co_await exchange.Finish();
  }

  /// Sends a request whose prompt has `part` to the first daemon. Returns its
  /// status, or 0 if there is no answer.
  int Send(const std::string& part) {
    Caller caller(context);
    const std::string own = std::to_string(++requests);
    const bool sent =
        caller.SendRequest(first->address, requests, "draft",
                           "X-Dandeliondyke-Token-Count: 100,50\r\n"
                           "X-Dandeliondyke-Prefix-Hash: " +
                               part + ":40,0" + own + ":60\r\n");
    if (sent) {
      RunUntil([&] { return caller.Status() != 0; });
    }
    return caller.Status();
  }
  bool KnowEachOther() {
    return RunUntil([this] {
      return first->HasLogged("peer_up") && second->HasLogged("peer_up") &&
             Send("50a4d") == kOk;
    });
  }

  std::vector<std::unique_ptr<FakeUpstream>> engines;
  std::unique_ptr<RunningDaemon> first;
  std::unique_ptr<RunningDaemon> second;
  int requests = 0;
};

TEST_CASE("a caller's part of a prompt makes peers refuse all messages",
          "[outside]") {
  PeersFixture fixture;
  REQUIRE(fixture.KnowEachOther());
  constexpr int kCrashes = 6;
  for (int i = 0; i < kCrashes; ++i) {
    fixture.Send("bad\xff");
  }
  // Only what the second daemon hears lets it quarantine a part.
  const bool heard = fixture.RunUntil([&] {
    fixture.Send("bad0");
    return fixture.second->HasLogged("part_quarantined");
  });
  CHECK(heard);
  CHECK_FALSE(fixture.second->HasLogged("peer_message_malformed"));
}

TEST_CASE("odd entries of daemons end a daemon that joins", "[outside]") {
  OutsideFixture fixture;
  for (const char* address : {"nowhere", "", "*:*", "127.0.0.1:0",
                              "127.0.0.1:99999", "[::1", "a b:1", "\r\n"}) {
    fixture.store.AppendRecord(
        std::string("peer-") + std::to_string(strlen(address)),
        json({{"address", address}, {"data_centre", "dc\n"}}).dump(),
        "keyed.daemons");
  }
  fixture.store.AppendRecord("zz-odd", R"({"address": 7})", "keyed.daemons");
  fixture.List("u-1");
  fixture.StartDaemon();
  CHECK(fixture.Serves());
  // The daemon has tried to reach the others.
  CHECK(fixture.RunUntil(
      [&] { return fixture.daemon->HasLogged("store_record_refused"); }));
  CHECK(fixture.Serves());
}

TEST_CASE("an engine's handle adds a header or another target to a request",
          "[outside]") {
  for (const std::string handle : {R"("h\r\nX-Added: 1")", R"("h\u0000")",
                                   R"(" h")", R"("")", "{}", "true"}) {
    CAPTURE(handle);
    CHECK(
        ControlFixture(R"({"handle": )" + handle + "}").Copy().handle.empty());
  }
  CHECK(ControlFixture(R"({"handle": 17})").Copy().handle == "17");
  ControlFixture fixture("{}");
  fixture.Run([](platform::HttpEngineControl& control,
                 tcp::endpoint engine) -> Task<bool> {
    co_await control.FreeCopy(engine, "a b?c#d/../%41\r\nX-Added: 1");
    co_return true;
  }(fixture.control, fixture.engine.address()));
  REQUIRE(fixture.engine.seen().size() == 1);
  CHECK(fixture.engine.seen().front().target ==
        "/v1/kv-handle/a%20b%3Fc%23d%2F..%2F%2541%0D%0AX-Added%3A%201");
}

TEST_CASE("a line break in a header or target is sent", "[outside]") {
  const auto [name, value, target] =
      GENERATE(table<std::string, std::string, std::string>(
          {{"X-A", "1\r\nX-Added: 1", "/"},
           {"X-A", "1\n", "/"},
           {"X-A", std::string("1\0", 2), "/"},
           {"X-A\r\nX-Added", "1", "/"},
           {"X A", "1", "/"},
           {"", "1", "/"},
           {"X-A", "1", "/ HTTP/1.1\r\nX-Added: 1\r\n\r\n"},
           {"X-A", "1", "/a b"},
           {"X-A", "1", ""}}));
  CAPTURE(name, value, target);
  ControlFixture fixture("{}");
  http::Request request;
  request.target = target;
  request.headers.Add(name, value);
  const http::FetchResult fetched = fixture.Run(fixture.client.Fetch(
      fixture.engine.address(), request, http::FetchLimits()));
  CHECK_FALSE(fetched.response.ok());
  CHECK_FALSE(fetched.may_have_been_sent);
  CHECK(fixture.engine.seen().empty());
}

TEST_CASE("long or odd text from others leaves no line or breaks a line",
          "[outside]") {
  OutsideFixture fixture;
  constexpr size_t kLong = 10'000;
  json entry = OutsideFixture::MakeUpstreamEntry("pool", fixture.upstream, 10);
  entry["state"] = std::string(kLong, 'x');
  fixture.store.AppendRecord("long", entry.dump());
  entry["state"] = "\x1b[2J\x7f\xc2\x85";
  fixture.store.AppendRecord("odd", entry.dump());
  fixture.List("u-1");
  fixture.StartDaemon();
  REQUIRE(fixture.Serves());
  const std::string long_lines = fixture.daemon->LoggedLines("upstream=long");
  CHECK(long_lines.find("name=store_record_refused") != std::string::npos);
  CHECK(long_lines.find("offset=0") != std::string::npos);
  const std::string odd_lines = fixture.daemon->LoggedLines("upstream=odd");
  CHECK(odd_lines.find(R"(\x1b[2J\x7f)") != std::string::npos);
  CHECK(odd_lines.find('\x7f') == std::string::npos);
}

TEST_CASE("a number beyond all bounds becomes another one", "[outside]") {
  CHECK(ControlFixture(R"({"created-rev": 1e300})").Copy().events_produced ==
        0);
  CHECK(ControlFixture(R"({"created-rev": -1})").Copy().events_produced == 0);
  const relay::PlatformProtocol protocol = platform::MakePlatformProtocol();
  http::Request request;
  request.headers.Add("X-Dandeliondyke-Token-Count",
                      "9223372036854775807,9223372036854775807");
  request.headers.Add("X-Dandeliondyke-Length-Hint", "9223372036854775807");
  request.headers.Add("Last-Event-Id", "9223372036854775807");
  const auto caller = protocol.parse_caller_request(request);
  REQUIRE(caller.ok());
  const routing::GenerationSize size = relay::EstimateSize(*caller);
  // It has to be larger than any engine.
  constexpr int64_t kHuge = 1'000'000'000;
  CHECK(size.output_tokens > kHuge);
  CHECK(size.prompt_tokens > kHuge);
  CHECK(size.TotalTokens() > kHuge);
  CHECK(relay::LongestDuration(*caller).value() > base::Millis(kHuge));
  CHECK(*caller->after_event < INT64_MAX);
}

TEST_CASE("a number of the configuration becomes another one", "[outside]") {
  const auto parse = [](const std::string& version, const std::string& number) {
    return platform::ParseCatalogue(
        R"({"version": )" + version +
        R"(, "routes": [{"name": "r", "host": "a.example",
            "path-prefix": "/r/", "kind": "stream", "prio": )" +
        number + R"(, "max-attempts": )" + number +
        R"(, "backend": "b"}], "backends": [{"name": "b", "engine":
            {"slots": )" +
        number + R"(, "kv-cap-tokens": )" + number + R"(, "stride": )" +
        number + R"(}}], "limits": {"max-body-bytes": )" + number + "}}");
  };
  const auto catalogue = parse("7", "1e300");
  REQUIRE(catalogue.ok());
  CHECK((*catalogue)->routes.front().priority > 0);
  CHECK((*catalogue)->routes.front().max_upstreams > 0);
  CHECK((*catalogue)->limits.body_bytes > 0);
  const fleet::EngineTraits& engine =
      *(*catalogue)->pools.begin()->second.engine;
  CHECK(engine.slots > 0);
  CHECK(engine.memory_tokens > 0);
  CHECK(engine.tokens_per_event > 0);
  const auto negative = parse("7", "-1");
  REQUIRE(negative.ok());
  CHECK((*negative)->limits.body_bytes == 0);
  CHECK_FALSE(parse("1e300", "1").ok());
  CHECK_FALSE(parse("-1e300", "1").ok());
}

TEST_CASE("an event's number makes a generation's size negative", "[outside]") {
  boost::asio::io_context context;
  migration::ActiveGeneration generation(context.get_executor());
  generation.tokens_per_event = 4;
  generation.size.prompt_tokens = 100;
  generation.size.output_tokens = 50;
  generation.last_event = GENERATE(INT64_MAX, INT64_MAX / 2, INT64_MIN);
  CHECK(generation.TokensHeld() >= 100);
  CHECK(generation.TokensLeft() >= 0);
  CHECK(generation.TokensLeft() <= 50);
}

TEST_CASE("an empty key makes digests of the same keys differ", "[outside]") {
  store::TopicReplica once;
  store::TopicReplica twice;
  const auto update = [](int64_t from) {
    store::Update made;
    made.snapshot = from == 0;
    made.from = from;
    made.to = from + 1;
    made.records = {{"", "value", false, from}};
    return made;
  };
  once.Apply(update(0), base::Millis(1));
  twice.Apply(update(0), base::Millis(1));
  twice.Apply(update(1), base::Millis(1));
  CHECK(once.key_digest() == twice.key_digest());
}

}  // namespace
}  // namespace dandelion::test
