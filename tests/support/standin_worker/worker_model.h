#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "transport/async_event.h"
#include "transport/http_message.h"

namespace hickorystall::standin {

/// Monotonic clock that all processes of a machine share, so that logs of several can be compared.
using monotonic_clock = std::chrono::steady_clock;

/// Faults that a test can switch on.
struct worker_faults {
  /// Every task fails as soon as it would run.
  bool fail_all = false;
  /// Checkpoint calls get no answer.
  bool ignore_checkpoint = false;
  /// No call gets an answer; tasks go on until their leases lapse.
  bool silent = false;
  /// Number of following starts that get no answer and have no effect.
  int lose_starts = 0;
  /// Actual over declared run time.
  double run_time_factor = 1.0;
};

/// A moment at which a task began or ceased to work, that is to run with a share above zero.
struct work_event {
  /// Monotonic time.
  monotonic_clock::time_point at;
  /// Worker.
  std::string worker;
  /// Task and lease.
  std::string task;
  std::string lease;
  /// Accelerators that the task was given.
  std::vector<int> accelerators;
  /// True when it began to work.
  bool working = false;
  /// State after the event, such as "running", "finished" or "lost".
  std::string state;
};

/// One worker of docs/design.md, section 4.2, with simulated tasks. It starts what it is given, whether it
/// fits or not. Thread-safe.
class worker_model {
 public:
  explicit worker_model(std::string name);

  /// Answers a call of the worker protocol.
  boost::asio::awaitable<transport::http_response> Handle(transport::http_request request);
  /// Brings all tasks to the present: progress, completion, lapsed leases. Call it every few milliseconds.
  void Advance();
  /// Changes the faults named in `body`.
  void SetFaults(const nlohmann::json& body);
  /// Loses all tasks and dead leases, like a restart of the VM.
  void Restart();
  /// Log of work since start.
  std::vector<work_event> log() const;

 private:
  struct simulated_task {
    std::string lease;
    std::string state = "held";
    double share = 0;
    std::chrono::duration<double, std::milli> progress{0};
    std::chrono::duration<double, std::milli> run_time{0};
    std::int64_t memory_mib = 0;
    std::vector<int> accelerators;
    int exit = 0;
    monotonic_clock::time_point lease_until;
    monotonic_clock::time_point advanced_to;
    bool working = false;
  };

  transport::http_response Start(const nlohmann::json& body);
  transport::http_response Renew(const nlohmann::json& body);
  transport::http_response Act(const std::string& task, const std::string& action,
                               const nlohmann::json& body);
  boost::asio::awaitable<transport::http_response> List(transport::http_request request);
  std::string ListBody() const;
  void AdvanceLocked(monotonic_clock::time_point now);
  void AdvanceTask(const std::string& id, simulated_task& task, monotonic_clock::time_point now);
  void SetState(const std::string& id, simulated_task& task, const std::string& state,
                monotonic_clock::time_point at);
  void SetShare(const std::string& id, simulated_task& task, double share, monotonic_clock::time_point at);
  void RecordWork(const std::string& id, simulated_task& task, monotonic_clock::time_point at);
  void Changed();
  bool AnswersNothing(const transport::http_request& request);

  const std::string name_;
  // Guards all members below.
  mutable std::mutex mutex_;
  worker_faults faults_;
  std::string incarnation_;
  std::int64_t sequence_ = 1;
  std::map<std::string, simulated_task> tasks_;
  std::set<std::string> dead_leases_;
  std::vector<work_event> log_;
  std::vector<transport::async_event> waiters_;
};

}  // namespace hickorystall::standin
