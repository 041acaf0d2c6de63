// The `platform` role: log service, host list and weight store.
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
  Millis appended;
  std::string data;
};

struct Stream {
  std::deque<LogRecord> records;
  int64_t next = 1;
};

class Platform {
 public:
  explicit Platform(const Json& options)
      : record_(base::Clock::Monotonic()),
        retention_(options.value("retention_ms", int64_t{3'600'000})),
        host_lag_(options.value("host_lag_ms", 1000)),
        weights_per_second_(options.value("weights_per_second", 2)) {
    SetHosts(options.value("hosts", Json::array()), Millis(0));
  }

  Task<void> Handle(http::Exchange& exchange) {
    const http::Request& request = exchange.request();
    const std::string path(request.Path());
    if (path == "/record") {
      Json all = record_.All();
      co_await Answer(exchange, 200, std::move(all));
      co_return;
    }
    if (path == "/fault") {
      co_await Fault(exchange);
      co_return;
    }
    if (outage_) {
      exchange.Abort();
      co_return;
    }
    if (delay_ > Millis(0)) {
      co_await base::Delay(delay_);
    }
    if (absl::StartsWith(path, "/log/")) {
      co_await Log(exchange, path.substr(path.rfind('/') + 1));
    } else if (path == "/hosts") {
      Json hosts = Hosts();
      co_await Answer(exchange, 200, std::move(hosts));
    } else if (absl::StartsWith(path, "/weights/")) {
      co_await Weights(exchange);
    } else {
      Json error = {{"error", "no such path"}};
      co_await Answer(exchange, 404, std::move(error));
    }
  }

 private:
  Task<void> Log(http::Exchange& exchange, const std::string& name) {
    Stream& stream = streams_[name];
    Expire(stream);
    const http::Request& request = exchange.request();
    if (request.method == "POST") {
      const int64_t offset = stream.next++;
      stream.records.push_back(LogRecord{offset, record_.Now(), request.body});
      record_.Add({{"what", "append"}, {"stream", name}, {"offset", offset}});
      if (lose_answers_ > 0) {
        --lose_answers_;
        exchange.Abort();
        co_return;
      }
      Json answer = {{"offset", offset}};
      co_await Answer(exchange, 200, std::move(answer));
      co_return;
    }
    Json page = Page(stream, request);
    co_await Answer(exchange, 200, std::move(page));
  }

  Json Page(const Stream& stream, const http::Request& request) const {
    int64_t from = 1;
    (void)absl::SimpleAtoi(request.Query("from"), &from);
    constexpr size_t kPageRecords = 1000;
    constexpr size_t kPageBytes = 4 * 1024 * 1024;
    const int64_t first =
        stream.records.empty() ? stream.next : stream.records.front().offset;
    Json records = Json::array();
    size_t bytes = 0;
    const auto skip = static_cast<size_t>(std::max<int64_t>(0, from - first));
    for (size_t i = skip; i < stream.records.size(); ++i) {
      const LogRecord& record = stream.records[i];
      if (records.size() >= kPageRecords || bytes > kPageBytes) {
        break;
      }
      bytes += record.data.size();
      records.push_back({{"offset", record.offset},
                         {"age_ms", (record_.Now() - record.appended).count()},
                         {"data", record.data}});
    }
    return {{"first", first},
            {"next", stream.next},
            {"retention_ms", retention_.count()},
            {"records", std::move(records)}};
  }

  void Expire(Stream& stream) const {
    while (!stream.records.empty() &&
           record_.Now() - stream.records.front().appended > retention_) {
      stream.records.pop_front();
    }
  }

  void SetHosts(Json hosts, Millis since) {
    host_versions_.emplace_back(since, std::move(hosts));
  }

  // The newest list that is older than the lag.
  Json Hosts() const {
    Json hosts = host_versions_.front().second;
    for (const auto& [since, list] : host_versions_) {
      if (since + host_lag_ <= record_.Now()) {
        hosts = list;
      }
    }
    return {{"hosts", std::move(hosts)}};
  }

  Task<void> Weights(http::Exchange& exchange) {
    const Millis now = record_.Now();
    while (!loads_.empty() && now - loads_.front() > Millis(1000)) {
      loads_.pop_front();
    }
    const bool granted = std::ssize(loads_) < weights_per_second_;
    if (granted) {
      loads_.push_back(now);
    }
    Json answer = {{"granted", granted}};
    co_await Answer(exchange, granted ? 200 : 429, std::move(answer));
  }

  Task<void> Fault(http::Exchange& exchange) {
    const Json body = BodyOf(exchange.request());
    record_.Add({{"what", "fault"}, {"fault", body}});
    outage_ = body.value("outage", outage_);
    lose_answers_ = body.value("lose_answers", lose_answers_);
    delay_ = Millis(body.value("delay_ms", delay_.count()));
    retention_ = Millis(body.value("retention_ms", retention_.count()));
    if (body.contains("hosts")) {
      SetHosts(body.at("hosts"), record_.Now());
    }
    Json done = Json::object();
    co_await Answer(exchange, 200, std::move(done));
  }

  Record record_;
  Millis retention_;
  Millis host_lag_;
  int64_t weights_per_second_;
  std::map<std::string, Stream> streams_;
  std::vector<std::pair<Millis, Json>> host_versions_;
  std::deque<Millis> loads_;
  bool outage_ = false;
  int64_t lose_answers_ = 0;
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
