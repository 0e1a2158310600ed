#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace hickorystall::transport {

/// A fixed number of threads with one event loop each. A coroutine stays on the loop on which it was started,
/// so connections and timers need no strands. State that loops share must be guarded by mutexes.
class event_loop_pool {
 public:
  /// Creates `size` event loops, at least one. Start runs them.
  explicit event_loop_pool(std::size_t size);
  /// Stops the threads and destroys all pending handlers and suspended coroutines.
  ~event_loop_pool();
  event_loop_pool(const event_loop_pool&) = delete;
  event_loop_pool& operator=(const event_loop_pool&) = delete;

  /// Starts one thread for each loop.
  void Start();
  /// Stops all loops without running their pending handlers, and joins the threads.
  void Stop();

  std::size_t size() const { return contexts_.size(); }
  /// Returns the loop with the index `index`, from 0 to size() - 1.
  boost::asio::io_context& context(std::size_t index) { return *contexts_[index]; }
  /// Returns the next loop, round robin, for new connections and background work. Thread-safe.
  boost::asio::io_context& next();
  /// Returns the index of the loop that the calling thread runs; 0 on other threads.
  static std::size_t CurrentIndex();

 private:
  // An event loop whose pending handlers can be destroyed before the loop itself.
  class event_loop : public boost::asio::io_context {
   public:
    event_loop() : io_context(1) {}
    void DestroyPending() { shutdown(); }
  };
  using work_guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::vector<std::unique_ptr<event_loop>> contexts_;
  std::vector<work_guard> guards_;
  std::vector<std::thread> threads_;
  std::atomic<std::size_t> next_{0};
};

}  // namespace hickorystall::transport
