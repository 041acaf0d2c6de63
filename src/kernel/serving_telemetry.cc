#include "kernel/serving_telemetry.h"

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "kernel/loop_monitor.h"
#include "telemetry/events.h"

namespace dandelion::kernel {
namespace {

using base::Millis;
using telemetry::CounterId;
using telemetry::Emit;
using telemetry::Event;

// Rejections come in great numbers; one line stands for those of this time.
constexpr Millis kRejectionLogInterval{1000};

}  // namespace

http::ServerHooks MakeCallerServerHooks(telemetry::Metrics& metrics,
                                        const base::Clock& clock,
                                        std::function<size_t()> connections) {
  http::ServerHooks hooks;
  hooks.on_accepted = [&metrics] {
    metrics.Add(CounterId::kConnectionsAccepted);
  };
  hooks.on_rejected = [&metrics, clock, connections,
                       next_log = Millis(0)]() mutable {
    metrics.Add(CounterId::kConnectionsRejected);
    if (clock.Now() >= next_log) {
      next_log = clock.Now() + kRejectionLogInterval;
      Emit(Event::kCallerRejected,
           {{"connections", absl::StrCat(connections())}});
    }
  };
  hooks.on_displaced = [&metrics, connections] {
    metrics.Add(CounterId::kConnectionsDisplaced);
    Emit(Event::kCallerDisplaced,
         {{"connections", absl::StrCat(connections())}});
  };
  hooks.on_memory_refused = [&metrics](size_t held_bytes, size_t used_bytes) {
    metrics.Add(CounterId::kMemoryRefusals);
    Emit(Event::kRequestMemoryRefused,
         {{"held_bytes", absl::StrCat(held_bytes)},
          {"used_bytes", absl::StrCat(used_bytes)}});
  };
  hooks.on_accept_failed = [&metrics, connections](std::string_view reason) {
    metrics.Add(CounterId::kAcceptFailures);
    Emit(Event::kAcceptFailed, {{"reason", std::string(reason)},
                                {"connections", absl::StrCat(connections())}});
  };
  hooks.on_handler_failed = [](std::string_view reason) {
    Emit(Event::kHandlerFailed, {{"reason", std::string(reason)}});
  };
  hooks.on_accept_resumed = [](Millis failed_for) {
    Emit(Event::kAcceptResumed,
         {{"failed_ms", absl::StrCat(failed_for.count())}});
  };
  return hooks;
}

void ExportTransportCounts(const membership::TransportCounts& now,
                           membership::TransportCounts* exported,
                           telemetry::Metrics& metrics) {
  const auto add = [&metrics](CounterId counter, uint64_t current,
                              uint64_t before) {
    metrics.Add(counter, static_cast<double>(current - before));
  };
  add(CounterId::kPeerMessagesSent, now.messages_sent, exported->messages_sent);
  add(CounterId::kPeerBytesSent, now.bytes_sent, exported->bytes_sent);
  add(CounterId::kPeerMessagesReceived, now.messages_received,
      exported->messages_received);
  add(CounterId::kPeerBytesReceived, now.bytes_received,
      exported->bytes_received);
  *exported = now;
}

void ReportLoopCheck(Millis lag,
                     const membership::TransportCounts& now,
                     membership::TransportCounts* last_check,
                     telemetry::Metrics& metrics) {
  metrics.SetLoopLag(lag.seconds());
  if (lag >= LoopMonitor::kReportedLag) {
    Emit(Event::kLoopLagged,
         {{"lag_ms", absl::StrCat(lag.count())},
          {"peer_messages",
           absl::StrCat(now.messages_received - last_check->messages_received)},
          {"peer_bytes",
           absl::StrCat(now.bytes_received - last_check->bytes_received)}});
  }
  *last_check = now;
}

}  // namespace dandelion::kernel
