#pragma once

#include <chrono>

#include "state/scheduling/decision.h"

namespace hickorystall::state {

/// Returns how long a whole run of `job` takes: the declared time, corrected by what was learned of its kind
/// when `use_learned`, or an hour when nothing is declared.
std::chrono::milliseconds EstimateRunTime(const scheduling_snapshot& snapshot, const job_record& job,
                                          bool use_learned);

/// Returns how long `job` still runs once it holds workers, or would run if it were started at `now`. A run
/// that outlives its estimate is expected to need half as long again.
std::chrono::milliseconds EstimateRemaining(const job_record& job, std::chrono::milliseconds run_time,
                                            wall_time now);

/// Returns the work in accelerator milliseconds (processor milliseconds for a job without accelerators) that
/// is lost when `job` is reclaimed at `now`.
double WorkLostByReclaim(const job_record& job, wall_time now);

}  // namespace hickorystall::state
