#pragma once

#include "state/scheduling/decision.h"

namespace hickorystall::state {

/// Failures in a row after which a worker is put on probation.
inline constexpr int kFailuresBeforeProbation = 2;

/// Records on `worker` that a task of `job` succeeded or failed on it. A job that has failed twice already is
/// taken to be the cause itself, so that one faulty job cannot put every worker on probation.
void RecordOutcome(worker_status& worker, const job_record& job, bool succeeded, wall_time now);

/// Records that a run declared to take `declared` took `actual`. Runs without a declaration are ignored.
void LearnRunTime(learned_kind& learned, std::chrono::milliseconds declared,
                  std::chrono::milliseconds actual);

}  // namespace hickorystall::state
