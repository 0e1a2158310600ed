#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <set>

namespace hickorystall::transport {

/// Wakes the coroutines of one event loop that wait for work. A notification without a waiter is kept for the
/// next Wait. Must be used on one single-threaded loop only.
class wake_signal {
 public:
  explicit wake_signal(const boost::asio::any_io_executor& executor) : executor_(executor) {}

  /// Wakes all waiting coroutines.
  void Notify();
  /// Waits for a notification, at most `timeout`.
  boost::asio::awaitable<void> Wait(std::chrono::steady_clock::duration timeout);

 private:
  boost::asio::any_io_executor executor_;
  // Timers of the waiting coroutines. Each has its own, since setting the expiry of a shared one would end
  // the other waits.
  std::set<boost::asio::steady_timer*> waiters_;
  bool pending_ = false;
};

}  // namespace hickorystall::transport
