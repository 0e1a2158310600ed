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
enum class task_state { kHeld, kRunning, kFinished, kFailed, kStopped, kExpired };

/// True while the task occupies resources of the worker: held or running.
bool IsLive(task_state value);
/// Returns the name of `value` in the protocol, such as "running".
std::string_view TaskStateName(task_state value);

/// A task to start.
struct task_start {
  /// Identifier of the task on the worker.
  std::string task;
  /// Identifier of the lease under which the task runs.
  std::string lease;
  /// Duration of the lease from the moment at which the worker accepts the task.
  std::chrono::milliseconds lease_term{15000};
  /// Share of full speed, 0 to 1; 0 starts the task fully throttled.
  double share = 0;
  /// Number of processor cores.
  int processors = 0;
  std::int64_t memory_mib = 0;
  /// Indices of the worker's accelerators that the task uses.
  std::vector<int> accelerators;
  /// Kind of work, as in the job's spec.
  std::string kind;
  /// Run time that the submitter declared.
  std::chrono::milliseconds run_time{0};
  /// Name of the checkpoint to resume from; empty to start from the beginning.
  std::string checkpoint;
};

/// A checkpoint that a worker wrote.
struct task_checkpoint {
  /// Name under which a task can resume from it.
  std::string checkpoint;
  /// Run time that it preserves.
  std::chrono::milliseconds progress{0};
};

/// A task in a worker's list.
struct worker_task {
  std::string task;
  /// Lease under which the task was started.
  std::string lease;
  task_state state = task_state::kHeld;
  /// Share of full speed, 0 to 1.
  double share = 0;
  /// Run time done so far, including what a checkpoint preserved.
  std::chrono::milliseconds progress{0};
  /// Exit status; set when the state is kFailed or kFinished.
  int exit = 0;
  /// Memory in use, in MiB. May be outdated.
  std::int64_t memory_mib = 0;
};

/// A worker's list of tasks.
struct worker_report {
  /// Increases with each change of the list.
  std::int64_t sequence = 0;
  /// Identifies the start of the worker process; changes when it restarts.
  std::string incarnation;
  /// All tasks that the worker still has a record of, including ended ones.
  std::vector<worker_task> tasks;
};

/// Result of renewing leases.
struct lease_renewal {
  /// Leases that are valid for the new duration.
  std::vector<std::string> renewed;
  /// Leases that are permanently invalid.
  std::vector<std::string> dead;
};

/// Commands to workers. An interface, so that tests can use a fake. All calls return kUnavailable or
/// kDeadlineExceeded when the worker did not reply in time, in which case the command may still take effect.
/// Commands are idempotent and may be repeated. kAborted means that the lease is permanently invalid.
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
  /// Writes a checkpoint of the task. kNotFound when the worker does not know the task.
  virtual boost::asio::awaitable<absl::StatusOr<task_checkpoint>> Checkpoint(
      std::string endpoint, std::string task, std::string lease, std::chrono::milliseconds timeout) = 0;
  /// Stops the task and ends its lease permanently. Also succeeds for an unknown task.
  virtual boost::asio::awaitable<absl::Status> Stop(std::string endpoint, std::string task, std::string lease,
                                                    std::chrono::milliseconds timeout) = 0;
  /// Renews the leases for `term` from the moment at which the worker receives the call.
  virtual boost::asio::awaitable<absl::StatusOr<lease_renewal>> Renew(std::string endpoint,
                                                                      std::vector<std::string> leases,
                                                                      std::chrono::milliseconds term,
                                                                      std::chrono::milliseconds timeout) = 0;
  /// Lists the worker's tasks. The worker waits up to `wait` for the list's sequence to differ from `since`;
  /// it does not wait when `since` is -1.
  virtual boost::asio::awaitable<absl::StatusOr<worker_report>> List(std::string endpoint, std::int64_t since,
                                                                     std::chrono::milliseconds wait,
                                                                     std::chrono::milliseconds timeout) = 0;
};

/// Implements the worker protocol over HTTP/JSON. Thread-safe.
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

/// Parses a worker's list of tasks. kDataLoss when `body` does not follow the protocol.
absl::StatusOr<worker_report> ParseWorkerReport(const nlohmann::json& body);

}  // namespace hickorystall::protocol
