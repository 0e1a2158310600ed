#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/pool/pool_state.h"
#include "state/pool/unit_placement.h"

namespace hickorystall::state::pool {

/// A unit whose runs may be stopped for more urgent work.
struct preemption_victim {
  /// The unit.
  unit_position position;
  /// Its step. Not null.
  const step_request* step = nullptr;
  /// Slot of each of its members.
  std::vector<int> slots;
  /// Core-seconds of work that its stop throws away, an accelerator counted as several cores.
  double lost_work = 0;
};

/// What must be stopped, and where the unit then goes.
struct preemption_choice {
  /// Indices of the victims.
  std::vector<int> victims;
  /// Slot of each member of the unit.
  std::vector<int> places;
  /// Sum of what the victims lose.
  double lost_work = 0;
};

/// Work that would be lost if `unit` were stopped at `now`, in core-seconds.
double LostWork(const step_request& step, const work_unit& unit, boot_time now);

/// Chooses the victims that lose least so that `shape` fits, near where the step asks for it and, if that is
/// impossible, anywhere. Returns nothing when no choice of victims makes room.
std::optional<preemption_choice> ChoosePreemption(const capacity_slots& slots, const unit_shape& shape,
                                                  const std::vector<preemption_victim>& victims,
                                                  placement_reach reach);

}  // namespace hickorystall::state::pool
