#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "base/task.h"
#include "fleet/fleet_state.h"
#include "kernel/fleet_settings.h"
#include "kernel/rollout_service.h"
#include "relay/platform_protocol.h"
#include "store/store.h"

namespace dandelion::kernel {

/// What a platform supplies to the daemon. All references must outlive the
/// daemon.
struct PlatformAdapter {
  /// Formats of the callers' and upstreams' HTTP messages.
  relay::PlatformProtocol protocol;
  relay::EngineControl& engines;
  store::MetadataStore& store;
  store::PeerList& peers;
  store::StatusStore& statuses;
  store::QuarantineStore& quarantines;
  store::StreamOriginStore& stream_origins;
  /// Decodes a record of the operators' topic.
  std::function<absl::StatusOr<fleet::OperatorRecord>(const store::Record&)>
      parse_operator_record;
  /// Decodes the value of a record of the upstreams' topic.
  std::function<absl::StatusOr<fleet::UpstreamEntry>(const std::string& value)>
      parse_upstream_entry;
  RolloutStatusFormat rollout_status;
  /// The HTTP path of the load balancer's readiness check.
  std::string readiness_path;
};

/// The daemon that forwards callers' requests on a platform that keeps routes,
/// pools and upstreams in a metadata store.
class FleetDaemon {
 public:
  FleetDaemon(const base::Executor& executor,
              FleetSettings settings,
              PlatformAdapter adapter);
  ~FleetDaemon();
  FleetDaemon(const FleetDaemon&) = delete;
  FleetDaemon& operator=(const FleetDaemon&) = delete;

  /// Starts every service. Returns the error of the first that cannot start.
  absl::Status Start();
  /// Applies changed settings. The host, the data centre, the seeds and the
  /// addresses at which the daemon listens stay as they were at the start.
  void Reload(const FleetSettings& settings);
  /// Reports not ready and lets callers finish. Returns when no request is in
  /// progress and the load balancer has had time to notice, or when
  /// `stop_grace` is almost over.
  base::Task<void> Drain();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dandelion::kernel
