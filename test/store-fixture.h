#pragma once

#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

#include "platform/store_client.h"
#include "test/fake-store.h"

namespace dandelion::test {

/// A client of the platform's store and a store, in the test's process.
struct StoreFixture {
  template <typename T>
  T Await(base::Task<T> task) {
    std::optional<T> result;
    const auto await_task = [&]() -> base::Task<void> {
      result = co_await std::move(task);
    };
    base::Spawn(context.get_executor(), await_task());
    context.restart();
    while (!result) {
      context.run_one();
    }
    return *std::move(result);
  }

  boost::asio::io_context context;
  FakeStore store{context.get_executor()};
  http::Client http;
  platform::StoreClient client{http, [this] { return store.address(); }};
};

}  // namespace dandelion::test
