#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/topic.h"
#include "test/forward-support.h"

namespace dandelion::test {

/// How a page of newest records shows the bytes of keys that are not UTF-8.
enum class KeyBytes { kRaw, kReplaced };

/// The order in which pages list keys.
enum class KeyOrder { kAscending, kDescending };

/// Limits and format of the pages of newest records.
struct PageOptions {
  /// The most that the platform's store puts into a page.
  static constexpr size_t kMaxItems = 500;
  static constexpr size_t kMaxBytes = 1'000'000;

  /// One record per page unless set, so that clients have to page.
  size_t items = 1;
  size_t bytes = kMaxBytes;
  KeyBytes key_bytes = KeyBytes::kRaw;
  KeyOrder key_order = KeyOrder::kAscending;
};

/// A fake of the platform's store, with keyed topics of one partition each.
/// Queries are decoded strictly: those that are not valid are refused with 400.
class FakeStore {
 public:
  /// Returns a response to a request in place of the store's; empty for the
  /// store's own.
  using Hook =
      std::function<std::optional<http::Response>(const http::Request&)>;

  explicit FakeStore(const base::Executor& executor);

  /// Appends a record to `topic`. An empty value removes the key.
  void AppendRecord(const std::string& key,
                    const std::string& value,
                    const std::string& topic = "keyed.servers");
  /// Appends a record of these bytes, which need not hold a key and a value. It
  /// is in no page of newest records.
  void AppendRaw(const std::string& bytes, const std::string& topic);
  /// The newest value of a key; empty if there is none.
  std::string NewestValue(const std::string& key, const std::string& topic);
  /// Number of records that were ever appended to `topic`.
  size_t CountRecords(const std::string& topic);
  /// Deletes all records from the logs: reads that start before the current end
  /// fail with 410, while the newest records can still be read.
  void TruncateHistory();
  /// Comes back from a copy that lacks the records of `topic`, with the next
  /// `Store-Era`.
  void LoseRecords(const std::string& topic);
  /// Likewise from a copy that lacks the newest `count` records of `topic`.
  void LoseNewest(const std::string& topic, size_t count);
  /// Lets reads wait for records as long as they ask to, as the platform's
  /// store does. Otherwise they wait for a moment only.
  void HonourWaits() { honours_waits_ = true; }
  /// The store's answer to a request.
  base::Task<http::Response> Serve(const http::Request& request);
  /// Answers all further requests with `status`; 0 ends this.
  void FailWith(int status) { failure_status_ = status; }
  /// What clients of the followed topics have for a position in a topic.
  int64_t TopicOffset(int64_t position) const {
    return store::MakeTopicOffset(era_, position);
  }
  /// Called for every read of newest records; null for none.
  void SetNewestHook(Hook hook) { newest_hook_ = std::move(hook); }
  void SetPageOptions(PageOptions options) { page_options_ = options; }
  /// Number of requests whose targets begin with `prefix`.
  size_t CountRequests(std::string_view prefix) const;
  boost::asio::ip::tcp::endpoint address() const { return server_.address(); }

 private:
  struct Item {
    std::string key;
    std::string value;
    /// In place of the key and value if set.
    std::optional<std::string> raw = std::nullopt;
  };
  struct Records {
    std::vector<Item> items;
    size_t first_kept = 0;
  };
  using Query = std::map<std::string, std::string>;

  static http::Response Append(Records& records,
                               const Query& query,
                               const std::string& body);
  static std::string EncodeItem(const Item& item);
  http::Response MakeNewestPage(const Records& records,
                                const Query& query) const;
  static http::Response MakeReadResponse(const Records& records, size_t from);
  base::Task<void> HandleRequest(http::Exchange& exchange);
  base::Task<http::Response> Answer(const http::Request& request,
                                    const Query& query);

  std::map<std::string, Records> topics_;
  int failure_status_ = 0;
  Hook newest_hook_;
  PageOptions page_options_;
  bool honours_waits_ = false;
  int era_ = 1;
  FakeUpstream server_;
};

/// What a `StoreDoor` does with calls.
enum class StoreFault { kNone, kHang, kReset, kRefuse, kLate };

/// A way to a store that can fail for those who go through it, wholly or for
/// one topic.
class StoreDoor {
 public:
  /// Late calls wait for this long before the store gets them. Their clients
  /// have given up by then.
  static constexpr base::Millis kLateness{4000};

  StoreDoor(const base::Executor& executor, FakeStore& store);

  /// Fails calls that name `topic` from now on, also those that wait.
  void Fail(const std::string& topic, StoreFault fault) {
    faults_[topic] = fault;
  }
  /// Fails all calls.
  void FailAll(StoreFault fault) { fault_of_all_ = fault; }
  void Mend() {
    faults_.clear();
    fault_of_all_ = StoreFault::kNone;
  }
  boost::asio::ip::tcp::endpoint address() const { return server_.address(); }
  /// Closes all connections. Calls in progress use the door until `IsIdle`, so
  /// tasks are to be run until then before it is destroyed.
  void Close();
  bool IsIdle() const { return calls_ == 0; }

 private:
  StoreFault FaultOf(const http::Request& request) const;
  base::Task<void> HandleRequest(http::Exchange& exchange);

  FakeStore& store_;
  std::map<std::string, StoreFault> faults_;
  StoreFault fault_of_all_ = StoreFault::kNone;
  bool closed_ = false;
  int calls_ = 0;
  FakeUpstream server_;
};

}  // namespace dandelion::test
