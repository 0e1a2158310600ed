#pragma once

#include <chrono>
#include <vector>

#include "state/scheduling/job.h"

namespace hickorystall::state {

/// A queued job with what the order depends on.
struct queued_job {
  /// The job. Not null.
  const job_record* job = nullptr;
  /// Index of its workspace in the configuration, or -1.
  int workspace = -1;
  /// True when it lies within the unused guarantee of its workspace.
  bool guaranteed = false;
  /// Estimate of the run time that it still needs.
  std::chrono::milliseconds remaining{0};
};

/// Time that `entry` has waited since it was submitted over the run time that it still needs.
double ResponseRatio(const queued_job& entry, wall_time now);

/// Sorts the queue, the job to be considered first in front. Ties are broken by age, then by id.
using queue_order = void (*)(std::vector<queued_job>& queue, wall_time now);

/// Oldest first.
void OrderByAge(std::vector<queued_job>& queue, wall_time now);

/// Guaranteed jobs first, urgent ones among them in front; then other urgent jobs, then those whose deadline
/// leaves little slack, then by response ratio: time waited over run time. Short jobs come early, and every
/// job's ratio grows without bound while it waits, so that none waits for ever.
void OrderByResponseRatio(std::vector<queued_job>& queue, wall_time now);

}  // namespace hickorystall::state
