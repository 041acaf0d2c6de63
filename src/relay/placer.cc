#include "relay/placer.h"

#include <algorithm>
#include <utility>

#include "migration/target_choice.h"

namespace dandelion::relay {
namespace {

using base::Millis;
using base::UpstreamId;
using routing::UpstreamCandidate;

constexpr Millis kColdWindow{1000};
// A generation that is late already waits behind prompts for this part of its
// target at most, so that it makes few others late.
constexpr double kLateShare = 0.25;

routing::Load ComputeLoad(const PlaceRequest& request) {
  if (!request.size) {
    return {1, 0, 0, 0};
  }
  return {1, request.size->TotalTokens(), request.size->prompt_tokens, 0};
}

routing::Work WorkOf(const PlaceRequest& request) {
  return request.size ? routing::Work::kToken : routing::Work::kAnswer;
}

admission::Waiter MakeWaiter(const PlaceRequest& request,
                             uint64_t ticket,
                             Millis late_at) {
  admission::Waiter waiter;
  waiter.ticket = ticket;
  waiter.organisation = request.organisation;
  waiter.is_short = request.is_urgent;
  waiter.late_at = late_at;
  waiter.cost =
      request.size ? static_cast<double>(request.size->TotalTokens()) : 1.0;
  return waiter;
}

// Returns the milliseconds to copy the KV cache of `tokens`; 0 if the speed of
// the link is unknown.
double CopyMs(const fleet::EngineTraits& engine, int64_t tokens) {
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMsPerMbps = 1000;
  if (engine.link_mbps <= 0) {
    return 0;
  }
  return static_cast<double>(tokens) * engine.bytes_per_token * kBitsPerByte /
         (engine.link_mbps * kBitsPerMsPerMbps);
}

}  // namespace

Placer::Placer(base::Clock clock,
               base::DataCentreId data_centre,
               const fleet::UpstreamList& upstreams,
               routing::LoadTracker& loads,
               routing::UpstreamHealth& health,
               routing::SelfReports& self_reports,
               Hooks hooks)
    : clock_(std::move(clock)),
      data_centre_(std::move(data_centre)),
      upstreams_(upstreams),
      loads_(loads),
      health_(health),
      self_reports_(self_reports),
      hooks_(std::move(hooks)) {}

std::vector<const fleet::Upstream*> Placer::UsableFor(
    const PlaceRequest& request) const {
  std::vector<const fleet::Upstream*> usable =
      upstreams_.UsableInPool(request.pool.name);
  if (request.begun_at) {
    std::erase_if(usable, [&request](const fleet::Upstream* upstream) {
      return upstream->entry.version != *request.begun_at;
    });
  }
  return usable;
}

rollout::VersionChoice Placer::ChooseVersions(
    const PlaceRequest& request) const {
  std::vector<const fleet::Upstream*> usable = UsableFor(request);
  const std::optional<rollout::VersionRule> rule =
      hooks_.version_rule && !request.begun_at
          ? hooks_.version_rule(request.pool.name)
          : std::nullopt;
  if (!rule) {
    return {std::move(usable), {}};
  }
  // What has failed at one upstream goes to the version that is known.
  const bool is_retry = !request.excluded.empty();
  return rollout::ChooseVersions(*rule, request.version_draw, is_retry, usable);
}

std::vector<UpstreamCandidate> Placer::FindCandidates(
    const PlaceRequest& request) const {
  const rollout::VersionChoice versions = ChooseVersions(request);
  std::vector<UpstreamCandidate> candidates =
      FindCandidatesAmong(request, versions.preferred);
  return candidates.empty() ? FindCandidatesAmong(request, versions.others)
                            : candidates;
}

std::vector<UpstreamCandidate> Placer::FindCandidatesAmong(
    const PlaceRequest& request,
    const std::vector<const fleet::Upstream*>& upstreams) const {
  const Millis now = clock_.Now();
  std::vector<UpstreamCandidate> healthy;
  std::vector<UpstreamCandidate> ejected;
  for (const fleet::Upstream* upstream : upstreams) {
    if (request.excluded.contains(upstream->id) ||
        !self_reports_.MaySend(upstream->id, now) ||
        ColdLimitReached(*upstream, request.pool)) {
      continue;
    }
    UpstreamCandidate candidate;
    candidate.id = upstream->id;
    candidate.same_data_centre = upstream->entry.data_centre == data_centre_;
    candidate.load = loads_.TotalLoad(upstream->id);
    candidate.spread = hooks_.random ? hooks_.random() : 0;
    candidate.failure_rate = health_.FailureRate(upstream->id);
    const routing::LearnedCapacity& learned =
        health_.Learned(upstream->id, WorkOf(request));
    // Without a target nobody is late where much runs.
    candidate.slots = request.answer_target > Millis(0)
                          ? learned.LimitFor(upstream->entry.slots, now)
                          : upstream->entry.slots;
    ReportLimit(*upstream, candidate.slots);
    candidate.speed = health_.SpeedOf(upstream->id, WorkOf(request), now);
    (health_.IsEjected(upstream->id, now) ? ejected : healthy)
        .push_back(std::move(candidate));
  }
  // If all upstreams are ejected, trying one is better than failing the
  // request.
  std::vector<UpstreamCandidate>& candidates =
      healthy.empty() ? ejected : healthy;
  routing::AssumeTypicalSpeed(candidates);
  return candidates;
}

void Placer::ReportLimit(const fleet::Upstream& upstream, int64_t limit) const {
  const int64_t slots = upstream.entry.slots;
  const auto known = learned_limits_.find(upstream.id);
  if (limit == (known == learned_limits_.end() ? slots : known->second)) {
    return;
  }
  if (limit < slots) {
    learned_limits_[upstream.id] = limit;
  } else {
    learned_limits_.erase(known);
  }
  if (hooks_.on_limit_learned) {
    hooks_.on_limit_learned(upstream.id, limit, slots);
  }
}

std::optional<migration::Place> Placer::TryPlace(const PlaceRequest& request) {
  const rollout::VersionChoice versions = ChooseVersions(request);
  std::optional<migration::Place> place =
      TryPlaceAmong(request, versions.preferred);
  if (!place && !versions.others.empty()) {
    place = TryPlaceAmong(request, versions.others);
  }
  return place;
}

std::optional<migration::Place> Placer::TryPlaceAmong(
    const PlaceRequest& request,
    const std::vector<const fleet::Upstream*>& upstreams) {
  const std::vector<UpstreamCandidate> candidates =
      FindCandidatesAmong(request, upstreams);
  const std::optional<size_t> choice =
      request.size
          ? routing::ChooseEngine(
                candidates, *request.size, request.pool.engine->memory_tokens,
                FirstTokens(request.pool.name), BoundFor(request))
          : routing::ChooseService(candidates);
  if (!choice) {
    return std::nullopt;
  }
  const UpstreamCandidate& chosen = candidates[*choice];
  migration::Place place = ReservePlace(chosen.id, ComputeLoad(request));
  place.load_before = chosen.load;
  if (request.size) {
    place.chosen_at = clock_.Now();
    place.prefill_tokens =
        chosen.load.unread_tokens + request.size->prompt_tokens;
    place.token_ms = chosen.speed.average_ms.value_or(routing::kDefaultTokenMs);
  }
  return place;
}

std::optional<routing::FirstTokenBound> Placer::BoundFor(
    const PlaceRequest& request) const {
  if (request.answer_target <= Millis(0)) {
    return std::nullopt;
  }
  const auto target_ms = static_cast<double>(request.answer_target.count());
  const Millis now = clock_.Now();
  const auto left_ms = static_cast<double>((request.answer_by - now).count());
  if (now < LateAt(request)) {
    return routing::FirstTokenBound{left_ms, left_ms};
  }
  const auto output_tokens =
      request.size ? static_cast<double>(request.size->output_tokens) : 0;
  const double answer_ms = output_tokens * routing::kDefaultTokenMs;
  const auto deadline_ms =
      static_cast<double>((request.deadline - now).count());
  return routing::FirstTokenBound{deadline_ms - answer_ms,
                                  kLateShare * target_ms};
}

Millis Placer::LateAt(const PlaceRequest& request) const {
  if (request.answer_target <= Millis(0)) {
    return Millis(INT64_MAX);
  }
  const int64_t prompt_tokens = request.size ? request.size->prompt_tokens : 0;
  const double own_ms = FirstTokens(request.pool.name)
                            .PrefillMs(prompt_tokens, routing::kDefaultTokenMs);
  return request.answer_by - Millis(static_cast<int64_t>(own_ms));
}

const routing::FirstTokenModel& Placer::FirstTokens(
    const base::PoolName& pool) const {
  static const routing::FirstTokenModel kUnknown;
  const auto known = first_tokens_.find(pool);
  return known == first_tokens_.end() ? kUnknown : known->second;
}

void Placer::RecordFirstToken(const base::PoolName& pool,
                              const migration::Place& place) {
  first_tokens_[pool].Record(place.prefill_tokens, place.token_ms,
                             clock_.Now() - place.chosen_at);
}

std::optional<migration::Place> Placer::ChooseMigrationTarget(
    const migration::ActiveGeneration& generation,
    const fleet::Pool& pool,
    const std::set<base::UpstreamId>& excluded) {
  if (HasOtherVersion(generation.place)) {
    return std::nullopt;
  }
  PlaceRequest request;
  request.pool = pool;
  request.size = generation.size;
  request.excluded = excluded;
  request.begun_at = generation.place.version;
  std::vector<migration::MigrationTarget> targets;
  for (UpstreamCandidate& candidate : FindCandidates(request)) {
    const fleet::Upstream& upstream = *upstreams_.Find(candidate.id);
    const bool in_source_data_centre =
        upstream.entry.data_centre == generation.place.data_centre;
    targets.push_back({std::move(candidate), in_source_data_centre});
  }
  const fleet::EngineTraits& engine = *pool.engine;
  migration::MigrationSize size;
  size.tokens_held = generation.TokensHeld();
  size.tokens_left = generation.TokensLeft();
  size.copy_ms = CopyMs(engine, size.tokens_held);
  size.others_leaving = std::max<int64_t>(
      0, loads_.TotalLoad(generation.place.upstream).running - 1);
  const std::optional<size_t> choice =
      migration::ChooseTarget(targets, size, engine.memory_tokens);
  if (!choice) {
    return std::nullopt;
  }
  return ReservePlace(
      targets[*choice].candidate.id,
      {1, size.tokens_held + size.tokens_left, 0, size.tokens_held});
}

bool Placer::HasOtherVersion(const migration::Place& place) const {
  const fleet::Upstream* upstream = upstreams_.Find(place.upstream);
  return upstream && upstream->entry.version != place.version;
}

migration::Place Placer::ReservePlace(const base::UpstreamId& id,
                                      const routing::Load& load) {
  const fleet::Upstream& upstream = *upstreams_.Find(id);
  RecordColdPlacement(upstream);
  self_reports_.RecordSend(id, clock_.Now());
  migration::Place place;
  place.upstream = upstream.id;
  place.address = upstream.entry.address;
  place.data_centre = upstream.entry.data_centre;
  place.version = upstream.entry.version;
  place.reservation = routing::LoadReservation(loads_, upstream.id, load);
  return place;
}

PlaceResult Placer::Place(PlaceRequest request, OnPlace on_place) {
  PlaceResult answer;
  if (!request.begun_at) {
    // Streams can go on at few upstreams, so that others would always be there
    // first.
    DispatchBegun(request.pool.name);
  }
  PoolQueue& pool_queue = QueueFor(request);
  if (pool_queue.queue.on_time_size() == 0) {
    answer.place = TryPlace(request);
    if (answer.place) {
      return answer;
    }
  }
  const Millis now = clock_.Now();
  const Millis wait_limit = request.wait_until - now;
  const std::optional<Millis> sendable_at = SendableAt(request);
  if (sendable_at && *sendable_at > request.wait_until) {
    answer.capacity_in = *sendable_at - now;
    return answer;
  }
  const admission::Waiter waiter =
      MakeWaiter(request, last_ticket_ + 1, LateAt(request));
  answer.capacity_in = pool_queue.PredictorFor(waiter).Predict(
      pool_queue.queue.BandBacklogBefore(waiter.organisation, waiter.is_short),
      waiter.cost, now);
  if (wait_limit <= Millis(0) || ExcludesAllUpstreams(request) ||
      !pool_queue.queue.Push(waiter)) {
    return answer;
  }
  pool_queue.UpdatePredictors(now);
  const uint64_t ticket = ++last_ticket_;
  waiting_[ticket] = {std::move(request), std::move(on_place)};
  if (answer.capacity_in && *answer.capacity_in > wait_limit) {
    // The queue may be held up by requests that fit nowhere, which makes the
    // prediction too long. The request is rejected only if it gets no place
    // now.
    answer.place = DispatchFor(pool_queue, ticket);
    CancelWait(ticket);
    return answer;
  }
  answer.ticket = ticket;
  return answer;
}

std::optional<migration::Place> Placer::DispatchFor(PoolQueue& pool_queue,
                                                    uint64_t ticket) {
  std::optional<migration::Place> place;
  waiting_.at(ticket).on_place =
      [&place](std::optional<migration::Place> reserved) {
        place = std::move(reserved);
      };
  DispatchQueue(pool_queue);
  return place;
}

bool Placer::ExcludesAllUpstreams(const PlaceRequest& request) const {
  const auto usable = UsableFor(request);
  if (usable.empty()) {
    return request.begun_at &&
           !upstreams_.UsableInPool(request.pool.name).empty();
  }
  return std::all_of(usable.begin(), usable.end(),
                     [&request](const fleet::Upstream* upstream) {
                       return request.excluded.contains(upstream->id);
                     });
}

std::optional<Millis> Placer::SendableAt(const PlaceRequest& request) const {
  const Millis now = clock_.Now();
  std::optional<Millis> soonest;
  for (const fleet::Upstream* upstream : UsableFor(request)) {
    if (request.excluded.contains(upstream->id)) {
      continue;
    }
    const std::optional<Millis> at =
        self_reports_.SendableAt(upstream->id, now);
    if (at && (!soonest || *at < *soonest)) {
      soonest = at;
    }
  }
  return soonest;
}

void Placer::CancelWait(uint64_t ticket) {
  const auto waiting = waiting_.find(ticket);
  if (waiting == waiting_.end()) {
    return;
  }
  PoolQueue& pool_queue = QueueFor(waiting->second.request);
  pool_queue.queue.Remove(ticket);
  pool_queue.UpdatePredictors(clock_.Now());
  waiting_.erase(waiting);
}

void Placer::RecordAnswerTime(const migration::Place& place, Millis time) {
  routing::Load load = place.load_before;
  ++load.running;  // The request itself.
  health_.RecordTime(place.upstream, routing::Work::kAnswer,
                     routing::TimeSource::kOwn, load,
                     static_cast<double>(time.count()), clock_.Now());
}

void Placer::RecordTokenTime(const UpstreamId& upstream, double milliseconds) {
  health_.RecordTime(upstream, routing::Work::kToken, routing::TimeSource::kOwn,
                     loads_.TotalLoad(upstream), milliseconds, clock_.Now());
}

void Placer::DispatchWaiting() {
  // In this order, a pool's streams that go on come before its other requests.
  for (auto item = queues_.rbegin(); item != queues_.rend(); ++item) {
    DispatchQueue(item->second);
  }
  std::erase_if(queues_, [](const auto& item) {
    return item.first.second && item.second.queue.size() == 0;
  });
}

void Placer::DispatchBegun(const base::PoolName& pool) {
  for (auto item = queues_.upper_bound({pool, std::nullopt});
       item != queues_.end() && item->first.first == pool; ++item) {
    DispatchQueue(item->second);
  }
}

void Placer::DispatchQueue(PoolQueue& pool_queue) {
  pool_queue.queue.Dispatch(clock_.Now(), [this, &pool_queue](
                                              const admission::Waiter& waiter) {
    const auto waiting = waiting_.find(waiter.ticket);
    std::optional<migration::Place> place = TryPlace(waiting->second.request);
    // A request that every usable upstream has failed would only hold up those
    // behind it.
    const bool is_hopeless =
        !place && ExcludesAllUpstreams(waiting->second.request);
    if (!place && !is_hopeless) {
      return false;
    }
    if (place) {
      pool_queue.PredictorFor(waiter).RecordDispatch(waiter.cost, clock_.Now());
    }
    const OnPlace on_place = std::move(waiting->second.on_place);
    waiting_.erase(waiting);
    on_place(std::move(place));
    return true;
  });
  pool_queue.UpdatePredictors(clock_.Now());
}

bool Placer::ColdLimitReached(const fleet::Upstream& upstream,
                              const fleet::Pool& pool) const {
  const Millis now = clock_.Now();
  if (!upstream.IsColdAt(now) || pool.cold_requests_per_second <= 0) {
    return false;
  }
  const auto sends = cold_sends_.find(upstream.id);
  const int64_t recent =
      sends == cold_sends_.end() ? 0 : sends->second.Count(now, kColdWindow);
  const auto total = static_cast<int64_t>(pool.cold_requests_per_second *
                                          kColdWindow.seconds());
  return recent >= routing::ShareOf(std::max<int64_t>(1, total),
                                    hooks_.rank(upstream.id));
}

void Placer::RecordColdPlacement(const fleet::Upstream& upstream) {
  const Millis now = clock_.Now();
  if (!upstream.IsColdAt(now)) {
    cold_sends_.erase(upstream.id);
    return;
  }
  cold_sends_[upstream.id].Record(now);
}

size_t Placer::CountUpstreams(const base::PoolName& pool) const {
  const auto& listed = upstreams_.listed_upstreams();
  return static_cast<size_t>(std::count_if(
      listed.begin(), listed.end(),
      [&pool](const auto& item) { return item.second.entry.pool == pool; }));
}

}  // namespace dandelion::relay
