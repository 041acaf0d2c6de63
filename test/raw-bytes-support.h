#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "test/forward-support.h"

namespace dandelion::test {

inline constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n";
inline constexpr char kUnframed[] = "Connection: close\r\n";
/// Size of the pieces in which bytes without end are written.
inline constexpr size_t kRepeatedPiece = size_t{16} * 1024;
/// Longer than any test waits.
inline constexpr base::Millis kLongTime{60'000};

/// Publishes a route on which a request may run twice or a stream may be
/// resumed.
inline void PublishRetryableRoute(ForwardFixture& fixture,
                                  fleet::RequestKind kind) {
  fleet::Route& route = fixture.AddRoute("draft", kind);
  route.resumable = true;
  route.max_upstreams = 2;
  route.timeout = kLongTime;
  route.answer_target = kLongTime;
  fixture.Publish();
}

/// Publishes a route whose requests may run once.
inline void PublishUnsafeRoute(ForwardFixture& fixture) {
  fixture.AddRoute("write", fleet::RequestKind::kNonIdempotent).timeout =
      kLongTime;
  fixture.Publish();
}

template <typename T>
base::Task<void> StoreResult(base::Task<T> task,
                             std::shared_ptr<std::optional<T>> result) {
  result->emplace(co_await std::move(task));
}

/// Runs `task` to its end. Returns nothing if it does not end.
template <typename T>
std::optional<T> RunTask(ForwardFixture& fixture, base::Task<T> task) {
  const auto result = std::make_shared<std::optional<T>>();
  base::Spawn(fixture.executor(), StoreResult(std::move(task), result));
  fixture.RunUntil([&result] { return result->has_value(); });
  return std::move(*result);
}

}  // namespace dandelion::test
