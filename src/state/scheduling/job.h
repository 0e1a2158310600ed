#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/config/cluster_config.h"

namespace hickorystall::state {

/// Wall-clock time in milliseconds. It outlives a process and orders jobs by age; no safety property rests on
/// it.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Life cycle of a job. The last four are final.
enum class job_state { kQueued, kStarting, kRunning, kReclaiming, kFinished, kFailed, kCancelled, kRefused };

/// Returns the name of `value` as it stands in rows and answers, such as "queued".
std::string_view JobStateName(job_state value);
/// Returns the state called `name`, or nothing.
std::optional<job_state> ParseJobState(std::string_view name);
/// True for a state that a job never leaves.
bool IsFinal(job_state value);
/// True while the job holds workers: starting, running or reclaiming.
bool HoldsWorkers(job_state value);

/// What a caller asks for. Sizes are per member.
struct job_spec {
  /// Kind of work, from the rules.
  std::string kind;
  /// Members of the gang; 1 for a single task.
  int members = 1;
  /// Accelerators, adjacent on one VM.
  int accelerators = 0;
  /// Processor cores.
  int processors = 1;
  /// Memory in MiB.
  std::int64_t memory_mib = 1024;
  /// How close together the members must be.
  adjacency placement = adjacency::kNone;
  /// Declared run time; may be far off.
  std::chrono::milliseconds run_time{0};
  /// Time from submission by which the job must have finished; zero for none.
  std::chrono::milliseconds deadline{0};
  /// True when the job may be delayed or reclaimed.
  bool may_wait = true;
  /// True when the job can continue from a checkpoint.
  bool may_checkpoint = false;
  /// True for work that must start within 4.3 s.
  bool urgent = false;
};

/// Where one member runs.
struct member_placement {
  /// Name of the worker VM.
  std::string vm;
  /// Indices of its accelerators, ascending and contiguous.
  std::vector<int> accelerators;

  friend bool operator==(const member_placement&, const member_placement&) = default;
};

/// A job with its state, as it is kept in the table.
struct job_record {
  /// Identifier, unique in the pool.
  std::string id;
  /// Workspace that submitted it.
  std::string workspace;
  /// What was asked for.
  job_spec spec;
  /// Where it is in its life cycle.
  job_state state = job_state::kQueued;
  /// When it was accepted.
  wall_time submitted_at;
  /// When its current attempt was started; meaningful while it holds workers.
  wall_time started_at;
  /// When it reached a final state.
  wall_time finished_at;
  /// Number of the current or last attempt, from 1; 0 before the first.
  int attempt = 0;
  /// Attempts that failed because of a worker or of the task itself.
  int failures = 0;
  /// One entry a member while the job holds workers.
  std::vector<member_placement> placement;
  /// Last checkpoint of each member; empty when there is none.
  std::vector<std::string> checkpoints;
  /// Run time that the last checkpoint preserves.
  std::chrono::milliseconds preserved{0};
  /// True when a cancel was taken up but the members have not all stopped.
  bool cancel_requested = false;
  /// Why the job waits, was refused or failed, in one sentence.
  std::string reason;
};

/// Lease of one member's task: names job, attempt and member, so that no two attempts share one.
std::string TaskLeaseId(std::string_view job_id, int attempt, int member);

}  // namespace hickorystall::state
