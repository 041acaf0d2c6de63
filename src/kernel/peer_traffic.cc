#include "kernel/peer_traffic.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "telemetry/events.h"

namespace dandelion::kernel {
namespace {

using telemetry::CounterId;

constexpr std::array<std::string_view, kPeerMessageKinds> kNames = {
    "heartbeat", "loads", "records", "discovery"};

size_t IndexOf(PeerMessageKind kind) {
  return static_cast<size_t>(kind);
}

bool HasRecords(const proto::FleetBeat& heartbeat) {
  return std::any_of(heartbeat.updates().begin(), heartbeat.updates().end(),
                     [](const proto::TopicUpdate& update) {
                       return update.records_size() > 0;
                     });
}

}  // namespace

std::string_view ToString(PeerMessageKind kind) {
  return kNames[IndexOf(kind)];
}

PeerMessageKind KindOf(const proto::Envelope& message) {
  if (message.has_fleet_peers()) {
    return PeerMessageKind::kDiscovery;
  }
  if (message.has_fleet_pull()) {
    return message.fleet_pull().positions_size() > 0
               ? PeerMessageKind::kRecords
               : PeerMessageKind::kDiscovery;
  }
  if (HasRecords(message.fleet_beat())) {
    return PeerMessageKind::kRecords;
  }
  return message.fleet_beat().loads_size() > 0 ? PeerMessageKind::kLoads
                                               : PeerMessageKind::kHeartbeat;
}

PeerTraffic::PeerTraffic(base::Clock clock, telemetry::Metrics& metrics)
    : clock_(std::move(clock)),
      metrics_(metrics),
      next_report_at_(clock_.Now() + kReportInterval) {}

void PeerTraffic::RecordSent(const proto::Envelope& message,
                             size_t bytes,
                             bool remote) {
  if (bytes == 0) {
    return;  // The transport dropped it.
  }
  const PeerMessageKind kind = KindOf(message);
  Count& count = sent_[IndexOf(kind)];
  ++count.messages;
  count.bytes += bytes;
  remote_bytes_ += remote ? bytes : 0;
  metrics_.AddPeerTraffic("sent", ToString(kind), remote, bytes);
}

void PeerTraffic::RecordReceived(const proto::Envelope& message, bool remote) {
  const PeerMessageKind kind = KindOf(message);
  const size_t bytes = message.ByteSizeLong();
  Count& count = received_[IndexOf(kind)];
  ++count.messages;
  count.bytes += bytes;
  remote_bytes_ += remote ? bytes : 0;
  metrics_.AddPeerTraffic("received", ToString(kind), remote, bytes);
}

std::string PeerTraffic::Format(const Counts& counts) {
  std::string text;
  for (size_t i = 0; i < kPeerMessageKinds; ++i) {
    fmt::format_to(std::back_inserter(text), "{}{}:{}:{}", i > 0 ? "," : "",
                   kNames[i], counts[i].messages, counts[i].bytes);
  }
  return text;
}

int64_t PeerTraffic::NowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void PeerTraffic::AddBusyTime(int64_t microseconds) {
  constexpr double kUsPerSecond = 1e6;
  busy_us_ += microseconds;
  metrics_.Add(CounterId::kPeerSeconds,
               static_cast<double>(microseconds) / kUsPerSecond);
}

void PeerTraffic::Tick(bool is_delegate, size_t links) {
  const base::Millis now = clock_.Now();
  if (now < next_report_at_) {
    return;
  }
  next_report_at_ = now + kReportInterval;
  constexpr int64_t kUsPerMs = 1000;
  telemetry::Emit(telemetry::Event::kPeerTraffic,
                  {{"delegate", is_delegate ? "1" : "0"},
                   {"links", absl::StrCat(links)},
                   {"sent", Format(sent_)},
                   {"received", Format(received_)},
                   {"remote_bytes", absl::StrCat(remote_bytes_)},
                   {"busy_ms", absl::StrCat(busy_us_ / kUsPerMs)}});
  sent_ = {};
  received_ = {};
  remote_bytes_ = 0;
  busy_us_ = 0;
}

}  // namespace dandelion::kernel
