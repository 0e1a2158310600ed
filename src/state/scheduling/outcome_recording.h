#pragma once

#include "state/scheduling/decision.h"

namespace hickorystall::state {

/// Consecutive failures after which a worker is put on probation.
inline constexpr int kFailuresBeforeProbation = 2;

/// Records that a task of `job` succeeded or failed on `worker`. Failures of a job that already failed twice
/// are attributed to the job, so that one faulty job cannot put every worker on probation.
void RecordOutcome(worker_status& worker, const job_record& job, bool succeeded, wall_time now);

/// Records that a run with a declared run time of `declared` took `actual`. Runs without a declaration are
/// ignored.
void LearnRunTime(learned_kind& learned, std::chrono::milliseconds declared,
                  std::chrono::milliseconds actual);

}  // namespace hickorystall::state
