// The `service` role: a service that counts its executions.
#include <map>
#include <memory>
#include <utility>

#include "standin/common.h"

namespace dandelion::standin {
namespace {

using base::Millis;
using base::Task;

class Service {
 public:
  explicit Service(const Json& options)
      : event_log_(base::Clock::Monotonic()),
        incarnation_(options.value("id", "service")) {}

  Task<void> Handle(http::Exchange& exchange) {
    const std::string path(exchange.request().Path());
    if (path == "/record") {
      Json all = event_log_.ToJson();
      co_await RespondJson(exchange, 200, std::move(all));
    } else if (path == "/executions") {
      Json counts(executions_by_key_);
      co_await RespondJson(exchange, 200, std::move(counts));
    } else if (path == "/fault") {
      co_await HandleFault(exchange);
    } else if (path == "/v1/load") {
      Json load = {{"incarnation", incarnation_}, {"leaving", leaving_}};
      co_await RespondJson(exchange, 200, std::move(load));
    } else {
      co_await Execute(exchange);
    }
  }

 private:
  // Executes a request and assigns a number to the "key" of its body.
  // Executions are counted per key. A GET returns the number of a key.
  Task<void> Execute(http::Exchange& exchange) {
    if (drops_before_execution_ > 0) {
      --drops_before_execution_;
      exchange.Abort();
      co_return;
    }
    if (reject_requests_) {
      http::Response response = http::JsonResponse(503, "{}");
      response.headers.Add("X-Ran", "no");
      if (pause_s_ > 0) {
        response.headers.Add("Retry-After", std::to_string(pause_s_));
      }
      event_log_.Add({{"what", "refused"}});
      co_await exchange.Respond(std::move(response));
      co_return;
    }
    if (delay_ > Millis(0)) {
      co_await base::SleepFor(delay_);
    }
    const http::Request& request = exchange.request();
    if (request.method == "GET") {
      const std::string key = request.Query("key");
      const bool known = number_by_key_.contains(key);
      Json answer = {{"key", key}, {"number", known ? number_by_key_[key] : 0}};
      co_await RespondJson(exchange, known ? 200 : 404, std::move(answer));
      co_return;
    }
    const Json body = ParseJsonBody(request);
    const std::string key = body.is_object() ? body.value("key", "") : "";
    ++executions_by_key_[key];
    number_by_key_[key] = ++last_number_;
    event_log_.Add({{"what", "work"}, {"key", key}});
    if (drops_after_execution_ > 0) {
      --drops_after_execution_;
      exchange.Abort();
      co_return;
    }
    Json answer = {{"key", key}, {"number", last_number_}};
    co_await RespondJson(exchange, 201, std::move(answer));
  }

  Task<void> HandleFault(http::Exchange& exchange) {
    const Json body = ParseJsonBody(exchange.request());
    reject_requests_ = body.value("refuse", reject_requests_);
    pause_s_ = body.value("pause_s", pause_s_);
    leaving_ = body.value("leaving", leaving_);
    drops_before_execution_ =
        body.value("drop_before", drops_before_execution_);
    drops_after_execution_ = body.value("drop_after", drops_after_execution_);
    delay_ = Millis(body.value("delay_ms", delay_.count()));
    Json done = Json::object();
    co_await RespondJson(exchange, 200, std::move(done));
  }

  EventLog event_log_;
  std::string incarnation_;
  std::map<std::string, int64_t> executions_by_key_;
  std::map<std::string, int64_t> number_by_key_;
  int64_t last_number_ = 0;
  bool reject_requests_ = false;
  /// Seconds in the `Retry-After` of rejections; 0 for none.
  int64_t pause_s_ = 0;
  bool leaving_ = false;
  /// Number of requests whose connection will be closed before or after they
  /// are executed.
  int64_t drops_before_execution_ = 0;
  int64_t drops_after_execution_ = 0;
  Millis delay_;
};

}  // namespace

http::Handler MakeService(const base::Executor& /*executor*/,
                          const RoleSettings& settings) {
  auto service = std::make_shared<Service>(settings.options);
  return
      [service](http::Exchange& exchange) { return service->Handle(exchange); };
}

}  // namespace dandelion::standin
