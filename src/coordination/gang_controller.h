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
  /// Term of a task lease.
  std::chrono::milliseconds lease_term{15000};
  /// Time after which no scheduler renews a revoked lease any more: the renewal interval and one call.
  std::chrono::milliseconds revocation_lag{6000};
  /// Deadline of one command to a worker.
  std::chrono::milliseconds command_timeout{1000};
  /// Time in which all members of a gang must have confirmed their start.
  std::chrono::milliseconds start_limit{2000};
  /// Deadline of a checkpoint before the task is stopped without one.
  std::chrono::milliseconds checkpoint_timeout{1000};
  /// Failed attempts after which a job has failed.
  int max_failures = 5;
};

/// Carries out what the state of each job asks for: starts gangs throttled and lifts all shares at once,
/// holds a gang that has lost a member, releases workers, and stops tasks that no job holds. Each operation
/// derives from the job's row and the workers' lists alone, so that a successor continues it. Not
/// thread-safe: use it on one loop.
class gang_controller {
 public:
  using clock = std::chrono::steady_clock;

  /// The arguments must outlive the controller. `on_change` is called when a job has changed.
  gang_controller(protocol::worker_client& client, job_store& store, pool_lease& lease,
                  worker_watcher& watcher, gang_controller_settings settings,
                  std::function<void()> on_change);

  /// Starts, on `executor`, the operation that is due for each job that holds workers.
  void Advance(const boost::asio::any_io_executor& executor);
  /// Forgets all operations, after the ownership was lost. Those under way end by themselves.
  void Clear();
  /// Learned run times by "WORKSPACE/KIND".
  const std::map<std::string, state::learned_kind>& learned() const { return learned_; }
  /// Each task lease with its worker, for the dump.
  nlohmann::json DumpLeases() const;

 private:
  // What the controller remembers of a job that holds workers; lost with the process.
  struct gang_runtime {
    int attempt = 0;
    bool busy = false;
    // All members were told to run at full speed, and none was held since.
    bool lifted = false;
    // Members were throttled because one does not answer.
    bool held = false;
    int failed_lifts = 0;
    // Lists asked for later than this hold all members.
    clock::time_point confirmed_at;
    // Members whose task was in a list: one that is missing later is lost, however early the list was asked
    // for.
    std::set<std::size_t> seen;
  };
  using runtime_ptr = std::shared_ptr<gang_runtime>;
  using operation = boost::asio::awaitable<void> (gang_controller::*)(state::job_record, runtime_ptr);
  enum class member_status { kWorking, kFinished, kFailed, kLost, kUnreachable, kUnknown };

  struct gang_status {
    std::size_t finished = 0;
    bool unknown = false;
    bool unreachable = false;
    bool all_lifted = true;
    std::string failed_vm;
    std::string lost_vm;
  };

  operation NextOperation(const state::job_record& record, gang_runtime& runtime) const;
  member_status StatusOf(const state::job_record& record, std::size_t member, gang_runtime& runtime) const;
  gang_status StatusOfGang(const state::job_record& record, gang_runtime& runtime) const;
  boost::asio::awaitable<void> RunOperation(operation run, state::job_record record, runtime_ptr runtime);

  boost::asio::awaitable<void> Start(state::job_record record, runtime_ptr runtime);
  boost::asio::awaitable<void> Lift(state::job_record record, runtime_ptr runtime);
  boost::asio::awaitable<void> Hold(state::job_record record, runtime_ptr runtime);
  boost::asio::awaitable<void> TakeBack(state::job_record record, runtime_ptr runtime);
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

/// Key of the row that tells every scheduler not to renew `lease` any more.
std::string RevokedLeaseKey(std::string_view pool, std::string_view lease);

/// Reads the wall clock, for records and ages only.
state::wall_time WallNow();

}  // namespace hickorystall::coordination
