#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "transport/async_event.h"

namespace hickorystall::coordination {

/// Runs `call(0)` to `call(count - 1)` concurrently on the caller's loop and returns their results in order.
/// Each call must have its own deadline. `T` must be default-constructible.
template <typename T>
boost::asio::awaitable<std::vector<T>> RunForEach(
    std::size_t count, std::function<boost::asio::awaitable<T>(std::size_t)> call) {
  struct fanout_state {
    std::vector<T> results;
    std::size_t remaining = 0;
  };
  if (count == 0) co_return std::vector<T>();
  const auto executor = co_await boost::asio::this_coro::executor;
  const auto state = std::make_shared<fanout_state>();
  state->results.resize(count);
  state->remaining = count;
  transport::async_event done(executor);
  for (std::size_t i = 0; i < count; ++i) {
    boost::asio::co_spawn(
        executor,
        [state, done, call, i]() mutable -> boost::asio::awaitable<void> {
          state->results[i] = co_await call(i);
          if (--state->remaining == 0) done.Set();
        },
        boost::asio::detached);
  }
  co_await done.Wait(std::chrono::hours(1));
  co_return std::move(state->results);
}

}  // namespace hickorystall::coordination
