#include "test/fake-store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace dandelion::test {
namespace {

using base::Task;
using nlohmann::json;

// How long a read waits for new records, whatever wait it asks for.
constexpr base::Millis kReadWait{50};
// How often a read that waits looks for them.
constexpr base::Millis kReadStep{10};
constexpr int kOffsetBytes = 8;
constexpr int kLengthBytes = 4;
// A read ends with the record at which it exceeds this.
constexpr size_t kReadBytes = 1024 * 1024;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

std::string BigEndian(uint64_t number, int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) {
    text.push_back(static_cast<char>(number >> (8 * i) & 0xff));
  }
  return text;
}

// Decodes a name or value of a query. Empty if it is not valid.
std::optional<std::string> DecodeText(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+') {
      decoded.push_back(' ');
    } else if (text[i] != '%') {
      if (!absl::ascii_isgraph(static_cast<unsigned char>(text[i]))) {
        return std::nullopt;
      }
      decoded.push_back(text[i]);
    } else {
      const std::string_view digits = text.substr(i + 1, 2);
      if (digits.size() < 2 ||
          !std::all_of(digits.begin(), digits.end(), absl::ascii_isxdigit)) {
        return std::nullopt;
      }
      decoded.push_back(
          static_cast<char>(std::stoi(std::string(digits), nullptr, 16)));
      i += 2;
    }
  }
  return decoded;
}

// Returns the parameters of a target's query. Empty if it is not valid.
std::optional<std::map<std::string, std::string>> DecodeQuery(
    std::string_view target) {
  target = target.substr(0, target.find('#'));
  const size_t mark = target.find('?');
  std::map<std::string, std::string> query;
  std::string_view rest =
      mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view field = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), field.size() + 1));
    const size_t equals = field.find('=');
    const std::optional<std::string> name = DecodeText(field.substr(0, equals));
    const std::optional<std::string> value = DecodeText(
        equals == std::string_view::npos ? "" : field.substr(equals + 1));
    if (!name || !value) {
      return std::nullopt;
    }
    query.emplace(*name, *value);
  }
  return query;
}

// Returns a JSON string with the bytes of `text`, whether or not they are
// UTF-8.
std::string RawJsonString(std::string_view text) {
  std::string quoted = "\"";
  for (const char octet : text) {
    if (octet == '"' || octet == '\\') {
      quoted.push_back('\\');
      quoted.push_back(octet);
    } else if (absl::ascii_iscntrl(static_cast<unsigned char>(octet)) &&
               octet != '\x7f') {
      absl::StrAppend(&quoted, "\\u00", absl::Hex(octet, absl::kZeroPad2));
    } else {
      quoted.push_back(octet);
    }
  }
  return quoted + "\"";
}

std::string JsonKey(const std::string& key, KeyBytes key_bytes) {
  return key_bytes == KeyBytes::kRaw
             ? RawJsonString(key)
             : json(key).dump(-1, ' ', false, json::error_handler_t::replace);
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

void FakeStore::AppendRaw(const std::string& bytes, const std::string& topic) {
  topics_[topic].items.push_back({"", "", bytes});
}

void FakeStore::TruncateHistory() {
  for (auto& [name, records] : topics_) {
    records.first_kept = records.items.size();
  }
}

size_t FakeStore::CountRecords(const std::string& topic) {
  return topics_[topic].items.size();
}

void FakeStore::LoseRecords(const std::string& topic) {
  topics_[topic] = Records();
  ++era_;
}

void FakeStore::LoseNewest(const std::string& topic, size_t count) {
  Records& records = topics_[topic];
  records.items.resize(records.items.size() -
                       std::min(count, records.items.size()));
  records.first_kept = std::min(records.first_kept, records.items.size());
  ++era_;
}

std::string FakeStore::NewestValue(const std::string& key,
                                   const std::string& topic) {
  const std::vector<Item>& items = topics_[topic].items;
  const auto newest = std::find_if(
      items.rbegin(), items.rend(),
      [&key](const Item& item) { return !item.raw && item.key == key; });
  return newest == items.rend() ? std::string() : newest->value;
}

size_t FakeStore::CountRequests(std::string_view prefix) const {
  return std::count_if(server_.seen().begin(), server_.seen().end(),
                       [prefix](const http::Request& request) {
                         return request.target.starts_with(prefix);
                       });
}

http::Response FakeStore::MakeNewestPage(const Records& records,
                                         const Query& query) const {
  const bool ascending = page_options_.key_order == KeyOrder::kAscending;
  const auto before = [ascending](const std::string& a, const std::string& b) {
    return ascending ? a < b : b < a;
  };
  std::map<std::string, size_t, decltype(before)> newest(before);
  for (size_t i = 0; i < records.items.size(); ++i) {
    if (!records.items[i].raw) {
      newest[records.items[i].key] = i;
    }
  }
  std::erase_if(newest, [&records](const auto& item) {
    return records.items[item.second].value.empty();
  });
  const auto after = query.find("after");
  auto item =
      after == query.end() ? newest.begin() : newest.upper_bound(after->second);
  std::string items;
  for (size_t count = 0; item != newest.end() && count < page_options_.items;
       ++item, ++count) {
    const std::string text = absl::StrCat(
        "{\"key\":", JsonKey(item->first, page_options_.key_bytes),
        ",\"value\":\"", absl::Base64Escape(records.items[item->second].value),
        "\",\"offset\":", item->second, "}");
    if (count > 0 && items.size() + text.size() > page_options_.bytes) {
      break;
    }
    absl::StrAppend(&items, count > 0 ? "," : "", text);
  }
  return http::JsonResponse(
      200, absl::StrCat("{\"items\":[", items, "],\"has-more\":",
                        item == newest.end() ? "false" : "true",
                        ",\"end\":", records.items.size(), "}"));
}

std::string FakeStore::EncodeItem(const Item& item) {
  const std::string bytes =
      item.raw.value_or(BigEndian(item.key.size(), 1) + item.key + item.value);
  return BigEndian(bytes.size(), kLengthBytes) + bytes;
}

http::Response FakeStore::MakeReadResponse(const Records& records,
                                           size_t from) {
  http::Response response;
  if (from < records.first_kept || from > records.items.size()) {
    response =
        http::JsonResponse(410, json({{"first", records.first_kept}}).dump());
    return response;
  }
  response.body = BigEndian(records.items.size(), kOffsetBytes) +
                  BigEndian(records.first_kept, kOffsetBytes);
  for (size_t i = from;
       i < records.items.size() && response.body.size() < kReadBytes; ++i) {
    response.body += EncodeItem(records.items[i]);
  }
  return response;
}

http::Response FakeStore::Append(Records& records,
                                 const Query& query,
                                 const std::string& body) {
  const auto as_of = query.find("as-of");
  if (as_of != query.end() &&
      as_of->second != std::to_string(records.items.size())) {
    return http::JsonResponse(412,
                              json({{"end", records.items.size()}}).dump());
  }
  const size_t first = records.items.size();
  std::string_view rest = body;
  while (!rest.empty()) {
    size_t length = 0;
    for (const char octet : rest.substr(0, kLengthBytes)) {
      length = length << 8 | static_cast<unsigned char>(octet);
    }
    const std::string_view record = rest.substr(kLengthBytes, length);
    rest.remove_prefix(kLengthBytes + length);
    const size_t key_length = static_cast<unsigned char>(record.at(0));
    records.items.push_back({std::string(record.substr(1, key_length)),
                             std::string(record.substr(1 + key_length))});
  }
  return http::JsonResponse(
      200, json({{"offset", first}, {"end", records.items.size()}}).dump());
}

Task<http::Response> FakeStore::Answer(const http::Request& request,
                                       const Query& query) {
  const auto topic = query.find("topic");
  Records& records = topics_[topic == query.end() ? "" : topic->second];
  if (request.Path() == "/v1/log-newest") {
    if (newest_hook_) {
      std::optional<http::Response> response = newest_hook_(request);
      if (response) {
        co_return *std::move(response);
      }
    }
    co_return MakeNewestPage(records, query);
  }
  if (request.Path() == "/v1/log-read") {
    const size_t from = std::stoul(query.at("from"));
    const auto wait = query.find("wait-ms");
    base::Millis left = honours_waits_ && wait != query.end()
                            ? base::Millis(std::stoll(wait->second))
                            : kReadWait;
    while (from >= records.items.size() && left > base::Millis(0)) {
      co_await base::SleepFor(kReadStep);
      left = left - kReadStep;
    }
    co_return MakeReadResponse(records, from);
  }
  if (request.Path() == "/v1/log-append") {
    co_return Append(records, query, request.body);
  }
  co_return http::JsonResponse(200, "{}");
}

Task<http::Response> FakeStore::Serve(const http::Request& request) {
  http::Response response;
  const std::optional<Query> query = DecodeQuery(request.target);
  if (failure_status_ != 0) {
    response.status = failure_status_;
  } else if (!query) {
    response.status = kBadRequest;
  } else {
    response = co_await Answer(request, *query);
  }
  response.headers.Add("Store-Era", std::to_string(era_));
  co_return response;
}

Task<void> FakeStore::HandleRequest(http::Exchange& exchange) {
  (void)co_await exchange.Respond(co_await Serve(exchange.request()));
}

StoreDoor::StoreDoor(const base::Executor& executor, FakeStore& store)
    : store_(store), server_(executor, [this](http::Exchange& exchange) {
        return HandleRequest(exchange);
      }) {}

void StoreDoor::Close() {
  closed_ = true;
  server_.CloseAll();
}

StoreFault StoreDoor::FaultOf(const http::Request& request) const {
  if (fault_of_all_ != StoreFault::kNone) {
    return fault_of_all_;
  }
  for (const auto& [topic, fault] : faults_) {
    if (request.target.find("topic=" + topic + "&") != std::string::npos) {
      return fault;
    }
  }
  return StoreFault::kNone;
}

Task<void> StoreDoor::HandleRequest(http::Exchange& exchange) {
  ++calls_;
  const absl::Cleanup end_call = [this] { --calls_; };
  const http::Request& request = exchange.request();
  if (FaultOf(request) == StoreFault::kLate) {
    for (base::Millis waited{0}; waited < kLateness && !closed_;
         waited = waited + kReadStep) {
      co_await base::SleepFor(kReadStep);
    }
  }
  bool hangs = FaultOf(request) == StoreFault::kHang;
  http::Response response;
  if (!hangs) {
    response = co_await store_.Serve(request);
    hangs = FaultOf(request) == StoreFault::kHang;
  }
  if (hangs) {
    exchange.HoldOpen();
    co_return;
  }
  switch (FaultOf(request)) {
    case StoreFault::kReset:
      exchange.Abort();
      co_return;
    case StoreFault::kRefuse:
      response = http::JsonResponse(kUnavailable, "{}");
      break;
    default:
      break;
  }
  (void)co_await exchange.Respond(std::move(response));
}

}  // namespace dandelion::test
