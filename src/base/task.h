#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <functional>
#include <string_view>

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
/// that leaves `task` ends it and is rethrown on the executor.
inline void Spawn(const Executor& executor, Task<void> task) {
  boost::asio::co_spawn(executor, std::move(task),
                        [](std::exception_ptr error) {
                          if (error) {
                            std::rethrow_exception(error);
                          }
                        });
}

/// Starts the task that `make_task` returns on `executor`. If an exception
/// leaves it, reports that as `Spawn` does and starts a new one after a pause,
/// so that an error that nobody expected does not end a service for good.
void SpawnRestarting(const Executor& executor,
                     std::function<Task<void>()> make_task);

/// Runs `context` until it stops or has no work. An exception that leaves a
/// task or a handler ends only that one and is passed to `on_exception`.
void RunLoop(boost::asio::io_context& context,
             const std::function<void(std::string_view)>& on_exception);

}  // namespace dandelion::base
