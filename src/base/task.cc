#include "base/task.h"

#include <exception>
#include <utility>

namespace dandelion::base {
namespace {

// Pause before a failed service is started again.
constexpr Millis kRestartPause{100};

Task<void> RunAfterPause(std::function<Task<void>()> make_task) {
  co_await SleepFor(kRestartPause);
  co_await make_task();
}

// Starts `task`, and one that `make_task` returns if an exception leaves it.
void SpawnOrRestart(const Executor& executor,
                    Task<void> task,
                    std::function<Task<void>()> make_task) {
  boost::asio::co_spawn(
      executor, std::move(task),
      [executor, make_task = std::move(make_task)](std::exception_ptr error) {
        if (error) {
          SpawnOrRestart(executor, RunAfterPause(make_task), make_task);
          std::rethrow_exception(error);
        }
      });
}

}  // namespace

void SpawnRestarting(const Executor& executor,
                     std::function<Task<void>()> make_task) {
  Task<void> task = make_task();
  SpawnOrRestart(executor, std::move(task), std::move(make_task));
}

void RunLoop(boost::asio::io_context& context,
             const std::function<void(std::string_view)>& on_exception) {
  for (;;) {
    try {
      context.run();
      return;
    } catch (const std::exception& error) {
      on_exception(error.what());
    } catch (...) {
      on_exception("an exception of an unknown type");
    }
  }
}

}  // namespace dandelion::base
