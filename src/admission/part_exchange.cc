#include "admission/part_exchange.h"

#include <algorithm>
#include <string>
#include <utility>

namespace dandelion::admission {
namespace {

using base::Millis;
using base::PartId;
using base::UpstreamId;
using PartNames = google::protobuf::RepeatedPtrField<std::string>;

void EncodeParts(const PartList& parts, PartNames* out) {
  for (const PartId& part : parts) {
    *out->Add() = part.value();
  }
}

PartList DecodeParts(const PartNames& names) {
  return {names.begin(), names.end()};
}

void EncodeCrash(const PartEvidence::Crash& crash, proto::EngineCrash* out) {
  out->set_upstream(crash.upstream.value());
  out->set_age_ms(crash.age.count());
  for (const auto& [parts, stage] : crash.requests) {
    proto::PromptParts* request = stage == BreakStage::kBegun
                                      ? out->add_requests()
                                      : out->add_late_requests();
    EncodeParts(parts, request->mutable_parts());
  }
}

PartEvidence::Crash DecodeCrash(const proto::EngineCrash& in) {
  PartEvidence::Crash crash;
  crash.upstream = UpstreamId(in.upstream());
  crash.age = base::AgeFromPeer(in.age_ms());
  for (const proto::PromptParts& request : in.late_requests()) {
    crash.requests[DecodeParts(request.parts())] = BreakStage::kContentSent;
  }
  for (const proto::PromptParts& request : in.requests()) {
    crash.requests[DecodeParts(request.parts())] = BreakStage::kBegun;
  }
  return crash;
}

void EncodeQuarantine(const PartEvidence::Quarantine& quarantine,
                      proto::QuarantinedParts* out) {
  EncodeParts(quarantine.parts, out->mutable_parts());
  out->set_crashes(quarantine.crashes);
  out->set_break_age_ms(quarantine.break_age.count());
  out->set_trials(quarantine.trials);
  out->set_trial_age_ms(quarantine.trial_age.count());
}

// Larger counts come from a faulty peer.
int64_t DecodeCount(int64_t count) {
  constexpr int64_t kMaxCount = 1'000'000;
  return std::clamp<int64_t>(count, 0, kMaxCount);
}

PartEvidence::Quarantine DecodeQuarantine(const proto::QuarantinedParts& in) {
  PartEvidence::Quarantine quarantine;
  quarantine.parts = DecodeParts(in.parts());
  quarantine.crashes = DecodeCount(in.crashes());
  quarantine.break_age = base::AgeFromPeer(in.break_age_ms());
  quarantine.trials = DecodeCount(in.trials());
  quarantine.trial_age = base::AgeFromPeer(in.trial_age_ms());
  return quarantine;
}

}  // namespace

proto::PartEvidence CollectPartEvidence(PartQuarantine& quarantine,
                                        bool all,
                                        Millis now) {
  const PartEvidence evidence = quarantine.CollectEvidence(all, now);
  proto::PartEvidence message;
  for (const PartEvidence::Crash& crash : evidence.crashes) {
    EncodeCrash(crash, message.add_crashes());
  }
  for (const PartEvidence::Quarantine& item : evidence.quarantines) {
    EncodeQuarantine(item, message.add_quarantines());
  }
  for (const PartEvidence::Proof& proof : evidence.proofs) {
    proto::PartProof* out = message.add_proofs();
    out->set_part(proof.part.value());
    out->set_age_ms(proof.age.count());
  }
  return message;
}

void ApplyPartEvidence(const base::HostId& from,
                       const proto::PartEvidence& message,
                       Millis now,
                       PartQuarantine& quarantine) {
  PartEvidence evidence;
  for (const proto::EngineCrash& crash : message.crashes()) {
    evidence.crashes.push_back(DecodeCrash(crash));
  }
  for (const proto::QuarantinedParts& item : message.quarantines()) {
    evidence.quarantines.push_back(DecodeQuarantine(item));
  }
  for (const proto::PartProof& proof : message.proofs()) {
    evidence.proofs.push_back(
        {PartId(proof.part()), base::AgeFromPeer(proof.age_ms())});
  }
  quarantine.ApplyPeerEvidence(from, evidence, now);
}

}  // namespace dandelion::admission
