#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "state/config/cluster_config.h"
#include "state/scheduling/job.h"

namespace hickorystall::state {

/// What the scheduler knows of a worker besides its entry in the inventory.
struct worker_status {
  /// False while the worker is leaving, drained, silent or lost.
  bool available = true;
  /// Tasks in a row that failed on it.
  int failures_in_row = 0;
  /// Until when the worker gets no new task after failures. Afterwards it gets one single task at a time as a
  /// trial, until one succeeds. Set by RecordOutcome.
  wall_time probation_until;
};

/// Run times and sizes seen for a kind of work in a workspace, used in place of declared ones.
struct learned_kind {
  /// Finished runs seen.
  int samples = 0;
  /// Geometric mean of actual over declared run time. Set by LearnRunTime.
  double run_time_ratio = 1.0;
};

/// Everything a decision depends on, besides the time.
struct scheduling_snapshot {
  /// Configuration in force. Not null.
  const cluster_config* config = nullptr;
  /// Jobs that are not final, by id.
  std::map<std::string, job_record> jobs;
  /// Workers by name; one that is absent counts as available and unproven.
  std::map<std::string, worker_status> workers;
  /// Learned sizes by "WORKSPACE/KIND".
  std::map<std::string, learned_kind> learned;
};

/// What the scheduler must do next.
enum class command_kind {
  /// Start the queued job on `placement`.
  kStart,
  /// Take back the workers of a running job and queue it again.
  kReclaim,
  /// Refuse a queued job that can never run.
  kRefuse,
};

/// One command of a decision.
struct scheduling_command {
  /// What to do.
  command_kind kind = command_kind::kStart;
  /// Job that it is about.
  std::string job_id;
  /// Placement of the members, for kStart.
  std::vector<member_placement> placement;
  /// Why, in one sentence: for logs, dumps and the caller.
  std::string reason;
};

/// Result of a decision.
struct scheduling_decision {
  /// Commands in the order in which they must be carried out.
  std::vector<scheduling_command> commands;
  /// Why each job that stays queued waits, by job id.
  std::map<std::string, std::string> waiting;
};

/// Decides what to start, reclaim and refuse at `now`. Same snapshot and time, same result. A gang is placed
/// whole or not at all. A job whose reclaim is needed first is started by a later decision, when its capacity
/// is free.
scheduling_decision Decide(const scheduling_snapshot& snapshot, wall_time now);

/// Returns why `spec` of `workspace` can never run under `config`, or an empty string when it can.
std::string ExplainImpossible(const cluster_config& config, const workspace_config& workspace,
                              const job_spec& spec);

}  // namespace hickorystall::state
