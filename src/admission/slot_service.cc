#include "admission/slot_service.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "telemetry/events.h"

namespace dandelion::admission {
namespace {

using base::HostId;
using base::Millis;
using base::Slots;
using base::Task;
using base::UpstreamId;
using config::Upstream;
using telemetry::Emit;
using telemetry::Event;

// Messages carry occupancies in blocks of this many tokens, so that a value
// takes a varint of about two bytes instead of a float.
constexpr float kBlockTokens = 16;

void ToProto(const Occupancy& occupancy, proto::Occupancy* out) {
  const auto to_blocks = [](float tokens) {
    return static_cast<uint32_t>(
        std::lround(std::max(0.0F, tokens) / kBlockTokens));
  };
  for (size_t i = 0; i < kGridTokens.size(); ++i) {
    out->add_mean(to_blocks(occupancy.mean[i]));
    out->add_deviation(
        to_blocks(std::sqrt(std::max(0.0F, occupancy.variance[i]))));
  }
}

// Returns an empty occupancy if the message does not have one value for each
// point of `kGridTokens`.
Occupancy FromProto(const proto::Occupancy& in) {
  Occupancy occupancy;
  const auto points = static_cast<int>(kGridTokens.size());
  if (in.mean_size() != points || in.deviation_size() != points) {
    return occupancy;
  }
  for (int i = 0; i < points; ++i) {
    const auto index = static_cast<size_t>(i);
    const float deviation = kBlockTokens * static_cast<float>(in.deviation(i));
    occupancy.mean[index] = kBlockTokens * static_cast<float>(in.mean(i));
    occupancy.variance[index] = deviation * deviation;
  }
  return occupancy;
}

void ToProto(const SlotAsk& ask, proto::SlotAsk* out) {
  out->set_upstream(ask.upstream.value());
  out->set_in_flight(ask.in_flight.count());
  out->set_needed(ask.needed.count());
  out->set_spare(ask.spare.count());
  out->set_holding(ask.leased.count());
  out->set_successes(ask.successes);
  out->set_failures(ask.failures);
  out->set_room_needed(ask.headroom_needed.count());
  out->set_room_spare(ask.headroom_spare.count());
  // Without requests in flight the occupancy is zero, like an absent field.
  if (ask.in_flight > Slots(0)) {
    ToProto(ask.occupancy, out->mutable_occupancy());
  }
}

SlotAsk FromProto(const proto::SlotAsk& in) {
  SlotAsk ask;
  ask.upstream = UpstreamId(in.upstream());
  ask.in_flight = Slots(in.in_flight());
  ask.needed = Slots(in.needed());
  ask.spare = Slots(in.spare());
  ask.leased = Slots(in.holding());
  ask.successes = in.successes();
  ask.failures = in.failures();
  ask.headroom_needed = base::Tokens(in.room_needed());
  ask.headroom_spare = base::Tokens(in.room_spare());
  ask.occupancy = FromProto(in.occupancy());
  return ask;
}

void ToProto(const SlotGrant& grant, Millis now, proto::SlotGrant* out) {
  out->set_upstream(grant.upstream.value());
  out->set_slots(grant.slots.count());
  out->set_ttl_ms(grant.ttl.count());
  if (grant.headroom) {
    out->set_room(grant.headroom->count());
  }
  if (grant.other_occupancy.mean[0] > 0) {
    ToProto(grant.other_occupancy, out->mutable_others());
  }
  proto::UpstreamReport& report = *out->mutable_report();
  report.set_incarnation(grant.report.incarnation.value());
  report.set_reachable(grant.report.reachable);
  report.set_running(grant.report.running);
  report.set_waiting(grant.report.waiting);
  report.set_memory_used(grant.report.memory_used);
  report.set_memory_total(grant.report.memory_total);
  report.set_preemptions(grant.report.preemptions);
  report.set_cold(grant.report.cold);
  report.set_leaving(grant.report.leaving);
  report.set_age_ms((now - grant.report.received).count());
}

SlotGrant FromProto(const proto::SlotGrant& in, Millis now) {
  SlotGrant grant;
  grant.upstream = UpstreamId(in.upstream());
  grant.slots = Slots(in.slots());
  grant.ttl = Millis(in.ttl_ms());
  grant.other_occupancy = FromProto(in.others());
  if (in.has_room()) {
    grant.headroom = base::Tokens(in.room());
  }
  const proto::UpstreamReport& report = in.report();
  grant.report.incarnation = base::Incarnation(report.incarnation());
  grant.report.reachable = report.reachable();
  grant.report.running = report.running();
  grant.report.waiting = report.waiting();
  grant.report.memory_used = report.memory_used();
  grant.report.memory_total = report.memory_total();
  grant.report.preemptions = report.preemptions();
  grant.report.cold = report.cold();
  grant.report.leaving = report.leaving();
  grant.report.received = now - base::AgeFromPeer(report.age_ms());
  return grant;
}

}  // namespace

SlotService::SlotService(const base::Executor& executor,
                         const base::Clock& clock,
                         membership::Membership& membership,
                         Hooks hooks)
    : executor_(executor),
      clock_(clock),
      membership_(membership),
      hooks_(std::move(hooks)),
      owner_(clock),
      holder_(clock),
      wake_(executor) {}

void SlotService::Start() {
  base::SpawnRestarting(executor_, [this] { return RunRounds(); });
}

Task<void> SlotService::RunRounds() {
  while (!stopped_) {
    RefreshOwnership();
    AskOwners();
    last_asked_ = clock_.Now();
    round_requested_ = false;
    co_await base::SleepOnTimer(wake_, kRoundInterval);
    const Millis elapsed = clock_.Now() - last_asked_;
    if (round_requested_ && elapsed < kMinRoundInterval) {
      co_await base::SleepOnTimer(wake_, kMinRoundInterval - elapsed);
    }
  }
}

void SlotService::RequestRound() {
  if (!round_requested_) {
    round_requested_ = true;
    wake_.cancel();
  }
}

void SlotService::OnTables(std::shared_ptr<const config::Tables> tables) {
  tables_ = std::move(tables);
  SelectLocalUpstreams();
  RefreshOwnership();
  RequestRound();
}

// In a pool with more than `kFanOut` local upstreams, each daemon leases from
// those with the highest rendezvous weights for it, so that the daemons
// together use all upstreams evenly.
void SlotService::SelectLocalUpstreams() {
  const membership::Member& self = membership_.self();
  local_upstreams_.clear();
  for (const auto& [pool, members] : tables_->upstreams_by_pool) {
    std::vector<std::pair<uint64_t, UpstreamId>> local;
    for (const UpstreamId& id : members) {
      if (tables_->upstreams.at(id).data_centre == self.data_centre) {
        local.emplace_back(
            membership::RendezvousWeight(id.value(), self.id.value()), id);
      }
    }
    std::sort(local.rbegin(), local.rend());
    local.resize(std::min(local.size(), kFanOut));
    for (const auto& [weight, id] : local) {
      local_upstreams_.insert(id);
    }
  }
}

void SlotService::RefreshOwnership() {
  if (!tables_) {
    return;
  }
  const membership::Member& self = membership_.self();
  for (const auto& [id, upstream] : tables_->upstreams) {
    const bool is_owner =
        upstream.data_centre == self.data_centre &&
        membership_.SlotOwnerOf(id, self.data_centre) == self.id;
    if (!is_owner) {
      owner_.RemoveUpstream(id);
      continue;
    }
    const SlotLimits limits{upstream.slots, upstream.cold_slots};
    owner_.AddUpstream(id, limits, /*no_prior_leases=*/false);
    if (polling_.insert(id).second) {
      base::SpawnRestarting(executor_,
                            [this, owned = id] { return PollReports(owned); });
    }
  }
}

// Polls the load reports of one upstream for as long as this daemon owns it.
Task<void> SlotService::PollReports(UpstreamId id) {
  while (!stopped_ && owner_.Owns(id)) {
    const auto found = tables_->upstreams.find(id);
    if (found == tables_->upstreams.end()) {
      owner_.RemoveUpstream(id);
      break;
    }
    const Upstream upstream = found->second;
    const absl::StatusOr<UpstreamReport> report =
        co_await hooks_.poll(upstream);
    HandleReport(id, report);
    co_await base::SleepFor(kPollInterval);
  }
  polling_.erase(id);
}

void SlotService::HandleReport(const UpstreamId& id,
                               const absl::StatusOr<UpstreamReport>& report) {
  const UpstreamReport* last_report = owner_.ReportOf(id);
  if (last_report == nullptr) {
    return;
  }
  const UpstreamReport previous = *last_report;
  const UpstreamReport current = report.ok() ? *report : UpstreamReport();
  const Slots budget = owner_.Budget(id);
  owner_.OnReport(id, current);
  if (owner_.Budget(id) < budget) {
    RevokeLeases(id);
  }
  if (previous.reachable != current.reachable) {
    Emit(current.reachable ? Event::kUpstreamContact : Event::kUpstreamLost,
         {{"upstream", id.value()},
          {"reason", std::string(report.status().message())}});
  }
  if (current.reachable && previous.cold != current.cold) {
    Emit(current.cold ? Event::kUpstreamCold : Event::kUpstreamWarm,
         {{"upstream", id.value()}});
  }
  if (current.leaving && !membership_.IsLeaving(id, current.incarnation)) {
    Emit(Event::kUpstreamLeaving,
         {{"upstream", id.value()}, {"source", "engine"}});
    membership_.MarkLeaving(id, current.incarnation);
  }
}

// Makes all daemons give up their leases on an upstream and ask again. Called
// when its budget has fallen, because the leases were granted from the former
// budget.
void SlotService::RevokeLeases(const UpstreamId& id) {
  proto::Envelope message;
  message.mutable_slot_revoke()->set_upstream(id.value());
  for (const HostId& host : membership_.UpHosts()) {
    hooks_.send(host, message);
  }
  OnRevoke(message.slot_revoke());
}

void SlotService::OnRevoke(const proto::SlotRevoke& revoke) {
  holder_.Revoke(UpstreamId(revoke.upstream()));
  RequestRound();
}

std::map<HostId, std::vector<const Upstream*>> SlotService::GroupByOwner()
    const {
  std::map<HostId, std::vector<const Upstream*>> by_owner;
  const base::DataCentreId& own_data_centre = membership_.self().data_centre;
  for (const auto& [id, upstream] : tables_->upstreams) {
    const bool wanted = upstream.data_centre == own_data_centre
                            ? local_upstreams_.contains(id)
                            : hooks_.wants_remote(upstream);
    if (!wanted && holder_.InFlight(id) == Slots(0)) {
      continue;
    }
    const std::optional<HostId> owner =
        membership_.SlotOwnerOf(id, upstream.data_centre);
    if (owner) {
      by_owner[*owner].push_back(&upstream);
    }
  }
  return by_owner;
}

void SlotService::AskOwners() {
  if (!tables_) {
    return;
  }
  ++round_count_;
  for (const auto& [owner, upstreams] : GroupByOwner()) {
    AskOwner(owner, upstreams);
  }
}

void SlotService::AskOwner(const HostId& owner,
                           const std::vector<const Upstream*>& upstreams) {
  RoundState& round = rounds_[owner];
  const Millis now = clock_.Now();
  if (!round.answered && now - round.started < kRoundTimeout) {
    return;
  }
  round = RoundState{++last_round_number_, now, false};
  holder_.StartRound(owner, round.number);
  if (owner == membership_.self().id) {
    std::vector<SlotGrant> grants;
    grants.reserve(upstreams.size());
    for (const Upstream* upstream : upstreams) {
      grants.push_back(AnswerAsk(owner, round.number, MakeAsk(*upstream)));
    }
    round.answered = true;
    holder_.ApplyGrants(owner, round.number, grants);
    hooks_.on_grants();
    return;
  }
  proto::Envelope message;
  proto::SlotRequest& request = *message.mutable_slot_request();
  request.set_round(round.number);
  for (const Upstream* upstream : upstreams) {
    ToProto(MakeAsk(*upstream), request.add_asks());
  }
  hooks_.send(owner, message);
}

SlotAsk SlotService::MakeAsk(const Upstream& upstream) {
  const bool in_service = tables_->IsInService(upstream);
  holder_.SetQueued(upstream.id, in_service ? hooks_.queued(upstream) : 0);
  // Headroom granted to this daemon is withheld from the others. The headroom
  // of the first waiting request is therefore not asked for on all upstreams at
  // once; the upstreams take turns, round by round.
  const uint64_t turn = round_count_ + XXH3_64bits(upstream.id.value().data(),
                                                   upstream.id.value().size());
  const bool asks_headroom = turn % kHeadroomRotation == 0;
  holder_.SetHeadroomNeeded(upstream.id, in_service && asks_headroom
                                             ? hooks_.headroom_needed(upstream)
                                             : 0);
  SlotAsk ask = holder_.MakeAsk(upstream.id, in_service ? kSpareSlots : 0);
  ask.occupancy = hooks_.occupancy(upstream.id);
  return ask;
}

SlotGrant SlotService::AnswerAsk(const HostId& holder,
                                 uint64_t round,
                                 const SlotAsk& ask) {
  const membership::Visibility visibility =
      membership_.VisibilityOf(membership_.self().data_centre);
  const Slots budget = owner_.Budget(ask.upstream);
  SlotGrant grant =
      owner_.OnAsk(holder, round, ask, visibility.visible, visibility.roster);
  if (owner_.Budget(ask.upstream) < budget) {
    RevokeLeases(ask.upstream);
  }
  return grant;
}

void SlotService::OnRequest(const HostId& from,
                            const proto::SlotRequest& request) {
  proto::Envelope message;
  proto::SlotAnswer& answer = *message.mutable_slot_answer();
  answer.set_round(request.round());
  for (const proto::SlotAsk& ask : request.asks()) {
    const SlotGrant grant = AnswerAsk(from, request.round(), FromProto(ask));
    ToProto(grant, clock_.Now(), answer.add_grants());
  }
  hooks_.send(from, message);
}

void SlotService::OnAnswer(const HostId& from,
                           const proto::SlotAnswer& answer) {
  std::vector<SlotGrant> grants;
  for (const proto::SlotGrant& grant : answer.grants()) {
    grants.push_back(FromProto(grant, clock_.Now()));
  }
  if (holder_.ApplyGrants(from, answer.round(), grants)) {
    rounds_[from].answered = true;
    hooks_.on_grants();
  }
}

}  // namespace dandelion::admission
