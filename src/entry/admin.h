#pragma once

#include <functional>
#include <string>

#include "base/task.h"
#include "http/server.h"

namespace dandelion::entry {

/// Why a daemon is or is not ready for callers.
struct Readiness {
  bool ready = false;
  std::string reason;
};

/// The admin port: readiness, liveness, status, metrics and explanations.
/// Calls that change something need the operators' token.
class Admin {
 public:
  struct Hooks {
    std::function<Readiness()> readiness;
    /// JSON.
    std::function<std::string()> status;
    /// Prometheus text.
    std::function<std::string()> metrics;
    /// JSON lines of one request; empty if it is unknown.
    std::function<std::string(const std::string& request_id)> explain;
    std::function<void()> drain;
  };

  Admin(std::string operator_token, Hooks hooks);

  base::Task<void> Handle(http::Exchange& exchange);

 private:
  http::Response Answer(const http::Request& request) const;
  http::Response Drain(const http::Request& request) const;

  std::string operator_token_;
  Hooks hooks_;
};

}  // namespace dandelion::entry
