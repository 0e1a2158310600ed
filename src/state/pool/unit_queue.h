#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "state/pool/pool_state.h"

namespace hickorystall::state::pool {

/// A late job earns credit up to this multiple of its objective.
inline constexpr int kLateObjectiveFactor = 3;

/// How a job is expected to end relative to its objective.
enum class deadline_outlook {
  /// It can end within its objective.
  kInTime,
  /// It can end within three times its objective, which still earns credit.
  kLate,
  /// It cannot end within that time either, but must still be completed.
  kMissed,
};

/// A step with units that are ready to start. Its pointers are not null and stay valid until the state
/// changes. The units of a step are identical, so they share their place in the queue.
struct waiting_step {
  const job_entry* job = nullptr;
  int occurrence = 0;
  /// Number of the step in its job.
  int number = 0;
  const step_request* request = nullptr;
  const step_progress* progress = nullptr;
  /// Indices of the units that may start now, in increasing order; not empty.
  std::vector<int> units;
  /// Priority of the queue; 0 is the highest.
  int priority = 0;
  /// True if the step has priority 0 and all open jobs of priority 0 of its workspace together fit into the
  /// guarantee of the workspace.
  bool is_guaranteed = false;
  deadline_outlook outlook = deadline_outlook::kInTime;
  /// True if the slack of the job is below `pool_settings::min_slack_share` of its objective.
  bool has_little_slack = false;
  /// Expected length of the critical path of the whole job.
  std::chrono::milliseconds critical_path{0};
  /// Time in which the job must end, from its acceptance or due time.
  std::chrono::milliseconds objective{0};
  /// Time by which the job must end to meet its objective.
  boot_time due{};

  unit_position Position(int unit) const { return {job->submission.id, occurrence, number, unit}; }
};

/// Returns the priority of the queue of `job`: that of the current configuration, or else that at submission.
int QueuePriority(const pool_state& state, const job_entry& job);

/// Returns the workspaces whose open jobs of priority 0 need no more accelerators than they are guaranteed.
std::set<std::string> WorkspacesWithinGuarantee(const pool_state& state);

/// Returns the expected time that the open steps of `occurrence` take with unlimited capacity: the length of
/// their critical path.
std::chrono::milliseconds RemainingCriticalPath(const pool_state& state, const job_entry& job,
                                                int occurrence);

/// Returns the steps with units that may start now, in the order in which they are considered. Guaranteed
/// steps come before all others. Within each of these two groups, steps with the outlook `kMissed` come last,
/// so that they do not delay the others; the order is otherwise by priority, outlook and due time.
/// `within_guarantee` is the result of `WorkspacesWithinGuarantee`.
std::vector<waiting_step> MakeStepQueue(const pool_state& state,
                                        const std::set<std::string>& within_guarantee, boot_time now,
                                        unix_time wall_now);

}  // namespace hickorystall::state::pool
