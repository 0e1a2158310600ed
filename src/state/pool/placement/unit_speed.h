#pragma once

#include "state/pool/placement/speed_need.h"
#include "state/pool/pool_state.h"
#include "state/pool/unit_queue.h"

namespace hickorystall::state::pool {

/// Returns the speed that the units of `step` need at `now` on workers with `speeds`. `is_remote` says that
/// the tasks may run away from their data or spread over racks, which takes
/// `pool_settings::remote_run_factor` times as long.
speed_need NeededSpeed(const pool_state& state, const waiting_step& step, boot_time now, bool is_remote,
                       const speed_range& speeds);

}  // namespace hickorystall::state::pool
