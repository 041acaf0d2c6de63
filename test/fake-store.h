#pragma once

#include <map>
#include <string>
#include <vector>

#include "test/forward-support.h"

namespace dandelion::test {

/// A fake of the platform's store, with keyed topics of one partition each.
class FakeStore {
 public:
  explicit FakeStore(const base::Executor& executor);

  /// Appends a record to `topic`. An empty value removes the key.
  void AppendRecord(const std::string& key,
                    const std::string& value,
                    const std::string& topic = "keyed.servers");
  /// The newest value of a key; empty if there is none.
  std::string NewestValue(const std::string& key, const std::string& topic);
  /// Deletes all records from the logs: reads that start before the current end
  /// fail with 410, while the newest records can still be read.
  void TruncateHistory();
  /// Answers all further requests with `status`; 0 ends this.
  void FailWith(int status) { failure_status_ = status; }
  boost::asio::ip::tcp::endpoint address() const { return server_.address(); }

 private:
  struct Item {
    std::string key;
    std::string value;
  };
  struct Records {
    std::vector<Item> items;
    size_t first_kept = 0;
  };

  static http::Response Append(Records& records, const http::Request& request);
  base::Task<void> HandleRequest(http::Exchange& exchange);

  std::map<std::string, Records> topics_;
  int failure_status_ = 0;
  FakeUpstream server_;
};

}  // namespace dandelion::test
