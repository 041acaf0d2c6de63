#include "rollout/rollout_exchange.h"

#include <algorithm>
#include <utility>

namespace dandelion::rollout {
namespace {

using base::Millis;

using BucketPairs = google::protobuf::RepeatedField<uint32_t>;

void EncodeTimes(const TimeHistogram& times, BucketPairs* out) {
  for (size_t bucket = 0; bucket < TimeHistogram::kBuckets; ++bucket) {
    if (times.CountIn(bucket) > 0) {
      out->Add(static_cast<uint32_t>(bucket));
      out->Add(static_cast<uint32_t>(times.CountIn(bucket)));
    }
  }
}

TimeHistogram DecodeTimes(const BucketPairs& pairs) {
  TimeHistogram times;
  for (int i = 0; i + 1 < pairs.size(); i += 2) {
    if (pairs[i] < TimeHistogram::kBuckets) {
      times.AddToBucket(pairs[i], pairs[i + 1]);
    }
  }
  return times;
}

void EncodeSide(const SideCounts& counts,
                bool is_target,
                proto::RolloutCounts* out) {
  for (const auto& [route, route_counts] : counts.routes) {
    proto::RolloutRouteCounts* item = out->add_routes();
    item->set_route(route.value());
    item->set_target(is_target);
    item->set_sent(route_counts.sent);
    item->set_answered(route_counts.answered);
    item->set_failed(route_counts.failed);
    EncodeTimes(route_counts.answer_times, item->mutable_answer_times());
    EncodeTimes(route_counts.token_times, item->mutable_token_times());
  }
  for (const base::UpstreamId& upstream : counts.broken) {
    *(is_target ? out->add_broken_target() : out->add_broken_old()) =
        upstream.value();
  }
}

Counts DecodeCounts(const proto::RolloutCounts& in) {
  Counts counts;
  for (const proto::RolloutRouteCounts& item : in.routes()) {
    RouteCounts& route = counts.side(item.target() ? Side::kTarget : Side::kOld)
                             .routes[base::RouteName(item.route())];
    route.sent = std::max<int64_t>(0, item.sent());
    route.answered = std::max<int64_t>(0, item.answered());
    route.failed = std::max<int64_t>(0, item.failed());
    route.answer_times = DecodeTimes(item.answer_times());
    route.token_times = DecodeTimes(item.token_times());
  }
  for (const std::string& upstream : in.broken_old()) {
    counts.side(Side::kOld).broken.insert(base::UpstreamId(upstream));
  }
  for (const std::string& upstream : in.broken_target()) {
    counts.side(Side::kTarget).broken.insert(base::UpstreamId(upstream));
  }
  return counts;
}

proto::RolloutDecision::State EncodeState(State state) {
  switch (state) {
    case State::kRunning:
      return proto::RolloutDecision::RUNNING;
    case State::kMoving:
      return proto::RolloutDecision::MOVING;
    case State::kCompleted:
      return proto::RolloutDecision::COMPLETED;
    case State::kReverted:
      return proto::RolloutDecision::REVERTED;
  }
  return proto::RolloutDecision::RUNNING;
}

State DecodeState(proto::RolloutDecision::State state) {
  switch (state) {
    case proto::RolloutDecision::MOVING:
      return State::kMoving;
    case proto::RolloutDecision::COMPLETED:
      return State::kCompleted;
    case proto::RolloutDecision::REVERTED:
      return State::kReverted;
    default:
      return State::kRunning;
  }
}

}  // namespace

void AddCounts(const Rollouts& rollouts,
               bool of_data_centre,
               proto::FleetBeat* heartbeat) {
  for (const auto& [order, counts] : rollouts.CollectCounts(of_data_centre)) {
    proto::RolloutCounts* out = heartbeat->add_rollout_counts();
    out->set_order(order);
    EncodeSide(counts.side(Side::kOld), false, out);
    EncodeSide(counts.side(Side::kTarget), true, out);
  }
}

void ApplyMemberCounts(const base::HostId& from,
                       const proto::FleetBeat& heartbeat,
                       Rollouts& rollouts) {
  for (const proto::RolloutCounts& counts : heartbeat.rollout_counts()) {
    rollouts.ApplyMemberCounts(from, counts.order(), DecodeCounts(counts));
  }
}

void ApplyDataCentreCounts(const base::DataCentreId& from,
                           const proto::FleetBeat& heartbeat,
                           Rollouts& rollouts) {
  for (const proto::RolloutCounts& counts : heartbeat.rollout_counts()) {
    rollouts.ApplyDataCentreCounts(from, counts.order(), DecodeCounts(counts));
  }
}

void AddDecisions(Rollouts& rollouts,
                  bool all,
                  Millis now,
                  proto::FleetBeat* heartbeat) {
  for (const Rollouts::SharedDecision& shared :
       rollouts.CollectDecisions(all, now)) {
    const Decision& decision = shared.decision;
    proto::RolloutDecision* out = heartbeat->add_rollout_decisions();
    out->set_name(decision.name.value());
    out->set_pool(decision.pool.value());
    out->set_target(decision.target.value());
    out->set_order(decision.order_offset);
    out->set_sequence(decision.sequence);
    out->set_state(EncodeState(decision.state));
    out->set_share(decision.share);
    out->set_order_age_ms(decision.order_age.count());
    out->set_decider(decision.decider.value());
    out->set_age_ms(shared.age.count());
  }
}

void ApplyDecisions(const proto::FleetBeat& heartbeat,
                    Millis now,
                    Rollouts& rollouts) {
  for (const proto::RolloutDecision& in : heartbeat.rollout_decisions()) {
    Rollouts::SharedDecision shared;
    shared.decision.name = base::RolloutName(in.name());
    shared.decision.pool = base::PoolName(in.pool());
    shared.decision.target = base::SoftwareVersion(in.target());
    shared.decision.order_offset = in.order();
    shared.decision.sequence = in.sequence();
    shared.decision.state = DecodeState(in.state());
    // A share that is no number counts as none.
    shared.decision.share = in.share() > 0 ? std::min(in.share(), 1.0) : 0.0;
    shared.decision.order_age = base::AgeFromPeer(in.order_age_ms());
    shared.decision.decider = base::HostId(in.decider());
    shared.age = base::AgeFromPeer(in.age_ms());
    rollouts.ApplyDecision(shared, now);
  }
}

}  // namespace dandelion::rollout
