#pragma once

#include <string>
#include <vector>

#include "state/pool/pool_state.h"
#include "state/pool/wait_cause.h"

namespace hickorystall::state::pool {

/// Decision to start a unit.
struct planned_start {
  unit_position position;
  /// Worker id for each member of the unit.
  std::vector<std::string> workers;
  /// True if the placement may be away from the data or spread over racks, so that the tasks may take
  /// `pool_settings::remote_run_factor` times as long.
  bool is_remote = false;
  start_speeds speeds;
};

/// Decision to stop a unit.
struct planned_stop {
  unit_position position;
  /// Reason for the log.
  std::string reason;
  /// True if the unit makes room for a more urgent one.
  bool is_preemption = false;
  /// True if the unit, a gang, is stopped to be started on faster workers.
  bool is_move = false;
  /// Workers on which a task of the unit makes no progress.
  std::vector<std::string> stalled_on;
};

/// A step with ready units that the pass did not start.
struct unplaced_step {
  /// The first of these units.
  unit_position position;
  wait_cause cause = wait_cause::kNoCapacity;
};

/// Result of one planning pass.
struct pool_plan {
  std::vector<planned_stop> stops;
  std::vector<planned_start> starts;
  /// Number of ready units that were neither started nor given a reservation.
  int waiting = 0;
  /// One entry for each step with such units, and for each unit with a reservation.
  std::vector<unplaced_step> unplaced;
  /// Jobs of which a task runs on a reachable worker. The pointers are not null and belong to the state.
  std::vector<job_entry*> running_jobs;
};

/// Decides which units to start and stop at `now`. The result depends only on the arguments. A gang is placed
/// whole or not at all. Units of priority 0 that do not fit preempt other units, unless the outlook of their
/// job is `deadline_outlook::kMissed`, and start in a later pass, once the preempted runs have ended.
pool_plan PlanPool(const pool_state& state, boot_time now, unix_time wall_now);

/// Applies `plan` to the state for which it was made.
void ApplyPlan(const pool_plan& plan, pool_state& state, boot_time now);

}  // namespace hickorystall::state::pool
