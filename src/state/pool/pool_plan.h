#pragma once

#include <string>
#include <vector>

#include "state/pool/pool_state.h"

namespace hickorystall::state::pool {

/// A unit to start.
struct planned_start {
  unit_position position;
  /// Worker of each member.
  std::vector<std::string> workers;
  /// True when the tasks are away from their rack or data, and so take longer.
  bool is_far = false;
};

/// A unit to stop.
struct planned_stop {
  unit_position position;
  /// Why, for the log.
  std::string reason;
};

/// Result of one pass.
struct pool_plan {
  std::vector<planned_stop> stops;
  std::vector<planned_start> starts;
  /// Units that stay waiting.
  int waiting = 0;
};

/// Decides what to start and stop at `now`. Same state and times, same result. A gang is placed whole or not
/// at all. Work of priority 0 takes capacity from other work where it would not fit otherwise, and starts in
/// a later pass, when that has gone.
pool_plan PlanPool(const pool_state& state, boot_time now, unix_time wall_now);

}  // namespace hickorystall::state::pool
