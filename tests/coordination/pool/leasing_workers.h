#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coordination/pool/worker_orders.h"

namespace hickorystall::tests {

/// In-memory workers for a single event loop that hold leases on their own clocks and restart under the same
/// id. A run continues until it is stopped, it is done or its lease ends. A worker that is silent or down
/// does not reply; a silent one executes nothing that it receives, and its runs continue.
class leasing_workers : public coordination::pool::worker_orders {
 public:
  /// Longer leases are shortened to `max_lease`.
  explicit leasing_workers(std::chrono::milliseconds max_lease) : max_lease_(max_lease) {}

  boost::asio::awaitable<coordination::pool::order_reply> Start(coordination::pool::order_address address,
                                                                std::string task, std::int64_t run,
                                                                std::string payload, std::string checkpoint,
                                                                state::pool::worker_time deadline,
                                                                std::chrono::milliseconds timeout) override;
  boost::asio::awaitable<coordination::pool::order_reply> Stop(coordination::pool::order_address address,
                                                               std::string task, std::int64_t run,
                                                               std::chrono::milliseconds timeout) override;
  boost::asio::awaitable<coordination::pool::lists_reply> Renew(
      coordination::pool::order_address address, std::int64_t acknowledged_end,
      std::optional<state::pool::worker_time> deadline, std::chrono::milliseconds wait,
      std::chrono::milliseconds timeout) override;

  /// Starts the first or next incarnation of `worker`, which holds nothing. Its clock begins at `clock`.
  void Boot(const std::string& worker, std::int64_t incarnation, state::pool::worker_time clock);
  /// Ends the process of `worker`. Calls to it have no reply until Boot.
  void Crash(const std::string& worker);
  /// Sets whether `worker` replies to calls.
  void SetSilent(const std::string& worker, bool is_silent) { workers_[worker].is_silent = is_silent; }
  /// Lets the run of `task` on `worker` complete.
  void Complete(const std::string& worker, const std::string& task);
  /// Keeps the next start without executing it. Its call has no reply.
  void HoldNextStart() { holds_next_start_ = true; }
  /// Executes the held start on the present incarnation of its worker. Returns whether the run started.
  bool ExecuteHeldStart();
  /// Lets `worker` execute calls without replying to them.
  void LoseReplies(const std::string& worker) { workers_[worker].loses_replies = true; }
  /// Called with the worker of each start before it is executed.
  std::function<void(const std::string&)> on_start;
  /// Returns whether `task` runs on `worker`.
  bool IsRunning(const std::string& worker, const std::string& task);

  /// A start that a worker has received.
  struct received_start {
    std::string worker;
    std::int64_t incarnation = 0;
    bool was_executed = false;
  };
  /// All starts, in the order in which they were received.
  std::vector<received_start> starts;
  /// Numbers of the ends that each incarnation was told to forget.
  std::map<std::int64_t, std::int64_t> acknowledged;

 private:
  struct worker_model {
    std::int64_t incarnation = 0;
    state::pool::boot_time booted_at{};
    state::pool::worker_time first_clock{};
    state::pool::worker_time deadline{};
    std::int64_t fencing_token = 0;
    std::map<std::string, std::int64_t> running;
    // Highest number of a run of each task that was stopped or has ended.
    std::map<std::string, std::int64_t> settled;
    std::vector<state::pool::listed_end> finished;
    std::int64_t last_end = 0;
    bool is_up = false;
    bool is_silent = false;
    bool loses_replies = false;
  };

  state::pool::worker_time Clock(const worker_model& worker) const;
  bool IsReplying(const std::string& worker) { return workers_[worker].is_up && !workers_[worker].is_silent; }
  bool Admit(worker_model& worker, const coordination::pool::order_address& address);
  // Executes a start. Returns false if the run was stopped or has ended, as a worker refuses it then.
  bool ExecuteStart(worker_model& worker, const std::string& task, std::int64_t run,
                    state::pool::worker_time deadline);
  void ExtendLease(worker_model& worker, state::pool::worker_time deadline);
  // Ends the runs of `worker` if its lease has ended.
  void ExpireLease(worker_model& worker);
  void End(worker_model& worker, const std::string& task, state::pool::end_kind kind);

  struct held_start {
    coordination::pool::order_address address;
    std::string task;
    std::int64_t run = 0;
    state::pool::worker_time deadline{};
  };

  const std::chrono::milliseconds max_lease_;
  bool holds_next_start_ = false;
  held_start held_;
  std::map<std::string, worker_model> workers_;
};

}  // namespace hickorystall::tests
