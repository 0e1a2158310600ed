#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/config/cluster_config.h"

namespace hickorystall::state {

/// Wall-clock time in milliseconds. It is comparable across restarts and orders jobs by age. No safety
/// property depends on it.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Life cycle of a job. The last four are final.
enum class job_state { kQueued, kStarting, kRunning, kReclaiming, kFinished, kFailed, kCancelled, kRefused };

/// Returns the name of `value` that rows and responses use, such as "queued".
std::string_view JobStateName(job_state value);
/// Returns the state called `name`, or nothing.
std::optional<job_state> ParseJobState(std::string_view name);
/// True for a state that a job never leaves.
bool IsFinal(job_state value);
/// True while the job holds workers: starting, running or reclaiming.
bool HoldsWorkers(job_state value);

/// Request for a job. Sizes are per member.
struct job_spec {
  /// Kind of work, as defined in the rules of the configuration.
  std::string kind;
  /// Members of the gang; 1 for a single task.
  int members = 1;
  /// Accelerators; they are adjacent on one VM.
  int accelerators = 0;
  int processors = 1;
  /// Memory in MiB.
  std::int64_t memory_mib = 1024;
  /// How close together the members must be.
  adjacency placement = adjacency::kNone;
  /// Declared run time, which may be inaccurate; zero when none is declared.
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

/// Worker and accelerators of one member.
struct member_placement {
  /// Name of the worker.
  std::string vm;
  /// Indices of its accelerators, ascending and contiguous.
  std::vector<int> accelerators;

  friend bool operator==(const member_placement&, const member_placement&) = default;
};

/// A job with its state, as stored in the table.
struct job_record {
  /// Identifier, unique in the pool.
  std::string id;
  /// Name of the workspace that submitted it.
  std::string workspace;
  job_spec spec;
  job_state state = job_state::kQueued;
  /// Time at which it was accepted.
  wall_time submitted_at;
  /// Start of the current attempt; meaningful only while the job holds workers.
  wall_time started_at;
  /// Time at which it reached a final state.
  wall_time finished_at;
  /// Number of the current or last attempt, from 1; 0 before the first.
  int attempt = 0;
  /// Attempts that failed because of a worker or the task itself.
  int failures = 0;
  /// One entry per member while the job holds workers.
  std::vector<member_placement> placement;
  /// Last checkpoint of each member; empty when there is none.
  std::vector<std::string> checkpoints;
  /// Run time that the last checkpoint preserves.
  std::chrono::milliseconds preserved{0};
  /// True when a cancellation was accepted but not all members have stopped.
  bool cancel_requested = false;
  /// Why the job waits, was refused or failed, in one sentence.
  std::string reason;
};

/// Returns the lease id of one member's task. It names the job, attempt and member, so that no two attempts
/// share a lease.
std::string TaskLeaseId(std::string_view job_id, int attempt, int member);

}  // namespace hickorystall::state
