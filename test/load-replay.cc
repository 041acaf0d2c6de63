#include "test/load-replay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "relay/generation_size.h"
#include "routing/load_exchange.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::UpstreamId;
using standin::EngineModel;

// Intervals and limits close to those of the fleet daemon.
constexpr Millis kTick{30};
constexpr Millis kExchangeInterval{60};
constexpr Millis kFullExchangeInterval{1020};
constexpr Millis kLatencyTarget{1500};
constexpr int64_t kMaxWaitInTargets = 3;
constexpr Millis kDeadline{39'000};
// Limit of the outputs in a generated load.
constexpr int64_t kMaxOutputTokens = 2200;
constexpr int64_t kUrgentOutputTokens = 128;
// The replay ends this long after the last arrival. A request that is still
// pending by then would never end.
constexpr Millis kDrainTime{60'000};
constexpr int64_t kEngineSlots = 24;
constexpr int64_t kEngineMemoryTokens = 34'000;

UpstreamId EngineId(size_t engine) {
  return UpstreamId(absl::StrCat("engine-", engine));
}

standin::EngineParams MakeEngineParams(double speed) {
  standin::EngineParams params;
  params.step_base_ms = 7 / speed;
  params.step_per_sequence_ms = 0.12 / speed;
  params.step_per_kilotoken_ms = 0.004 / speed;
  params.prefill_per_kilotoken_ms = 70 / speed;
  params.prefill_chunk_tokens = 112;
  params.memory_tokens = kEngineMemoryTokens;
  params.slots = kEngineSlots;
  params.cold_slots = kEngineSlots;
  params.warming_ms = static_cast<double>(LoadReplay::kColdDuration.count());
  return params;
}

fleet::UpstreamList::Hooks NoOpListHooks() {
  return {[](const fleet::Upstream&) {},
          [](const fleet::Upstream&, std::string_view) {},
          [](const UpstreamId&) {}};
}

routing::UpstreamHealth::Hooks NoOpHealthHooks() {
  return {[](const UpstreamId&, Millis) {}, [](const UpstreamId&) {}};
}

routing::SelfReports::Hooks NoOpSelfReportHooks() {
  return {[](const base::UpstreamId&, std::string_view) {},
          [](const base::UpstreamId&, std::optional<double>) {},
          [](const base::UpstreamId&, Millis) {},
          [](const base::UpstreamId&) { return routing::DaemonRank(); }};
}

}  // namespace

struct LoadReplay::Daemon {
  Daemon(LoadReplay& replay, size_t index)
      : name(absl::StrCat("daemon-", index)),
        health(NoOpHealthHooks()),
        self_reports(NoOpSelfReportHooks()),
        placer(base::Clock([&replay] { return replay.now_; }),
               base::DataCentreId("dc-a"),
               replay.upstreams_,
               loads,
               health,
               self_reports,
               replay.MakePlacerHooks(index)),
        exchange(loads, health, base::Clock([&replay] {
                   return replay.now_;
                 })) {}

  base::HostId name;
  routing::LoadTracker loads;
  routing::UpstreamHealth health;
  routing::SelfReports self_reports;
  relay::Placer placer;
  routing::LoadExchange exchange;
};

double ReplayResult::ShareOfKind(
    ReplayOutcome::Kind kind,
    const std::function<bool(size_t)>& filter) const {
  double total = 0;
  double matching = 0;
  for (size_t i = 0; i < outcomes.size(); ++i) {
    if (filter(i)) {
      ++total;
      matching += outcomes[i].kind == kind ? 1 : 0;
    }
  }
  return total > 0 ? matching / total : 0;
}

double ReplayResult::ShareOnTime(
    Millis target,
    const std::function<bool(size_t)>& filter) const {
  double total = 0;
  double on_time = 0;
  for (size_t i = 0; i < outcomes.size(); ++i) {
    if (filter(i)) {
      ++total;
      on_time += outcomes[i].kind == ReplayOutcome::Kind::kCompleted &&
                         outcomes[i].first_response <= target
                     ? 1
                     : 0;
    }
  }
  return total > 0 ? on_time / total : 0;
}

Millis ReplayResult::FirstTokenQuantile(
    double quantile,
    const std::function<bool(size_t)>& filter) const {
  std::vector<Millis> times;
  for (size_t i = 0; i < outcomes.size(); ++i) {
    if (filter(i) && outcomes[i].kind == ReplayOutcome::Kind::kCompleted) {
      times.push_back(outcomes[i].first_response);
    }
  }
  if (times.empty()) {
    return Millis(0);
  }
  std::sort(times.begin(), times.end());
  const auto rank =
      static_cast<size_t>(quantile * static_cast<double>(times.size()));
  return times[std::min(rank, times.size() - 1)];
}

LoadReplay::LoadReplay(const ReplaySetup& setup)
    : setup_(setup), upstreams_(NoOpListHooks()) {
  pool_.name = base::PoolName("engines");
  pool_.cold_requests_per_second = kColdRequestsPerSecond;
  fleet::EngineTraits traits;
  traits.slots = kEngineSlots;
  traits.memory_tokens = kEngineMemoryTokens;
  pool_.engine = traits;
  send_times_.resize(setup_.speeds.size());
  for (size_t i = 0; i < setup_.speeds.size(); ++i) {
    EngineModel::Hooks hooks;
    hooks.on_token = [this](uint64_t key, int64_t, double time_ms) {
      OnToken(key, time_ms);
    };
    hooks.on_done = [this](uint64_t key, double) {
      FinishRequest(key, ReplayOutcome::Kind::kCompleted);
    };
    hooks.on_lost = [this](uint64_t key, double) {
      FinishRequest(key, ReplayOutcome::Kind::kLost);
    };
    engines_.push_back(std::make_unique<EngineModel>(
        MakeEngineParams(setup_.speeds[i]), hooks));
    fleet::UpstreamEntry entry;
    entry.pool = pool_.name;
    entry.data_centre = base::DataCentreId("dc-a");
    entry.slots = kEngineSlots;
    upstreams_.ApplyEntry(EngineId(i), entry, now_);
  }
  for (size_t i = 0; i < setup_.daemons; ++i) {
    daemons_.push_back(std::make_unique<Daemon>(*this, i));
  }
}

LoadReplay::~LoadReplay() = default;

relay::Placer::Hooks LoadReplay::MakePlacerHooks(size_t daemon) {
  relay::Placer::Hooks hooks;
  hooks.rank = [this, daemon](const base::UpstreamId&) {
    return routing::DaemonRank{daemon, setup_.daemons};
  };
  if (setup_.on_time) {
    hooks.random = [this] {
      return std::uniform_real_distribution<>(0, 1)(random_);
    };
  }
  return hooks;
}

void LoadReplay::ScheduleFault(Millis at, std::function<void()> fault) {
  faults_.emplace(at, std::move(fault));
}

void LoadReplay::CrashEngine(size_t engine) {
  engines_[engine]->Restart(static_cast<double>(now_.count()));
  fleet::UpstreamEntry entry = upstreams_.Find(EngineId(engine))->entry;
  entry.cold_remaining = kColdDuration;
  entry.started_at += 1;
  upstreams_.ApplyEntry(EngineId(engine), entry, now_);
}

ReplayResult LoadReplay::Run(const std::vector<LoadEntry>& load) {
  result_ = {};
  result_.outcomes.resize(load.size());
  requests_.resize(load.size());
  const Millis end = load.back().at + kDrainTime;
  size_t next = 0;
  Millis next_tick;
  while (now_ < end) {
    size_t engine = 0;
    const double step = FindNextStep(&engine);
    Millis at = next_tick;
    if (next < load.size()) {
      at = std::min(at, load[next].at);
    }
    if (!faults_.empty()) {
      at = std::min(at, faults_.begin()->first);
    }
    if (step >= 0 && step < static_cast<double>(at.count())) {
      now_ = std::max(now_, Millis(static_cast<int64_t>(step)));
      engines_[engine]->Advance(step);
    } else if (!faults_.empty() && faults_.begin()->first == at) {
      now_ = std::max(now_, at);
      const auto fault = faults_.extract(faults_.begin());
      fault.mapped()();
    } else if (next < load.size() && load[next].at == at) {
      now_ = std::max(now_, at);
      requests_[next].entry = &load[next];
      requests_[next].daemon = next % setup_.daemons;
      OnArrival(next++);
    } else {
      now_ = std::max(now_, at);
      Tick();
      next_tick = at + kTick;
    }
  }
  for (const auto& model : engines_) {
    result_.preemptions +=
        model->GetLoad(static_cast<double>(now_.count())).preemptions;
  }
  return result_;
}

void LoadReplay::OnArrival(size_t index) {
  Request& request = requests_[index];
  relay::CallerRequest caller_request;
  caller_request.prompt_tokens = request.entry->prompt_tokens;
  caller_request.expected_output_tokens = request.entry->expected_tokens;
  relay::PlaceRequest place_request;
  place_request.pool = pool_;
  place_request.organisation = request.entry->organisation;
  place_request.size = relay::EstimateSize(caller_request);
  place_request.is_urgent =
      place_request.size->output_tokens < kUrgentOutputTokens;
  place_request.size->is_urgent = place_request.is_urgent;
  request.is_urgent = place_request.is_urgent;
  request.size = *place_request.size;
  place_request.wait_until = now_ + kLatencyTarget * kMaxWaitInTargets;
  request.wait_until = place_request.wait_until;
  if (setup_.on_time) {
    place_request.answer_target = kLatencyTarget;
    place_request.answer_by = now_ + kLatencyTarget;
    place_request.deadline = now_ + kDeadline;
  }
  relay::PlaceResult answer = daemons_[request.daemon]->placer.Place(
      std::move(place_request),
      [this, index](std::optional<migration::Place> place) {
        requests_[index].ticket.reset();
        StartGeneration(index, *std::move(place));
      });
  if (answer.place) {
    StartGeneration(index, *std::move(answer.place));
  } else if (!answer.ticket && !request.place) {
    FinishRequest(index, ReplayOutcome::Kind::kRejected);
  } else if (!request.place) {
    request.ticket = answer.ticket;
  }
}

void LoadReplay::StartGeneration(size_t index, migration::Place place) {
  Request& request = requests_[index];
  if (result_.outcomes[index].kind != ReplayOutcome::Kind::kPending) {
    ++result_.late_placements;
    return;
  }
  size_t engine = 0;
  while (EngineId(engine) != place.upstream) {
    ++engine;
  }
  result_.outcomes[index].engine = engine;
  request.place = std::move(place);
  request.last_token_at = now_;
  send_times_[engine].push_back(now_);
  standin::EngineJob job;
  job.key = index;
  job.prompt_tokens = request.entry->prompt_tokens;
  job.output_tokens = request.entry->output_tokens;
  job.priority = request.is_urgent ? 0 : 1;
  const EngineModel::SubmitResult submitted =
      engines_[engine]->Submit(job, static_cast<double>(now_.count()));
  if (submitted != EngineModel::SubmitResult::kAccepted) {
    daemons_[request.daemon]->health.RecordAttempt(
        EngineId(engine), routing::AttemptOutcome::kFailure, now_);
    FinishRequest(index, ReplayOutcome::Kind::kLost);
  }
}

void LoadReplay::FinishRequest(size_t index, ReplayOutcome::Kind kind) {
  Request& request = requests_[index];
  ReplayOutcome& outcome = result_.outcomes[index];
  outcome.kind = kind;
  if (!request.has_token) {
    outcome.first_response = now_ - request.entry->at;
  }
  request.place.reset();
  request.ticket.reset();
}

void LoadReplay::OnToken(size_t index, double time_ms) {
  Request& request = requests_[index];
  const Millis at(static_cast<int64_t>(time_ms));
  if (!request.has_token) {
    request.has_token = true;
    result_.outcomes[index].first_response = at - request.entry->at;
    request.place->reservation.MarkPromptProcessed();
    daemons_[request.daemon]->placer.RecordFirstToken(pool_.name,
                                                      *request.place);
  } else {
    const Millis gap = at - request.last_token_at;
    result_.outcomes[index].longest_gap =
        std::max(result_.outcomes[index].longest_gap, gap);
    daemons_[request.daemon]->placer.RecordTokenTime(
        request.place->upstream, static_cast<double>(gap.count()));
  }
  request.last_token_at = at;
  ++request.tokens;
  if (setup_.on_time && request.place) {
    const int64_t output =
        relay::ExpectedOutput(request.size, request.tokens, kMaxOutputTokens);
    request.place->reservation.RaiseTokens(request.size.prompt_tokens + output);
    request.size.output_tokens = output;
  }
}

void LoadReplay::Tick() {
  if (setup_.share_loads && now_.count() % kExchangeInterval.count() == 0) {
    ExchangeLoads();
  }
  DeliverHeartbeats();
  ExpireRequests();
  for (const auto& daemon : daemons_) {
    daemon->placer.DispatchWaiting();
  }
}

void LoadReplay::ExchangeLoads() {
  const bool all = now_.count() % kFullExchangeInterval.count() == 0;
  for (const auto& from : daemons_) {
    proto::FleetBeat heartbeat;
    heartbeat.set_all_loads(all);
    from->exchange.StartRound();
    from->exchange.AddLoads(proto::OWN, base::HostId(), all, &heartbeat);
    heartbeats_.emplace(
        now_ + setup_.load_delay, [this, sender = from.get(), heartbeat] {
          for (const auto& to : daemons_) {
            if (to.get() != sender) {
              to->exchange.ApplyMemberLoads(sender->name, heartbeat);
            }
          }
        });
  }
}

void LoadReplay::DeliverHeartbeats() {
  while (!heartbeats_.empty() && heartbeats_.begin()->first <= now_) {
    const auto heartbeat = heartbeats_.extract(heartbeats_.begin());
    heartbeat.mapped()();
  }
}

void LoadReplay::ExpireRequests() {
  for (size_t i = 0; i < requests_.size(); ++i) {
    Request& request = requests_[i];
    if (!request.entry ||
        result_.outcomes[i].kind != ReplayOutcome::Kind::kPending) {
      continue;
    }
    const bool abandons = caller_patience_ && !request.has_token &&
                          now_ - request.entry->at >= *caller_patience_;
    if (request.ticket && (abandons || now_ >= request.wait_until)) {
      daemons_[request.daemon]->placer.CancelWait(*request.ticket);
      FinishRequest(i, abandons ? ReplayOutcome::Kind::kAbandoned
                                : ReplayOutcome::Kind::kRejected);
    } else if (request.place && abandons) {
      engines_[result_.outcomes[i].engine]->Cancel(i);
      FinishRequest(i, ReplayOutcome::Kind::kAbandoned);
    }
  }
}

double LoadReplay::FindNextStep(size_t* engine) const {
  double next = -1;
  for (size_t i = 0; i < engines_.size(); ++i) {
    const double end = engines_[i]->NextStepEnd();
    if (end >= 0 && (next < 0 || end < next)) {
      next = end;
      *engine = i;
    }
  }
  return next;
}

}  // namespace dandelion::test
