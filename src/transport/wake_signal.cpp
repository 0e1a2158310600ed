#include "transport/wake_signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hickorystall::transport {

void wake_signal::Notify() {
  pending_ = true;
  for (boost::asio::steady_timer* waiter : waiters_) waiter->cancel();
}

boost::asio::awaitable<void> wake_signal::Wait(std::chrono::steady_clock::duration timeout) {
  if (!pending_) {
    boost::asio::steady_timer timer(executor_, timeout);
    waiters_.insert(&timer);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    waiters_.erase(&timer);
  }
  pending_ = false;
}

}  // namespace hickorystall::transport
