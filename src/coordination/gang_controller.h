#pragma once

#include <absl/status/status.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "coordination/job_store.h"
#include "coordination/pool_lease.h"
#include "coordination/worker_watcher.h"
#include "protocol/worker_client.h"
#include "state/scheduling/decision.h"
#include "state/scheduling/job.h"

namespace hickorystall::coordination {

/// Settings of the gang controller (docs/design.md, section 5.3).
struct gang_controller_settings {
  /// Pool whose jobs are controlled.
  std::string pool;
  /// Term of a task lease that a start grants.
  std::chrono::milliseconds lease_term{15000};
  /// Longest time after its revocation for which a scheduler may still renew a lease: the renewal interval
  /// plus one call.
  std::chrono::milliseconds revocation_lag{6000};
  /// Deadline of one command to a worker.
  std::chrono::milliseconds command_timeout{1000};
  /// Time in which all members of a gang must confirm their start.
  std::chrono::milliseconds start_limit{2000};
  /// Deadline of a checkpoint before the task is stopped without one.
  std::chrono::milliseconds checkpoint_timeout{1000};
  /// Failed attempts after which the job fails for good.
  int max_failures = 5;
};

/// Drives each job that holds workers towards the state in its row: starts gangs throttled and raises all
/// shares at once, throttles a gang that has lost contact to a member, releases workers, and stops tasks that
/// no job holds. Each operation depends only on the job's row and the workers' lists, so that the next owner
/// can continue it. Not thread-safe: use it on one loop.
class gang_controller {
 public:
  using clock = std::chrono::steady_clock;

  /// `client`, `store`, `lease` and `watcher` must outlive the controller. `on_change` is called when an
  /// operation has ended.
  gang_controller(protocol::worker_client& client, job_store& store, pool_lease& lease,
                  worker_watcher& watcher, gang_controller_settings settings,
                  std::function<void()> on_change);

  /// Starts, on `executor`, the operation that is due for each job that holds workers. A job has at most one
  /// operation at a time.
  void Advance(const boost::asio::any_io_executor& executor);
  /// Discards the state of all operations after the ownership is lost. Operations in progress end on their
  /// own.
  void Clear();
  /// Learned run times, by "WORKSPACE/KIND".
  const std::map<std::string, state::learned_kind>& learned() const { return learned_; }
  /// Each task lease with its worker, for the dump.
  nlohmann::json DumpLeases() const;

 private:
  // State of one attempt of a job that holds workers. It is kept in memory only.
  struct gang_runtime {
    int attempt = 0;
    bool busy = false;
    // All members have accepted the full share, and the gang has not been throttled since.
    bool at_full_share = false;
    // The gang was throttled because the worker of a member is unreachable.
    bool throttled = false;
    int failed_raises = 0;
    // Lists that were requested after this time contain all members.
    clock::time_point confirmed_at;
    // Members whose task has been in a list. One that is missing later is lost, however early that list was
    // requested.
    std::set<std::size_t> listed_members;
  };
  using runtime_ptr = std::shared_ptr<gang_runtime>;
  using operation = boost::asio::awaitable<void> (gang_controller::*)(state::job_record, runtime_ptr);
  enum class member_status { kWorking, kFinished, kFailed, kLost, kUnreachable, kUnknown };

  struct gang_status {
    std::size_t finished = 0;
    bool unknown = false;
    bool unreachable = false;
    bool all_at_full_share = true;
    std::string failed_vm;
    std::string lost_vm;
  };

  operation NextOperation(const state::job_record& record, gang_runtime& runtime) const;
  member_status StatusOf(const state::job_record& record, std::size_t member, gang_runtime& runtime) const;
  gang_status StatusOfGang(const state::job_record& record, gang_runtime& runtime) const;
  boost::asio::awaitable<void> RunOperation(operation run, state::job_record record, runtime_ptr runtime);

  boost::asio::awaitable<void> Start(state::job_record record, runtime_ptr runtime);
  boost::asio::awaitable<void> RaiseShares(state::job_record record, runtime_ptr runtime);
  boost::asio::awaitable<void> Throttle(state::job_record record, runtime_ptr runtime);
  boost::asio::awaitable<void> ReclaimAfterMemberFailure(state::job_record record, runtime_ptr runtime);
  boost::asio::awaitable<void> Finish(state::job_record record, runtime_ptr runtime);
  boost::asio::awaitable<void> Release(state::job_record record, runtime_ptr runtime);

  boost::asio::awaitable<absl::Status> StartMember(const state::job_record& record, std::size_t member);
  boost::asio::awaitable<std::vector<absl::Status>> SetShares(const state::job_record& record, double share);
  boost::asio::awaitable<void> CheckpointAll(state::job_record& record);
  boost::asio::awaitable<bool> StopAll(const state::job_record& record);
  boost::asio::awaitable<void> CommitReclaiming(const state::job_record& record, std::string reason,
                                                bool count_failure);
  boost::asio::awaitable<void> StopOrphan(std::string endpoint, protocol::worker_task task);
  void StopOrphans(const boost::asio::any_io_executor& executor);
  bool IsHeldLease(const std::string& lease, const std::string& vm) const;
  void Learn(const state::job_record& record, state::wall_time now);
  std::string EndpointOf(const std::string& vm) const;
  bool MayCommand() const { return lease_.owns(clock::now()) && !store_.stale(); }

  protocol::worker_client& client_;
  job_store& store_;
  pool_lease& lease_;
  worker_watcher& watcher_;
  const gang_controller_settings settings_;
  const std::function<void()> on_change_;
  std::map<std::string, runtime_ptr> runtimes_;
  std::map<std::string, state::learned_kind> learned_;
  // Leases of orphaned tasks that are being stopped.
  std::set<std::string> orphans_;
};

/// Key of the row whose presence stops every scheduler from renewing `lease`.
std::string RevokedLeaseKey(std::string_view pool, std::string_view lease);

/// Returns the wall-clock time. Use it for records and ages only.
state::wall_time WallNow();

}  // namespace hickorystall::coordination
