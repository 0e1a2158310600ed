#include "transport/async_event.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hickorystall::transport {

namespace asio = boost::asio;

async_event::async_event(const asio::any_io_executor& executor)
    : state_(std::make_shared<shared_state>(executor)) {}

asio::awaitable<bool> async_event::Wait(std::chrono::steady_clock::duration timeout) {
  const std::shared_ptr<shared_state> state = state_;
  if (state->set) co_return true;
  state->timer.expires_after(timeout);
  co_await state->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  co_return state->set;
}

void async_event::Set() {
  asio::post(state_->timer.get_executor(), [state = state_] {
    state->set = true;
    state->timer.cancel();
  });
}

asio::awaitable<void> Sleep(std::chrono::steady_clock::duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

}  // namespace hickorystall::transport
