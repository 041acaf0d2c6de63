#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/task.h"
#include "http/server.h"

namespace dandelion::standin {

using Json = nlohmann::json;

/// What arrived when, by this host's monotonic clock. It is the judge of the
/// checks: `GET /record` returns it.
class Record {
 public:
  explicit Record(base::Clock clock) : clock_(std::move(clock)) {}

  /// Adds an event with the current time.
  void Add(Json event);
  Json All() const;
  base::Millis Now() const { return clock_.Now(); }

 private:
  base::Clock clock_;
  std::vector<Json> events_;
};

/// Settings that a role takes from its JSON settings file.
struct RoleSettings {
  std::string listen;
  Json options;
};

/// Runs a role's server until the process is told to stop.
using Role =
    std::function<http::Handler(const base::Executor&, const RoleSettings&)>;

http::Handler MakeEngine(const base::Executor& executor,
                         const RoleSettings& settings);
http::Handler MakeService(const base::Executor& executor,
                          const RoleSettings& settings);
http::Handler MakePlatform(const base::Executor& executor,
                           const RoleSettings& settings);

/// Sends a JSON answer that echoes the request's X-Request-Id.
base::Task<void> Answer(http::Exchange& exchange, int status, Json body);

/// Parses a request's body; null if it is not JSON.
Json BodyOf(const http::Request& request);

}  // namespace dandelion::standin
