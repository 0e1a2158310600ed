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

/// Monotonic clock that all processes of a machine share, so that the logs of several processes are
/// comparable.
using monotonic_clock = std::chrono::steady_clock;

/// Faults that a test can inject.
struct worker_faults {
  /// Every task fails as soon as it runs.
  bool fail_all = false;
  /// Checkpoint calls get no reply.
  bool ignore_checkpoint = false;
  /// No call gets a reply. Tasks continue until their leases expire.
  bool unreachable = false;
  /// Number of further start calls that get no reply and have no effect.
  int lose_starts = 0;
  /// Ratio of the actual to the declared run time of tasks.
  double run_time_factor = 1.0;
};

/// A change in whether a task works, that is, runs with a share above zero.
struct work_event {
  monotonic_clock::time_point at;
  std::string worker;
  std::string task;
  std::string lease;
  /// Indices of the accelerators assigned to the task.
  std::vector<int> accelerators;
  /// True when the task began to work, false when it ceased to.
  bool working = false;
  /// State of the task after the change, such as "running", "finished" or "lost".
  std::string state;
};

/// A worker with simulated tasks that speaks the worker protocol (docs/design.md, section 4.2). It starts
/// every task that it receives, even when the task does not fit. Thread-safe.
class worker_model {
 public:
  explicit worker_model(std::string name);

  /// Handles a call of the worker protocol.
  boost::asio::awaitable<transport::http_response> Handle(transport::http_request request);
  /// Advances all tasks to the current time: updates progress, finishes tasks and expires leases. To be
  /// called every few milliseconds.
  void Advance();
  /// Changes the faults that are members of `body` and keeps the others.
  void SetFaults(const nlohmann::json& body);
  /// Drops all tasks and dead leases and takes a new incarnation, like a restart of the VM.
  void Restart();
  /// Changes of all tasks since the program started; a restart of the worker keeps them.
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
    monotonic_clock::time_point lease_expiry;
    monotonic_clock::time_point advanced_to;
    bool working = false;
  };

  transport::http_response Start(const nlohmann::json& body);
  transport::http_response Renew(const nlohmann::json& body);
  transport::http_response HandleTaskAction(const std::string& task, const std::string& action,
                                            const nlohmann::json& body);
  boost::asio::awaitable<transport::http_response> List(transport::http_request request);
  std::string TaskListBody() const;
  void AdvanceLocked(monotonic_clock::time_point now);
  void AdvanceTask(const std::string& id, simulated_task& task, monotonic_clock::time_point now);
  void SetState(const std::string& id, simulated_task& task, const std::string& state,
                monotonic_clock::time_point at);
  void SetShare(const std::string& id, simulated_task& task, double share, monotonic_clock::time_point at);
  void RecordWork(const std::string& id, simulated_task& task, monotonic_clock::time_point at);
  void NotifyChanged();
  bool ShouldSuppressReply(const transport::http_request& request);

  const std::string name_;
  // Guards all members declared below.
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
