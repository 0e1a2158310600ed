#pragma once

#include <chrono>
#include <vector>

#include "state/scheduling/job.h"

namespace hickorystall::state {

/// A queued job with the values that its order depends on.
struct queued_job {
  /// Not null.
  const job_record* job = nullptr;
  /// Index of its workspace in the configuration, or -1.
  int workspace = -1;
  /// True when the job fits in the unused guarantee of its workspace.
  bool guaranteed = false;
  /// Estimated remaining run time.
  std::chrono::milliseconds remaining{0};
};

/// Returns the time that `entry` has waited since its submission, divided by its remaining run time.
double ResponseRatio(const queued_job& entry, wall_time now);

/// Sorts the queue in the order in which jobs are considered. Ties are broken by age, then by id.
using queue_order = void (*)(std::vector<queued_job>& queue, wall_time now);

/// Oldest first.
void OrderByAge(std::vector<queued_job>& queue, wall_time now);

/// Guaranteed jobs first, the urgent ones before the others; then other urgent jobs, then those whose
/// deadline leaves little slack, then by response ratio: time waited over run time. Short jobs come early,
/// and the ratio of every job grows without bound while it waits, so that no job starves.
void OrderByResponseRatio(std::vector<queued_job>& queue, wall_time now);

}  // namespace hickorystall::state
