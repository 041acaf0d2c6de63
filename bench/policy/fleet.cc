#include "bench/policy/fleet.h"

#include "bench/policy/fleet_model.h"

namespace dandelion::bench {

std::string ToString(Policy policy) {
  switch (policy) {
    case Policy::kRoundRobin:
      return "round robin";
    case Policy::kLeastOutstanding:
      return "least outstanding";
    case Policy::kPowerOfTwo:
      return "power of two";
    case Policy::kDandelion:
      return "ours";
    case Policy::kDandelionGlobalView:
      return "ours, full sight";
    case Policy::kOracle:
      return "oracle";
  }
  return "";
}

SimulationResult Simulate(const SimulationParams& params) {
  return FleetModel(params).Run();
}

}  // namespace dandelion::bench
