#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <vector>

#include "base/task.h"

namespace dandelion::base {

/// Wakes the tasks that wait for a change. Tasks check for themselves what has
/// changed.
class Condition {
 public:
  /// Waits until `NotifyAll` is called, or `longest` has passed.
  Task<void> WaitFor(Millis longest) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        co_await boost::asio::this_coro::executor);
    std::erase_if(waiting_, [](const auto& other) { return other.expired(); });
    waiting_.push_back(timer);
    co_await SleepOnTimer(*timer, longest);
  }
  /// Ends all waits that are in progress.
  void NotifyAll() {
    for (const std::weak_ptr<boost::asio::steady_timer>& waiting : waiting_) {
      if (const auto timer = waiting.lock()) {
        timer->cancel();
      }
    }
    waiting_.clear();
  }

 private:
  std::vector<std::weak_ptr<boost::asio::steady_timer>> waiting_;
};

}  // namespace dandelion::base
