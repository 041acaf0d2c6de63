// The `platform` role: the log service, the host list and the weight store.
#include <deque>
#include <map>
#include <memory>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "standin/common.h"

namespace dandelion::standin {
namespace {

using base::Millis;
using base::Task;

struct LogRecord {
  int64_t offset = 0;
  Millis appended_at;
  std::string data;
};

struct LogStream {
  std::deque<LogRecord> records;
  int64_t next_offset = 1;
};

class Platform {
 public:
  explicit Platform(const Json& options)
      : event_log_(base::Clock::Monotonic()),
        retention_(options.value("retention_ms", int64_t{3'600'000})),
        host_lag_(options.value("host_lag_ms", 1000)),
        weights_per_second_(options.value("weights_per_second", 2)) {
    AddHostVersion(options.value("hosts", Json::array()), Millis(0));
  }

  Task<void> Handle(http::Exchange& exchange) {
    const http::Request& request = exchange.request();
    const std::string path(request.Path());
    if (path == "/record") {
      Json all = event_log_.ToJson();
      co_await RespondJson(exchange, 200, std::move(all));
      co_return;
    }
    if (path == "/fault") {
      co_await HandleFault(exchange);
      co_return;
    }
    if (outage_) {
      exchange.Abort();
      co_return;
    }
    if (delay_ > Millis(0)) {
      co_await base::SleepFor(delay_);
    }
    if (absl::StartsWith(path, "/log/")) {
      co_await HandleLog(exchange, path.substr(path.rfind('/') + 1));
    } else if (path == "/hosts") {
      Json hosts = VisibleHosts();
      co_await RespondJson(exchange, 200, std::move(hosts));
    } else if (absl::StartsWith(path, "/weights/")) {
      co_await HandleWeightLoad(exchange);
    } else {
      Json error = {{"error", "no such path"}};
      co_await RespondJson(exchange, 404, std::move(error));
    }
  }

 private:
  Task<void> HandleLog(http::Exchange& exchange, const std::string& name) {
    LogStream& stream = streams_[name];
    RemoveExpired(stream);
    const http::Request& request = exchange.request();
    if (request.method == "POST") {
      const int64_t offset = stream.next_offset++;
      stream.records.push_back(
          LogRecord{offset, event_log_.Now(), request.body});
      event_log_.Add(
          {{"what", "append"}, {"stream", name}, {"offset", offset}});
      if (answers_to_lose_ > 0) {
        --answers_to_lose_;
        exchange.Abort();
        co_return;
      }
      Json answer = {{"offset", offset}};
      co_await RespondJson(exchange, 200, std::move(answer));
      co_return;
    }
    Json page = ReadPage(stream, request);
    co_await RespondJson(exchange, 200, std::move(page));
  }

  Json ReadPage(const LogStream& stream, const http::Request& request) const {
    int64_t from = 1;
    (void)absl::SimpleAtoi(request.Query("from"), &from);
    constexpr size_t kPageRecords = 1000;
    constexpr size_t kPageBytes = 4 * 1024 * 1024;
    const int64_t first = stream.records.empty()
                              ? stream.next_offset
                              : stream.records.front().offset;
    Json records = Json::array();
    size_t bytes = 0;
    const auto first_index =
        static_cast<size_t>(std::max<int64_t>(0, from - first));
    for (size_t i = first_index; i < stream.records.size(); ++i) {
      const LogRecord& record = stream.records[i];
      if (records.size() >= kPageRecords || bytes > kPageBytes) {
        break;
      }
      bytes += record.data.size();
      records.push_back(
          {{"offset", record.offset},
           {"age_ms", (event_log_.Now() - record.appended_at).count()},
           {"data", record.data}});
    }
    return {{"first", first},
            {"next", stream.next_offset},
            {"retention_ms", retention_.count()},
            {"records", std::move(records)}};
  }

  void RemoveExpired(LogStream& stream) const {
    while (!stream.records.empty() &&
           event_log_.Now() - stream.records.front().appended_at > retention_) {
      stream.records.pop_front();
    }
  }

  void AddHostVersion(Json hosts, Millis published_at) {
    host_versions_.emplace_back(published_at, std::move(hosts));
  }

  // Returns the newest host list that was set at least `host_lag_` ago, or the
  // first one: the platform's list lags behind the hosts' states.
  Json VisibleHosts() const {
    Json hosts = host_versions_.front().second;
    for (const auto& [published_at, list] : host_versions_) {
      if (published_at + host_lag_ <= event_log_.Now()) {
        hosts = list;
      }
    }
    return {{"hosts", std::move(hosts)}};
  }

  // Grants up to `weights_per_second_` loads of weights per second; responds
  // with 429 to the rest.
  Task<void> HandleWeightLoad(http::Exchange& exchange) {
    const Millis now = event_log_.Now();
    while (!recent_weight_loads_.empty() &&
           now - recent_weight_loads_.front() > Millis(1000)) {
      recent_weight_loads_.pop_front();
    }
    const bool granted = std::ssize(recent_weight_loads_) < weights_per_second_;
    if (granted) {
      recent_weight_loads_.push_back(now);
    }
    Json answer = {{"granted", granted}};
    co_await RespondJson(exchange, granted ? 200 : 429, std::move(answer));
  }

  Task<void> HandleFault(http::Exchange& exchange) {
    const Json body = ParseJsonBody(exchange.request());
    event_log_.Add({{"what", "fault"}, {"fault", body}});
    outage_ = body.value("outage", outage_);
    answers_to_lose_ = body.value("lose_answers", answers_to_lose_);
    delay_ = Millis(body.value("delay_ms", delay_.count()));
    retention_ = Millis(body.value("retention_ms", retention_.count()));
    if (body.contains("hosts")) {
      AddHostVersion(body.at("hosts"), event_log_.Now());
    }
    Json done = Json::object();
    co_await RespondJson(exchange, 200, std::move(done));
  }

  EventLog event_log_;
  Millis retention_;
  Millis host_lag_;
  int64_t weights_per_second_;
  std::map<std::string, LogStream> streams_;
  std::vector<std::pair<Millis, Json>> host_versions_;
  std::deque<Millis> recent_weight_loads_;
  bool outage_ = false;
  /// Number of appends that will be stored but not answered.
  int64_t answers_to_lose_ = 0;
  Millis delay_;
};

}  // namespace

http::Handler MakePlatform(const base::Executor& /*executor*/,
                           const RoleSettings& settings) {
  auto platform = std::make_shared<Platform>(settings.options);
  return [platform](http::Exchange& exchange) {
    return platform->Handle(exchange);
  };
}

}  // namespace dandelion::standin
