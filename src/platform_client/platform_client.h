#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/task.h"
#include "http/client.h"

namespace dandelion::platform_client {

/// A record read from the platform's log.
struct LogRecord {
  base::Offset offset;
  /// Time since the record was appended, by the log service's clock.
  base::Millis age;
  std::string data;
};

/// A range of a topic's records, oldest first.
struct LogPage {
  /// The offset of the oldest record that the log still retains.
  base::Offset first_offset;
  /// The offset that the next appended record will get.
  base::Offset next_offset;
  /// How long the log retains a record.
  base::Millis retention;
  std::vector<LogRecord> records;
};

/// The result of an append. `offset` holds the record's offset, or a
/// `kPlatformUnreachable` error. After an error the record may still be in the
/// log, unless `may_be_in_log` is false.
struct AppendResult {
  absl::StatusOr<base::Offset> offset;
  bool may_be_in_log = true;
};

/// The platform's append-only log service. Implementations hide its wire
/// format.
class Log {
 public:
  virtual ~Log() = default;

  /// Appends `data` as one record to `topic`.
  virtual base::Task<AppendResult> Append(std::string topic,
                                          std::string data) = 0;
  /// Reads records of `topic`, starting at offset `from`. Fails with
  /// `kPlatformUnreachable`.
  virtual base::Task<absl::StatusOr<LogPage>> Read(std::string topic,
                                                   base::Offset from) = 0;
};

/// A host in the platform's host list.
struct HostEntry {
  base::HostId id;
  /// Whether the platform has announced that the host will end.
  bool leaving = false;
};

/// The platform's host list, which lags behind the real state of the hosts.
class HostList {
 public:
  virtual ~HostList() = default;
  /// Reads the current list. Fails with `kPlatformUnreachable`.
  virtual base::Task<absl::StatusOr<std::vector<HostEntry>>> Read() = 0;
};

/// Makes a client of the log service at `endpoint`, over HTTP. `client` must
/// outlive the result.
std::unique_ptr<Log> MakeHttpLog(http::Client& client,
                                 boost::asio::ip::tcp::endpoint endpoint);
/// Makes a client of the host list at `endpoint`, over HTTP. `client` must
/// outlive the result.
std::unique_ptr<HostList> MakeHttpHostList(
    http::Client& client,
    boost::asio::ip::tcp::endpoint endpoint);

}  // namespace dandelion::platform_client
