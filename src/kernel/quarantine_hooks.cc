#include "kernel/quarantine_hooks.h"

#include "absl/strings/str_cat.h"
#include "telemetry/events.h"

namespace dandelion::kernel {

using base::PartId;
using base::UpstreamId;
using telemetry::Emit;
using telemetry::Event;

admission::PartQuarantine::Hooks MakeQuarantineHooks(
    telemetry::Metrics& metrics) {
  admission::PartQuarantine::Hooks hooks;
  hooks.on_suspected = [](const PartId& part, const UpstreamId& upstream) {
    Emit(Event::kPartSuspected,
         {{"part", part.value()}, {"upstream", upstream.value()}});
  };
  hooks.on_quarantined = [&metrics](const PartId& part, int64_t crashes) {
    metrics.Add(telemetry::CounterId::kPartsQuarantined);
    Emit(Event::kPartQuarantined,
         {{"part", part.value()}, {"crashes", absl::StrCat(crashes)}});
  };
  hooks.on_cleared = [](const PartId& part) {
    Emit(Event::kPartCleared, {{"part", part.value()}});
  };
  return hooks;
}

}  // namespace dandelion::kernel
