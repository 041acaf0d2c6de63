#include "bench/policy/fleet.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <pcg_random.hpp>
#include <random>

#include "absl/strings/str_cat.h"
#include "admission/fair_queue.h"
#include "admission/length_model.h"
#include "admission/slot_holder.h"
#include "admission/slot_owner.h"
#include "routing/choice.h"
#include "routing/upstream_model.h"
#include "standin/engine_model.h"

namespace dandelion::bench {
namespace {

using admission::SlotHolder;
using base::Millis;
using base::Slots;
using base::UpstreamId;
using standin::EngineModel;
using standin::EngineParams;

constexpr int kEngines = 11;
constexpr int kDaemons = 9;
constexpr double kReportIntervalMs = 250;
constexpr double kReportLagMs = 200;
constexpr double kRoundMs = 700;
constexpr double kHurriedMs = 50;
constexpr double kStallBoundMs = 200;
/// Work that is not whole when its deadline passes is counted as failed.
constexpr double kDrainMs = 120'000;
constexpr size_t kQueuePerOrganisation = 400;

// Bought over years: speed and memory differ by more than three.
EngineParams ParamsOf(int engine) {
  const double speed = 0.62 + 0.08 * engine;
  EngineParams params;
  params.step_base_ms = 12 / speed;
  params.step_per_sequence_ms = 0.2 / speed;
  params.step_per_kilotoken_ms = 0.12 / speed;
  params.prefill_per_kilotoken_ms = 25 / speed;
  params.prefill_chunk_tokens = 256;
  params.memory_tokens = 18'000 + 4000 * engine;
  params.slots = 48;
  params.cold_slots = 4;
  params.warming_ms = 6000;
  return params;
}

UpstreamId IdOf(int engine) {
  return UpstreamId(absl::StrCat("engine-", engine));
}

/// Times in buckets of a millisecond.
class Times {
 public:
  void Add(double ms) {
    const auto bucket = static_cast<size_t>(std::max(0.0, ms));
    ++counts_[std::min(bucket, counts_.size() - 1)];
    ++total_;
  }
  double Quantile(double share) const {
    const auto rank =
        static_cast<uint64_t>(share * static_cast<double>(total_));
    uint64_t seen = 0;
    for (size_t i = 0; i < counts_.size(); ++i) {
      seen += counts_[i];
      if (seen > rank) {
        return static_cast<double>(i);
      }
    }
    return 0;
  }

 private:
  std::vector<uint64_t> counts_ = std::vector<uint64_t>(60'000);
  uint64_t total_ = 0;
};

struct Job {
  const TraceEntry* entry = nullptr;
  int daemon = 0;
  int engine = -1;
  double placed_ms = 0;
  double last_token_ms = -1;
  int64_t made = 0;
  bool waiting = false;
  bool done = false;
};

class Fleet;

/// One daemon's state and decisions.
class Dispatcher {
 public:
  Dispatcher(Fleet& fleet, int index);

  void Arrive(uint64_t key);
  void Pump();
  void Round();
  void OnToken(uint64_t key, double gap_ms);
  void OnEnd(uint64_t key, bool whole);
  void Revoke(int engine) { slots_.Revoke(IdOf(engine)); }
  bool HasQueue() const { return queue_.size() > 0; }
  double next_round_ms = 0;

 private:
  bool TryPlace(uint64_t key);
  routing::Candidate CandidateFrom(const Job& job, int engine);
  routing::ChoiceRequest Describe(const Job& job) const;
  int Baseline(const Job& job);
  admission::LengthGroup GroupOf(const Job& job) const;

  Fleet& fleet_;
  int index_;
  std::vector<routing::UpstreamModel> models_;
  admission::LengthModel lengths_;
  admission::FairQueue queue_{kQueuePerOrganisation};
  SlotHolder slots_;
  std::vector<int64_t> outstanding_ = std::vector<int64_t>(kEngines);
  int turn_ = 0;
  bool pumping_ = false;
  /// What the first waiting request that found no room needs.
  double room_needed_ = 0;
  uint64_t rounds_ = 0;
  pcg32 random_;
};

/// Engines, daemons and the clock.
class Fleet {
 public:
  explicit Fleet(const RunParams& params);
  RunFigures Run();

  const RunParams& params() const { return params_; }
  Job& job(uint64_t key) { return jobs_[key]; }
  double now() const { return now_; }
  base::Clock clock() {
    return base::Clock([this] { return Millis(static_cast<int64_t>(now_)); });
  }
  bool full_sight() const {
    return params_.policy == Policy::kOracle ||
           params_.policy == Policy::kOursFullSight;
  }
  bool ours() const { return params_.policy == Policy::kOurs || full_sight(); }
  bool out(int engine) const { return out_[engine]; }
  admission::SlotOwner& owner() { return *owner_; }
  const standin::EngineLoad& report(int engine) const {
    return reports_[engine];
  }
  void Refuse(uint64_t key);
  void Submit(uint64_t key, int engine);

 private:
  void OnToken(uint64_t key, double time);
  void OnEnd(uint64_t key, double time, bool whole);
  void Reports();
  void Failures();
  RunFigures Figures();

  RunParams params_;
  double now_ = 0;
  std::vector<Job> jobs_;
  std::vector<std::unique_ptr<EngineModel>> engines_;
  std::vector<std::unique_ptr<Dispatcher>> daemons_;
  std::unique_ptr<admission::SlotOwner> owner_;
  std::vector<standin::EngineLoad> reports_;
  std::deque<std::pair<double, std::vector<standin::EngineLoad>>> lagged_;
  std::vector<bool> out_ = std::vector<bool>(kEngines);
  std::deque<uint64_t> again_;
  Times between_;
  Times first_;
  Times short_first_;
  RunFigures figures_;
  std::map<int, double> service_;
  std::map<int, double> demand_;
  int64_t whole_ = 0;
  int64_t whole_in_time_ = 0;
  size_t failure_step_ = 0;
};

Dispatcher::Dispatcher(Fleet& fleet, int index)
    : next_round_ms(kRoundMs * index / kDaemons),
      fleet_(fleet),
      index_(index),
      models_(kEngines),
      slots_(fleet.clock()),
      random_(static_cast<uint64_t>(index) + 1) {}

admission::LengthGroup Dispatcher::GroupOf(const Job& job) const {
  return {base::OrganisationId(absl::StrCat(job.entry->organisation)),
          base::RouteName(job.entry->route),
          job.entry->is_short ? "short" : "long"};
}

void Dispatcher::Arrive(uint64_t key) {
  Job& job = fleet_.job(key);
  if (!fleet_.ours()) {
    job.engine = Baseline(job);
    ++outstanding_[job.engine];
    fleet_.Submit(key, job.engine);
    return;
  }
  if (queue_.size() == 0 && TryPlace(key)) {
    return;
  }
  admission::Waiter waiter;
  waiter.ticket = key;
  waiter.organisation =
      fleet_.params().fair
          ? base::OrganisationId(absl::StrCat(job.entry->organisation))
          : base::OrganisationId("all");
  waiter.is_short = job.entry->is_short;
  waiter.cost = Describe(job).expected_tokens;
  job.waiting = true;
  if (!queue_.Push(waiter)) {
    fleet_.Refuse(key);
    return;
  }
  next_round_ms = std::min(next_round_ms, fleet_.now() + kHurriedMs);
}

int Dispatcher::Baseline(const Job&) {
  const auto usable = [this](int engine) { return !fleet_.out(engine); };
  switch (fleet_.params().policy) {
    case Policy::kLeastOutstanding: {
      int best = -1;
      for (int i = 0; i < kEngines; ++i) {
        const int engine = (turn_ + i) % kEngines;
        if (usable(engine) &&
            (best < 0 || outstanding_[engine] < outstanding_[best])) {
          best = engine;
        }
      }
      ++turn_;
      return best;
    }
    case Policy::kPowerOfTwo: {
      std::uniform_int_distribution<int> any(0, kEngines - 1);
      int a = any(random_);
      int b = any(random_);
      while (!usable(a)) {
        a = any(random_);
      }
      while (!usable(b)) {
        b = any(random_);
      }
      const auto fill = [this](int engine) {
        const standin::EngineLoad& load = fleet_.report(engine);
        return static_cast<double>(load.memory_used) /
                   static_cast<double>(
                       std::max<int64_t>(1, load.memory_total)) +
               static_cast<double>(load.waiting);
      };
      return fill(a) <= fill(b) ? a : b;
    }
    default: {
      do {
        turn_ = (turn_ + 1) % kEngines;
      } while (!usable(turn_));
      return turn_;
    }
  }
}

routing::ChoiceRequest Dispatcher::Describe(const Job& job) const {
  routing::ChoiceRequest request;
  request.is_short = job.entry->is_short;
  request.prompt_tokens = job.entry->prompt_tokens;
  if (fleet_.params().policy == Policy::kOracle) {
    for (size_t i = 0; i < admission::kGrid.size(); ++i) {
      request.survival[i] =
          admission::kGrid[i] < job.entry->output_tokens ? 1.0F : 0.0F;
    }
    request.expected_tokens = static_cast<double>(job.entry->output_tokens);
    return request;
  }
  const admission::LengthGroup group = GroupOf(job);
  request.survival = lengths_.Survival(group, 0);
  request.expected_tokens = lengths_.MeanRemaining(group, 0);
  return request;
}

routing::Candidate Dispatcher::CandidateFrom(const Job& job, int engine) {
  const UpstreamId id = IdOf(engine);
  routing::UpstreamModel& model = models_[engine];
  routing::Candidate candidate;
  candidate.id = id;
  candidate.free_slots = fleet_.out(engine) ? 0 : slots_.Free(id);
  candidate.in_flight = slots_.InFlight(id).count();
  candidate.leased = slots_.Leased(id).count();
  candidate.token_ms = model.token_ms();
  candidate.first_token_ms = model.first_token_ms();
  candidate.occupancy = model.occupancy();
  candidate.occupancy += slots_.OthersOn(id);
  if (fleet_.params().predicts_memory) {
    candidate.room = slots_.RoomLeft(id);
  }
  candidate.circuit_open =
      model.CircuitOpen(Millis(static_cast<int64_t>(fleet_.now())));
  candidate.cached_tokens = model.HasPrefix(job.entry->prefix) ? 256 : 0;
  if (const admission::UpstreamReport* report = slots_.ReportOf(id)) {
    candidate.cold = report->cold;
    candidate.memory_total = report->memory_total;
    candidate.waiting = report->waiting;
  }
  return candidate;
}

bool Dispatcher::TryPlace(uint64_t key) {
  Job& job = fleet_.job(key);
  std::vector<routing::Candidate> candidates;
  for (int engine = 0; engine < kEngines; ++engine) {
    candidates.push_back(CandidateFrom(job, engine));
  }
  const routing::Choice choice =
      routing::Choose(Describe(job), candidates, false);
  if (choice.chosen.empty() || !slots_.TryTake(choice.chosen)) {
    room_needed_ = room_needed_ == 0 ? choice.room_needed : room_needed_;
    return false;
  }
  for (int engine = 0; engine < kEngines; ++engine) {
    if (IdOf(engine) == choice.chosen) {
      job.engine = engine;
    }
  }
  job.waiting = false;
  slots_.UseRoom(choice.chosen, choice.raise);
  routing::UpstreamModel& model = models_[job.engine];
  if (fleet_.params().policy == Policy::kOracle) {
    model.AddKnown(key, job.entry->prompt_tokens, job.entry->output_tokens);
  } else {
    model.Add(key, {GroupOf(job), job.entry->prompt_tokens, 0}, lengths_);
  }
  model.UsePrefix(job.entry->prefix, 256);
  fleet_.Submit(key, job.engine);
  return true;
}

void Dispatcher::Pump() {
  // An engine that falls over ends requests while the queue is walked.
  if (pumping_ || queue_.size() == 0) {
    return;
  }
  pumping_ = true;
  room_needed_ = 0;
  queue_.Pump([this](const admission::Waiter& waiter) {
    return TryPlace(waiter.ticket);
  });
  pumping_ = false;
}

void Dispatcher::Round() {
  const base::HostId self(absl::StrCat("daemon-", index_));
  const base::HostId owner("owner");
  const uint64_t round = static_cast<uint64_t>(fleet_.now() * 16) + 1;
  slots_.OpenRound(owner, round);
  ++rounds_;
  std::vector<admission::SlotGrant> grants;
  for (int engine = 0; engine < kEngines; ++engine) {
    const UpstreamId id = IdOf(engine);
    models_[engine].Refresh(lengths_);
    const auto queued = static_cast<int64_t>(queue_.size());
    slots_.SetQueued(id, fleet_.out(engine) ? 0 : (queued + 10) / kEngines);
    constexpr uint64_t kRoomTurns = 3;
    const uint64_t turn = rounds_ + static_cast<uint64_t>(engine);
    const bool asks_room = fleet_.full_sight() || turn % kRoomTurns == 0;
    slots_.NeedRoom(id, HasQueue() && asks_room ? room_needed_ : 0);
    admission::SlotAsk ask = slots_.MakeAsk(id, 2);
    ask.occupancy = models_[engine].occupancy();
    grants.push_back(fleet_.owner().OnAsk(self, round, ask, 1, 1));
  }
  slots_.OnGrants(owner, round, grants);
  next_round_ms = fleet_.now() + (HasQueue() ? kHurriedMs : kRoundMs);
  Pump();
}

void Dispatcher::OnToken(uint64_t key, double gap_ms) {
  const Job& job = fleet_.job(key);
  routing::UpstreamModel& model = models_[job.engine];
  model.MadeToken(key, job.made);
  if (job.made > 1) {
    model.ObserveGap(gap_ms);
  } else {
    model.ObserveFirstToken(gap_ms, job.entry->prompt_tokens);
  }
}

void Dispatcher::OnEnd(uint64_t key, bool whole) {
  const Job& job = fleet_.job(key);
  if (!fleet_.ours()) {
    --outstanding_[job.engine];
    return;
  }
  slots_.Release(IdOf(job.engine),
                 whole ? SlotHolder::Ended::kWell : SlotHolder::Ended::kBadly);
  routing::UpstreamModel& model = models_[job.engine];
  model.Remove(key);
  if (whole) {
    model.ObserveSuccess();
    const admission::LengthGroup group = GroupOf(job);
    const double expected = lengths_.MeanRemaining(group, 0);
    lengths_.Observe(group, job.entry->output_tokens);
    queue_.Correct(base::OrganisationId(absl::StrCat(job.entry->organisation)),
                   static_cast<double>(job.entry->output_tokens) - expected);
  } else {
    model.ObserveFailure(Millis(static_cast<int64_t>(fleet_.now())));
    slots_.Revoke(IdOf(job.engine));
  }
  Pump();
}

Fleet::Fleet(const RunParams& params) : params_(params) {
  jobs_.resize(params_.trace.size());
  pcg32 random(7);
  const int daemons = full_sight() ? 1 : kDaemons;
  std::uniform_int_distribution<int> any(0, daemons - 1);
  for (size_t i = 0; i < jobs_.size(); ++i) {
    jobs_[i].entry = &params_.trace[i];
    jobs_[i].daemon = any(random);
    demand_[params_.trace[i].organisation] +=
        static_cast<double>(params_.trace[i].output_tokens);
  }
  admission::SlotOwner::Hooks owner_hooks;
  owner_hooks.reserves_room = params_.reserves_room;
  owner_hooks.corrects_z = params_.corrects_z;
  owner_ = std::make_unique<admission::SlotOwner>(clock(), owner_hooks);
  for (int i = 0; i < kEngines; ++i) {
    EngineModel::Hooks hooks;
    hooks.on_token = [this](uint64_t key, int64_t, double time) {
      OnToken(key, time);
    };
    hooks.on_done = [this](uint64_t key, double time) {
      OnEnd(key, time, true);
    };
    hooks.on_lost = [this](uint64_t key, double time) {
      OnEnd(key, time, false);
    };
    engines_.push_back(std::make_unique<EngineModel>(ParamsOf(i), hooks));
    owner_->Own(IdOf(i), {Slots(ParamsOf(i).slots), Slots(4)}, true);
    reports_.push_back(engines_.back()->Load(0));
  }
  for (int i = 0; i < daemons; ++i) {
    daemons_.push_back(std::make_unique<Dispatcher>(*this, i));
  }
}

void Fleet::Submit(uint64_t key, int engine) {
  Job& job = jobs_[key];
  job.placed_ms = now_;
  standin::EngineJob work;
  work.key = key;
  work.prompt_tokens = job.entry->prompt_tokens + job.made;
  work.prefix = job.entry->prefix;
  work.prefix_tokens = 256;
  work.output_tokens = job.entry->output_tokens;
  work.priority = job.entry->is_short && ours() ? 0 : 1;
  const EngineModel::Submitted submitted = engines_[engine]->Submit(work, now_);
  if (submitted != EngineModel::Submitted::kAccepted) {
    figures_.fell_over += submitted == EngineModel::Submitted::kFellOver;
    OnEnd(key, now_, false);
  }
}

void Fleet::OnToken(uint64_t key, double time) {
  Job& job = jobs_[key];
  now_ = std::max(now_, time);
  ++job.made;
  double gap = time - job.last_token_ms;
  if (job.made == 1) {
    const double wait = time - job.entry->arrival_ms;
    first_.Add(wait);
    if (job.entry->is_short) {
      short_first_.Add(wait);
    }
    gap = time - job.placed_ms;
  } else {
    between_.Add(gap);
    figures_.stall_s += std::max(0.0, gap - kStallBoundMs) / 1000;
  }
  job.last_token_ms = time;
  if (now_ <= params_.duration_ms) {
    service_[job.entry->organisation] += 1;
  }
  if (ours()) {
    daemons_[job.daemon]->OnToken(key, gap);
  }
}

void Fleet::OnEnd(uint64_t key, double time, bool whole) {
  Job& job = jobs_[key];
  now_ = std::max(now_, time);
  daemons_[job.daemon]->OnEnd(key, whole);
  if (whole) {
    job.done = true;
    ++whole_;
    whole_in_time_ += time <= params_.duration_ms ? 1 : 0;
  } else if (job.made == 0) {
    // Nothing was delivered: it is tried elsewhere.
    again_.push_back(key);
  }
}

void Fleet::Refuse(uint64_t key) {
  jobs_[key].waiting = false;
  ++figures_.refused;
}

void Fleet::Reports() {
  std::vector<standin::EngineLoad> loads;
  for (const auto& engine : engines_) {
    loads.push_back(engine->Load(now_));
  }
  lagged_.emplace_back(now_, loads);
  const double lag = full_sight() ? 0 : kReportLagMs;
  while (!lagged_.empty() && lagged_.front().first <= now_ - lag) {
    reports_ = lagged_.front().second;
    lagged_.pop_front();
  }
  const bool stopped = params_.failures && now_ > params_.duration_ms * 0.8 &&
                       now_ < params_.duration_ms * 0.9;
  for (int i = 0; i < kEngines && !stopped; ++i) {
    admission::UpstreamReport report;
    report.reachable = !reports_[i].down;
    report.incarnation =
        base::Incarnation(absl::StrCat(reports_[i].incarnation));
    report.running = reports_[i].running;
    report.waiting = reports_[i].waiting;
    report.memory_used = reports_[i].memory_used;
    report.memory_total = reports_[i].memory_total;
    report.preemptions = reports_[i].preemptions;
    report.cold = reports_[i].cold;
    const Slots budget = owner_->Budget(IdOf(i));
    owner_->OnReport(IdOf(i), report);
    for (const auto& daemon : daemons_) {
      if (owner_->Budget(IdOf(i)) < budget) {
        daemon->Revoke(i);
      }
    }
  }
}

// An engine dies, another turns cold, a data centre of three leaves and
// returns.
void Fleet::Failures() {
  const std::vector<std::pair<double, std::function<void()>>> steps = {
      {0.2, [this] { engines_[9]->Restart(now_); }},
      {0.35, [this] { engines_[7]->TurnCold(now_); }},
      {0.5, [this] { out_[0] = out_[4] = out_[8] = true; }},
      {0.7, [this] { out_[0] = out_[4] = out_[8] = false; }}};
  while (params_.failures && failure_step_ < steps.size() &&
         now_ >= steps[failure_step_].first * params_.duration_ms) {
    steps[failure_step_++].second();
  }
}

RunFigures Fleet::Run() {
  size_t next_arrival = 0;
  double next_report = 0;
  const double end = params_.duration_ms + kDrainMs;
  while (now_ < end) {
    double next = std::min(end, next_report);
    if (next_arrival < jobs_.size()) {
      next = std::min(next, jobs_[next_arrival].entry->arrival_ms);
    }
    for (const auto& daemon : daemons_) {
      next = std::min(next, daemon->next_round_ms);
    }
    EngineModel* first = nullptr;
    for (const auto& engine : engines_) {
      const double step_end = engine->NextStepEnd();
      if (step_end >= 0 && step_end <= next) {
        next = step_end;
        first = engine.get();
      }
    }
    now_ = std::max(now_, next);
    Failures();
    if (first != nullptr) {
      first->Advance(now_);
    } else if (next_arrival < jobs_.size() &&
               jobs_[next_arrival].entry->arrival_ms <= now_) {
      const uint64_t key = next_arrival++;
      daemons_[jobs_[key].daemon]->Arrive(key);
    } else if (next_report <= now_) {
      Reports();
      next_report = now_ + kReportIntervalMs;
      for (std::deque<uint64_t> again = std::exchange(again_, {});
           const uint64_t key : again) {
        daemons_[jobs_[key].daemon]->Arrive(key);
      }
      if (next_arrival == jobs_.size() &&
          whole_ + figures_.refused == std::ssize(jobs_)) {
        break;
      }
    } else {
      for (const auto& daemon : daemons_) {
        if (daemon->next_round_ms <= now_) {
          daemon->Round();
          break;
        }
      }
    }
  }
  return Figures();
}

RunFigures Fleet::Figures() {
  RunFigures figures = figures_;
  for (const auto& engine : engines_) {
    figures.preemptions += engine->Load(now_).preemptions;
    figures.recomputed_tokens += engine->Load(now_).recomputed_tokens;
  }
  figures.between_p50_ms = between_.Quantile(0.50);
  figures.between_p95_ms = between_.Quantile(0.95);
  figures.between_p99_ms = between_.Quantile(0.99);
  figures.first_p50_ms = first_.Quantile(0.50);
  figures.first_p95_ms = first_.Quantile(0.95);
  figures.first_p99_ms = first_.Quantile(0.99);
  figures.short_first_p95_ms = short_first_.Quantile(0.95);
  figures.answers_per_s =
      static_cast<double>(whole_in_time_) * 1000 / params_.duration_ms;
  figures.served_share =
      static_cast<double>(whole_) / static_cast<double>(jobs_.size());
  double sum = 0;
  double squares = 0;
  for (const auto& [organisation, demand] : demand_) {
    const double share = service_[organisation] / demand;
    sum += share;
    squares += share * share;
  }
  figures.jain = sum * sum / (static_cast<double>(demand_.size()) * squares);
  return figures;
}

}  // namespace

std::string ToString(Policy policy) {
  switch (policy) {
    case Policy::kRoundRobin:
      return "round robin";
    case Policy::kLeastOutstanding:
      return "least outstanding";
    case Policy::kPowerOfTwo:
      return "power of two";
    case Policy::kOurs:
      return "ours";
    case Policy::kOursFullSight:
      return "ours, full sight";
    case Policy::kOracle:
      return "oracle";
  }
  return "";
}

RunFigures Run(const RunParams& params) {
  return Fleet(params).Run();
}

double CapacityTokensPerSecond() {
  // A running generation holds about this much memory, averaged over time.
  constexpr double kMeanContext = 1500;
  double tokens_per_s = 0;
  for (int i = 0; i < kEngines; ++i) {
    const EngineParams params = ParamsOf(i);
    const double batch =
        std::min(static_cast<double>(params.slots),
                 static_cast<double>(params.memory_tokens) / kMeanContext);
    const double step =
        params.step_base_ms + params.step_per_sequence_ms * batch +
        params.step_per_kilotoken_ms * batch * kMeanContext / 1000;
    tokens_per_s += batch * 1000 / step;
  }
  return tokens_per_s;
}

}  // namespace dandelion::bench
