#include "standin/common.h"

#include <utility>

namespace dandelion::standin {

void EventLog::Add(Json event) {
  event["time_ms"] = clock_.Now().count();
  events_.push_back(std::move(event));
}

Json EventLog::ToJson() const {
  return Json(events_);
}

base::Task<void> RespondJson(http::Exchange& exchange, int status, Json body) {
  http::Response response = http::JsonResponse(status, body.dump());
  const std::string_view id = exchange.request().headers.Find("X-Request-Id");
  if (!id.empty()) {
    response.headers.Add("X-Request-Id", std::string(id));
  }
  co_await exchange.Respond(std::move(response));
}

Json ParseJsonBody(const http::Request& request) {
  Json body = Json::parse(request.body, nullptr, false);
  return body.is_discarded() ? Json() : body;
}

}  // namespace dandelion::standin
