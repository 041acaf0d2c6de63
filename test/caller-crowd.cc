#include "test/caller-crowd.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"

namespace dandelion::test {
namespace {

using base::kNoThrow;
using base::Task;
using boost::asio::ip::tcp;

constexpr size_t kBytesPerKibibyte = 1024;

// Returns the request of a caller.
std::string MakeRequest(const CrowdPlan& plan) {
  std::string request = plan.head;
  if (plan.framing == BodyFraming::kLength) {
    absl::StrAppend(&request, "Content-Length: ", plan.body_bytes, "\r\n\r\n",
                    std::string(plan.body_bytes, 'x'));
    return request;
  }
  absl::StrAppend(&request, "Transfer-Encoding: chunked\r\n\r\n");
  for (size_t sent = 0; sent < plan.body_bytes;) {
    const size_t size = std::min(plan.chunk_bytes, plan.body_bytes - sent);
    absl::StrAppend(&request, absl::Hex(size), "\r\n", std::string(size, 'x'),
                    "\r\n");
    sent += size;
  }
  absl::StrAppend(&request, "0\r\n");
  if (plan.trailer_bytes == 0) {
    return request + "\r\n";
  }
  return request + "X-Name: " + std::string(plan.trailer_bytes, 'x');
}

// The form of `endpoint` in the system's table of connections.
std::string FormatTableAddress(const tcp::endpoint& endpoint) {
  const auto bytes = endpoint.address().to_v4().to_bytes();
  uint32_t address = 0;
  std::memcpy(&address, bytes.data(), sizeof(address));
  return fmt::format("{:08X}:{:04X}", address, endpoint.port());
}

struct QueuedBytes {
  /// Written, and not yet taken by the other end.
  uint64_t sent = 0;
  /// Arrived, and not read yet.
  uint64_t received = 0;
};

// What the system holds for the connections to `endpoint`.
QueuedBytes CountQueuedBytes(const tcp::endpoint& endpoint) {
  constexpr int kHexadecimal = 16;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  QueuedBytes queued;
  while (std::getline(table, line)) {
    std::istringstream row(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    row >> number >> local >> remote >> state >> queues;
    if (local == FormatTableAddress(endpoint)) {
      const size_t received_at = queues.find(':') + 1;
      queued.sent += std::stoul(queues, nullptr, kHexadecimal);
      queued.received +=
          std::stoul(queues.substr(received_at), nullptr, kHexadecimal);
    }
  }
  return queued;
}

}  // namespace

ProcessUse MeasureProcess(pid_t pid) {
  ProcessUse use;
  const std::string directory = absl::StrCat("/proc/", pid);
  std::ifstream status(directory + "/status");
  std::string word;
  while (status >> word) {
    if (word == "RssAnon:") {
      status >> use.memory_bytes;
      use.memory_bytes *= kBytesPerKibibyte;
      break;
    }
  }
  std::error_code error;
  const std::filesystem::directory_iterator open(directory + "/fd", error);
  use.descriptors = static_cast<size_t>(
      std::distance(begin(open), std::filesystem::directory_iterator()));
  return use;
}

CallerCrowd::CallerCrowd(CrowdPlan plan, tcp::endpoint daemon, pid_t pid)
    : plan_(std::move(plan)),
      request_(std::make_shared<const std::string>(MakeRequest(plan_))),
      daemon_(std::move(daemon)),
      pid_(pid) {}

bool CallerCrowd::Send(const std::function<void(Task<void>)>& spawn,
                       const RunUntilHook& run_until) {
  for (int i = 0; i < plan_.callers; ++i) {
    members_.push_back(std::make_shared<Member>());
    spawn(Run(members_.back(), request_, daemon_, plan_.write_bytes,
              request_->size() - (i < plan_.complete ? 0 : 1)));
  }
  return run_until([this] {
    Measure();
    return std::all_of(members_.begin(), members_.end(),
                       [](const auto& member) { return member->ended; }) &&
           CountQueuedBytes(daemon_).received == 0;
  });
}

ProcessUse CallerCrowd::Record(const ProcessUse& use) {
  most_.memory_bytes = std::max(most_.memory_bytes, use.memory_bytes);
  most_.descriptors = std::max(most_.descriptors, use.descriptors);
  return use;
}

void CallerCrowd::Measure() {
  Record(MeasureProcess(pid_));
}

ProcessUse CallerCrowd::MeasureWithUnread() {
  ProcessUse use = MeasureProcess(pid_);
  use.memory_bytes += CountQueuedBytes(daemon_).sent;
  return Record(use);
}

bool CallerCrowd::HasSettled() {
  constexpr size_t kNoise = 100'000;
  const ProcessUse now = MeasureWithUnread();
  const bool same = now.memory_bytes < last_.memory_bytes + kNoise &&
                    last_.memory_bytes < now.memory_bytes + kNoise &&
                    now.descriptors == last_.descriptors;
  same_measures_ = same ? same_measures_ + 1 : 0;
  last_ = now;
  return same_measures_ >= kSettledMeasures;
}

Task<void> CallerCrowd::Run(std::shared_ptr<Member> member,
                            std::shared_ptr<const std::string> request,
                            tcp::endpoint daemon,
                            size_t write_bytes,
                            size_t total) {
  member->socket.emplace(co_await boost::asio::this_coro::executor);
  const auto [error] = co_await member->socket->async_connect(daemon, kNoThrow);
  bool open = !error;
  for (size_t sent = 0; open && sent < total;) {
    const size_t size = std::min(write_bytes, total - sent);
    const auto [write_error, written] = co_await boost::asio::async_write(
        *member->socket, boost::asio::buffer(request->data() + sent, size),
        kNoThrow);
    open = !write_error;
    sent += written;
  }
  member->ended = true;
}

}  // namespace dandelion::test
