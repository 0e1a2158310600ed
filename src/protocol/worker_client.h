#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "transport/http_client.h"

namespace hickorystall::protocol {

/// State of a task on a worker (docs/design.md, section 4.2).
enum class task_state { kHeld, kRunning, kFinished, kFailed, kStopped, kLapsed };

/// True while the task occupies the worker: held or running.
bool IsLive(task_state value);
/// Returns the name of `value` in the protocol, such as "running".
std::string_view TaskStateName(task_state value);

/// A task to start.
struct task_start {
  /// Task identifier on the worker.
  std::string task;
  /// Lease under which it runs.
  std::string lease;
  /// Term of the lease from the moment the worker accepts the task.
  std::chrono::milliseconds lease_term{15000};
  /// Share of full speed, 0 to 1; 0 starts the task fully throttled.
  double share = 0;
  /// Processor cores.
  int processors = 0;
  /// Memory in MiB.
  std::int64_t memory_mib = 0;
  /// Indices of the accelerators.
  std::vector<int> accelerators;
  /// Kind of work.
  std::string kind;
  /// Declared run time.
  std::chrono::milliseconds run_time{0};
  /// Checkpoint to continue from; empty for none.
  std::string checkpoint;
};

/// A checkpoint that a worker made.
struct task_checkpoint {
  /// Name of the checkpoint.
  std::string checkpoint;
  /// Run time that it preserves.
  std::chrono::milliseconds progress{0};
};

/// A task in a worker's list.
struct worker_task {
  /// Task identifier.
  std::string task;
  /// Lease under which it was started.
  std::string lease;
  /// State.
  task_state state = task_state::kHeld;
  /// Share of full speed, 0 to 1.
  double share = 0;
  /// Run time done so far, including what a checkpoint preserved.
  std::chrono::milliseconds progress{0};
  /// Exit status; meaningful when failed or finished.
  int exit = 0;
  /// Memory in use, in MiB; lags.
  std::int64_t memory_mib = 0;
};

/// A worker's list of tasks.
struct worker_report {
  /// Grows with each change of the list.
  std::int64_t sequence = 0;
  /// Changes when the worker restarts.
  std::string incarnation;
  /// All tasks that the worker has not forgotten.
  std::vector<worker_task> tasks;
};

/// Outcome of a renewal.
struct lease_renewal {
  /// Leases that are valid for the new term.
  std::vector<std::string> renewed;
  /// Leases that are not valid and never will be.
  std::vector<std::string> dead;
};

/// Commands to workers. An interface, so that tests can use a fake. All calls return kUnavailable or
/// kDeadlineExceeded when the worker did not answer in time, in which case the command may still take effect;
/// commands are idempotent and may be repeated. kAborted means that the lease is dead.
class worker_client {
 public:
  virtual ~worker_client() = default;

  /// Starts a task under its lease. `endpoint` is the worker's "ip:port".
  virtual boost::asio::awaitable<absl::Status> Start(std::string endpoint, task_start start,
                                                     std::chrono::milliseconds timeout) = 0;
  /// Sets the share of full speed, 0 to 1. kNotFound when the worker does not know the task.
  virtual boost::asio::awaitable<absl::Status> SetShare(std::string endpoint, std::string task,
                                                        std::string lease, double share,
                                                        std::chrono::milliseconds timeout) = 0;
  /// Makes a checkpoint. kNotFound when the worker does not know the task.
  virtual boost::asio::awaitable<absl::StatusOr<task_checkpoint>> Checkpoint(
      std::string endpoint, std::string task, std::string lease, std::chrono::milliseconds timeout) = 0;
  /// Stops the task and ends its lease for good; succeeds for an unknown task too.
  virtual boost::asio::awaitable<absl::Status> Stop(std::string endpoint, std::string task, std::string lease,
                                                    std::chrono::milliseconds timeout) = 0;
  /// Renews leases for `term` from the moment the worker receives the call.
  virtual boost::asio::awaitable<absl::StatusOr<lease_renewal>> Renew(std::string endpoint,
                                                                      std::vector<std::string> leases,
                                                                      std::chrono::milliseconds term,
                                                                      std::chrono::milliseconds timeout) = 0;
  /// Lists the tasks. Waits up to `wait` for the list's sequence to differ from `since`; -1 does not wait.
  virtual boost::asio::awaitable<absl::StatusOr<worker_report>> List(std::string endpoint, std::int64_t since,
                                                                     std::chrono::milliseconds wait,
                                                                     std::chrono::milliseconds timeout) = 0;
};

/// The worker protocol over HTTP/JSON. Thread-safe.
class http_worker_client final : public worker_client {
 public:
  /// `http` must outlive the client.
  explicit http_worker_client(transport::http_client& http);

  boost::asio::awaitable<absl::Status> Start(std::string endpoint, task_start start,
                                             std::chrono::milliseconds timeout) override;
  boost::asio::awaitable<absl::Status> SetShare(std::string endpoint, std::string task, std::string lease,
                                                double share, std::chrono::milliseconds timeout) override;
  boost::asio::awaitable<absl::StatusOr<task_checkpoint>> Checkpoint(
      std::string endpoint, std::string task, std::string lease, std::chrono::milliseconds timeout) override;
  boost::asio::awaitable<absl::Status> Stop(std::string endpoint, std::string task, std::string lease,
                                            std::chrono::milliseconds timeout) override;
  boost::asio::awaitable<absl::StatusOr<lease_renewal>> Renew(std::string endpoint,
                                                              std::vector<std::string> leases,
                                                              std::chrono::milliseconds term,
                                                              std::chrono::milliseconds timeout) override;
  boost::asio::awaitable<absl::StatusOr<worker_report>> List(std::string endpoint, std::int64_t since,
                                                             std::chrono::milliseconds wait,
                                                             std::chrono::milliseconds timeout) override;

 private:
  boost::asio::awaitable<absl::StatusOr<nlohmann::json>> Call(std::string endpoint,
                                                              transport::http_request request,
                                                              std::chrono::milliseconds timeout);

  transport::http_client& http_;
};

/// Reads a worker's list of tasks. kDataLoss when the text does not follow the protocol.
absl::StatusOr<worker_report> ParseWorkerReport(const nlohmann::json& body);

}  // namespace hickorystall::protocol
