#include "test/fake-store.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"

namespace dandelion::test {
namespace {

using base::Task;
using nlohmann::json;

// How long a read waits for new records, whatever wait it asks for.
constexpr base::Millis kReadWait{50};
constexpr int kOffsetBytes = 8;
constexpr int kLengthBytes = 4;

std::string BigEndian(uint64_t number, int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) {
    text.push_back(static_cast<char>(number >> (8 * i) & 0xff));
  }
  return text;
}

// Returns one record per page, so that clients have to page.
template <typename Items>
http::Response MakeNewestPage(const Items& items, const std::string& after) {
  std::map<std::string, std::pair<std::string, size_t>> newest;
  for (size_t i = 0; i < items.size(); ++i) {
    newest[items[i].key] = {items[i].value, i};
  }
  std::erase_if(newest,
                [](const auto& item) { return item.second.first.empty(); });
  json page = {
      {"items", json::array()}, {"has-more", false}, {"end", items.size()}};
  const auto item = after.empty() ? newest.begin() : newest.upper_bound(after);
  if (item != newest.end()) {
    page["items"].push_back({{"key", item->first},
                             {"value", absl::Base64Escape(item->second.first)},
                             {"offset", item->second.second}});
    page["has-more"] = std::next(item) != newest.end();
  }
  return http::JsonResponse(200, page.dump());
}

template <typename Items>
http::Response MakeReadResponse(const Items& items,
                                size_t first_kept,
                                size_t from) {
  http::Response response;
  if (from < first_kept) {
    response.status = 410;
    return response;
  }
  response.body = BigEndian(items.size(), kOffsetBytes) +
                  BigEndian(first_kept, kOffsetBytes);
  for (size_t i = from; i < items.size(); ++i) {
    const auto& [key, value] = items[i];
    response.body += BigEndian(1 + key.size() + value.size(), kLengthBytes) +
                     BigEndian(key.size(), 1) + key + value;
  }
  return response;
}

}  // namespace

FakeStore::FakeStore(const base::Executor& executor)
    : server_(executor, [this](http::Exchange& exchange) {
        return HandleRequest(exchange);
      }) {}

void FakeStore::AppendRecord(const std::string& key,
                             const std::string& value,
                             const std::string& topic) {
  topics_[topic].items.push_back({key, value});
}

void FakeStore::TruncateHistory() {
  for (auto& [name, records] : topics_) {
    records.first_kept = records.items.size();
  }
}

Task<void> FakeStore::HandleRequest(http::Exchange& exchange) {
  http::Response response;
  const http::Request& request = exchange.request();
  const Records& records = topics_[request.Query("topic")];
  if (failure_status_ != 0) {
    response.status = failure_status_;
  } else if (request.Path() == "/v1/log-newest") {
    response = MakeNewestPage(records.items, request.Query("after"));
  } else if (request.Path() == "/v1/log-read") {
    const size_t from = std::stoul(request.Query("from"));
    const bool available = from < records.items.size();
    if (!available) {
      co_await base::SleepFor(kReadWait);
    }
    response = MakeReadResponse(records.items, records.first_kept, from);
  } else {
    response = http::JsonResponse(200, "{}");
  }
  (void)co_await exchange.Respond(std::move(response));
}

}  // namespace dandelion::test
