#include "test/forward-support.h"

#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <tuple>
#include <utility>

#include "platform/platform_protocol.h"

namespace dandelion::test {

using base::Millis;
using base::Task;
using boost::asio::ip::tcp;

namespace {

constexpr size_t kMaxRequestBytes = 16 * 1024;
// Longer than any test runs.
constexpr Millis kLongHold{60'000};
// Tasks count as idle if none was ready for this long.
constexpr std::chrono::milliseconds kIdleTime{20};

Task<void> FetchInto(
    http::Client& client,
    tcp::endpoint address,
    http::Request request,
    std::shared_ptr<std::optional<absl::StatusOr<http::Response>>> response) {
  http::FetchLimits limits;
  limits.new_connection = true;
  http::FetchResult result =
      co_await client.Fetch(address, std::move(request), limits);
  *response = std::move(result.response);
}

// Reads until the peer ends the connection.
Task<void> ReadToEnd(tcp::socket& socket) {
  std::string bytes(kMaxRequestBytes, '\0');
  boost::system::error_code error;
  while (!error) {
    std::tie(error, std::ignore) = co_await socket.async_read_some(
        boost::asio::buffer(bytes), base::kNoThrow);
  }
}

}  // namespace

FakeUpstream::FakeUpstream(const base::Executor& executor,
                           http::Handler handler)
    : handler_(std::move(handler)),
      server_(executor, http::ServerLimits(), [this](http::Exchange& exchange) {
        seen_.push_back(exchange.request());
        return handler_(exchange);
      }) {
  const absl::Status listening = server_.BindAndAccept(
      tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  if (!listening.ok()) {
    throw std::runtime_error(listening.ToString());
  }
}

tcp::endpoint FakeUpstream::address() const {
  return {boost::asio::ip::address_v4::loopback(), server_.port()};
}

RawUpstream::RawUpstream(const base::Executor& executor, RawAnswer answer)
    : acceptor_(executor,
                tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
      held_(executor),
      answer_(std::move(answer)) {
  base::Spawn(executor, AcceptAll());
}

Task<void> RawUpstream::AcceptAll() {
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(base::kNoThrow);
    if (error) {
      co_return;
    }
    ++connections_;
    base::Spawn(acceptor_.get_executor(), Answer(std::move(socket)));
  }
}

Task<void> RawUpstream::Answer(tcp::socket socket) {
  const RawAnswer answer = answer_;
  socket.set_option(tcp::no_delay(true));
  std::string request(kMaxRequestBytes, '\0');
  co_await socket.async_read_some(boost::asio::buffer(request), base::kNoThrow);
  co_await boost::asio::async_write(socket, boost::asio::buffer(answer.bytes),
                                    base::kNoThrow);
  if (answer.held) {
    co_await base::SleepOnTimer(held_, kLongHold);
  }
  if (answer.shut_down) {
    socket.shutdown(tcp::socket::shutdown_send);
  }
  if (answer.read_rest) {
    co_await ReadToEnd(socket);
  }
  if (answer.reset) {
    // The destructor would not reset it.
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
    co_return;
  }
  for (size_t sent = 0; !answer.repeated.empty() && sent < kMaxRepeatedBytes;) {
    const auto [error, size] = co_await boost::asio::async_write(
        socket, boost::asio::buffer(answer.repeated), base::kNoThrow);
    if (error) {
      ++cut_;
      co_return;
    }
    sent += size;
    if (answer.pause > Millis(0)) {
      co_await base::SleepFor(answer.pause);
    }
  }
  if (!answer.repeated.empty()) {
    // Sends nothing more, but does not end the answer either.
    co_await ReadToEnd(socket);
  }
}

Task<relay::KvCacheCopyResult> FakeEngineControl::CopyKvCache(
    tcp::endpoint,
    base::RequestId generation,
    tcp::endpoint,
    bool stop_generation,
    Millis) {
  ++copies;
  relay::KvCacheCopyResult result;
  if (on_copy) {
    result = on_copy(generation, stop_generation);
  }
  if (stop_generation && hold_final_copies) {
    held_answer_.emplace(co_await boost::asio::this_coro::executor);
    co_await base::SleepOnTimer(*held_answer_, kLongHold);
    held_answer_.reset();
  }
  result.self = self_report;
  co_return result;
}

bool FakeEngineControl::AnswerFinalCopy() {
  return held_answer_ && held_answer_->cancel() > 0;
}

Task<void> FakeEngineControl::FreeCopy(tcp::endpoint, std::string handle) {
  freed_handles.push_back(handle);
  co_return;
}

Task<absl::StatusOr<relay::EngineReport>> FakeEngineControl::FetchEngineReport(
    tcp::endpoint) {
  co_return relay::EngineReport();
}

ForwardFixture::ForwardFixture()
    : upstreams({[this](const fleet::Upstream& upstream) {
                   self_reports.OnListed(upstream.id, upstream.entry.started_at,
                                         Now());
                 },
                 [this](const fleet::Upstream& upstream, std::string_view why) {
                   migrator->MigrateFrom(upstream.id, std::string(why));
                 },
                 [](const base::UpstreamId&) {}}),
      health({[](const base::UpstreamId&, Millis) {},
              [](const base::UpstreamId&) {}}),
      self_reports({[this](const base::UpstreamId& id, std::string_view why) {
                      upstreams.MarkLeaving(id, why, Now());
                    },
                    [](const base::UpstreamId&, std::optional<double>) {},
                    [](const base::UpstreamId&, Millis) {},
                    [this](const base::UpstreamId&) { return rank; },
                    [](const base::UpstreamId&, std::optional<double>) {},
                    [this](const base::UpstreamId& id) {
                      return routing::UpstreamRoom{
                          upstreams.Find(id)->entry.slots,
                          loads.OwnLoad(id).running};
                    }}),
      retry_budget(relay::PoolRetryBudget::Bounds()),
      metrics(10),
      quarantine(
          base::HostId("front-1"),
          {[](const base::PartId&, const base::UpstreamId&) {},
           [](const base::PartId&, int64_t) {}, [](const base::PartId&) {}}),
      rollouts(base::HostId("front-1"),
               upstreams,
               rollout::ExposureBound(),
               {[] { return true; },
                [this](const base::UpstreamId& id) {
                  return loads.TotalLoad(id).running;
                },
                [](const rollout::Decision&, std::string_view) {}}),
      clock_([this, host = base::Clock::BootTime()] {
        return host.Now() + clock_offset_;
      }),
      protocol_(platform::MakePlatformProtocol()) {
  placer = std::make_unique<relay::Placer>(
      clock_, base::DataCentreId("dc-a"), upstreams, loads, health,
      self_reports,
      relay::Placer::Hooks{
          [](const base::UpstreamId&) { return routing::DaemonRank(); },
          {},
          [this](const base::PoolName& pool) {
            return rollouts.RuleFor(pool, Now());
          }});
  migrator = std::make_unique<migration::Migrator>(
      executor(), clock_, engines,
      migration::Migrator::Hooks{
          [this](const migration::ActiveGeneration& generation,
                 const std::set<base::UpstreamId>& excluded) {
            return placer->ChooseMigrationTarget(
                generation, *catalogue_->FindPool(generation.pool), excluded);
          },
          [this](const base::UpstreamId& id) {
            const fleet::Upstream* upstream = upstreams.Find(id);
            return upstream && upstream->leaving_since;
          },
          [this](const base::UpstreamId& id, const routing::SelfReport& said) {
            self_reports.RecordAnswer(id, said, Now());
          }});
  origins = std::make_unique<relay::StreamOrigins>(
      executor(), clock_, origin_store,
      relay::StreamOrigins::Hooks{base::UnixNowMs, [] { return 100.0; },
                                  [] { return false; }});
  forwarder_ = std::make_unique<relay::Forwarder>(MakeServices());
  callers_ = std::make_unique<http::Server>(
      executor(), http::ServerLimits(), [this](http::Exchange& exchange) {
        return forwarder_->Handle(exchange);
      });
  const absl::Status listening = callers_->BindAndAccept(
      tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  if (!listening.ok()) {
    throw std::runtime_error(listening.ToString());
  }
}

relay::ForwardServices ForwardFixture::MakeServices() {
  return {
      executor(),
      clock_,
      protocol_,
      *placer,
      *migrator,
      engines,
      health,
      self_reports,
      retry_budget,
      metrics,
      stop,
      quarantine,
      rollouts,
      *origins,
      [] { return size_t{1}; },
      [this] {
        return relay::AdmissionState{catalogue_, catalogue_age, Millis(4000),
                                     Millis(2000), stop.TimeLeft(clock_.Now())};
      },
      [this](const base::PoolName&, Millis, Millis) { return only_version; },
      [this] { return Now(); },
      hand_over_.get()};
}

void ForwardFixture::EnableHandOver() {
  reach =
      std::make_unique<routing::UpstreamReach>(routing::UpstreamReach::Hooks{
          [](const base::PoolName&, size_t) {},
          [this](const base::PoolName&, Millis,
                 const std::set<base::UpstreamId>& failed) {
            for (const base::UpstreamId& id : failed) {
              health.Excuse(id);
            }
          }});
  reach_directory = std::make_unique<membership::ReachDirectory>(
      base::HostId("front-1"), base::DataCentreId("dc-a"),
      tcp::endpoint(boost::asio::ip::address_v4::loopback(), port()), clock_);
  hand_over_ = std::make_unique<relay::HandOverServices>(
      relay::HandOverServices{*reach, *reach_directory, [] { return 0.5; }});
  forwarder_ = std::make_unique<relay::Forwarder>(MakeServices());
}

ForwardFixture::ForwardFixture(const std::string& name,
                               fleet::RequestKind kind,
                               int max_upstreams)
    : ForwardFixture() {
  AddRoute(name, kind).max_upstreams = max_upstreams;
  Publish();
}

ForwardFixture::~ForwardFixture() {
  callers_->StopAccepting();
  callers_->CloseAll();
  for (auto& [id, fake] : fakes_) {
    fake->CloseAll();
  }
  for (const auto& raw : raw_) {
    raw->Close();
  }
  context_.restart();
  context_.run_for(std::chrono::milliseconds(50));
}

fleet::Route& ForwardFixture::AddRoute(const std::string& name,
                                       fleet::RequestKind kind) {
  fleet::Route route;
  route.name = base::RouteName(name);
  route.host = "front.example";
  route.path_prefix = "/" + name + "/";
  route.kind = kind;
  route.pools.push_back({base::PoolName(name), 1});
  fleet::Pool pool;
  pool.name = base::PoolName(name);
  if (kind == fleet::RequestKind::kGeneration) {
    fleet::EngineTraits engine;
    engine.slots = 8;
    engine.memory_tokens = 10'000;
    engine.can_migrate = true;
    pool.engine = engine;
  }
  draft_.pools[pool.name] = pool;
  draft_.routes.push_back(route);
  return draft_.routes.back();
}

void ForwardFixture::Publish() {
  ++draft_.version;
  catalogue_ = std::make_shared<const fleet::Catalogue>(draft_);
}

FakeUpstream& ForwardFixture::AddUpstream(const std::string& id,
                                          const std::string& pool,
                                          http::Handler handler) {
  auto fake = std::make_unique<FakeUpstream>(executor(), std::move(handler));
  RegisterUpstream(id, pool, fake->address());
  return *(fakes_[id] = std::move(fake));
}

RawUpstream& ForwardFixture::AddRawUpstream(const std::string& id,
                                            const std::string& pool,
                                            std::string answer) {
  return AddRawUpstream(id, pool, RawAnswer{std::move(answer)});
}

RawUpstream& ForwardFixture::AddRawUpstream(const std::string& id,
                                            const std::string& pool,
                                            RawAnswer answer) {
  raw_.push_back(std::make_unique<RawUpstream>(executor(), std::move(answer)));
  RegisterUpstream(id, pool, raw_.back()->address());
  return *raw_.back();
}

void ForwardFixture::RegisterUpstream(const std::string& id,
                                      const std::string& pool,
                                      const tcp::endpoint& address) {
  fleet::UpstreamEntry entry;
  entry.pool = base::PoolName(pool);
  entry.address = address;
  entry.data_centre = base::DataCentreId("dc-a");
  entry.slots = 8;
  entry.version = added_version;
  upstreams.ApplyEntry(base::UpstreamId(id), entry, clock_.Now());
}

absl::StatusOr<http::Response> ForwardFixture::SendRequest(
    http::Request request) {
  // Shared, since the caller may give up before the task ends.
  const auto response =
      std::make_shared<std::optional<absl::StatusOr<http::Response>>>();
  base::Spawn(
      executor(),
      FetchInto(client_,
                tcp::endpoint(boost::asio::ip::address_v4::loopback(), port()),
                std::move(request), response));
  RunUntil([&response] { return response->has_value(); });
  return response->value_or(absl::UnknownError("no answer"));
}

void ForwardFixture::StartRequest(
    http::Request request,
    std::function<void(absl::StatusOr<http::Response>)> on_response) {
  const tcp::endpoint address(boost::asio::ip::address_v4::loopback(), port());
  const auto send =
      [](http::Client& client, tcp::endpoint daemon, http::Request sent,
         std::function<void(absl::StatusOr<http::Response>)> callback)
      -> Task<void> {
    http::FetchLimits limits;
    limits.new_connection = true;
    http::FetchResult result =
        co_await client.Fetch(daemon, std::move(sent), limits);
    callback(std::move(result.response));
  };
  base::Spawn(executor(), send(client_, address, std::move(request),
                               std::move(on_response)));
}

void ForwardFixture::AdvanceClock(Millis by) {
  clock_offset_ = clock_offset_ + by;
  quarantine.Tick(clock_.Now());
}

http::Response ForwardFixture::SendRequestOrThrow(http::Request request) {
  absl::StatusOr<http::Response> response = SendRequest(std::move(request));
  if (!response.ok()) {
    throw std::runtime_error(response.status().ToString());
  }
  return *std::move(response);
}

bool ForwardFixture::RunUntil(const std::function<bool()>& condition) {
  const auto give_up =
      std::chrono::steady_clock::now() + std::chrono::seconds(10);
  context_.restart();
  while (!condition()) {
    if (std::chrono::steady_clock::now() > give_up) {
      return false;
    }
    context_.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

void ForwardFixture::RunUntilIdle() {
  context_.restart();
  while (context_.run_one_for(kIdleTime) > 0) {
  }
}

http::Request CallerRequestFor(const std::string& route,
                               const std::string& id,
                               Millis deadline) {
  http::Request request;
  request.method = "POST";
  request.target = "/" + route + "/1";
  request.headers.Add("Host", "front.example");
  request.headers.Add("X-Dandeliondyke-Request-Id", id);
  request.headers.Add("X-Dandeliondyke-Deadline-Ms",
                      std::to_string(deadline.count()));
  request.body = "question";
  return request;
}

std::string RawHead(const std::string& id, const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nX-Dandeliondyke-Request-Id: " + id +
         "\r\nX-Dandeliondyke-Response-Seal: seal\r\n" + framing + "\r\n";
}

std::string RawAnswerTo(const std::string& id, const std::string& body) {
  return RawHead(id,
                 "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         body;
}

http::Response SealedResponse(const http::Request& request, std::string body) {
  http::Response response;
  response.headers.Add(
      "X-Dandeliondyke-Request-Id",
      std::string(request.headers.Find("X-Dandeliondyke-Request-Id")));
  response.headers.Add("X-Dandeliondyke-Response-Seal", "seal");
  response.body = std::move(body);
  return response;
}

std::string EventText(int64_t id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

std::string EventsUpTo(int64_t last) {
  std::string text;
  for (int64_t id = 1; id <= last; ++id) {
    text += EventText(id);
  }
  return text;
}

http::Handler StreamUpTo(int64_t last, bool complete) {
  return [last, complete](http::Exchange& exchange) -> Task<void> {
    int64_t after = 0;
    const std::string last_event_id(
        exchange.request().headers.Find("Last-Event-Id"));
    if (!last_event_id.empty()) {
      after = std::stoll(last_event_id);
    }
    http::Response head = SealedResponse(exchange.request(), "");
    head.headers.Add("Content-Type", "text/event-stream");
    absl::Status written = co_await exchange.StartStream(std::move(head));
    for (int64_t id = after + 1; written.ok() && id <= last; ++id) {
      const std::string event = EventText(id);
      written = co_await exchange.Write(event);
    }
    if (complete) {
      (void)co_await exchange.Finish();
    } else {
      // An incomplete event, which must not reach the caller.
      const std::string partial_event =
          "id: " + std::to_string(last + 1) + "\nda";
      (void)co_await exchange.Write(partial_event);
      exchange.Abort();
    }
  };
}

Task<void> RespondWithAnswer(http::Exchange& exchange) {
  http::Response response = SealedResponse(exchange.request(), "answer");
  (void)co_await exchange.Respond(std::move(response));
}

Task<void> RejectNotRun(http::Exchange& exchange) {
  http::Response response = SealedResponse(exchange.request(), "full");
  response.status = 503;
  response.headers.Add("X-Dandeliondyke-Not-Executed", "1");
  (void)co_await exchange.Respond(std::move(response));
}

}  // namespace dandelion::test
