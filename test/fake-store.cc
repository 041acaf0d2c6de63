#include "test/fake-store.h"

#include <algorithm>
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

std::string FakeStore::NewestValue(const std::string& key,
                                   const std::string& topic) {
  const std::vector<Item>& items = topics_[topic].items;
  const auto newest =
      std::find_if(items.rbegin(), items.rend(),
                   [&key](const Item& item) { return item.key == key; });
  return newest == items.rend() ? std::string() : newest->value;
}

http::Response FakeStore::Append(Records& records,
                                 const http::Request& request) {
  const std::string as_of = request.Query("as-of");
  if (!as_of.empty() && as_of != std::to_string(records.items.size())) {
    return http::JsonResponse(412,
                              json({{"end", records.items.size()}}).dump());
  }
  const std::string_view record =
      std::string_view(request.body).substr(kLengthBytes);
  const size_t key_length = static_cast<unsigned char>(record.at(0));
  records.items.push_back({std::string(record.substr(1, key_length)),
                           std::string(record.substr(1 + key_length))});
  return http::JsonResponse(
      200, json({{"offset", records.items.size() - 1}}).dump());
}

Task<void> FakeStore::HandleRequest(http::Exchange& exchange) {
  http::Response response;
  const http::Request& request = exchange.request();
  Records& records = topics_[request.Query("topic")];
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
  } else if (request.Path() == "/v1/log-append") {
    response = Append(records, request);
  } else {
    response = http::JsonResponse(200, "{}");
  }
  (void)co_await exchange.Respond(std::move(response));
}

}  // namespace dandelion::test
