#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>

namespace hickorystall::transport {

/// A one-shot event that one coroutine waits for and any thread may set.
class async_event {
 public:
  /// The waiting coroutine must run on `executor`, whose event loop must be single-threaded.
  explicit async_event(const boost::asio::any_io_executor& executor);

  /// Waits until the event is set or `timeout` has passed. Returns true when the event is set.
  boost::asio::awaitable<bool> Wait(std::chrono::steady_clock::duration timeout);
  /// Sets the event. May be called from any thread, also when no coroutine waits any more.
  void Set();

 private:
  struct shared_state {
    explicit shared_state(const boost::asio::any_io_executor& executor) : timer(executor) {}
    boost::asio::steady_timer timer;
    bool set = false;
  };
  std::shared_ptr<shared_state> state_;
};

/// Suspends the calling coroutine for `duration`.
boost::asio::awaitable<void> Sleep(std::chrono::steady_clock::duration duration);

}  // namespace hickorystall::transport
