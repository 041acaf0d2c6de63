#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "base/clock.h"

namespace dandelion::base {

/// A coroutine that runs on an `Executor`.
template <typename T>
using Task = boost::asio::awaitable<T>;
using Executor = boost::asio::any_io_executor;

/// Completion token: co_await returns the error code instead of throwing it.
inline constexpr auto kNoThrow =
    boost::asio::as_tuple(boost::asio::use_awaitable);

/// Waits until `delay` has passed or `timer` is cancelled.
inline Task<void> SleepOnTimer(boost::asio::steady_timer& timer, Millis delay) {
  timer.expires_after(std::chrono::milliseconds(delay.count()));
  co_await timer.async_wait(kNoThrow);
}

/// Waits until `delay` has passed.
inline Task<void> SleepFor(Millis delay) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  co_await SleepOnTimer(timer, delay);
}

/// Starts `task` on `executor`. Tasks report failures by value; an exception
/// that leaves `task` is rethrown on the executor and ends the process.
inline void Spawn(const Executor& executor, Task<void> task) {
  boost::asio::co_spawn(executor, std::move(task),
                        [](std::exception_ptr error) {
                          if (error) {
                            std::rethrow_exception(error);
                          }
                        });
}

}  // namespace dandelion::base
