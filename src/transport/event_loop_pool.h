#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace hickorystall::transport {

/// A fixed pool of threads, each with an event loop of its own. A coroutine stays on the loop that it was
/// started on, so connections and timers need no strands; state shared between loops is guarded by mutexes.
class event_loop_pool {
 public:
  /// Makes `size` event loops; Start runs them.
  explicit event_loop_pool(std::size_t size);
  /// Stops the threads and destroys what is still pending.
  ~event_loop_pool();
  event_loop_pool(const event_loop_pool&) = delete;
  event_loop_pool& operator=(const event_loop_pool&) = delete;

  /// Starts one thread for each loop.
  void Start();
  /// Stops all loops, dropping what is still pending, and joins the threads.
  void Stop();

  /// Number of loops.
  std::size_t size() const { return contexts_.size(); }
  /// The loop with number `index`.
  boost::asio::io_context& context(std::size_t index) { return *contexts_[index]; }
  /// The next loop in turn, for new connections and background work.
  boost::asio::io_context& next();
  /// Number of the loop that the calling thread runs; 0 on other threads.
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
