#pragma once

#include <chrono>

#include "state/scheduling/decision.h"

namespace hickorystall::state {

/// Returns the estimated time of a whole run of `job`: the declared time, or an hour when none is declared.
/// With `use_learned` it is multiplied by the ratio learned for the kind of work in the workspace.
std::chrono::milliseconds EstimateRunTime(const scheduling_snapshot& snapshot, const job_record& job,
                                          bool use_learned);

/// Returns the estimated remaining run time of `job`, or the time that it would run if it were started at
/// `now`. A run that exceeds its estimate is expected to need half as long again.
std::chrono::milliseconds EstimateRemaining(const job_record& job, std::chrono::milliseconds run_time,
                                            wall_time now);

/// Returns the work that is lost when `job` is reclaimed at `now`, in accelerator milliseconds, or in
/// processor milliseconds for a job without accelerators.
double WorkLostByReclaim(const job_record& job, wall_time now);

}  // namespace hickorystall::state
