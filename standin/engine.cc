// The `engine` role: an HTTP server in front of an EngineModel.
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

/// Returns the value of a "[[name=value]]" parameter in a prompt, or an empty
/// string if there is none. Clients set the number of tokens and the nonce of
/// an answer this way.
std::string FindPromptParameter(const std::string& prompt,
                                const std::string& name) {
  const std::string opening = "[[" + name + "=";
  const size_t opening_position = prompt.find(opening);
  if (opening_position == std::string::npos) {
    return {};
  }
  const size_t from = opening_position + opening.size();
  return prompt.substr(from, prompt.find("]]", from) - from);
}

struct Generation {
  std::string id;
  /// Text with which each token starts.
  std::string nonce;
  /// Identifies the generation in the EngineModel.
  uint64_t key = 0;
  int64_t generated_tokens = 0;
  bool done = false;
  /// The engine crashes when it generates the first token.
  bool crashes_engine = false;
  /// Cancelled, or dropped by the engine.
  bool lost = false;
  /// Number of connections that stream the generation.
  int readers = 0;
  /// Timers of the readers. Cancelling them wakes the readers: after a token,
  /// at the end of the generation and after a fault that ends streams.
  std::vector<asio::steady_timer*> reader_timers;
};

EngineParams ParseEngineParams(const Json& options) {
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
        event_log_(clock_),
        timer_(executor),
        name_(options.value("id", "engine")),
        report_lag_(options.value("report_lag_ms", 200)),
        unread_timeout_(options.value("unread_grace_ms", 5000)),
        incarnation_base_(base::RandomHexId().substr(0, 8)),
        model_(ParseEngineParams(options), MakeHooks()) {
    if (options.value("start_cold", true)) {
      model_.MakeCold(NowMs());
    }
  }

  void Start(const base::Executor& executor) {
    base::Spawn(executor, RunModel(shared_from_this()));
    base::Spawn(executor, PublishReports(shared_from_this()));
  }

  Task<void> Handle(http::Exchange& exchange) {
    const http::Request& request = exchange.request();
    const std::string path(request.Path());
    if (path == "/record") {
      Json all = event_log_.ToJson();
      co_await RespondJson(exchange, 200, std::move(all));
    } else if (path == "/fault") {
      co_await HandleFault(exchange);
    } else if (frozen_until_ > clock_.Now()) {
      co_await base::SleepFor(frozen_until_ - clock_.Now());
      exchange.Abort();
    } else if (refuse_connections_) {
      exchange.Abort();
    } else if (path == "/v1/load") {
      Json load = published_report_;
      co_await RespondJson(exchange, 200, std::move(load));
    } else if (path == "/v1/generations") {
      co_await CreateGeneration(exchange);
    } else if (absl::StartsWith(path, "/v1/generations/")) {
      co_await HandleGeneration(exchange, path.substr(path.rfind('/') + 1));
    } else {
      Json error = {{"error", "no such path"}};
      co_await RespondJson(exchange, 404, std::move(error));
    }
  }

 private:
  EngineModel::Hooks MakeHooks() {
    EngineModel::Hooks hooks;
    hooks.on_token = [this](uint64_t key, int64_t index, double) {
      Generation& generation = *generations_by_key_.at(key);
      if (generation.crashes_engine) {
        crash_is_due_ = true;
        return;
      }
      generation.generated_tokens = index + 1;
      WakeReaders(generation);
    };
    hooks.on_done = [this](uint64_t key, double) {
      Generation& generation = *generations_by_key_.at(key);
      generation.done = true;
      event_log_.Add({{"what", "completed"}, {"generation", generation.id}});
      WakeReaders(generation);
    };
    hooks.on_lost = [this](uint64_t key, double) {
      Generation& generation = *generations_by_key_.at(key);
      generation.lost = true;
      WakeReaders(generation);
    };
    return hooks;
  }

  double NowMs() const { return static_cast<double>(clock_.Now().count()); }

  std::string IncarnationNow() const {
    return absl::StrCat(incarnation_base_, ".",
                        model_.GetLoad(NowMs()).incarnation);
  }

  static void WakeReaders(Generation& generation) {
    for (asio::steady_timer* timer : generation.reader_timers) {
      timer->cancel();
    }
  }

  static Task<void> RunModel(std::shared_ptr<Engine> self) {
    constexpr Millis kIdleInterval(5);
    for (;;) {
      const double now = self->NowMs();
      if (self->frozen_until_ <= self->clock_.Now()) {
        self->model_.Advance(now);
      }
      if (std::exchange(self->crash_is_due_, false)) {
        self->event_log_.Add({{"what", "crashed"}});
        self->model_.Restart(now);
        self->WakeAllReaders();
      }
      const double next = self->model_.NextStepEnd();
      const bool step_running = next >= 0 && next > now;
      co_await base::SleepOnTimer(
          self->timer_, step_running
                            ? Millis(static_cast<int64_t>(next - now) + 1)
                            : kIdleInterval);
    }
  }

  // Publishes each report `report_lag_` after it was made: real engines, too,
  // report a past state.
  static Task<void> PublishReports(std::shared_ptr<Engine> self) {
    for (;;) {
      Json report = self->MakeReport();
      co_await base::SleepFor(self->report_lag_);
      if (!self->reports_stopped_) {
        self->published_report_ = std::move(report);
      }
    }
  }

  Json MakeReport() const {
    const EngineLoad load = model_.GetLoad(NowMs());
    return {
        {"incarnation", IncarnationNow()},  {"sequence", ++report_sequence_},
        {"running", load.running},          {"waiting", load.waiting},
        {"memory_used", load.memory_used},  {"memory_total", load.memory_total},
        {"preemptions", load.preemptions},  {"completed", load.completed},
        {"cold", load.cold && !hide_cold_}, {"leaving", leaving_}};
  }

  Task<void> CreateGeneration(http::Exchange& exchange) {
    const Json body = ParseJsonBody(exchange.request());
    if (!body.is_object() || !body.contains("id")) {
      Json error = {{"error", "the body must be a JSON object with an \"id\""}};
      co_await RespondJson(exchange, 400, std::move(error));
      co_return;
    }
    const std::string id = body.at("id");
    if (create_delay_ > Millis(0)) {
      co_await base::SleepFor(create_delay_);
    }
    auto generation = std::make_shared<Generation>();
    const std::string prompt = body.value("prompt", "");
    generation->id = id;
    generation->nonce = FindPromptParameter(prompt, "nonce");
    generation->crashes_engine = !FindPromptParameter(prompt, "crash").empty();
    generation->key = ++last_key_;
    generations_by_key_[generation->key] = generation;
    generations_by_id_[id] = generation;
    const EngineLoad before = model_.GetLoad(NowMs());
    event_log_.Add(
        {{"what", "work"},
         {"generation", id},
         {"request", exchange.request().headers.Find("X-Request-Id")},
         {"daemon", exchange.request().headers.Find("X-Daemon")},
         {"concurrency", before.running + before.waiting + 1},
         {"cold", before.cold},
         {"leaving", leaving_},
         {"incarnation", IncarnationNow()}});
    const auto submitted = model_.Submit(MakeJob(body, *generation), NowMs());
    if (submitted != EngineModel::SubmitResult::kAccepted) {
      const bool crashed = submitted == EngineModel::SubmitResult::kCrashed;
      if (crashed) {
        event_log_.Add({{"what", "fell_over"}});
      }
      Json error = {{"error", crashed ? "crashed" : "starting"}};
      co_await RespondJson(exchange, 503, std::move(error));
      co_return;
    }
    timer_.cancel();
    co_await StreamGeneration(exchange, generation, 0);
  }

  static EngineJob MakeJob(const Json& body, const Generation& generation) {
    const std::string prompt = body.value("prompt", "");
    EngineJob job;
    job.key = generation.key;
    job.prompt_tokens = body.value("prompt_tokens", int64_t{1});
    job.priority = body.value("priority", 0);
    int64_t tokens = 0;
    const std::string tokens_parameter = FindPromptParameter(prompt, "tokens");
    constexpr int64_t kDefaultTokens = 20;
    job.output_tokens =
        absl::SimpleAtoi(tokens_parameter, &tokens) ? tokens : kDefaultTokens;
    const int64_t max_tokens = body.value("max_tokens", job.output_tokens);
    job.output_tokens = std::min(job.output_tokens, max_tokens);
    return job;
  }

  Task<void> HandleGeneration(http::Exchange& exchange, const std::string& id) {
    const auto found = generations_by_id_.find(id);
    if (found == generations_by_id_.end() || found->second->lost) {
      Json error = {{"error", "no such generation"}};
      co_await RespondJson(exchange, 404, std::move(error));
      co_return;
    }
    const std::shared_ptr<Generation> generation = found->second;
    if (exchange.request().method == "DELETE") {
      model_.Cancel(generation->key);
      generation->lost = true;
      event_log_.Add({{"what", "cancelled"}, {"generation", id}});
      WakeReaders(*generation);
      Json done = Json::object();
      co_await RespondJson(exchange, 200, std::move(done));
      co_return;
    }
    int64_t from = 0;
    (void)absl::SimpleAtoi(exchange.request().Query("from"), &from);
    event_log_.Add({{"what", "resumed"}, {"generation", id}, {"from", from}});
    from = std::max<int64_t>(0, from - tokens_to_repeat_);
    co_await StreamGeneration(exchange, generation, from);
  }

  Task<void> StreamGeneration(http::Exchange& exchange,
                              std::shared_ptr<Generation> generation,
                              int64_t index) {
    const uint64_t silence_count_at_start = silence_count_;
    const uint64_t cut_count_at_start = cut_count_;
    asio::steady_timer wake_timer(timer_.get_executor());
    generation->reader_timers.push_back(&wake_timer);
    ++generation->readers;
    const absl::Cleanup unregister_reader = [&] {
      std::erase(generation->reader_timers, &wake_timer);
      --generation->readers;
      if (generation->readers == 0 && !generation->done) {
        base::Spawn(wake_timer.get_executor(),
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
      if (silence_count_at_start != silence_count_) {
        exchange.HoldOpen();
        co_return;
      }
      if (generation->lost || cut_count_at_start != cut_count_) {
        exchange.Abort();
        co_return;
      }
      if (index < generation->generated_tokens) {
        if (tokens_to_skip_ > 0 && index > 0) {
          --tokens_to_skip_;
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
            "event: done\ndata: {\"tokens\":", generation->generated_tokens,
            "}\n\n");
        written = co_await exchange.Write(end);
        if (written.ok()) {
          co_await exchange.Finish();
        }
        co_return;
      }
      co_await base::SleepOnTimer(wake_timer, Millis(1000));
    }
  }

  // Cancels a generation that still has no reader after `unread_timeout_`.
  static Task<void> CancelUnread(std::shared_ptr<Engine> self,
                                 std::shared_ptr<Generation> generation) {
    co_await base::SleepFor(self->unread_timeout_);
    if (generation->readers == 0 && !generation->done && !generation->lost) {
      generation->lost = true;
      self->model_.Cancel(generation->key);
      self->event_log_.Add(
          {{"what", "given_up"}, {"generation", generation->id}});
    }
  }

  // Sets faults from the fields of a JSON object; missing fields keep their
  // state.
  Task<void> HandleFault(http::Exchange& exchange) {
    const Json body = ParseJsonBody(exchange.request());
    event_log_.Add({{"what", "fault"}, {"fault", body}});
    refuse_connections_ = body.value("refuse", refuse_connections_);
    leaving_ = body.value("leaving", leaving_);
    hide_cold_ = body.value("hide_cold", hide_cold_);
    reports_stopped_ = body.value("stop_reports", reports_stopped_);
    tokens_to_repeat_ = body.value("repeat", tokens_to_repeat_);
    tokens_to_skip_ += body.value("gaps", int64_t{0});
    create_delay_ = Millis(body.value("delay_ms", create_delay_.count()));
    if (body.contains("freeze_ms")) {
      frozen_until_ = clock_.Now() + Millis(body.at("freeze_ms"));
    }
    if (body.value("silence", false)) {
      ++silence_count_;
      WakeAllReaders();
    }
    if (body.value("cut", false)) {
      ++cut_count_;
      WakeAllReaders();
    }
    if (body.value("restart", false)) {
      model_.Restart(NowMs());
      WakeAllReaders();
    }
    if (body.value("turn_cold", false)) {
      model_.MakeCold(NowMs());
    }
    if (body.contains("memory_tokens")) {
      model_.SetMemory(body.at("memory_tokens"));
    }
    Json done = Json::object();
    co_await RespondJson(exchange, 200, std::move(done));
  }

  void WakeAllReaders() {
    for (auto& [id, generation] : generations_by_id_) {
      WakeReaders(*generation);
    }
  }

  base::Clock clock_;
  EventLog event_log_;
  asio::steady_timer timer_;
  std::string name_;
  Millis report_lag_;
  Millis unread_timeout_;
  std::string incarnation_base_;
  EngineModel model_;
  std::unordered_map<uint64_t, std::shared_ptr<Generation>> generations_by_key_;
  std::unordered_map<std::string, std::shared_ptr<Generation>>
      generations_by_id_;
  Json published_report_ = Json::object();
  mutable int64_t report_sequence_ = 0;
  uint64_t last_key_ = 0;
  bool crash_is_due_ = false;
  bool refuse_connections_ = false;
  bool leaving_ = false;
  /// Reports the engine as warm while it is cold.
  bool hide_cold_ = false;
  bool reports_stopped_ = false;
  /// Number of tokens before the requested one that a resumed stream repeats.
  int64_t tokens_to_repeat_ = 0;
  /// Number of tokens that streams will leave out.
  int64_t tokens_to_skip_ = 0;
  Millis create_delay_;
  Millis frozen_until_;
  /// Faults so far that make all open streams fall silent or break off. A
  /// stream compares the counts with those at its start.
  uint64_t silence_count_ = 0;
  uint64_t cut_count_ = 0;
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
