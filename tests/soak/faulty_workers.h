#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/pool/memory_store.h"
#include "coordination/pool/worker_orders.h"
#include "state/pool/pool_time.h"

namespace hickorystall::tests {

/// Workers that hold leases, lose replies, execute orders late, become unreachable and crash. They check the
/// orders against the guarantees to clients, and record what they see for a check at the end.
class faulty_workers : public coordination::pool::worker_orders {
 public:
  /// Registers `count` workers in `store`. `random` and `store` must outlive the object.
  faulty_workers(int count, memory_store& store, std::mt19937_64& random);

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

  /// Ends runs whose work is done or whose lease has expired, and executes late orders, until StopRunning.
  boost::asio::awaitable<void> Run();
  void StopRunning() { running_ = false; }

  /// Makes a random worker unreachable for `time`. Its runs continue until its lease expires.
  void MakeUnreachable(std::chrono::milliseconds time);
  /// Crashes a random worker with all its runs; it restarts under the same id.
  void Crash();
  /// Share of orders whose reply is lost, and of starts that are executed late.
  double lost_share = 0;
  double late_share = 0;

  /// Checks all recorded starts and ends. `max_attempts` is the maximum number of failed runs of a task.
  void CheckHistory(int max_attempts);
  /// Violated guarantees, one line each.
  const std::vector<std::string>& violations() const { return violations_; }
  /// Number of executed starts.
  int starts() const { return static_cast<int>(starts_.size()); }

 private:
  struct run_model {
    std::int64_t run = 0;
    state::pool::boot_time ends_at{};
    bool fails = false;
  };
  struct worker_model {
    std::int64_t incarnation = 1;
    std::int64_t fencing_token = 0;
    std::map<std::string, run_model> running;
    std::vector<state::pool::listed_end> finished;
    std::int64_t last_end = 0;
    // Highest run of each task that ended or was stopped here.
    std::map<std::string, std::int64_t> highest;
    state::pool::worker_time lease{};
    state::pool::boot_time unreachable_until{};
  };
  struct late_start {
    coordination::pool::order_address address;
    std::string task;
    std::int64_t run = 0;
    state::pool::worker_time deadline{};
    std::int64_t incarnation = 0;
    state::pool::boot_time due{};
  };
  struct observed_start {
    std::string task;
    state::pool::boot_time at{};
  };
  struct observed_end {
    std::string worker;
    std::int64_t incarnation = 0;
    state::pool::listed_end end;
    state::pool::boot_time at{};
    bool acknowledged = false;
    // True when the worker's lease expired before the end was acknowledged: another run is then allowed.
    bool expired = false;
  };

  coordination::pool::order_reply Execute(const late_start& order);
  void BeginRun(const std::string& worker_id, worker_model& worker, const late_start& order);
  void End(const std::string& worker_id, worker_model& worker, const std::string& task,
           state::pool::end_kind kind);
  void ExpireEnds(const std::string& worker_id);
  bool Admit(const coordination::pool::order_address& address);
  bool IsUnreachable(const std::string& worker);
  bool Chance(double share);
  std::string PickWorker();
  void RecordViolation(const std::string& violation);

  memory_store& store_;
  std::mt19937_64& random_;
  std::map<std::string, worker_model> workers_;
  std::vector<late_start> late_starts_;
  std::vector<observed_start> starts_;
  std::vector<observed_end> ends_;
  std::vector<std::string> violations_;
  bool running_ = true;
};

}  // namespace hickorystall::tests
