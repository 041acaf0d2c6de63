#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/task.h"
#include "http/server.h"

namespace dandelion::standin {

using Json = nlohmann::json;

/// Events that a stand-in observed, each with the time in milliseconds of the
/// host's monotonic clock. `GET /record` returns them; tests check their
/// expectations against it.
class EventLog {
 public:
  explicit EventLog(base::Clock clock) : clock_(std::move(clock)) {}

  /// Appends an event and sets its "time_ms" to the current time.
  void Add(Json event);
  /// Returns all events as an array, oldest first.
  Json ToJson() const;
  base::Millis Now() const { return clock_.Now(); }

 private:
  base::Clock clock_;
  std::vector<Json> events_;
};

/// Command line arguments of a role.
struct RoleSettings {
  /// "IP:PORT" to listen on.
  std::string listen;
  /// The role's JSON options; missing ones take their defaults.
  Json options;
};

/// Creates the request handler of a role.
using HandlerFactory =
    std::function<http::Handler(const base::Executor&, const RoleSettings&)>;

http::Handler MakeEngine(const base::Executor& executor,
                         const RoleSettings& settings);
http::Handler MakeService(const base::Executor& executor,
                          const RoleSettings& settings);
http::Handler MakePlatform(const base::Executor& executor,
                           const RoleSettings& settings);

/// Responds with JSON and returns the request's X-Request-Id, if it has one.
base::Task<void> RespondJson(http::Exchange& exchange, int status, Json body);

/// Parses a request's body. Returns null if it is not JSON.
Json ParseJsonBody(const http::Request& request);

}  // namespace dandelion::standin
