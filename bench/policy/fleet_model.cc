#include "bench/policy/fleet_model.h"

#include <algorithm>
#include <functional>
#include <random>

#include "absl/strings/str_cat.h"

namespace dandelion::bench {
namespace {

using base::Millis;
using base::Slots;
using standin::EngineModel;

constexpr double kReportIntervalMs = 250;
constexpr double kReportLagMs = 200;
constexpr double kStallThresholdMs = 200;
/// How long the simulation runs on after `duration_ms`, so that requests can
/// complete. Those that are incomplete at its end count as failed.
constexpr double kDrainMs = 120'000;

}  // namespace

FleetModel::FleetModel(const SimulationParams& params) : params_(params) {
  jobs_.resize(params_.trace.size());
  pcg32 random(7);
  const int daemon_count = has_global_view() ? 1 : kDaemonCount;
  std::uniform_int_distribution<int> random_daemon(0, daemon_count - 1);
  for (size_t i = 0; i < jobs_.size(); ++i) {
    jobs_[i].entry = &params_.trace[i];
    jobs_[i].daemon = random_daemon(random);
    requested_tokens_[params_.trace[i].organisation] +=
        static_cast<double>(params_.trace[i].output_tokens);
  }
  admission::SlotOwner::Hooks owner_hooks;
  owner_hooks.reserves_headroom = params_.reserves_headroom;
  owner_hooks.adapts_z = params_.adapts_z;
  owner_ = std::make_unique<admission::SlotOwner>(clock(), owner_hooks);
  for (int i = 0; i < kEngineCount; ++i) {
    EngineModel::Hooks hooks;
    hooks.on_token = [this](uint64_t key, int64_t, double time_ms) {
      OnToken(key, time_ms);
    };
    hooks.on_done = [this](uint64_t key, double time_ms) {
      OnEnd(key, time_ms, true);
    };
    hooks.on_lost = [this](uint64_t key, double time_ms) {
      OnEnd(key, time_ms, false);
    };
    engines_.push_back(
        std::make_unique<EngineModel>(MakeEngineParams(i), hooks));
    owner_->AddUpstream(UpstreamIdFor(i),
                        {Slots(MakeEngineParams(i).slots), Slots(4)}, true);
    reported_loads_.push_back(engines_.back()->GetLoad(0));
  }
  for (int i = 0; i < daemon_count; ++i) {
    daemons_.push_back(std::make_unique<Dispatcher>(*this, i));
  }
}

void FleetModel::Submit(uint64_t key, int engine) {
  Job& job = jobs_[key];
  job.dispatched_ms = now_;
  standin::EngineJob engine_job;
  engine_job.key = key;
  engine_job.prompt_tokens = job.entry->prompt_tokens + job.generated_tokens;
  engine_job.prefix = job.entry->prefix;
  engine_job.prefix_tokens = 256;
  engine_job.output_tokens = job.entry->output_tokens;
  engine_job.priority = job.entry->is_short && uses_dandelion_policy() ? 0 : 1;
  const EngineModel::SubmitResult submitted =
      engines_[engine]->Submit(engine_job, now_);
  if (submitted != EngineModel::SubmitResult::kAccepted) {
    result_.engine_crashes += submitted == EngineModel::SubmitResult::kCrashed;
    OnEnd(key, now_, false);
  }
}

void FleetModel::OnToken(uint64_t key, double time_ms) {
  Job& job = jobs_[key];
  now_ = std::max(now_, time_ms);
  ++job.generated_tokens;
  double gap = time_ms - job.last_token_ms;
  if (job.generated_tokens == 1) {
    const double first_token_ms = time_ms - job.entry->arrival_ms;
    first_token_ms_.Add(first_token_ms);
    if (job.entry->is_short) {
      short_first_token_ms_.Add(first_token_ms);
    }
    gap = time_ms - job.dispatched_ms;
  } else {
    inter_token_ms_.Add(gap);
    result_.stall_s += std::max(0.0, gap - kStallThresholdMs) / 1000;
  }
  job.last_token_ms = time_ms;
  if (now_ <= params_.duration_ms) {
    served_tokens_[job.entry->organisation] += 1;
  }
  if (uses_dandelion_policy()) {
    daemons_[job.daemon]->OnToken(key, gap);
  }
}

void FleetModel::OnEnd(uint64_t key, double time_ms, bool completed) {
  Job& job = jobs_[key];
  now_ = std::max(now_, time_ms);
  daemons_[job.daemon]->OnEnd(key, completed);
  if (completed) {
    job.done = true;
    ++completed_;
    completed_in_time_ += time_ms <= params_.duration_ms ? 1 : 0;
  } else if (job.generated_tokens == 0) {
    // No token was delivered, so that a retry does not duplicate output.
    retry_queue_.push_back(key);
  }
}

void FleetModel::Reject(uint64_t key) {
  jobs_[key].waiting = false;
  ++result_.rejected;
}

void FleetModel::UpdateReports() {
  std::vector<standin::EngineLoad> loads;
  for (const auto& engine : engines_) {
    loads.push_back(engine->GetLoad(now_));
  }
  pending_reports_.emplace_back(now_, loads);
  const double lag_ms = has_global_view() ? 0 : kReportLagMs;
  while (!pending_reports_.empty() &&
         pending_reports_.front().first <= now_ - lag_ms) {
    reported_loads_ = pending_reports_.front().second;
    pending_reports_.pop_front();
  }
  const bool reports_stopped = params_.inject_failures &&
                               now_ > params_.duration_ms * 0.8 &&
                               now_ < params_.duration_ms * 0.9;
  for (int i = 0; i < kEngineCount && !reports_stopped; ++i) {
    admission::UpstreamReport report;
    report.reachable = !reported_loads_[i].down;
    report.incarnation =
        base::Incarnation(absl::StrCat(reported_loads_[i].incarnation));
    report.running = reported_loads_[i].running;
    report.waiting = reported_loads_[i].waiting;
    report.memory_used = reported_loads_[i].memory_used;
    report.memory_total = reported_loads_[i].memory_total;
    report.preemptions = reported_loads_[i].preemptions;
    report.cold = reported_loads_[i].cold;
    const Slots budget = owner_->Budget(UpstreamIdFor(i));
    owner_->OnReport(UpstreamIdFor(i), report);
    for (const auto& daemon : daemons_) {
      if (owner_->Budget(UpstreamIdFor(i)) < budget) {
        daemon->Revoke(i);
      }
    }
  }
}

// The failures are: an engine restarts, another turns cold, and a data centre
// of three engines is drained and restored. `UpdateReports` also suspends
// reports to the slot owner from 0.8 to 0.9 of the duration.
void FleetModel::InjectFailures() {
  const std::vector<std::pair<double, std::function<void()>>> failures = {
      {0.2, [this] { engines_[9]->Restart(now_); }},
      {0.35, [this] { engines_[7]->MakeCold(now_); }},
      {0.5, [this] { drained_[0] = drained_[4] = drained_[8] = true; }},
      {0.7, [this] { drained_[0] = drained_[4] = drained_[8] = false; }}};
  while (params_.inject_failures && next_failure_ < failures.size() &&
         now_ >= failures[next_failure_].first * params_.duration_ms) {
    failures[next_failure_++].second();
  }
}

FleetModel::NextEvent FleetModel::FindNextEvent(double end_ms) {
  NextEvent next{std::min(end_ms, next_report_ms_), nullptr};
  if (next_arrival_ < jobs_.size()) {
    next.at_ms = std::min(next.at_ms, jobs_[next_arrival_].entry->arrival_ms);
  }
  for (const auto& daemon : daemons_) {
    next.at_ms = std::min(next.at_ms, daemon->next_round_ms);
  }
  for (const auto& engine : engines_) {
    const double step_end_ms = engine->NextStepEnd();
    if (step_end_ms >= 0 && step_end_ms <= next.at_ms) {
      next = {step_end_ms, engine.get()};
    }
  }
  return next;
}

void FleetModel::HandleReportInterval() {
  UpdateReports();
  next_report_ms_ = now_ + kReportIntervalMs;
  for (std::deque<uint64_t> retries = std::exchange(retry_queue_, {});
       const uint64_t key : retries) {
    daemons_[jobs_[key].daemon]->OnArrival(key);
  }
}

void FleetModel::RunDueSlotRound() {
  for (const auto& daemon : daemons_) {
    if (daemon->next_round_ms <= now_) {
      daemon->RunSlotRound();
      return;
    }
  }
}

bool FleetModel::AllRequestsEnded() const {
  return next_arrival_ == jobs_.size() &&
         completed_ + result_.rejected == std::ssize(jobs_);
}

SimulationResult FleetModel::Run() {
  const double end_ms = params_.duration_ms + kDrainMs;
  while (now_ < end_ms) {
    const NextEvent next = FindNextEvent(end_ms);
    now_ = std::max(now_, next.at_ms);
    InjectFailures();
    if (next.engine != nullptr) {
      next.engine->Advance(now_);
    } else if (next_arrival_ < jobs_.size() &&
               jobs_[next_arrival_].entry->arrival_ms <= now_) {
      const uint64_t key = next_arrival_++;
      daemons_[jobs_[key].daemon]->OnArrival(key);
    } else if (next_report_ms_ <= now_) {
      HandleReportInterval();
      if (AllRequestsEnded()) {
        break;
      }
    } else {
      RunDueSlotRound();
    }
  }
  return ComputeResult();
}

SimulationResult FleetModel::ComputeResult() {
  SimulationResult result = result_;
  for (const auto& engine : engines_) {
    result.preemptions += engine->GetLoad(now_).preemptions;
    result.recomputed_tokens += engine->GetLoad(now_).recomputed_tokens;
  }
  result.inter_token_p50_ms = inter_token_ms_.Quantile(0.50);
  result.inter_token_p95_ms = inter_token_ms_.Quantile(0.95);
  result.inter_token_p99_ms = inter_token_ms_.Quantile(0.99);
  result.first_token_p50_ms = first_token_ms_.Quantile(0.50);
  result.first_token_p95_ms = first_token_ms_.Quantile(0.95);
  result.first_token_p99_ms = first_token_ms_.Quantile(0.99);
  result.short_first_token_p95_ms = short_first_token_ms_.Quantile(0.95);
  result.answers_per_s =
      static_cast<double>(completed_in_time_) * 1000 / params_.duration_ms;
  result.completed_share =
      static_cast<double>(completed_) / static_cast<double>(jobs_.size());
  double sum = 0;
  double sum_of_squares = 0;
  for (const auto& [organisation, requested] : requested_tokens_) {
    const double served_ratio = served_tokens_[organisation] / requested;
    sum += served_ratio;
    sum_of_squares += served_ratio * served_ratio;
  }
  result.jain_index =
      sum * sum /
      (static_cast<double>(requested_tokens_.size()) * sum_of_squares);
  return result;
}

}  // namespace dandelion::bench
