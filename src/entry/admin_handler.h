#pragma once

#include <functional>
#include <string>

#include "base/task.h"
#include "http/server.h"

namespace dandelion::entry {

/// Whether a daemon is ready for callers, and why.
struct Readiness {
  bool ready = false;
  std::string reason;
};

/// Serves the admin port: readiness, liveness, status, metrics, explanations of
/// requests, and draining. Calls that change state need the operators' token.
class AdminHandler {
 public:
  struct Hooks {
    std::function<Readiness()> readiness;
    /// The daemon's status in JSON.
    std::function<std::string()> status;
    /// The metrics in the Prometheus text format.
    std::function<std::string()> metrics;
    /// The explanation of one request as a JSON array of lines; empty if the
    /// request is unknown.
    std::function<std::string(const std::string& request_id)> explain;
    /// Starts to drain the daemon, without waiting for the end.
    std::function<void()> drain;
  };

  AdminHandler(std::string operator_token, Hooks hooks);

  /// Answers one request.
  base::Task<void> Handle(http::Exchange& exchange);

 private:
  http::Response MakeResponse(const http::Request& request) const;
  http::Response HandleDrain(const http::Request& request) const;

  std::string operator_token_;
  Hooks hooks_;
};

}  // namespace dandelion::entry
