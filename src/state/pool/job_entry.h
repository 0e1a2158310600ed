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
#include "state/pool/pool_time.h"

namespace hickorystall::state::pool {

/// State of a job as clients see it. The last three are final.
enum class job_phase { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/// Returns the name of `phase` in rows and logs.
std::string_view JobPhaseName(job_phase phase);
/// Returns the phase called `name`, or nothing.
std::optional<job_phase> ParseJobPhase(std::string_view name);
/// True for a phase that a job never leaves.
bool IsFinal(job_phase phase);

/// Where the run of one task stands.
enum class run_phase {
  /// Nothing runs.
  kIdle,
  /// The start was sent and no list has shown the run.
  kOrdered,
  /// The worker has confirmed or listed it.
  kRunning,
  /// A stop was sent or must be sent.
  kStopping,
};

/// One task of a unit.
struct unit_member {
  /// Where its run stands.
  run_phase phase = run_phase::kIdle;
  /// Id of the worker that has it; empty while idle.
  std::string worker;
  /// True once the worker has answered the start.
  bool confirmed = false;
  /// True once the worker has answered the stop.
  bool stop_confirmed = false;
  /// Order number of the latest answer about this run; lists that were asked for earlier prove nothing.
  std::int64_t answered_order = 0;
  /// Progress in percent.
  int percent = 0;
  /// When `percent` last changed.
  boot_time progress_at{};
};

/// What starts, runs and ends together: all tasks of a gang, or one task of another step.
struct work_unit {
  /// Index of the first task in its step.
  int first_task = 0;
  /// Its tasks.
  std::vector<unit_member> members;
  /// True when the work is done.
  bool done = false;
  /// Runs that ended failed. Each counts once, although a gang's members share a run and an end may be listed
  /// to several owners; the ends of different workers come in any order.
  std::set<std::int64_t> failed_runs;
  /// Number of the latest start.
  std::int64_t last_run = 0;
  /// Workers that the stored record names for that start, by an earlier owner, and of which this owner does
  /// not know yet what they run. The unit starts nowhere before that is known of all of them.
  std::set<std::string> unresolved_workers;
  /// Until then an earlier owner may repeat that start, on a worker that restarted and has forgotten this
  /// owner's token. The unit starts nowhere before, unless the run is listed.
  boot_time repeated_until{};
  /// Latest checkpoint; empty for none.
  std::string checkpoint;
  /// Workers on which it failed.
  std::set<std::string> failed_on;
  /// When it became ready to run.
  boot_time ready_at{};
  /// True when its latest run does the whole work at full speed, so that its length can be learned from.
  bool shows_run_time = false;
  /// When its latest run was ordered.
  boot_time started_at{};
  /// When `checkpoint` last changed.
  boot_time checkpoint_at{};

  /// True when nothing of it runs or may run.
  bool IsIdle() const;
  /// Attempts that ended failed.
  int failures() const { return static_cast<int>(failed_runs.size()); }
};

/// One occurrence of one step.
struct step_progress {
  /// Units of the step.
  std::vector<work_unit> units;
  /// Units that are not done.
  int open_units = 0;
  /// True once the units became ready.
  bool ready = false;
};

/// One occurrence of a job's steps.
struct occurrence_progress {
  /// Steps by number.
  std::vector<step_progress> steps;

  /// True when all units of all steps are done.
  bool IsDone() const;
};

/// What is stored of a job at its submission and never changes.
struct job_submission {
  /// Identifier, chosen by the client.
  std::string id;
  /// Workspace that submitted it.
  std::string workspace;
  /// Rules of its queue at that time; newer ones of the same name go first.
  std::string queue;
  std::string service;
  int priority = 0;
  int max_attempts = 1;
  double stretch = 1.0;
  std::chrono::milliseconds target_latency{0};
  /// Time of day at which it was accepted.
  unix_time accepted_at{};
  /// What to run.
  job_request request;
};

/// A job as the owner of the pool knows it.
struct job_entry {
  /// What was submitted.
  job_submission submission;
  /// State that clients see.
  job_phase phase = job_phase::kQueued;
  /// Occurrences by number; made when they are due.
  std::map<int, occurrence_progress> occurrences;
  /// Occurrences that are done and forgotten.
  std::set<int> finished_occurrences;
  /// When this owner learned of the job, less the time since it was accepted.
  boot_time accepted_at{};
  /// Version of the row that holds the progress.
  std::int64_t row_version = 0;
  /// When it became final.
  std::optional<boot_time> final_at;
  /// True while the job has units that run or may run.
  bool HasActiveUnits() const;
};

/// Position of a unit.
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

/// Name of a task on workers: JOB.OCCURRENCE.STEP.INDEX.
std::string TaskName(std::string_view job, int occurrence, int step, int index);

/// A task name taken apart.
struct task_name_parts {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;
};
/// Takes `name` apart; nothing when it is malformed.
std::optional<task_name_parts> ParseTaskName(std::string_view name);

/// Makes the units of all steps of one occurrence of `request`.
occurrence_progress MakeOccurrence(const job_request& request);

}  // namespace hickorystall::state::pool
