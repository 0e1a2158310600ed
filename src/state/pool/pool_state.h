#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "state/pool/job_entry.h"
#include "state/pool/pool_config.h"
#include "state/pool/pool_event.h"
#include "state/pool/pool_settings.h"
#include "state/pool/run_time_model.h"
#include "state/pool/worker_entry.h"

namespace hickorystall::state::pool {

/// An order that the owner must send to a worker.
struct worker_order {
  /// True for a start, false for a stop.
  bool is_start = false;
  /// Worker that must get it.
  std::string worker;
  /// Task name.
  std::string task;
  /// Number of the start.
  std::int64_t run = 0;
  /// For a start: the job's payload and the checkpoint to continue from, empty for none.
  std::string payload;
  std::string checkpoint;
};

/// How a start was answered.
enum class start_reply {
  /// The run is there.
  kAccepted,
  /// The worker says that nothing was started; the run may be given up.
  kRefused,
  /// The same, since the worker is out of order.
  kWorkerUnhealthy,
  /// No answer in time: the run may start any time until the lease of the order is over.
  kNoReply,
};

/// Tables of one pool under one ownership: jobs, workers, and what runs where. It applies what workers,
/// clients and operators report and keeps the orders that follow. Reads no clock; not thread-safe.
class pool_state {
 public:
  pool_state(pool_settings settings, std::int64_t epoch);

  /// Takes `config` into force.
  void SetConfig(std::shared_ptr<const pool_config> config) { config_ = std::move(config); }

  /// Adds a job that is new or was loaded. Does nothing when it is known.
  void AddJob(job_entry job, boot_time now);
  /// Cancels a job that is not final.
  void CancelJob(const std::string& id, boot_time now);
  /// Forgets final jobs without active units that ended before `limit`; returns their ids.
  std::vector<std::string> ForgetJobs(boot_time limit);
  /// Makes the occurrences that are due at `wall_now` and the steps that became ready.
  void MakeDueOccurrences(boot_time now, unix_time wall_now);

  /// Takes in a registration. A later life of the worker ends all runs of the former.
  void SetRegistration(const worker_registration& registration, boot_time now);
  /// Takes in that a registration is gone.
  void RemoveRegistration(const std::string& id);
  /// Adds a worker that an earlier owner may have used and that is not registered.
  void AddFormerWorker(const std::string& id, const std::string& address, boot_time lease_bound);
  /// Takes in that another life answers at the address of `worker`: this one has ended with all that it ran.
  void HandleIncarnationMismatch(const std::string& worker);
  /// Takes in that an earlier owner may repeat its orders until `quiet_at`.
  void HoldRecordedStarts(boot_time quiet_at);
  /// Waits for the first answer, or the first silence, of each worker known now.
  void AwaitFirstReplies();
  /// False while a worker that was known at the start has neither answered nor kept silent. Work would be
  /// crowded onto those that answered first, and other work stopped for it.
  bool HaveAllWorkersReplied() const { return unmet_workers_.empty(); }
  /// Workers that stored records name and of which it is not known what they run.
  std::set<std::string> UnresolvedWorkers() const;
  /// Records that the worker's id is stored.
  void MarkRecorded(const std::string& id);

  /// Number of the next call to a worker. Answers are compared by it.
  std::int64_t NextCallNumber() { return ++order_; }
  /// The deadline, on the clock of `worker`, of a lease given at `now`. Extends the worker's lease bound.
  worker_time GrantLease(const std::string& worker, boot_time now);
  /// Takes in both lists of `worker`, asked for with the call number `order`. Returns the highest end.
  std::int64_t ApplyWorkerLists(const std::string& worker, const worker_lists& lists, std::int64_t order,
                                boot_time now);
  /// Takes in a clock reading from any answer of `worker`.
  void UpdateWorkerClock(const std::string& worker, worker_time clock, boot_time now);
  /// Takes in that a call to `worker` was not answered.
  void MarkUnreachable(const std::string& worker, boot_time now);
  /// Takes in the answer to the start of `run` of `task`.
  void HandleStartReply(const std::string& task, std::int64_t run, start_reply answer, boot_time now);
  /// Takes in that the stop of `run` of `task` on `worker` was answered.
  void HandleStopReply(const std::string& worker, const std::string& task, std::int64_t run);
  /// Gives up the runs on silent workers whose lease bound had passed at `confirmed_at`, when no other VM was
  /// the owner and could have renewed their lease.
  void ExpireLeases(boot_time now, boot_time confirmed_at);

  /// Starts `unit` on `workers`, one entry a member.
  void StartUnit(const unit_position& position, const std::vector<std::string>& workers, boot_time now,
                 bool is_far = false);
  /// Stops all runs of a unit, keeping its checkpoint.
  void StopUnit(const unit_position& position, const std::string& reason);

  /// Returns the orders to send since the last call.
  std::vector<worker_order> TakeOrders();
  /// Returns the events since the last call.
  std::vector<pool_event> TakeEvents();
  /// Returns the ids of jobs whose stored progress is out of date, since the last call.
  std::set<std::string> TakeChangedJobs();
  /// True when there is a change that a client or worker waits for.
  bool has_urgent_change() const { return urgent_change_; }
  /// True while a start or stop for that run is still due.
  bool IsOrderDue(const worker_order& order) const;

  /// Rules of the job's queue in force: the newest of its name, else those at its submission.
  int MaxAttempts(const job_entry& job) const;

  const std::map<std::string, job_entry>& jobs() const { return jobs_; }
  std::map<std::string, job_entry>& jobs() { return jobs_; }
  const std::map<std::string, worker_entry>& workers() const { return workers_; }
  worker_entry* FindWorker(const std::string& id);
  /// Run time to expect of one task of `step` of `job`.
  std::chrono::milliseconds ExpectedTime(const job_entry& job, const step_request& step) const {
    return run_times_.Predict(job.submission.queue, step.estimate);
  }
  const pool_config* config() const { return config_.get(); }
  const pool_settings& settings() const { return settings_; }
  work_unit* FindUnit(const unit_position& position);
  std::int64_t epoch() const { return epoch_; }

 private:
  struct task_place {
    job_entry* job = nullptr;
    unit_position position;
    work_unit* unit = nullptr;
    unit_member* member = nullptr;
    const step_request* step = nullptr;
  };
  // Finds the member that `task` names.
  std::optional<task_place> FindTask(const std::string& task);
  // Records an event.
  void AddEvent(pool_event_kind kind, const std::string& job, const std::string& task, std::int64_t run,
                const std::string& worker, std::string reason);
  // Frees what the member's run holds.
  void Release(const task_place& place);
  // Puts the member's run on `worker`.
  void Occupy(const task_place& place, worker_entry& worker, run_phase phase);
  // Marks a run to be stopped and queues the order.
  void OrderStop(const task_place& place);
  // Stops the other members of a gang after one has gone without the worker's telling the others.
  void StopOthers(const task_place& place);
  void TakeEnd(worker_entry& worker, const listed_end& end, boot_time now);
  void TakeRunning(worker_entry& worker, const listed_run& run, boot_time now);
  void TakeFailure(const task_place& place, worker_entry& worker, std::int64_t run, boot_time now);
  void TakeDone(const task_place& place, boot_time now);
  // Releases the runs on `worker` that the lists prove to be gone.
  void ReleaseAbsent(worker_entry& worker, const std::set<std::string>& present, std::int64_t order);
  void TakeForeignRun(worker_entry& worker, const listed_run& run);
  // Takes in that the member's run is there.
  void BeginRunning(const task_place& place, boot_time now);
  // Ends the runs on a worker that was born anew. A start that it has not answered may still reach the new
  // life, so it is stopped there first.
  void TakeRebirth(worker_entry& worker);
  // Releases all runs on `worker`; nothing of them runs any more.
  void LoseRuns(worker_entry& worker, const std::string& reason);
  // Takes in that all runs on `worker` are known. Units that were recorded there may start again.
  void ResolveWorker(worker_entry& worker);
  void FinishJob(job_entry& job, job_phase phase, boot_time now);
  void StopJob(job_entry& job);
  // Marks the steps whose predecessors are done as ready.
  void ReadySteps(const job_request& request, occurrence_progress& occurrence, boot_time now);
  void MarkChanged(const job_entry& job, bool urgent);

  const pool_settings settings_;
  const std::int64_t epoch_;
  std::shared_ptr<const pool_config> config_;
  std::map<std::string, job_entry> jobs_;
  std::map<std::string, worker_entry> workers_;
  // Units by worker that they are unresolved on.
  std::map<std::string, std::vector<unit_position>> unresolved_units_;
  // Workers known at the start whose first answer is awaited.
  std::set<std::string> unmet_workers_;
  run_time_model run_times_;
  std::int64_t order_ = 0;
  std::vector<worker_order> orders_;
  std::vector<pool_event> events_;
  std::set<std::string> changed_;
  bool urgent_change_ = false;
};

}  // namespace hickorystall::state::pool
