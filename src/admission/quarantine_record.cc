#include "admission/quarantine_record.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "admission/part_exchange.h"
#include "proto/peer.pb.h"

namespace dandelion::admission {

using base::Millis;

std::string EncodeQuarantines(PartQuarantine& quarantine,
                              Millis now,
                              UnixMs unix_now) {
  proto::StoredQuarantines stored;
  stored.set_written_at_unix_ms(unix_now);
  *stored.mutable_evidence() = CollectPartEvidence(quarantine, true, now);
  stored.mutable_evidence()->clear_crashes();
  return stored.SerializeAsString();
}

bool RestoreQuarantines(const std::string& record,
                        Millis now,
                        UnixMs unix_now,
                        PartQuarantine& quarantine) {
  proto::StoredQuarantines stored;
  if (!stored.ParseFromString(record)) {
    return false;
  }
  const Millis age = base::AgeFromPeer(
      unix_now - std::clamp<int64_t>(stored.written_at_unix_ms(), 0, unix_now));
  const auto age_by_now = [age](int64_t ms) {
    return (base::AgeFromPeer(ms) + age).count();
  };
  proto::PartEvidence evidence;
  for (proto::QuarantinedParts parts : stored.evidence().quarantines()) {
    parts.set_break_age_ms(age_by_now(parts.break_age_ms()));
    parts.set_trial_age_ms(age_by_now(parts.trial_age_ms()));
    *evidence.add_quarantines() = parts;
  }
  ApplyPartEvidence(base::HostId(), evidence, now, quarantine);
  return true;
}

std::string IdentifyQuarantines(PartQuarantine& quarantine, Millis now) {
  std::string text;
  for (const PartEvidence::Quarantine& item :
       quarantine.CollectEvidence(true, now).quarantines) {
    for (const base::PartId& part : item.parts) {
      absl::StrAppend(&text, part.value(), " ");
    }
    absl::StrAppend(&text, item.crashes, " ", item.trials, "\n");
  }
  return text;
}

}  // namespace dandelion::admission
