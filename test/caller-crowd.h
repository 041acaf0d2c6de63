#pragma once

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/task.h"

namespace dandelion::test {

/// How a caller delimits its body.
enum class BodyFraming { kLength, kChunked };

/// A crowd of callers that all send the same large request at once. Most stop
/// one byte before its end and keep their connections open.
struct CrowdPlan {
  int callers = 0;
  /// Callers that send the whole request.
  int complete = 0;
  /// Lines of the head before those of the framing; each ends with CRLF.
  std::string head;
  BodyFraming framing = BodyFraming::kLength;
  size_t body_bytes = 0;
  /// Bytes of a chunk.
  size_t chunk_bytes = 0;
  /// Bytes that are written at once; all callers write in turn.
  size_t write_bytes = 0;
  /// Bytes of a trailer that follows a complete chunked body and never ends.
  size_t trailer_bytes = 0;
};

/// What a process uses of its host.
struct ProcessUse {
  size_t memory_bytes = 0;
  size_t descriptors = 0;
};

/// Reads how much anonymous memory and how many descriptors `pid` has. Both are
/// 0 once it has ended.
ProcessUse MeasureProcess(pid_t pid);

/// Runs tasks until the condition holds. Returns false if it does not hold.
using RunUntilHook = std::function<bool(const std::function<bool()>&)>;

/// The callers of a plan, and the most that the process at the other end has
/// used while they sent.
class CallerCrowd {
 public:
  CallerCrowd(CrowdPlan plan, boost::asio::ip::tcp::endpoint daemon, pid_t pid);

  /// Sends as planned until each caller has stopped or its connection has
  /// ended, and the process has read all that was sent. The connections that
  /// are open then stay open. Returns false if that does not happen.
  bool Send(const std::function<void(base::Task<void>)>& spawn,
            const RunUntilHook& run_until);
  /// Measures the process once more.
  void Measure();
  /// The same, with what the system holds of answers that callers have not
  /// taken.
  ProcessUse MeasureWithUnread();
  const ProcessUse& most() const { return most_; }
  /// Measures the process with them, and returns whether it has used the same
  /// for the last `kSettledMeasures` calls.
  bool HasSettled();

 private:
  struct Member {
    std::optional<boost::asio::ip::tcp::socket> socket;
    bool ended = false;
  };

  static constexpr int kSettledMeasures = 10;

  ProcessUse Record(const ProcessUse& use);
  // Sends the first `total` bytes of `request`.
  static base::Task<void> Run(std::shared_ptr<Member> member,
                              std::shared_ptr<const std::string> request,
                              boost::asio::ip::tcp::endpoint daemon,
                              size_t write_bytes,
                              size_t total);

  CrowdPlan plan_;
  std::shared_ptr<const std::string> request_;
  boost::asio::ip::tcp::endpoint daemon_;
  pid_t pid_;
  ProcessUse last_;
  int same_measures_ = 0;
  std::vector<std::shared_ptr<Member>> members_;
  ProcessUse most_;
};

}  // namespace dandelion::test
