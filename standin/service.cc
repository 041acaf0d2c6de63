// The `service` role: a plain service that counts what it executed.
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
      : record_(base::Clock::Monotonic()),
        incarnation_(options.value("id", "service")) {}

  Task<void> Handle(http::Exchange& exchange) {
    const std::string path(exchange.request().Path());
    if (path == "/record") {
      Json all = record_.All();
      co_await Answer(exchange, 200, std::move(all));
    } else if (path == "/executions") {
      Json counts(executions_);
      co_await Answer(exchange, 200, std::move(counts));
    } else if (path == "/fault") {
      co_await Fault(exchange);
    } else if (path == "/v1/load") {
      Json load = {{"incarnation", incarnation_}, {"leaving", leaving_}};
      co_await Answer(exchange, 200, std::move(load));
    } else {
      co_await Execute(exchange);
    }
  }

 private:
  // The body's "key" is the identity by which executions are counted; a GET
  // reads the number back that a key was given.
  Task<void> Execute(http::Exchange& exchange) {
    if (drop_before_ > 0) {
      --drop_before_;
      exchange.Abort();
      co_return;
    }
    if (refuse_) {
      http::Response response = http::JsonResponse(503, "{}");
      response.headers.Add("X-Ran", "no");
      co_await exchange.Respond(std::move(response));
      co_return;
    }
    if (delay_ > Millis(0)) {
      co_await base::Delay(delay_);
    }
    const http::Request& request = exchange.request();
    if (request.method == "GET") {
      const std::string key = request.Query("key");
      const bool known = numbers_.contains(key);
      Json answer = {{"key", key}, {"number", known ? numbers_[key] : 0}};
      co_await Answer(exchange, known ? 200 : 404, std::move(answer));
      co_return;
    }
    const Json body = BodyOf(request);
    const std::string key = body.is_object() ? body.value("key", "") : "";
    ++executions_[key];
    numbers_[key] = ++last_number_;
    record_.Add({{"what", "work"}, {"key", key}});
    if (drop_after_ > 0) {
      --drop_after_;
      exchange.Abort();
      co_return;
    }
    Json answer = {{"key", key}, {"number", last_number_}};
    co_await Answer(exchange, 201, std::move(answer));
  }

  Task<void> Fault(http::Exchange& exchange) {
    const Json body = BodyOf(exchange.request());
    refuse_ = body.value("refuse", refuse_);
    leaving_ = body.value("leaving", leaving_);
    drop_before_ = body.value("drop_before", drop_before_);
    drop_after_ = body.value("drop_after", drop_after_);
    delay_ = Millis(body.value("delay_ms", delay_.count()));
    Json done = Json::object();
    co_await Answer(exchange, 200, std::move(done));
  }

  Record record_;
  std::string incarnation_;
  std::map<std::string, int64_t> executions_;
  std::map<std::string, int64_t> numbers_;
  int64_t last_number_ = 0;
  bool refuse_ = false;
  bool leaving_ = false;
  int64_t drop_before_ = 0;
  int64_t drop_after_ = 0;
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
