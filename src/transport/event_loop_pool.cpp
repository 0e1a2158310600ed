#include "transport/event_loop_pool.h"

#include <cassert>

namespace hickorystall::transport {
namespace {

thread_local std::size_t current_index = 0;

}  // namespace

event_loop_pool::event_loop_pool(std::size_t size) {
  assert(size > 0);
  for (std::size_t i = 0; i < size; ++i) {
    contexts_.push_back(std::make_unique<event_loop>());
    guards_.push_back(boost::asio::make_work_guard(*contexts_.back()));
  }
}

event_loop_pool::~event_loop_pool() {
  Stop();
  // A suspended coroutine of one loop may own sockets of another, so all coroutines are destroyed before any
  // loop.
  for (auto& context : contexts_) context->DestroyPending();
}

void event_loop_pool::Start() {
  assert(threads_.empty());
  for (std::size_t i = 0; i < contexts_.size(); ++i) {
    threads_.emplace_back([this, i] {
      current_index = i;
      contexts_[i]->run();
    });
  }
}

void event_loop_pool::Stop() {
  for (auto& context : contexts_) context->stop();
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

boost::asio::io_context& event_loop_pool::next() {
  return *contexts_[next_.fetch_add(1, std::memory_order_relaxed) % contexts_.size()];
}

std::size_t event_loop_pool::CurrentIndex() { return current_index; }

}  // namespace hickorystall::transport
