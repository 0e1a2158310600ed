#pragma once

#include <chrono>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/pool/memory_store.h"
#include "coordination/pool/worker_orders.h"
#include "state/pool/pool_time.h"

namespace hickorystall::tests {

/// How the tasks of one step run on workers.
struct step_behaviour {
  /// Number of tasks that run together; 1 if each runs by itself.
  int gang_size = 1;
  std::chrono::milliseconds shortest{100};
  std::chrono::milliseconds longest{600};
  /// True if every run fails.
  bool is_poison = false;
};

/// What a check outside of the workers may know about one of them.
struct worker_view {
  std::string rack;
  int used = 0;
  int capacity = 0;
};

/// Workers that hold leases, lose replies, execute orders late, become unreachable, refuse starts, crash,
/// leave and restart under other ids, and whose registrations lapse. They check the orders against the
/// guarantees to clients, and record what they see for a check at the end.
class faulty_workers : public coordination::pool::worker_orders {
 public:
  /// Registers `count` workers in `store`, spread over `racks` racks. A gang that is not complete within
  /// `gang_timeout` ends. `random` and `store` must outlive the object.
  faulty_workers(int count, int racks, std::chrono::milliseconds gang_timeout, memory_store& store,
                 std::mt19937_64& random);

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
  /// Ends the process of a random worker, or its VM, for good. Does nothing if its rack would have no worker
  /// left. The registration remains for `lapse`.
  boost::asio::awaitable<void> Leave(std::chrono::milliseconds lapse);
  /// Restarts the process of a random worker under a new id at the same address after `pause`. The former
  /// registration is removed `lapse` after the end.
  boost::asio::awaitable<void> Replace(std::chrono::milliseconds pause, std::chrono::milliseconds lapse);
  /// Removes the registrations of up to `count` random workers and restores them after `time`. The workers
  /// themselves run on.
  boost::asio::awaitable<void> LapseRegistrations(int count, std::chrono::milliseconds time);
  /// Makes a random worker refuse all starts as unhealthy for `time`.
  void MakeUnhealthy(std::chrono::milliseconds time);
  /// Sets how the tasks of a step run; otherwise they run as by default.
  void SetBehaviour(const std::string& job, int step, const step_behaviour& behaviour) {
    behaviours_[{job, step}] = behaviour;
  }

  /// Returns whether any task of `job` runs.
  bool IsRunning(const std::string& job) const;
  /// Returns the workers that are registered and reachable.
  std::vector<worker_view> SoundWorkers() const;

  /// Share of starts that are refused as unhealthy.
  double refused_share = 0;
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
    int gang_size = 1;
    // True once all members of the gang run.
    bool is_gang_complete = false;
    // When the run started; a gang waits for its other members from then on.
    state::pool::boot_time started_at{};
  };
  struct worker_model {
    std::string address;
    std::string rack;
    bool is_registered = false;
    // True once the process has ended for good.
    bool has_ended = false;
    // True if the VM refuses connections after the end of the process; otherwise it is silent.
    bool refuses_connections = false;
    // True once another id replies at the address.
    bool is_replaced = false;
    state::pool::boot_time unhealthy_until{};
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
  // Returns the progress that a worker reports for `run`.
  static int PercentOf(const run_model& run);
  void AddWorker(const std::string& address, const std::string& rack);
  void Register(const std::string& id);
  void Deregister(const std::string& id);
  // Ends the process of a worker with all its runs.
  void EndProcess(const std::string& id);
  bool IsLastInRack(const std::string& id) const;
  // Starts the work of gangs whose members all run, and ends the runs of incomplete ones.
  void UpdateGangs();
  // Waits as long as a call to a worker takes that does not reply, and returns the sign that it gives.
  boost::asio::awaitable<coordination::pool::process_sign> WaitWithoutReply(
      std::string worker, std::chrono::milliseconds timeout);
  bool Admit(const coordination::pool::order_address& address);
  bool IsUnreachable(const std::string& worker);
  bool Chance(double share);
  std::string PickWorker();
  void RecordViolation(const std::string& violation);

  const std::chrono::milliseconds gang_timeout_;
  memory_store& store_;
  std::mt19937_64& random_;
  std::map<std::string, worker_model> workers_;
  // Number of ids that were used so far.
  int ids_ = 0;
  // By job and step.
  std::map<std::pair<std::string, int>, step_behaviour> behaviours_;
  std::vector<late_start> late_starts_;
  std::vector<observed_start> starts_;
  std::vector<observed_end> ends_;
  std::vector<std::string> violations_;
  bool running_ = true;
};

}  // namespace hickorystall::tests
