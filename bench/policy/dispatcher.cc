#include "bench/policy/dispatcher.h"

#include <algorithm>
#include <random>

#include "absl/strings/str_cat.h"
#include "bench/policy/fleet_model.h"

namespace dandelion::bench {

using admission::SlotHolder;
using base::Millis;
using base::UpstreamId;

Dispatcher::Dispatcher(FleetModel& fleet, int index)
    : next_round_ms(kRoundIntervalMs * index / kDaemonCount),
      fleet_(fleet),
      index_(index),
      models_(kEngineCount),
      slots_(fleet.clock()),
      random_(static_cast<uint64_t>(index) + 1) {}

admission::LengthGroup Dispatcher::LengthGroupOf(const Job& job) const {
  return {base::OrganisationId(absl::StrCat(job.entry->organisation)),
          base::RouteName(job.entry->route),
          job.entry->is_short ? "short" : "long"};
}

void Dispatcher::OnArrival(uint64_t key) {
  Job& job = fleet_.job(key);
  if (!fleet_.uses_dandelion_policy()) {
    job.engine = ChooseBaseline(job);
    ++outstanding_[job.engine];
    fleet_.Submit(key, job.engine);
    return;
  }
  if (queue_.size() == 0 && TryDispatch(key)) {
    return;
  }
  admission::Waiter waiter;
  waiter.ticket = key;
  waiter.organisation =
      fleet_.params().fair_queueing
          ? base::OrganisationId(absl::StrCat(job.entry->organisation))
          : base::OrganisationId("all");
  waiter.is_short = job.entry->is_short;
  waiter.cost = MakeChoiceRequest(job).expected_tokens;
  job.waiting = true;
  if (!queue_.Push(waiter)) {
    fleet_.Reject(key);
    return;
  }
  next_round_ms = std::min(next_round_ms, fleet_.now() + kBusyRoundIntervalMs);
}

int Dispatcher::ChooseBaseline(const Job&) {
  const auto available = [this](int engine) { return !fleet_.drained(engine); };
  switch (fleet_.params().policy) {
    case Policy::kLeastOutstanding: {
      int best = -1;
      for (int i = 0; i < kEngineCount; ++i) {
        const int engine = (round_robin_position_ + i) % kEngineCount;
        if (available(engine) &&
            (best < 0 || outstanding_[engine] < outstanding_[best])) {
          best = engine;
        }
      }
      ++round_robin_position_;
      return best;
    }
    case Policy::kPowerOfTwo: {
      std::uniform_int_distribution<int> random_engine(0, kEngineCount - 1);
      int first = random_engine(random_);
      int second = random_engine(random_);
      while (!available(first)) {
        first = random_engine(random_);
      }
      while (!available(second)) {
        second = random_engine(random_);
      }
      const auto load_of = [this](int engine) {
        const standin::EngineLoad& load = fleet_.reported_load(engine);
        return static_cast<double>(load.memory_used) /
                   static_cast<double>(
                       std::max<int64_t>(1, load.memory_total)) +
               static_cast<double>(load.waiting);
      };
      return load_of(first) <= load_of(second) ? first : second;
    }
    default: {
      do {
        round_robin_position_ = (round_robin_position_ + 1) % kEngineCount;
      } while (!available(round_robin_position_));
      return round_robin_position_;
    }
  }
}

routing::ChoiceRequest Dispatcher::MakeChoiceRequest(const Job& job) const {
  routing::ChoiceRequest request;
  request.is_short = job.entry->is_short;
  request.prompt_tokens = job.entry->prompt_tokens;
  if (fleet_.params().policy == Policy::kOracle) {
    for (size_t i = 0; i < admission::kGridTokens.size(); ++i) {
      request.survival[i] =
          admission::kGridTokens[i] < job.entry->output_tokens ? 1.0F : 0.0F;
    }
    request.expected_tokens = static_cast<double>(job.entry->output_tokens);
    return request;
  }
  const admission::LengthGroup group = LengthGroupOf(job);
  request.survival = lengths_.Survival(group, 0);
  request.expected_tokens = lengths_.MeanRemaining(group, 0);
  return request;
}

routing::SlotCandidate Dispatcher::MakeCandidate(const Job& job, int engine) {
  const UpstreamId id = UpstreamIdFor(engine);
  routing::UpstreamModel& model = models_[engine];
  routing::SlotCandidate candidate;
  candidate.id = id;
  candidate.free_slots = fleet_.drained(engine) ? 0 : slots_.FreeSlots(id);
  candidate.in_flight = slots_.InFlight(id).count();
  candidate.leased = slots_.LeasedSlots(id).count();
  candidate.token_ms = model.token_ms();
  candidate.first_token_ms = model.first_token_ms();
  candidate.occupancy = model.occupancy();
  candidate.occupancy += slots_.OtherOccupancy(id);
  if (fleet_.params().predicts_memory) {
    candidate.headroom = slots_.HeadroomLeft(id);
  }
  candidate.circuit_open =
      model.IsCircuitOpen(Millis(static_cast<int64_t>(fleet_.now())));
  candidate.cached_tokens = model.HasPrefix(job.entry->prefix) ? 256 : 0;
  if (const admission::UpstreamReport* report = slots_.ReportOf(id)) {
    candidate.cold = report->cold;
    candidate.memory_total = report->memory_total;
    candidate.waiting = report->waiting;
  }
  return candidate;
}

bool Dispatcher::TryDispatch(uint64_t key) {
  Job& job = fleet_.job(key);
  std::vector<routing::SlotCandidate> candidates;
  for (int engine = 0; engine < kEngineCount; ++engine) {
    candidates.push_back(MakeCandidate(job, engine));
  }
  const routing::Choice choice =
      routing::ChooseUpstream(MakeChoiceRequest(job), candidates, false);
  if (choice.chosen.empty() || !slots_.TryAcquire(choice.chosen)) {
    headroom_needed_ =
        headroom_needed_ == 0 ? choice.headroom_needed : headroom_needed_;
    return false;
  }
  for (int engine = 0; engine < kEngineCount; ++engine) {
    if (UpstreamIdFor(engine) == choice.chosen) {
      job.engine = engine;
    }
  }
  job.waiting = false;
  slots_.UseHeadroom(choice.chosen, choice.raise_tokens);
  routing::UpstreamModel& model = models_[job.engine];
  if (fleet_.params().policy == Policy::kOracle) {
    model.AddWithKnownLength(key, job.entry->prompt_tokens,
                             job.entry->output_tokens);
  } else {
    model.Add(key, {LengthGroupOf(job), job.entry->prompt_tokens, 0}, lengths_);
  }
  model.RecordPrefix(job.entry->prefix, 256);
  fleet_.Submit(key, job.engine);
  return true;
}

void Dispatcher::DispatchQueued() {
  // An engine that crashes on a dispatch ends requests, and thereby calls this
  // function, while the queue is iterated.
  if (dispatching_ || queue_.size() == 0) {
    return;
  }
  dispatching_ = true;
  headroom_needed_ = 0;
  queue_.Dispatch(base::Millis(0), [this](const admission::Waiter& waiter) {
    return TryDispatch(waiter.ticket);
  });
  dispatching_ = false;
}

void Dispatcher::RunSlotRound() {
  const base::HostId self(absl::StrCat("daemon-", index_));
  const base::HostId owner("owner");
  const uint64_t round = static_cast<uint64_t>(fleet_.now() * 16) + 1;
  slots_.StartRound(owner, round);
  ++rounds_;
  std::vector<admission::SlotGrant> grants;
  for (int engine = 0; engine < kEngineCount; ++engine) {
    const UpstreamId id = UpstreamIdFor(engine);
    models_[engine].Refresh(lengths_);
    const auto queued = static_cast<int64_t>(queue_.size());
    slots_.SetQueued(id,
                     fleet_.drained(engine) ? 0 : (queued + 10) / kEngineCount);
    // As the real daemon does, this one requests headroom at about one in three
    // engines per round. Requesting the same headroom at every engine would
    // keep it from other daemons.
    constexpr uint64_t kHeadroomRequestInterval = 3;
    const uint64_t phase = rounds_ + static_cast<uint64_t>(engine);
    const bool requests_headroom =
        fleet_.has_global_view() || phase % kHeadroomRequestInterval == 0;
    slots_.SetHeadroomNeeded(
        id, HasQueuedRequests() && requests_headroom ? headroom_needed_ : 0);
    admission::SlotAsk ask = slots_.MakeAsk(id, 2);
    ask.occupancy = models_[engine].occupancy();
    grants.push_back(fleet_.owner().OnAsk(self, round, ask, 1, 1));
  }
  slots_.ApplyGrants(owner, round, grants);
  next_round_ms = fleet_.now() + (HasQueuedRequests() ? kBusyRoundIntervalMs
                                                      : kRoundIntervalMs);
  DispatchQueued();
}

void Dispatcher::OnToken(uint64_t key, double gap_ms) {
  const Job& job = fleet_.job(key);
  routing::UpstreamModel& model = models_[job.engine];
  model.SetGeneratedTokens(key, job.generated_tokens);
  if (job.generated_tokens > 1) {
    model.ObserveTokenInterval(gap_ms);
  } else {
    model.ObserveFirstToken(gap_ms, job.entry->prompt_tokens);
  }
}

void Dispatcher::OnEnd(uint64_t key, bool completed) {
  const Job& job = fleet_.job(key);
  if (!fleet_.uses_dandelion_policy()) {
    --outstanding_[job.engine];
    return;
  }
  slots_.Release(UpstreamIdFor(job.engine),
                 completed ? SlotHolder::RequestOutcome::kSuccess
                           : SlotHolder::RequestOutcome::kFailure);
  routing::UpstreamModel& model = models_[job.engine];
  model.Remove(key);
  if (completed) {
    model.ObserveSuccess();
    const admission::LengthGroup group = LengthGroupOf(job);
    const double mean_tokens = lengths_.MeanRemaining(group, 0);
    lengths_.Observe(group, job.entry->output_tokens);
    queue_.AdjustCharge(
        base::OrganisationId(absl::StrCat(job.entry->organisation)),
        static_cast<double>(job.entry->output_tokens) - mean_tokens);
  } else {
    model.ObserveFailure(Millis(static_cast<int64_t>(fleet_.now())));
    slots_.Revoke(UpstreamIdFor(job.engine));
  }
  DispatchQueued();
}

}  // namespace dandelion::bench
