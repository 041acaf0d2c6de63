#include "entry/admin_handler.h"

#include <sodium.h>

#include <utility>

namespace dandelion::entry {
namespace {

http::Response TextResponse(int status, std::string body) {
  http::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "text/plain; charset=utf-8");
  response.body = std::move(body);
  return response;
}

// Compares in constant time for texts of equal length, so that timing does not
// reveal how much of a guess is right.
bool SecretsEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

AdminHandler::AdminHandler(std::string operator_token, Hooks hooks)
    : operator_token_(std::move(operator_token)), hooks_(std::move(hooks)) {}

base::Task<void> AdminHandler::Handle(http::Exchange& exchange) {
  http::Response response = MakeResponse(exchange.request());
  co_await exchange.Respond(std::move(response));
}

http::Response AdminHandler::MakeResponse(const http::Request& request) const {
  const std::string_view path = request.Path();
  if (request.method == "POST") {
    return path == "/drain"
               ? HandleDrain(request)
               : TextResponse(404,
                              "unknown path; POST is accepted at /drain\n");
  }
  if (path == "/live") {
    return TextResponse(200, "live\n");
  }
  if (path == "/ready") {
    const Readiness readiness = hooks_.readiness();
    return TextResponse(readiness.ready ? 200 : 503, readiness.reason + "\n");
  }
  if (path == "/metrics") {
    return TextResponse(200, hooks_.metrics());
  }
  if (path == "/status") {
    return http::JsonResponse(200, hooks_.status());
  }
  if (path == "/explain") {
    std::string lines = hooks_.explain(request.Query("request"));
    return lines.empty() ? TextResponse(404, "unknown request\n")
                         : http::JsonResponse(200, std::move(lines));
  }
  return TextResponse(404, "unknown path; try /ready /live /status /metrics\n");
}

http::Response AdminHandler::HandleDrain(const http::Request& request) const {
  const std::string expected = "Bearer " + operator_token_;
  if (!SecretsEqual(request.headers.Find("Authorization"), expected)) {
    return TextResponse(401, "send the operators' token as a bearer token\n");
  }
  hooks_.drain();
  return TextResponse(202, "draining\n");
}

}  // namespace dandelion::entry
