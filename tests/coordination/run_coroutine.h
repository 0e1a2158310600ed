#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

namespace hickorystall::coordination {

/// Runs `task` on a loop of its own until it ends and returns its result.
template <typename T>
T RunCoroutine(boost::asio::awaitable<T> task) {
  boost::asio::io_context context;
  std::optional<T> result;
  boost::asio::co_spawn(context, std::move(task), [&](const std::exception_ptr& failure, T value) {
    if (failure) std::rethrow_exception(failure);
    result = std::move(value);
  });
  context.run();
  return std::move(*result);
}

}  // namespace hickorystall::coordination
