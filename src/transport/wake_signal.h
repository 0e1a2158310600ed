#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <set>

namespace hickorystall::transport {

/// Wakes the coroutines of one loop that wait for work. A notification without a waiter is kept for the next
/// one. Used on one loop only.
class wake_signal {
 public:
  explicit wake_signal(const boost::asio::any_io_executor& executor) : executor_(executor) {}

  /// Wakes all that wait.
  void Notify();
  /// Waits for a notification, at most `timeout`.
  boost::asio::awaitable<void> Wait(std::chrono::steady_clock::duration timeout);

 private:
  boost::asio::any_io_executor executor_;
  // Timers of those that wait. Each has its own, since a new expiry would end the waits of the others.
  std::set<boost::asio::steady_timer*> waiters_;
  bool pending_ = false;
};

}  // namespace hickorystall::transport
