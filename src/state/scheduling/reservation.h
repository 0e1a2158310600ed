#pragma once

#include <optional>

#include "state/scheduling/cluster_state.h"

namespace hickorystall::state {

/// Capacity set aside for a waiting gang.
struct reservation {
  /// Where the gang will run.
  assignment places;
  /// What it takes there from other jobs: of a gang with accelerators only these, since the cores beside them
  /// are in part those of jobs that still run.
  job_spec spec;
  /// When it can start there by the estimates.
  wall_time start;
};

/// Returns the earliest time and place at which `entry` fits, if running jobs end as estimated and nothing
/// else is started there. It uses only what is free in `base` or held by a job. Nothing when it fits at no
/// time.
std::optional<reservation> ReserveEarliest(const cluster_state& state, const queued_job& entry,
                                           const placement_strategy& strategy, const capacity_view& base,
                                           wall_time now);

}  // namespace hickorystall::state
