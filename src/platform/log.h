#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/task.h"
#include "http/client.h"

namespace dandelion::platform {

/// A record as the log service returns it.
struct LogRecord {
  base::Offset offset;
  base::Millis age;
  std::string data;
};

/// A part of a stream, oldest record first.
struct LogPage {
  /// The oldest offset that is still kept.
  base::Offset first;
  /// The offset that the next append will get.
  base::Offset next;
  base::Millis retention;
  std::vector<LogRecord> records;
};

/// An append's result. `offset` fails with `kPlatformUnreachable`; only if
/// `may_be_in_log` is false is the record certainly not in the log.
struct AppendResult {
  absl::StatusOr<base::Offset> offset;
  bool may_be_in_log = true;
};

/// The platform's append-only log service. All of its dialect is in the
/// implementation.
class Log {
 public:
  virtual ~Log() = default;

  virtual base::Task<AppendResult> Append(std::string stream,
                                          std::string data) = 0;
  /// Reads records from `from` on. Fails with `kPlatformUnreachable`.
  virtual base::Task<absl::StatusOr<LogPage>> Read(std::string stream,
                                                   base::Offset from) = 0;
};

/// What the host list says of a host.
struct HostEntry {
  base::HostId id;
  bool leaving = false;
};

/// The platform's host list, which lags.
class HostList {
 public:
  virtual ~HostList() = default;
  /// Fails with `kPlatformUnreachable`.
  virtual base::Task<absl::StatusOr<std::vector<HostEntry>>> Read() = 0;
};

/// The log service over HTTP. `client` must outlive the result.
std::unique_ptr<Log> MakeHttpLog(http::Client& client,
                                 boost::asio::ip::tcp::endpoint endpoint);
std::unique_ptr<HostList> MakeHttpHostList(
    http::Client& client,
    boost::asio::ip::tcp::endpoint endpoint);

}  // namespace dandelion::platform
