#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/pool/evacuation.h"
#include "state/pool/job_entry.h"
#include "state/pool/learning/learned_state.h"
#include "state/pool/learning/run_time_model.h"
#include "state/pool/learning/worker_speed_model.h"
#include "state/pool/placement/speed_need.h"
#include "state/pool/pool_config.h"
#include "state/pool/pool_event.h"
#include "state/pool/pool_settings.h"
#include "state/pool/worker_entry.h"

namespace hickorystall::state::pool {

/// A start or stop that the owner must send to a worker.
struct worker_order {
  /// True for a start, false for a stop.
  bool is_start = false;
  /// Id of the worker that receives the order.
  std::string worker;
  /// Task name.
  std::string task;
  /// Number of the run to start or stop.
  std::int64_t run = 0;
  /// For a start: payload of the job, and checkpoint to resume from; empty if there is none.
  std::string payload;
  std::string checkpoint;
};

/// Result of sending a start to a worker.
enum class start_reply {
  /// The run exists on the worker.
  kAccepted,
  /// The worker started nothing, so the run need not be tracked any longer.
  kRefused,
  /// As `kRefused`, because the worker is unhealthy.
  kWorkerUnhealthy,
  /// No reply in time. The run may start at any time until the lease of the order expires.
  kNoReply,
  /// The start was not sent, because the store did not take its record in time.
  kNotRecorded,
};

/// State of one pool under one ownership: jobs, workers, and what runs where. It applies what workers,
/// clients and operators report, and collects the orders that result. Reads no clock. Not thread-safe.
class pool_state {
 public:
  pool_state(pool_settings settings, std::int64_t epoch);
  // Entries refer to each other by pointer.
  pool_state(const pool_state&) = delete;
  pool_state& operator=(const pool_state&) = delete;

  /// Replaces the current configuration.
  void SetConfig(std::shared_ptr<const pool_config> config);

  /// Replaces the evacuated failure domains, which were current at `fresh_at`. `evacuations` must not be
  /// null. Starts on their workers that were never sent are given up, and those without a reply are stopped,
  /// each with its whole gang. Runs continue.
  void SetEvacuations(std::shared_ptr<const evacuation_set> evacuations, boot_time fresh_at, boot_time now);
  /// The evacuated failure domains; not null.
  const std::shared_ptr<const evacuation_set>& evacuations() const { return evacuations_; }
  /// Returns whether the failure domain of `worker` is evacuated.
  bool IsEvacuated(const std::string& worker) const;

  /// Starts nothing of `job` until its progress is stored again.
  void HoldUntilStored(const std::string& job);
  /// Adds a job that is new or was loaded from the store. Does nothing if the job is known.
  void AddJob(job_entry job, boot_time now);
  /// Cancels a job unless it is final.
  void CancelJob(const std::string& id, boot_time now);
  /// Removes final jobs without active units that ended before `limit`. Returns their ids.
  std::vector<std::string> ForgetJobs(boot_time limit);
  /// Creates the occurrences that are due at `wall_now` and marks their first steps as ready.
  void MakeDueOccurrences(boot_time now, unix_time wall_now);

  /// Applies a new or updated registration. If it is of a later incarnation, the runs of the earlier one are
  /// lost.
  void SetRegistration(const worker_registration& registration, boot_time now);
  /// Marks a worker as no longer registered. Its runs are kept until their end is known.
  void RemoveRegistration(const std::string& id);
  /// Replaces the stored list of workers: addresses by id. Only a worker that it names with its present
  /// address may get orders, since a later owner asks the workers of this list what they run.
  void SetRecordedWorkers(std::map<std::string, std::string> addresses);
  /// Returns the stored list of workers.
  const std::map<std::string, std::string>& recorded_workers() const { return recorded_workers_; }
  /// Adds a worker that the records of earlier owners name, whether or not it is registered. `address` is
  /// empty if the records do not contain it. Leases granted by earlier owners expire by `lease_bound`.
  void AddRecordedWorker(const std::string& id, const std::string& address, boot_time lease_bound);
  /// Handles that another incarnation replied at the address of `worker`: the known one has ended, with
  /// everything that it ran.
  void HandleIncarnationMismatch(const std::string& worker);
  /// Keeps the units that an earlier owner recorded as started from being started again before
  /// `authority_end`, until which that owner may repeat its orders.
  void HoldRecordedStarts(boot_time authority_end);
  /// Makes `HaveAllWorkersReplied` wait for every worker that is known now.
  void AwaitFirstReplies();
  /// Returns whether each awaited worker has replied or become unreachable. Planning earlier would overload
  /// the workers that replied first, and stop other work there to make room.
  bool HaveAllWorkersReplied() const { return workers_awaiting_first_reply_.empty(); }
  /// Returns the workers that stored records name and whose running tasks are not known yet.
  std::set<std::string> UnresolvedWorkers() const;

  /// Returns the number of the next call to a worker. Numbers increase, so that replies can be ordered by
  /// them.
  std::int64_t NextCallNumber() { return ++last_call_number_; }
  /// The lease of `worker` must not be withheld. Grants a lease at `now` and returns its deadline on the
  /// clock of `worker`. Extends the lease bound of the worker accordingly.
  worker_time GrantLease(const std::string& worker, boot_time now);
  /// Applies the lists of `worker` that were requested by the call `call_number`. Lists with 500 ends may be
  /// incomplete, so they do not show that an unlisted run has ended. Returns the highest sequence number of
  /// an end.
  std::int64_t ApplyWorkerLists(const std::string& worker, const worker_lists& lists,
                                std::int64_t call_number, boot_time now);
  /// Withholds leases from `workers` and from no others: their silence may be stored.
  void WithholdLeases(std::set<std::string> workers);
  /// Returns the upper bounds of the leases of the workers that may have runs and have not replied for some
  /// time. No start is repeated to them, so the bounds hold until a lease is granted again.
  std::map<std::string, boot_time> LeasesOfSilentWorkers(boot_time now) const;
  /// Returns the upper bound of the time from the grant of a lease to its end.
  std::chrono::milliseconds MaxLeaseTime() const;
  /// Returns whether the worker is known and has replied to the latest call of this owner.
  bool IsReplying(const std::string& worker) const;
  /// Returns whether `worker` has replied at `time` or later and to each call since.
  bool HasRepliedSince(const std::string& worker, boot_time time) const;
  /// Handles a reply of `incarnation` of `worker` that confirms that this incarnation runs. Does nothing if
  /// another one is known: that is for its complete lists to show.
  void HandleIncarnationReply(const std::string& worker, std::int64_t incarnation, worker_time clock,
                              boot_time now);
  /// Handles the reply to an order that grants a lease until `deadline`.
  void HandleGrantReply(const std::string& worker, worker_time deadline, worker_time clock, boot_time now);
  /// Handles that an order that grants a lease to `incarnation` of `worker` has no reply.
  void HandleUnansweredGrant(const std::string& worker, std::int64_t incarnation, boot_time sent_at);
  /// Stores a clock reading from any reply of `worker`.
  void UpdateWorkerClock(const std::string& worker, worker_time clock, boot_time now);
  /// Handles that `worker` did not reply to a call, for the given reason.
  void MarkUnreachable(const std::string& worker, const std::string& reason, boot_time now);
  /// Handles that the process of an unreachable worker has ended, with everything that it ran. Only runs that
  /// no late start can repeat are released; the others wait for the lease.
  void HandleProcessEnd(const std::string& worker);
  /// Records whether an attempt to start `run` of `task` waits for its reply.
  void SetStartInFlight(const std::string& task, std::int64_t run, bool in_flight);
  /// Records that one attempt to start `run` of `task` on `worker` had no reply until `now`.
  void MarkStartUnanswered(const std::string& worker, const std::string& task, std::int64_t run,
                           boot_time now);
  /// Handles the result of the start of `run` of `task`.
  void HandleStartReply(const std::string& task, std::int64_t run, start_reply reply, boot_time now);
  /// Handles the confirmation of the stop of `run` of `task` by `worker`.
  void HandleStopReply(const std::string& worker, const std::string& task, std::int64_t run);
  /// Marks the runs on unreachable workers as lost once their lease bound is at or before `confirmed_at`,
  /// the time at which the ownership was last confirmed. Until then no other VM was the owner, so none can
  /// have renewed the leases.
  void ExpireLeases(boot_time now, boot_time confirmed_at);

  /// Starts the unit at `position`, with one entry of `workers` for each member. See
  /// `planned_start::is_remote`. `speeds` is for the log.
  void StartUnit(const unit_position& position, const std::vector<std::string>& workers, boot_time now,
                 bool is_remote = false, const start_speeds& speeds = {});
  /// Stops all runs of the unit at `position`. Its checkpoint is kept.
  void StopUnit(const unit_position& position, const std::string& reason);

  /// Counts that the unit at `position` was stopped in favor of a more urgent one.
  void CountPreemption(const unit_position& position);
  /// Starts nothing on `worker` for some time, which doubles with each consecutive failure there.
  void AvoidWorker(const std::string& worker, const std::string& reason, boot_time now);

  /// Returns the orders to send that were collected since the last call.
  std::vector<worker_order> TakeOrders();
  /// Returns the events collected since the last call.
  std::vector<pool_event> TakeEvents();
  /// Returns the ids of the jobs whose progress has changed since the last call and must be stored.
  std::set<std::string> TakeChangedJobs();
  /// Returns whether a client or worker waits for one of the changes that `TakeChangedJobs` would return.
  bool has_urgent_change() const { return urgent_change_; }
  /// Returns whether `order` still has to be sent.
  bool IsOrderDue(const worker_order& order) const;

  /// Returns the maximum number of attempts for units of `job`: the one in the current configuration of its
  /// queue, or else the one at its submission.
  int MaxAttempts(const job_entry& job) const;

  /// Returns the rules of the queue of `job` in the current configuration, or null if there are none.
  const queue_rules* RulesOf(const job_entry& job) const;

  /// Jobs that are not final or still have active units, by id. Planning visits only these, so its cost does
  /// not depend on how many final jobs are kept for queries.
  const std::map<std::string_view, job_entry*>& open_jobs() const { return open_jobs_; }
  const std::map<std::string, job_entry>& jobs() const { return jobs_; }
  std::map<std::string, job_entry>& jobs() { return jobs_; }
  const std::map<std::string, worker_entry>& workers() const { return workers_; }
  /// Returns null if the worker is unknown.
  worker_entry* FindWorker(const std::string& id);
  /// Returns the expected run time of one task of `step` on a worker of average speed.
  std::chrono::milliseconds ExpectedTime(const job_entry& job, const step_request& step) const {
    return PredictTime(job, step).median;
  }
  /// Returns the expected run time of one task of `step` on a worker of average speed, with its quantiles.
  learning::run_time_prediction PredictTime(const job_entry& job, const step_request& step) const {
    return run_times_.Predict(GroupOf(job, step), step.estimate);
  }
  /// Returns how long a task of `step` that has run on `worker` for `ran` is expected to take still.
  std::chrono::milliseconds RemainingTime(const job_entry& job, const step_request& step,
                                          const worker_entry& worker, std::chrono::milliseconds ran) const;
  /// Returns the expected run time of one task of `step` on `worker`.
  std::chrono::milliseconds ExpectedTime(const job_entry& job, const step_request& step,
                                         const worker_entry& worker) const {
    return learning::TimeAtSpeed(ExpectedTime(job, step), worker.speed);
  }
  /// Returns the class of the learned speed of a worker; kNormal if the worker is unknown.
  learning::speed_class SpeedClass(const std::string& worker) const;
  const learning::worker_speed_model& speeds() const { return speeds_; }
  const learning::run_time_model& run_times() const { return run_times_; }
  /// Returns what was learned of run times and speeds, for a later owner.
  learning::learned_state ExportLearned() const;
  /// Takes over what an earlier owner has learned. Speeds of incarnations that no longer run are left out.
  void ImportLearned(const learning::learned_state& learned, boot_time now);
  const pool_config* config() const { return config_.get(); }
  const pool_settings& settings() const { return settings_; }
  /// Returns null if the unit does not exist.
  work_unit* FindUnit(const unit_position& position);
  std::int64_t epoch() const { return epoch_; }

 private:
  // A task with the job, step, unit and member that it belongs to. No pointer is null in a result of
  // `FindTask`.
  struct task_location {
    job_entry* job = nullptr;
    unit_position position;
    work_unit* unit = nullptr;
    unit_member* member = nullptr;
    const step_request* step = nullptr;
  };
  // Registered workers of a failure domain, and runs that it has or may have.
  struct domain_load {
    int workers = 0;
    int runs = 0;
  };
  domain_load LoadOfDomain(const std::string& domain) const;
  // Sets `worker_entry::evacuated`, and gives up the starts that a new evacuation concerns.
  void UpdateEvacuated(worker_entry& worker);
  // Gives up the start of `task` at `location` together with the other members of its unit.
  void GiveUpUnit(const task_location& location, const std::string& task);
  // Returns the location of the task with the given name, or nullopt if the name is malformed or unknown.
  std::optional<task_location> FindTask(const std::string& task);
  void AddEvent(pool_event_kind kind, const std::string& job, const std::string& task, std::int64_t run,
                const std::string& worker, std::string reason);
  // Frees the capacity that the run of the member holds, and resets the member to idle.
  void Release(const task_location& location);
  // Assigns a run of an idle member to `worker` and takes the capacity for it.
  void Allocate(const task_location& location, worker_entry& worker, run_phase phase);
  // Marks the run of the member as stopping and queues the order.
  void OrderStop(const task_location& location);
  // Stops the other members of a gang after the run of one was lost or refused, which the worker does not
  // report to the other workers.
  void StopOtherMembers(const task_location& location);
  // Applies an end that is listed and not acknowledged.
  void ApplyEnd(worker_entry& worker, const listed_end& end, boot_time now);
  // Applies an active run that is listed. It may have been started by an earlier owner.
  void ApplyRunning(worker_entry& worker, const listed_run& run, worker_time clock, boot_time now);
  static learning::task_group_view GroupOf(const job_entry& job, const step_request& step) {
    return {job.submission.workspace, job.submission.queue, step.need.accelerators, step.gang};
  }
  // Learns the run time of a task from the run of a unit that is done. Must be called before the members are
  // released.
  void LearnRunTime(const task_location& location, boot_time now);
  // Learns the speed of `worker` from the time that a task of the unit takes there.
  void LearnSpeed(const task_location& location, worker_entry& worker, const learning::measured_time& time,
                  boot_time now);
  // Brings the learned speeds of all workers to the same scale, if that is due.
  void NormalizeSpeeds(boot_time now);
  // Forgets what was learned of the speed of `worker`, whose incarnation has ended.
  void ForgetSpeed(worker_entry& worker);
  // Takes over a checkpoint that a worker listed. Returns false if there is none or it is too long; an
  // earlier one is then kept.
  bool TakeCheckpoint(work_unit& unit, const std::string& checkpoint) const;
  void SetAvoided(worker_entry& worker, const std::string& reason, boot_time now);
  void ApplyFailure(const task_location& location, worker_entry& worker, std::int64_t run, boot_time now);
  void ApplyDone(const task_location& location, boot_time now);
  // Releases the runs on `worker` that are missing from the lists requested by the call `call_number`, if
  // their start or stop was confirmed before that call.
  void ReleaseUnlistedRuns(worker_entry& worker, const std::set<std::string>& listed_tasks,
                           std::int64_t call_number);
  // Orders the stop of a listed run that no unit accounts for, and counts its capacity until it is gone.
  void StopForeignRun(worker_entry& worker, const listed_run& run);
  // Marks a queued job as running: a worker has begun one of its tasks. An ordered start does not show that.
  void MarkBegun(job_entry& job);
  // Orders the stop of each run whose start may still reach the new incarnation of a restarted worker.
  void RejectLateStarts(worker_entry& worker, boot_time now);
  // Marks the run of the member as confirmed.
  void MarkRunning(const task_location& location, boot_time now);
  // Reports the runs on a restarted worker as lost. A start that was sent before may still reach the new
  // incarnation, so each run is stopped there before its unit can start again.
  void HandleWorkerRestart(worker_entry& worker, boot_time now);
  // Releases all runs on `worker`, none of which is active any longer.
  void MarkRunsLost(worker_entry& worker, const std::string& reason);
  // Sets `worker_entry::recorded` from the stored list of workers.
  void UpdateRecorded(worker_entry& worker) const;
  // Marks the runs on `worker` as known, so that units that were recorded on it may start again.
  void ResolveWorker(worker_entry& worker);
  void FinishJob(job_entry& job, job_phase phase, boot_time now);
  void StopJob(job_entry& job);
  // Marks the steps as ready whose earlier steps (`step_request::after`) are done.
  void MarkReadySteps(const job_request& request, occurrence_progress& occurrence, boot_time now);
  // Queues the progress of `job` to be stored; `urgent` if a client or worker waits for that.
  void MarkChanged(const job_entry& job, bool urgent);

  const pool_settings settings_;
  const std::int64_t epoch_;
  std::shared_ptr<const pool_config> config_;
  std::shared_ptr<const evacuation_set> evacuations_ = std::make_shared<const evacuation_set>();
  // Rules of `config_` by queue name. A configuration can have more than a thousand queues.
  std::unordered_map<std::string_view, const queue_rules*> rules_by_queue_;
  std::map<std::string, job_entry> jobs_;
  std::map<std::string_view, job_entry*> open_jobs_;
  std::map<std::string, worker_entry> workers_;
  // Addresses by id of the workers that the store names.
  std::map<std::string, std::string> recorded_workers_;
  // Workers that must not get a lease.
  std::set<std::string> withheld_leases_;
  // Units that cannot start because of an unresolved worker, by worker id.
  std::map<std::string, std::vector<unit_position>> unresolved_units_;
  // Workers that `HaveAllWorkersReplied` waits for.
  std::set<std::string> workers_awaiting_first_reply_;
  learning::run_time_model run_times_;
  learning::worker_speed_model speeds_;
  std::int64_t last_call_number_ = 0;
  std::vector<worker_order> orders_;
  std::vector<pool_event> events_;
  std::set<std::string> changed_;
  bool urgent_change_ = false;
};

}  // namespace hickorystall::state::pool
