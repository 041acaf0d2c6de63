#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "proto/peer.pb.h"
#include "telemetry/metrics.h"

namespace dandelion::kernel {

/// What a message between daemons mainly carries.
enum class PeerMessageKind { kHeartbeat, kLoads, kRecords, kDiscovery };
inline constexpr size_t kPeerMessageKinds = 4;

std::string_view ToString(PeerMessageKind kind);
/// Returns the kind of a message of a fleet daemon.
PeerMessageKind KindOf(const proto::Envelope& message);

/// Counts the messages that a fleet daemon exchanges with its peers, and the
/// time that it spends on them: in metrics, and in a log line a minute.
class PeerTraffic {
 public:
  static constexpr base::Millis kReportInterval{60'000};

  PeerTraffic(base::Clock clock, telemetry::Metrics& metrics);

  /// Count a message of `bytes`; `remote` if it crosses data centres.
  void RecordSent(const proto::Envelope& message, size_t bytes, bool remote);
  void RecordReceived(const proto::Envelope& message, bool remote);
  /// Adds the time that `work` takes to the time spent on peers.
  template <typename Work>
  void Measure(Work work) {
    const int64_t start = NowUs();
    work();
    AddBusyTime(NowUs() - start);
  }
  /// Emits the log line if it is due.
  void Tick(bool is_delegate, size_t links);

 private:
  struct Count {
    uint64_t messages = 0;
    uint64_t bytes = 0;
  };
  using Counts = std::array<Count, kPeerMessageKinds>;

  /// Returns "KIND:MESSAGES:BYTES" of all kinds.
  static std::string Format(const Counts& counts);
  static int64_t NowUs();
  void AddBusyTime(int64_t microseconds);

  base::Clock clock_;
  telemetry::Metrics& metrics_;
  /// Since the last report.
  Counts sent_{};
  Counts received_{};
  uint64_t remote_bytes_ = 0;
  int64_t busy_us_ = 0;
  base::Millis next_report_at_;
};

}  // namespace dandelion::kernel
