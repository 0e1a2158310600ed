#pragma once

#include <optional>

#include "state/scheduling/cluster_state.h"

namespace hickorystall::state {

/// Capacity reserved for a large waiting job.
struct reservation {
  /// Places of the members.
  assignment places;
  /// Capacity that other jobs must leave there. For a job with accelerators this is only the accelerators,
  /// since jobs that still run use some of the cores and memory beside them.
  job_spec spec;
  /// Estimated time of the start.
  wall_time start;
};

/// Returns the earliest time and place at which `entry` fits, provided that running jobs end as estimated and
/// no other job starts there. It uses only capacity that is free in `base` or that a job holds. Returns
/// nothing when `entry` does not fit even after all jobs have ended.
std::optional<reservation> ReserveEarliest(const cluster_state& state, const queued_job& entry,
                                           const placement_strategy& strategy, const capacity_view& base,
                                           wall_time now);

}  // namespace hickorystall::state
