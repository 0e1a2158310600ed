#pragma once

#include <chrono>

#include "state/pool/pool_state.h"

namespace hickorystall::state::pool {

/// A unit with a run, for which no pointer is null.
struct run_view {
  const job_entry* job = nullptr;
  const step_request* step = nullptr;
  const work_unit* unit = nullptr;
};

/// Returns the expected run time of one task of `step` on `worker`. It is that on a worker of average speed
/// unless the speed of `worker` is known to be another and `pool_settings::learn_speeds` is on.
std::chrono::milliseconds ExpectedTimeOn(const pool_state& state, const job_entry& job,
                                         const step_request& step, const worker_entry& worker);

/// Returns the expected time that the run of `member` still takes, from its progress or else from the
/// expected time on its worker.
std::chrono::milliseconds RemainingTime(const pool_state& state, const run_view& run,
                                        const unit_member& member, boot_time now);

/// Returns the expected time until the run of `member` ends. The members of a gang end together, so if any of
/// them is on a worker that is known to be slow or fast, this is the time of the last one.
std::chrono::milliseconds TimeToEnd(const pool_state& state, const run_view& run, const unit_member& member,
                                    boot_time now);

/// Returns how long the run of a task may make no progress on `worker` before it counts as stalled.
std::chrono::milliseconds StallTimeout(const pool_state& state, const run_view& run,
                                       const worker_entry& worker);

}  // namespace hickorystall::state::pool
