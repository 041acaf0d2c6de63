#include "base/task.h"

#include <catch2/catch.hpp>

#include <stdexcept>
#include <string>
#include <vector>

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;

Task<void> Throw() {
  throw std::runtime_error("unexpected");
  co_return;
}

Task<void> Set(bool* done) {
  co_await base::SleepFor(Millis(1));
  *done = true;
}

TEST_CASE("an exception that leaves a task ends the others", "[task]") {
  boost::asio::io_context context;
  std::vector<std::string> reasons;
  bool done = false;
  base::Spawn(context.get_executor(), Set(&done));
  base::Spawn(context.get_executor(), Throw());
  boost::asio::post(context, [] { throw 7; });
  base::RunLoop(context, [&reasons](std::string_view reason) {
    reasons.emplace_back(reason);
  });
  CHECK(done);
  CHECK(reasons.size() == 2);
}

TEST_CASE("a service ends for good with the first exception", "[task]") {
  constexpr int kFailures = 2;
  boost::asio::io_context context;
  int starts = 0;
  bool done = false;
  base::SpawnRestarting(context.get_executor(), [&]() -> Task<void> {
    return ++starts <= kFailures ? Throw() : Set(&done);
  });
  int reported = 0;
  base::RunLoop(context, [&reported](std::string_view) { ++reported; });
  CHECK(done);
  CHECK(starts == kFailures + 1);
  CHECK(reported == kFailures);
}

}  // namespace
}  // namespace dandelion::test
