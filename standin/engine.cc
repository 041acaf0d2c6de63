// The `engine` role: a model engine behind HTTP.
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/ids.h"
#include "standin/common.h"
#include "standin/engine_model.h"

namespace dandelion::standin {
namespace {

using base::Millis;
using base::Task;
namespace asio = boost::asio;

/// The value of a "[[name=value]]" mark in a prompt; callers of the stand-in
/// choose lengths and nonces with it.
std::string MarkOf(const std::string& prompt, const std::string& name) {
  const std::string open = "[[" + name + "=";
  const size_t start = prompt.find(open);
  if (start == std::string::npos) {
    return {};
  }
  const size_t from = start + open.size();
  return prompt.substr(from, prompt.find("]]", from) - from);
}

struct Generation {
  std::string id;
  std::string nonce;
  uint64_t key = 0;
  int64_t made = 0;
  bool done = false;
  bool lost = false;
  int readers = 0;
  /// Fires whenever a token was made or the generation ended.
  std::vector<asio::steady_timer*> waiters;
};

EngineParams ParamsFrom(const Json& options) {
  EngineParams params;
  params.step_base_ms = options.value("step_base_ms", params.step_base_ms);
  params.step_per_sequence_ms =
      options.value("step_per_sequence_ms", params.step_per_sequence_ms);
  params.memory_tokens = options.value("memory_tokens", params.memory_tokens);
  params.slots = options.value("slots", params.slots);
  params.cold_slots = options.value("cold_slots", params.cold_slots);
  params.warming_ms = options.value("warming_ms", params.warming_ms);
  params.restart_ms = options.value("restart_ms", params.restart_ms);
  return params;
}

class Engine : public std::enable_shared_from_this<Engine> {
 public:
  Engine(const base::Executor& executor, const Json& options)
      : clock_(base::Clock::Monotonic()),
        record_(clock_),
        timer_(executor),
        name_(options.value("id", "engine")),
        report_lag_(options.value("report_lag_ms", 200)),
        unread_grace_(options.value("unread_grace_ms", 5000)),
        incarnation_base_(base::RandomName().substr(0, 8)),
        model_(ParamsFrom(options), MakeHooks()) {
    if (options.value("start_cold", true)) {
      model_.TurnCold(NowMs());
    }
  }

  void Start(const base::Executor& executor) {
    base::Spawn(executor, Drive(shared_from_this()));
    base::Spawn(executor, Report(shared_from_this()));
  }

  Task<void> Handle(http::Exchange& exchange) {
    const http::Request& request = exchange.request();
    const std::string path(request.Path());
    if (path == "/record") {
      Json all = record_.All();
      co_await Answer(exchange, 200, std::move(all));
    } else if (path == "/fault") {
      co_await Fault(exchange);
    } else if (frozen_until_ > clock_.Now()) {
      co_await base::Delay(frozen_until_ - clock_.Now());
      exchange.Abort();
    } else if (refuse_) {
      exchange.Abort();
    } else if (path == "/v1/load") {
      Json load = report_;
      co_await Answer(exchange, 200, std::move(load));
    } else if (path == "/v1/generations") {
      co_await Create(exchange);
    } else if (absl::StartsWith(path, "/v1/generations/")) {
      co_await Existing(exchange, path.substr(path.rfind('/') + 1));
    } else {
      Json error = {{"error", "no such path"}};
      co_await Answer(exchange, 404, std::move(error));
    }
  }

 private:
  EngineModel::Hooks MakeHooks() {
    EngineModel::Hooks hooks;
    hooks.on_token = [this](uint64_t key, int64_t index, double) {
      Generation& generation = *by_key_.at(key);
      generation.made = index + 1;
      Wake(generation);
    };
    hooks.on_done = [this](uint64_t key, double) {
      Generation& generation = *by_key_.at(key);
      generation.done = true;
      record_.Add({{"what", "completed"}, {"generation", generation.id}});
      Wake(generation);
    };
    hooks.on_lost = [this](uint64_t key, double) {
      Generation& generation = *by_key_.at(key);
      generation.lost = true;
      Wake(generation);
    };
    return hooks;
  }

  double NowMs() const { return static_cast<double>(clock_.Now().count()); }

  std::string IncarnationNow() const {
    return absl::StrCat(incarnation_base_, ".",
                        model_.Load(NowMs()).incarnation);
  }

  static void Wake(Generation& generation) {
    for (asio::steady_timer* waiter : generation.waiters) {
      waiter->cancel();
    }
  }

  static Task<void> Drive(std::shared_ptr<Engine> self) {
    constexpr Millis kIdle(5);
    for (;;) {
      const double now = self->NowMs();
      if (self->frozen_until_ <= self->clock_.Now()) {
        self->model_.Advance(now);
      }
      const double next = self->model_.NextStepEnd();
      const bool soon = next >= 0 && next > now;
      co_await base::WaitFor(
          self->timer_,
          soon ? Millis(static_cast<int64_t>(next - now) + 1) : kIdle);
    }
  }

  // Load reports describe a past state, as those of real engines do.
  static Task<void> Report(std::shared_ptr<Engine> self) {
    for (;;) {
      Json report = self->MakeReport();
      co_await base::Delay(self->report_lag_);
      if (!self->reports_stopped_) {
        self->report_ = std::move(report);
      }
    }
  }

  Json MakeReport() const {
    const EngineLoad load = model_.Load(NowMs());
    return {
        {"incarnation", IncarnationNow()},  {"sequence", ++reports_},
        {"running", load.running},          {"waiting", load.waiting},
        {"memory_used", load.memory_used},  {"memory_total", load.memory_total},
        {"preemptions", load.preemptions},  {"completed", load.completed},
        {"cold", load.cold && !hide_cold_}, {"leaving", leaving_}};
  }

  Task<void> Create(http::Exchange& exchange) {
    const Json body = BodyOf(exchange.request());
    if (!body.is_object() || !body.contains("id")) {
      Json error = {{"error", "a body with an id is needed"}};
      co_await Answer(exchange, 400, std::move(error));
      co_return;
    }
    const std::string id = body.at("id");
    if (delay_ > Millis(0)) {
      co_await base::Delay(delay_);
    }
    auto generation = std::make_shared<Generation>();
    const std::string prompt = body.value("prompt", "");
    generation->id = id;
    generation->nonce = MarkOf(prompt, "nonce");
    generation->key = ++last_key_;
    by_key_[generation->key] = generation;
    by_id_[id] = generation;
    const EngineLoad before = model_.Load(NowMs());
    record_.Add({{"what", "work"},
                 {"generation", id},
                 {"request", exchange.request().headers.Find("X-Request-Id")},
                 {"daemon", exchange.request().headers.Find("X-Daemon")},
                 {"concurrency", before.running + before.waiting + 1},
                 {"cold", before.cold},
                 {"leaving", leaving_},
                 {"incarnation", IncarnationNow()}});
    const auto submitted = model_.Submit(JobFrom(body, *generation), NowMs());
    if (submitted != EngineModel::Submitted::kAccepted) {
      const bool fell = submitted == EngineModel::Submitted::kFellOver;
      if (fell) {
        record_.Add({{"what", "fell_over"}});
      }
      Json error = {{"error", fell ? "fell over" : "starting"}};
      co_await Answer(exchange, 503, std::move(error));
      co_return;
    }
    timer_.cancel();
    co_await Stream(exchange, generation, 0);
  }

  static EngineJob JobFrom(const Json& body, const Generation& generation) {
    const std::string prompt = body.value("prompt", "");
    EngineJob job;
    job.key = generation.key;
    job.prompt_tokens = body.value("prompt_tokens", int64_t{1});
    job.priority = body.value("priority", 0);
    int64_t tokens = 0;
    const std::string mark = MarkOf(prompt, "tokens");
    constexpr int64_t kDefaultTokens = 20;
    job.output_tokens =
        absl::SimpleAtoi(mark, &tokens) ? tokens : kDefaultTokens;
    const int64_t most = body.value("max_tokens", job.output_tokens);
    job.output_tokens = std::min(job.output_tokens, most);
    return job;
  }

  Task<void> Existing(http::Exchange& exchange, const std::string& id) {
    const auto found = by_id_.find(id);
    if (found == by_id_.end() || found->second->lost) {
      Json error = {{"error", "no such generation"}};
      co_await Answer(exchange, 404, std::move(error));
      co_return;
    }
    const std::shared_ptr<Generation> generation = found->second;
    if (exchange.request().method == "DELETE") {
      model_.Cancel(generation->key);
      generation->lost = true;
      record_.Add({{"what", "cancelled"}, {"generation", id}});
      Wake(*generation);
      Json done = Json::object();
      co_await Answer(exchange, 200, std::move(done));
      co_return;
    }
    int64_t from = 0;
    (void)absl::SimpleAtoi(exchange.request().Query("from"), &from);
    record_.Add({{"what", "resumed"}, {"generation", id}, {"from", from}});
    from = std::max<int64_t>(0, from - repeat_);
    co_await Stream(exchange, generation, from);
  }

  Task<void> Stream(http::Exchange& exchange,
                    std::shared_ptr<Generation> generation,
                    int64_t index) {
    const uint64_t silence = silences_;
    const uint64_t cuts = cuts_;
    asio::steady_timer wake(timer_.get_executor());
    generation->waiters.push_back(&wake);
    ++generation->readers;
    const absl::Cleanup leave = [&] {
      std::erase(generation->waiters, &wake);
      --generation->readers;
      if (generation->readers == 0 && !generation->done) {
        base::Spawn(wake.get_executor(),
                    CancelUnread(shared_from_this(), generation));
      }
    };
    http::Response head;
    head.headers.Add("Content-Type", "text/event-stream");
    head.headers.Add(
        "X-Request-Id",
        std::string(exchange.request().headers.Find("X-Request-Id")));
    head.headers.Add("X-Engine-Incarnation", IncarnationNow());
    absl::Status written = co_await exchange.StartStream(head);
    while (written.ok()) {
      if (silence != silences_) {
        exchange.FallSilent();
        co_return;
      }
      if (generation->lost || cuts != cuts_) {
        exchange.Abort();
        co_return;
      }
      if (index < generation->made) {
        if (gaps_ > 0 && index > 0) {
          --gaps_;
          ++index;
          continue;
        }
        const std::string event = absl::StrCat(
            "id: ", index, "\ndata: {\"text\":\"", generation->nonce, ".",
            generation->id.substr(0, 8), ".", index, " \"}\n\n");
        ++index;
        written = co_await exchange.Write(event);
        continue;
      }
      if (generation->done) {
        const std::string end = absl::StrCat(
            "event: done\ndata: {\"tokens\":", generation->made, "}\n\n");
        written = co_await exchange.Write(end);
        if (written.ok()) {
          co_await exchange.Finish();
        }
        co_return;
      }
      co_await base::WaitFor(wake, Millis(1000));
    }
  }

  // A generation that nobody reads is given up after a grace time.
  static Task<void> CancelUnread(std::shared_ptr<Engine> self,
                                 std::shared_ptr<Generation> generation) {
    co_await base::Delay(self->unread_grace_);
    if (generation->readers == 0 && !generation->done && !generation->lost) {
      generation->lost = true;
      self->model_.Cancel(generation->key);
      self->record_.Add({{"what", "given_up"}, {"generation", generation->id}});
    }
  }

  Task<void> Fault(http::Exchange& exchange) {
    const Json body = BodyOf(exchange.request());
    record_.Add({{"what", "fault"}, {"fault", body}});
    refuse_ = body.value("refuse", refuse_);
    leaving_ = body.value("leaving", leaving_);
    hide_cold_ = body.value("hide_cold", hide_cold_);
    reports_stopped_ = body.value("stop_reports", reports_stopped_);
    repeat_ = body.value("repeat", repeat_);
    gaps_ += body.value("gaps", int64_t{0});
    delay_ = Millis(body.value("delay_ms", delay_.count()));
    if (body.contains("freeze_ms")) {
      frozen_until_ = clock_.Now() + Millis(body.at("freeze_ms"));
    }
    if (body.value("silence", false)) {
      ++silences_;
      WakeAll();
    }
    if (body.value("cut", false)) {
      ++cuts_;
      WakeAll();
    }
    if (body.value("restart", false)) {
      model_.Restart(NowMs());
      WakeAll();
    }
    if (body.value("turn_cold", false)) {
      model_.TurnCold(NowMs());
    }
    if (body.contains("memory_tokens")) {
      model_.SetMemory(body.at("memory_tokens"));
    }
    Json done = Json::object();
    co_await Answer(exchange, 200, std::move(done));
  }

  void WakeAll() {
    for (auto& [id, generation] : by_id_) {
      Wake(*generation);
    }
  }

  base::Clock clock_;
  Record record_;
  asio::steady_timer timer_;
  std::string name_;
  Millis report_lag_;
  Millis unread_grace_;
  std::string incarnation_base_;
  EngineModel model_;
  std::unordered_map<uint64_t, std::shared_ptr<Generation>> by_key_;
  std::unordered_map<std::string, std::shared_ptr<Generation>> by_id_;
  Json report_ = Json::object();
  mutable int64_t reports_ = 0;
  uint64_t last_key_ = 0;
  bool refuse_ = false;
  bool leaving_ = false;
  bool hide_cold_ = false;
  bool reports_stopped_ = false;
  int64_t repeat_ = 0;
  int64_t gaps_ = 0;
  Millis delay_;
  Millis frozen_until_;
  uint64_t silences_ = 0;
  uint64_t cuts_ = 0;
};

}  // namespace

http::Handler MakeEngine(const base::Executor& executor,
                         const RoleSettings& settings) {
  auto engine = std::make_shared<Engine>(executor, settings.options);
  engine->Start(executor);
  return
      [engine](http::Exchange& exchange) { return engine->Handle(exchange); };
}

}  // namespace dandelion::standin
