#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "state/pool/job_request.h"
#include "state/pool/learning/progress_meter.h"
#include "state/pool/pool_time.h"

namespace hickorystall::state::pool {

struct worker_entry;

/// State of a job as clients see it. `kCompleted`, `kFailed` and `kCancelled` are final.
enum class job_phase { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/// Returns the name of `phase` as used in stored rows and logs.
std::string_view JobPhaseName(job_phase phase);
/// Returns the phase with the given name, or nullopt if there is none.
std::optional<job_phase> ParseJobPhase(std::string_view name);
/// Returns whether `phase` is final: a job never leaves it.
bool IsFinal(job_phase phase);

/// State of the run of one task.
enum class run_phase {
  /// No run exists.
  kIdle,
  /// The start was ordered, but the worker has neither confirmed nor listed the run.
  kOrdered,
  /// The worker has confirmed or listed the run.
  kRunning,
  /// A stop was sent or is waiting to be sent.
  kStopping,
};

/// One task of a unit, with the state of its latest run.
struct unit_member {
  run_phase phase = run_phase::kIdle;
  /// Id of the worker that the run is on; empty while idle.
  std::string worker;
  /// Entry of that worker; null while idle. Stays valid, since a worker with assigned tasks is not removed.
  const worker_entry* host = nullptr;
  /// True once the worker has confirmed the start or listed the run.
  bool confirmed = false;
  /// True if an attempt to start the run had no reply, or an earlier owner started it. The worker's next
  /// incarnation may then still execute that start.
  bool may_start_late = false;
  /// True while an attempt to start the run waits for its reply.
  bool start_in_flight = false;
  /// True once the worker has replied to the stop.
  bool stop_confirmed = false;
  /// Call number taken at the latest reply about this run. Lists requested by an earlier call may predate the
  /// run, so its absence from them does not show that it has ended. 0 while there is no reply.
  std::int64_t last_reply_call = 0;
  /// Progress in percent, 0 to 100.
  int percent = 0;
  /// When `percent` last changed.
  boot_time progress_at{};
  /// Measures the speed of the run.
  learning::progress_meter meter;
};

/// Tasks that start, run and end together: all tasks of a gang, or one task of any other step.
struct work_unit {
  /// Index of the first task in its step.
  int first_task = 0;
  /// One entry per task, in the order of their indices.
  std::vector<unit_member> members;
  /// True once the unit has completed successfully.
  bool done = false;
  /// Numbers of the runs that failed. Each counts as one attempt, although the members of a gang share a run
  /// and the same end may be listed to several owners. Ends on different workers are read in any order.
  std::set<std::int64_t> failed_runs;
  /// Number of the latest run, 0 before the first start. Numbers increase across owners.
  std::int64_t last_run = 0;
  /// Workers on which an earlier owner recorded the run `last_run` and whose running tasks this owner does
  /// not know yet. The unit is not started anywhere until they are known for all of these workers.
  std::set<std::string> unresolved_workers;
  /// Until this time an earlier owner may repeat its start of the run `last_run`, on a worker that restarted
  /// and so lost this owner's fencing token. The unit is not started before then; a listed run is still
  /// applied.
  boot_time repeatable_until{};
  /// Latest checkpoint; empty for none.
  std::string checkpoint;
  /// Number of times that this owner stopped the unit in favor of a more urgent one.
  int preemptions = 0;
  /// True once this owner has stopped the unit, a gang, to start it on faster workers.
  bool is_moved = false;
  /// Workers on which the unit has failed or that refused to start it; placement avoids them if it can.
  std::set<std::string> failed_on;
  /// When the step of the unit became ready.
  boot_time ready_at{};
  /// True while the latest run does all of the work at full speed, so that the run time model can learn from
  /// its duration.
  bool is_run_time_sample = false;
  /// True if the tasks of the latest run may take longer because of where they are. See
  /// `planned_start::is_remote`.
  bool is_remote = false;
  /// When the latest run was ordered; moved to the time at which the worker confirms it or first lists it.
  /// Estimated from its progress if an earlier owner started it.
  boot_time started_at{};

  /// Returns whether no task of the unit runs or may run.
  bool IsIdle() const;
  /// Returns the number of failed attempts.
  int failures() const { return static_cast<int>(failed_runs.size()); }
};

/// Progress of one step in one occurrence of a job.
struct step_progress {
  std::vector<work_unit> units;
  /// Number of units that are not done.
  int open_units = 0;
  /// True once all steps that this one depends on are done.
  bool ready = false;
};

/// Progress of one occurrence of a job.
struct occurrence_progress {
  /// Indexed by step number.
  std::vector<step_progress> steps;

  /// Returns whether all units of all steps are done.
  bool IsDone() const;
};

/// The part of a job that is stored at submission and never changes.
struct job_submission {
  /// Chosen by the client.
  std::string id;
  /// Name of the workspace that submitted the job.
  std::string workspace;
  /// Name of the queue. The members up to `target_latency` are its rules at submission. Where the current
  /// configuration has a queue of this name, its service, priority and maximum number of attempts take
  /// precedence; `stretch` and `target_latency` remain those at submission.
  std::string queue;
  std::string service;
  int priority = 0;
  int max_attempts = 1;
  double stretch = 1.0;
  std::chrono::milliseconds target_latency{0};
  unix_time accepted_at{};
  job_request request;
};

/// A job as known to the owner of the pool.
struct job_entry {
  job_submission submission;
  job_phase phase = job_phase::kQueued;
  /// Occurrences by number; each is created when it is due.
  std::map<int, occurrence_progress> occurrences;
  /// Numbers of the occurrences that are done.
  std::set<int> finished_occurrences;
  /// When the job was accepted, on this VM's clock: the time at which this owner learned of it, less the
  /// job's age at that time.
  boot_time accepted_at{};
  /// Version of the stored row that holds the progress.
  std::int64_t row_version = 0;
  /// Upper bound of the number of stored rows that continue that row.
  std::size_t extra_rows = 0;
  /// True while the store does not take the progress, until its next write is confirmed. No unit starts then.
  bool is_unstored = false;
  /// When a task of the job last ran on a reachable worker, as seen by the latest planning pass. Zero if none
  /// has run under this owner.
  boot_time last_run_at{};
  /// When the job became final; empty before.
  std::optional<boot_time> final_at;
  /// Returns whether any unit of the job runs or may run.
  bool HasActiveUnits() const;
};

/// Identifies a unit by job, occurrence, step and index within the step.
struct unit_position {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int unit = 0;
  friend bool operator<(const unit_position& left, const unit_position& right) {
    return std::tie(left.job, left.occurrence, left.step, left.unit) <
           std::tie(right.job, right.occurrence, right.step, right.unit);
  }
  friend bool operator==(const unit_position&, const unit_position&) = default;
};

/// Returns the name of a task on workers: JOB.OCCURRENCE.STEP.INDEX.
std::string TaskName(std::string_view job, int occurrence, int step, int index);

/// Components of a task name.
struct task_name_parts {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;
};
/// Parses a task name. Returns nullopt if it is malformed.
std::optional<task_name_parts> ParseTaskName(std::string_view name);

/// Creates the units of all steps for one occurrence of `request`.
occurrence_progress MakeOccurrence(const job_request& request);

}  // namespace hickorystall::state::pool
