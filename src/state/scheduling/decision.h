#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "state/config/cluster_config.h"
#include "state/scheduling/job.h"

namespace hickorystall::state {

/// Runtime state of a worker, in addition to its entry in the inventory.
struct worker_status {
  /// False while the worker is leaving, drained, unreachable or lost.
  bool available = true;
  /// Consecutive tasks that failed on the worker.
  int failures_in_row = 0;
  /// End of the probation after failures, until which the worker gets no new task. Afterwards it gets one
  /// single-member task at a time as a trial, until one succeeds. Set by RecordOutcome.
  wall_time probation_until;
};

/// Run times observed for a kind of work in a workspace, used to correct the declared ones.
struct learned_kind {
  /// Finished runs observed.
  int samples = 0;
  /// Geometric mean of actual over declared run time. Set by LearnRunTime.
  double run_time_ratio = 1.0;
};

/// Everything that a decision depends on, besides the time.
struct scheduling_snapshot {
  /// Configuration in force. Not null.
  const cluster_config* config = nullptr;
  /// Jobs that have not reached a final state, by id.
  std::map<std::string, job_record> jobs;
  /// Status by worker name; a worker without an entry counts as available, with no failures.
  std::map<std::string, worker_status> workers;
  /// Observed run times by "WORKSPACE/KIND".
  std::map<std::string, learned_kind> learned;
};

/// Kind of action that the scheduler must carry out.
enum class command_kind {
  /// Starts the queued job on `placement`.
  kStart,
  /// Stops a running job to free its workers, and queues it again.
  kReclaim,
  /// Refuses a queued job that can never run.
  kRefuse,
};

/// One action of a decision.
struct scheduling_command {
  command_kind kind = command_kind::kStart;
  std::string job_id;
  /// Placement of each member for kStart, else empty.
  std::vector<member_placement> placement;
  /// Reason in one sentence, for logs, dumps and clients.
  std::string reason;
};

/// Result of a decision.
struct scheduling_decision {
  /// Commands, to be carried out in this order.
  std::vector<scheduling_command> commands;
  /// Reason why each job that stays queued waits, by job id.
  std::map<std::string, std::string> waiting;
};

/// Decides what to start, reclaim and refuse at `now`. The result depends only on the snapshot and the time.
/// A gang is placed whole or not at all. A job that needs other jobs to be reclaimed first is started by a
/// later decision, once the capacity is free.
scheduling_decision Decide(const scheduling_snapshot& snapshot, wall_time now);

/// Returns the reason why `spec` of `workspace` can never run under `config`, or an empty string when it can.
std::string ExplainImpossible(const cluster_config& config, const workspace_config& workspace,
                              const job_spec& spec);

}  // namespace hickorystall::state
