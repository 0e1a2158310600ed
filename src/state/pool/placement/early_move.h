#pragma once

#include <chrono>
#include <optional>

#include "state/pool/placement/run_outlook.h"
#include "state/pool/placement/speed_need.h"

namespace hickorystall::state::pool {

/// Returns the speed that the gang of `run` needs if it is stopped and started again on other workers,
/// provided that it is seen to end late because of a worker of the slow class, and in time on workers with
/// the highest of `speeds`. `passed` is the time since its job was accepted or due. Returns nullopt
/// otherwise, and for gangs of jobs with several steps or with a required rack, whose objective cannot be
/// derived from the progress of this one, and for those that were moved before.
std::optional<speed_need> NeedForMove(const pool_state& state, const run_view& run,
                                      std::chrono::milliseconds passed, const speed_range& speeds,
                                      boot_time now);

}  // namespace hickorystall::state::pool
