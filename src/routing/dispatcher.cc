#include "routing/dispatcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "telemetry/events.h"

namespace dandelion::routing {
namespace {

using admission::SlotHolder;
using base::ErrorKind;
using base::Millis;
using base::PoolName;
using base::Task;
using base::UpstreamId;
using config::Upstream;

// Prompt tokens that requests with the same prefix hash are assumed to share.
constexpr int64_t kPrefixTokens = 256;

bool IsShort(const PlacementRequest& request) {
  return request.route.request_class == "short";
}

admission::LengthGroup LengthGroupOf(const PlacementRequest& request) {
  return {request.organisation, request.route.name,
          request.route.request_class};
}

}  // namespace

SlotPlacement::SlotPlacement(Dispatcher& dispatcher,
                             uint64_t key,
                             Upstream upstream,
                             base::Incarnation incarnation,
                             bool is_generation)
    : dispatcher_(dispatcher),
      key_(key),
      upstream_(std::move(upstream)),
      incarnation_(std::move(incarnation)),
      is_generation_(is_generation) {}

SlotPlacement::~SlotPlacement() {
  dispatcher_.Release(key_, upstream_.id, outcome_);
}

void SlotPlacement::OnToken(int64_t generated_tokens, Millis gap) {
  UpstreamModel& model = dispatcher_.models_[upstream_.id];
  model.SetGeneratedTokens(key_, generated_tokens);
  model.ObserveTokenInterval(static_cast<double>(gap.count()));
}

void SlotPlacement::OnFirstToken(Millis since_start, int64_t prompt_tokens) {
  if (is_generation_) {
    dispatcher_.models_[upstream_.id].ObserveFirstToken(
        static_cast<double>(since_start.count()), prompt_tokens);
  }
}

namespace {

// Daemons of this kind learn from reports and tables which upstreams leave, and
// share slots by leases; they keep only pauses.
SelfReports::Hooks PauseHooks() {
  SelfReports::Hooks hooks;
  hooks.on_leaving = [](const UpstreamId&, std::string_view) {};
  hooks.on_limit = [](const UpstreamId&, std::optional<double>) {};
  hooks.on_pause = [](const UpstreamId& id, Millis pause) {
    telemetry::Emit(
        telemetry::Event::kUpstreamPaused,
        {{"upstream", id.value()}, {"pause_ms", absl::StrCat(pause.count())}});
  };
  hooks.rank = [](const UpstreamId&) { return DaemonRank(); };
  return hooks;
}

}  // namespace

Dispatcher::Dispatcher(base::Executor executor,
                       base::Clock clock,
                       SlotHolder& slots,
                       membership::Membership& membership,
                       const admission::StopDeadline& stop_deadline,
                       size_t queue_per_organisation,
                       Hooks hooks)
    : executor_(std::move(executor)),
      clock_(std::move(clock)),
      slots_(slots),
      membership_(membership),
      stop_deadline_(stop_deadline),
      queue_per_organisation_(queue_per_organisation),
      hooks_(std::move(hooks)),
      self_reports_(PauseHooks()) {}

absl::Status Dispatcher::CheckStop(const PlacementRequest& request) const {
  const Millis now = clock_.Now();
  const Millis longest = std::min(request.longest_run, request.deadline - now);
  if (stop_deadline_.Allows(longest, now)) {
    return absl::OkStatus();
  }
  return base::MakeError(ErrorKind::kDraining,
                         "the daemon stops before the request must end",
                         "send the request to another daemon");
}

void Dispatcher::OnTables(std::shared_ptr<const config::Tables> tables) {
  tables_ = std::move(tables);
  std::erase_if(models_, [this](const auto& entry) {
    return !tables_->upstreams.contains(entry.first) &&
           slots_.InFlight(entry.first) == base::Slots(0);
  });
  DispatchWaiting();
}

Dispatcher::PoolQueue& Dispatcher::FindOrAddQueue(const PoolName& pool) {
  std::unique_ptr<PoolQueue>& queue = queues_[pool];
  if (!queue) {
    queue = std::make_unique<PoolQueue>(queue_per_organisation_);
  }
  return *queue;
}

std::vector<const Upstream*> Dispatcher::UsableUpstreams(
    const PlacementRequest& request) const {
  std::vector<const Upstream*> usable;
  const auto members = tables_->upstreams_by_pool.find(request.route.pool);
  if (members == tables_->upstreams_by_pool.end()) {
    return usable;
  }
  for (const UpstreamId& id : members->second) {
    const Upstream& upstream = tables_->upstreams.at(id);
    const admission::UpstreamReport* report = slots_.ReportOf(id);
    const bool leaving =
        report != nullptr &&
        (report->leaving || membership_.IsLeaving(id, report->incarnation));
    if (tables_->IsInService(upstream) && !leaving &&
        !request.excluded.contains(id)) {
      usable.push_back(&upstream);
    }
  }
  return usable;
}

SlotCandidate Dispatcher::MakeCandidate(const PlacementRequest& request,
                                        const Upstream& upstream) {
  UpstreamModel& model = models_[upstream.id];
  SlotCandidate candidate;
  candidate.id = upstream.id;
  candidate.same_data_centre =
      upstream.data_centre == membership_.self().data_centre;
  candidate.free_slots = slots_.FreeSlots(upstream.id);
  candidate.in_flight = slots_.InFlight(upstream.id).count();
  candidate.leased = slots_.LeasedSlots(upstream.id).count();
  candidate.token_ms = model.token_ms();
  candidate.first_token_ms = model.first_token_ms();
  candidate.occupancy = model.occupancy();
  candidate.occupancy += slots_.OtherOccupancy(upstream.id);
  candidate.headroom = slots_.HeadroomLeft(upstream.id);
  candidate.circuit_open = model.IsCircuitOpen(clock_.Now());
  candidate.cached_tokens = model.HasPrefix(request.prefix)
                                ? std::min(kPrefixTokens, request.prompt_tokens)
                                : 0;
  if (const admission::UpstreamReport* report = slots_.ReportOf(upstream.id)) {
    candidate.cold = report->cold;
    candidate.memory_total = report->memory_total;
    candidate.waiting = report->waiting;
  }
  return candidate;
}

ChoiceRequest Dispatcher::MakeChoiceRequest(
    const PlacementRequest& request) const {
  ChoiceRequest choice;
  choice.is_short = IsShort(request);
  choice.prompt_tokens = request.prompt_tokens;
  choice.survival = lengths_.Survival(LengthGroupOf(request), 0);
  choice.expected_tokens = lengths_.MeanRemaining(LengthGroupOf(request), 0);
  return choice;
}

std::unique_ptr<SlotPlacement> Dispatcher::TryPlace(
    const PlacementRequest& request) {
  std::vector<SlotCandidate> candidates;
  const Millis now = clock_.Now();
  for (const Upstream* upstream : UsableUpstreams(request)) {
    if (self_reports_.MaySend(upstream->id, now)) {
      candidates.push_back(MakeCandidate(request, *upstream));
    }
  }
  const Choice choice =
      ChooseUpstream(MakeChoiceRequest(request), candidates, true);
  if (choice.chosen.empty()) {
    double& first_needed = FindOrAddQueue(request.route.pool).headroom_needed;
    first_needed = first_needed == 0 ? choice.headroom_needed : first_needed;
    return nullptr;
  }
  RecordExplanation(request, choice);
  slots_.UseHeadroom(choice.chosen, choice.raise_tokens);
  return TakeSlot(request, tables_->upstreams.at(choice.chosen));
}

std::unique_ptr<SlotPlacement> Dispatcher::TakeSlot(
    const PlacementRequest& request,
    const Upstream& upstream) {
  if (!slots_.TryAcquire(upstream.id)) {
    return nullptr;
  }
  const uint64_t key = ++last_key_;
  const bool is_generation = upstream.kind == config::PoolKind::kEngine;
  if (is_generation) {
    UpstreamModel& model = models_[upstream.id];
    model.Add(key,
              OwnGeneration{LengthGroupOf(request), request.prompt_tokens, 0},
              lengths_);
    model.RecordPrefix(request.prefix, kPrefixTokens);
  }
  const admission::UpstreamReport* report = slots_.ReportOf(upstream.id);
  return std::make_unique<SlotPlacement>(
      *this, key, upstream,
      report == nullptr ? base::Incarnation() : report->incarnation,
      is_generation);
}

Task<absl::StatusOr<std::unique_ptr<SlotPlacement>>> Dispatcher::Place(
    PlacementRequest request) {
  if (!tables_) {
    co_return base::MakeError(
        ErrorKind::kNotReady, "no tables are installed",
        "publish tables, or wait until the platform delivers them");
  }
  if (UsableUpstreams(request).empty()) {
    co_return base::MakeError(
        ErrorKind::kNoUpstream,
        absl::StrCat("no upstream of pool ", request.route.pool.value(),
                     " is in service"),
        "return upstreams or data centres to service, or add more");
  }
  absl::Status stop_check = CheckStop(request);
  if (!stop_check.ok()) {
    co_return stop_check;
  }
  if (SendableAt(request) > request.deadline) {
    co_return base::MakeError(ErrorKind::kOverloaded,
                              "no upstream takes requests before the deadline",
                              "retry later, or allow more time");
  }
  PoolQueue& queue = FindOrAddQueue(request.route.pool);
  if (queue.waiters.size() == 0) {
    if (std::unique_ptr<SlotPlacement> placement = TryPlace(request)) {
      co_return placement;
    }
  }
  constexpr double kMinSamplesToReject = 20;
  if (lengths_.RouteSampleCount(LengthGroupOf(request)) >=
          kMinSamplesToReject &&
      PredictWaitMs(request) >
          static_cast<double>((request.deadline - clock_.Now()).count())) {
    co_return base::MakeError(ErrorKind::kOverloaded,
                              "the predicted wait ends after the deadline",
                              "retry later, or allow more time");
  }
  boost::asio::steady_timer timer(executor_);
  PendingRequest pending{&request, &timer, nullptr};
  admission::Waiter waiter;
  waiter.ticket = ++last_key_;
  waiter.organisation = request.organisation;
  waiter.is_short = IsShort(request);
  waiter.cost = MakeChoiceRequest(request).expected_tokens;
  if (!queue.waiters.Push(waiter)) {
    co_return base::MakeError(ErrorKind::kOverloaded,
                              "the organisation's queue is full",
                              "send fewer requests at once");
  }
  queue.pending[waiter.ticket] = &pending;
  const absl::Cleanup remove_from_queue = [&] {
    queue.pending.erase(waiter.ticket);
    if (!pending.placement) {
      queue.waiters.Remove(waiter.ticket);
    }
  };
  explanations_.AddLine(request.id, "queued: no upstream can take it now");
  hooks_.request_slots();
  while (!pending.placement && stop_check.ok() &&
         clock_.Now() < request.deadline) {
    // Reports and predictions change without triggering a dispatch.
    constexpr Millis kDispatchInterval(100);
    co_await base::SleepOnTimer(timer, kDispatchInterval);
    if (!pending.placement) {
      DispatchWaiting();
      hooks_.request_slots();
    }
    stop_check = CheckStop(request);
  }
  if (!stop_check.ok()) {
    co_return stop_check;
  }
  if (!pending.placement) {
    co_return base::MakeError(ErrorKind::kTimeout,
                              "no upstream became free before the deadline",
                              "retry later, or allow more time");
  }
  co_return std::move(pending.placement);
}

void Dispatcher::RecordPause(const UpstreamId& upstream, Millis pause) {
  SelfReport report;
  report.pause = pause;
  self_reports_.RecordAnswer(upstream, report, clock_.Now());
}

Millis Dispatcher::SendableAt(const PlacementRequest& request) {
  const Millis now = clock_.Now();
  std::optional<Millis> soonest;
  for (const Upstream* upstream : UsableUpstreams(request)) {
    const Millis at = self_reports_.SendableAt(upstream->id, now).value_or(now);
    soonest = std::min(soonest.value_or(at), at);
  }
  return soonest.value_or(now);
}

void Dispatcher::DispatchWaiting() {
  if (!tables_ || dispatching_) {
    return;
  }
  dispatching_ = true;
  const absl::Cleanup reset_flag = [this] { dispatching_ = false; };
  for (auto& [pool, queue] : queues_) {
    PoolQueue& current = *queue;
    current.headroom_needed = 0;
    current.waiters.Dispatch(
        clock_.Now(), [&](const admission::Waiter& waiter) {
          PendingRequest& pending = *current.pending.at(waiter.ticket);
          pending.placement = TryPlace(*pending.request);
          if (pending.placement) {
            pending.timer->cancel();
          }
          return pending.placement != nullptr;
        });
  }
}

void Dispatcher::Release(uint64_t key,
                         const UpstreamId& upstream,
                         SlotHolder::RequestOutcome outcome) {
  slots_.Release(upstream, outcome);
  UpstreamModel& model = models_[upstream];
  model.Remove(key);
  if (outcome == SlotHolder::RequestOutcome::kSuccess) {
    model.ObserveSuccess();
  } else if (outcome == SlotHolder::RequestOutcome::kFailure) {
    model.ObserveFailure(clock_.Now());
    slots_.Revoke(upstream);
    hooks_.request_slots();
  }
  DispatchWaiting();
}

void Dispatcher::ObserveLength(const PlacementRequest& request,
                               int64_t tokens) {
  const admission::LengthGroup group = LengthGroupOf(request);
  const double expected = lengths_.MeanRemaining(group, 0);
  lengths_.Observe(group, tokens);
  FindOrAddQueue(request.route.pool)
      .waiters.AdjustCharge(request.organisation,
                            static_cast<double>(tokens) - expected);
}

int64_t Dispatcher::EstimateQueuedPerUpstream(const Upstream& upstream) const {
  const auto queue = queues_.find(upstream.pool);
  if (queue == queues_.end() || !tables_) {
    return 0;
  }
  const auto members = tables_->upstreams_by_pool.find(upstream.pool);
  if (members == tables_->upstreams_by_pool.end()) {
    return 0;
  }
  const auto waiting = static_cast<int64_t>(queue->second->waiters.size());
  const auto upstreams = static_cast<int64_t>(members->second.size());
  return (waiting + upstreams - 1) / upstreams;
}

double Dispatcher::HeadroomNeeded(const Upstream& upstream) const {
  const auto queue = queues_.find(upstream.pool);
  const bool has_waiters =
      queue != queues_.end() && queue->second->waiters.size() > 0;
  return has_waiters ? queue->second->headroom_needed : 0;
}

bool Dispatcher::WantsRemoteSlots(const Upstream& upstream) const {
  if (!tables_ || !tables_->IsInService(upstream)) {
    return false;
  }
  if (EstimateQueuedPerUpstream(upstream) > 0) {
    return true;
  }
  for (const UpstreamId& id : tables_->upstreams_by_pool.at(upstream.pool)) {
    const Upstream& other = tables_->upstreams.at(id);
    if (other.data_centre == membership_.self().data_centre &&
        tables_->IsInService(other)) {
      return false;
    }
  }
  return true;
}

admission::Occupancy Dispatcher::PredictOwnOccupancy(
    const UpstreamId& upstream) {
  UpstreamModel& model = models_[upstream];
  model.Refresh(lengths_);
  return model.occupancy();
}

size_t Dispatcher::queued() const {
  size_t total = 0;
  for (const auto& [pool, queue] : queues_) {
    total += queue->waiters.size();
  }
  return total;
}

double Dispatcher::PredictWaitMs(const PlacementRequest& request) const {
  const auto queue = queues_.find(request.route.pool);
  if (queue == queues_.end()) {
    return 0;
  }
  double tokens_per_ms = 0;
  for (const Upstream* upstream : UsableUpstreams(request)) {
    const auto model = models_.find(upstream->id);
    const double token_ms =
        model == models_.end() ? 30 : std::max(1.0, model->second.token_ms());
    tokens_per_ms +=
        static_cast<double>(slots_.LeasedSlots(upstream->id).count()) /
        token_ms;
  }
  if (tokens_per_ms <= 0) {
    return 0;
  }
  return queue->second->waiters.BacklogBefore(request.organisation,
                                              IsShort(request)) /
         tokens_per_ms;
}

int64_t Dispatcher::RetryAfterSeconds(const PlacementRequest& request) {
  constexpr double kMsPerSecond = 1000;
  constexpr double kMaxSeconds = 600;
  const double pause =
      tables_ ? (SendableAt(request) - clock_.Now()).seconds() : 0;
  const double wait = std::max(pause, PredictWaitMs(request) / kMsPerSecond);
  return static_cast<int64_t>(std::clamp(std::ceil(wait), 1.0, kMaxSeconds));
}

void Dispatcher::RecordExplanation(const PlacementRequest& request,
                                   const Choice& choice) {
  std::string line = "chose " + choice.chosen.value() + ":";
  for (const Score& score : choice.scores) {
    if (score.admitted) {
      line += fmt::format(" {}={:.0f}ms", score.id.value(), score.cost_ms);
    } else {
      line += fmt::format(" {}=no({})", score.id.value(), score.rejection);
    }
  }
  explanations_.AddLine(request.id, std::move(line));
}

}  // namespace dandelion::routing
