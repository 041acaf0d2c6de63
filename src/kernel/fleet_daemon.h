#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "base/task.h"
#include "fleet/knowledge.h"
#include "kernel/fleet_settings.h"
#include "relay/dialect.h"
#include "store/store.h"

namespace dandelion::kernel {

/// A platform's dialect and its services. Everything outlives the daemon.
struct PlatformAdapter {
  relay::Dialect dialect;
  relay::EngineControl& engines;
  store::MetadataStore& store;
  store::PeerList& peers;
  std::function<absl::StatusOr<fleet::OperatorFact>(const store::Record&)>
      read_operator;
  std::function<absl::StatusOr<fleet::UpstreamEntry>(const std::string& value)>
      read_upstream;
  /// The path at which the balancer asks for readiness.
  std::string readiness_path;
};

/// The daemon that forwards callers' requests on a platform that keeps routes,
/// pools and upstreams in its store.
class FleetDaemon {
 public:
  FleetDaemon(const base::Executor& executor,
              FleetSettings settings,
              PlatformAdapter adapter);
  ~FleetDaemon();
  FleetDaemon(const FleetDaemon&) = delete;
  FleetDaemon& operator=(const FleetDaemon&) = delete;

  /// Starts every service. Fails with the first service that cannot start.
  absl::Status Start();
  /// Takes changed settings; addresses that it listens at stay.
  void Reload(const FleetSettings& settings);
  /// Stops taking callers, serves those that are there, and returns when they
  /// have gone or the grace is nearly over.
  base::Task<void> Drain();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dandelion::kernel
