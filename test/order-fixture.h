#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "relay/origin_reader.h"
#include "test/daemon-support.h"

namespace dandelion::test {

inline constexpr int kStreams = 12;
// Few enough for the budget of repeats.
inline constexpr int kRepeatedStreams = 3;
inline constexpr int kOk = 200;
inline constexpr int kLastBegunEvent = 3;
inline constexpr int kLastEvent = 5;
inline constexpr char kOriginsTopic[] = "keyed.streams";
// Time that origins get to become durable. Checks don't depend on it.
inline constexpr base::Millis kRecordTime{5000};
inline constexpr int kRecordChecks = 500;

/// Engines of two versions, which begin streams without ending them and go on
/// with those that are taken up.
struct OrderFixture : PlatformFixture {
  OrderFixture()
      : old_engine(context.get_executor(),
                   [this](http::Exchange& exchange) {
                     return ServeRepeated(exchange, &served_by_old);
                   }),
        new_engine_1(context.get_executor(),
                     [this](http::Exchange& exchange) {
                       return ServeRepeated(exchange, &served_by_new);
                     }),
        new_engine_2(context.get_executor(), Serve),
        other_engine(context.get_executor(), Serve),
        service(context.get_executor(), RespondWithAnswer) {
    store.AppendRecord("config", MakeConfig().dump(), "keyed.op");
    store.AppendRecord("s-1", MakeUpstreamEntry("services", service, 9).dump());
    List("old-1", "engines", "v1", old_engine);
  }
  ~OrderFixture() {
    for (FakeUpstream* upstream :
         {&old_engine, &new_engine_1, &new_engine_2, &other_engine, &service}) {
      upstream->CloseAll();
    }
    EndTasks();
  }

  static base::Task<void> Serve(http::Exchange& exchange) {
    const bool taken_up = exchange.request().headers.Has("Last-Event-Id");
    http::Response head = SealedResponse(exchange.request(), "");
    head.headers.Add("Content-Type", "text/event-stream");
    (void)co_await exchange.StartStream(std::move(head));
    const int first = taken_up ? kLastBegunEvent + 1 : 1;
    const int last = taken_up ? kLastEvent : kLastBegunEvent;
    for (int id = first; id <= last; ++id) {
      const std::string event = EventText(id);
      (void)co_await exchange.Write(event);
    }
    if (taken_up) {
      (void)co_await exchange.Finish();
    } else {
      exchange.HoldOpen();
    }
  }

  /// Rejects the first send of each request to the route "repeated" once its
  /// origin is recorded, and serves the second one.
  base::Task<void> ServeRepeated(http::Exchange& exchange,
                                 std::set<std::string>* served) {
    const http::Request& request = exchange.request();
    const bool begins = request.Path().starts_with("/repeated/") &&
                        !request.headers.Has("Last-Event-Id");
    if (!begins) {
      co_await Serve(exchange);
      co_return;
    }
    const std::string id(request.headers.Find("X-Dandeliondyke-Request-Id"));
    if (rejected.insert(id).second) {
      const std::string key =
          relay::OriginRecordKey(relay::OriginKey(base::RequestId(id)), 0);
      for (int check = 0; check < kRecordChecks; ++check) {
        if (!store.NewestValue(key, kOriginsTopic).empty()) {
          break;
        }
        co_await base::SleepFor(
            base::Millis(kRecordTime.count() / kRecordChecks));
      }
      co_await RejectNotRun(exchange);
      co_return;
    }
    served->insert(id);
    co_await Serve(exchange);
  }

  static json MakeStreamRoute(const std::string& name) {
    json route = MakeRoute(name, "stream", "engines");
    route["can-resume"] = true;
    return route;
  }

  static json MakeConfig() {
    json split = MakeStreamRoute("split");
    split["split"] = {{{"backend", "engines"}, {"weight", 50}},
                      {{"backend", "others"}, {"weight", 50}}};
    json repeated = MakeStreamRoute("repeated");
    repeated["max-attempts"] = 2;
    const json engine = {{"slots", 100}, {"kv-cap-tokens", 1'000'000}};
    return {{"version", 1},
            {"routes",
             {MakeStreamRoute("draft"), split, repeated,
              MakeRoute("ping", "idempotent", "services")}},
            {"backends",
             {{{"name", "engines"}, {"engine", engine}},
              {{"name", "others"}, {"engine", engine}},
              {{"name", "services"}}}}};
  }

  void List(const std::string& id,
            const std::string& pool,
            const std::string& version,
            const FakeUpstream& upstream) {
    json entry = MakeUpstreamEntry(pool, upstream, 100);
    entry["version"] = version;
    store.AppendRecord(id, entry.dump());
  }
  void ListNewEngines() {
    List("new-1", "engines", "v2", new_engine_1);
    List("new-2", "engines", "v2", new_engine_2);
  }

  /// Starts a daemon and waits until it serves.
  std::unique_ptr<RunningDaemon> Start(const std::string& host) {
    more_settings["host"] = host;
    auto daemon = std::make_unique<RunningDaemon>(*this);
    daemon->SendUntilTaken("ping", service);
    return daemon;
  }

  bool HasListed(const RunningDaemon& daemon, const std::string& id) {
    return RunUntil([&] {
      return !daemon.LoggedLines("name=upstream_listed upstream=" + id).empty();
    });
  }

  /// Begins streams with the ids from 1 on, whose callers get the first
  /// events.
  std::vector<std::unique_ptr<Caller>> BeginStreams(
      const RunningDaemon& daemon,
      const std::string& route = "draft",
      int streams = kStreams) {
    std::vector<std::unique_ptr<Caller>> callers;
    for (int id = 1; id <= streams; ++id) {
      callers.push_back(std::make_unique<Caller>(context));
      REQUIRE(callers.back()->SendRequest(daemon.address, id, route));
    }
    REQUIRE(RunUntil([&] {
      return std::all_of(
          callers.begin(), callers.end(), [](const auto& caller) {
            return caller->received().find(EventText(kLastBegunEvent)) !=
                   std::string::npos;
          });
    }));
    return callers;
  }

  void AwaitOrigins() {
    RunUntil([this] { return store.CountRecords(kOriginsTopic) >= kStreams; },
             kRecordTime);
  }

  /// Takes one stream up. Returns when the answer is complete.
  std::unique_ptr<Caller> TakeUp(const RunningDaemon& daemon,
                                 const std::string& resumes,
                                 const std::string& route = "draft") {
    auto caller = std::make_unique<Caller>(context);
    const std::string headers =
        absl::StrCat("Last-Event-Id: ", kLastBegunEvent, "\r\n", resumes);
    REQUIRE(
        caller->SendRequest(daemon.address, ++last_take_up_, route, headers));
    REQUIRE(RunUntil([&] {
      const std::string& received = caller->received();
      return received.find("\r\n0\r\n") != std::string::npos ||
             received.find("\"error\"") != std::string::npos;
    }));
    return caller;
  }
  std::unique_ptr<Caller> TakeUp(const RunningDaemon& daemon,
                                 int stream,
                                 const std::string& route = "draft") {
    return TakeUp(daemon, absl::StrCat("Resumes: r-", stream, "\r\n"), route);
  }

  /// Takes all streams up. Returns how many of them went on to their end.
  int TakeAllUp(const RunningDaemon& daemon,
                const std::string& route = "draft") {
    int went_on = 0;
    for (int stream = 1; stream <= kStreams; ++stream) {
      const auto caller = TakeUp(daemon, stream, route);
      INFO(caller->received());
      const bool is_whole =
          caller->Status() == kOk &&
          caller->received().find(EventText(kLastEvent)) != std::string::npos;
      went_on += is_whole ? 1 : 0;
      CHECK((is_whole || caller->Status() == RunningDaemon::kRejected));
    }
    return went_on;
  }

  static int CountTakenUp(const FakeUpstream& upstream) {
    return static_cast<int>(
        std::count_if(upstream.seen().begin(), upstream.seen().end(),
                      [](const auto& request) {
                        return request.headers.Has("Last-Event-Id");
                      }));
  }
  /// The requests that began a stream at `upstream`.
  static std::set<std::string> BegunAt(const FakeUpstream& upstream) {
    return ValuesAt(upstream, "X-Dandeliondyke-Request-Id", false);
  }
  /// Those whose streams went on there.
  static std::set<std::string> ResumedAt(const FakeUpstream& upstream) {
    return ValuesAt(upstream, "Resumes", true);
  }
  static std::set<std::string> ValuesAt(const FakeUpstream& upstream,
                                        const std::string& header,
                                        bool taken_up) {
    std::set<std::string> values;
    for (const http::Request& request : upstream.seen()) {
      if (request.headers.Has("Last-Event-Id") == taken_up) {
        values.emplace(request.headers.Find(header));
      }
    }
    return values;
  }
  int TakenUpByOtherVersions() const {
    return CountTakenUp(new_engine_1) + CountTakenUp(new_engine_2) +
           CountTakenUp(other_engine);
  }

  /// Requests to the route "repeated".
  std::set<std::string> rejected;
  std::set<std::string> served_by_old;
  std::set<std::string> served_by_new;
  FakeUpstream old_engine;
  FakeUpstream new_engine_1;
  FakeUpstream new_engine_2;
  FakeUpstream other_engine;
  FakeUpstream service;

 private:
  int last_take_up_ = 1000;
};

}  // namespace dandelion::test
