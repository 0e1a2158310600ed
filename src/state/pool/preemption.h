#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/pool/pool_state.h"
#include "state/pool/unit_placement.h"

namespace hickorystall::state::pool {

/// A unit whose runs may be stopped in favor of a more urgent unit.
struct preemption_victim {
  unit_position position;
  /// Step of the unit. Not null.
  const step_request* step = nullptr;
  /// Index into the capacity slots, for each member of the unit that is on a usable worker.
  std::vector<int> slots;
  /// Work lost if the unit is stopped, in core-seconds; see `LostWork`.
  double lost_work = 0;
};

/// Units to stop, and the placement that this allows.
struct preemption_choice {
  /// Indices into the list of candidates.
  std::vector<int> victims;
  /// Index into the capacity slots, for each member of the placed unit.
  std::vector<int> places;
  /// Total work lost by the victims, in core-seconds.
  double lost_work = 0;
};

/// Returns the work that is lost if `unit` is stopped at `now`, in core-seconds: what it has done since its
/// checkpoint, or since its start if it cannot resume. An accelerator counts as eight cores.
double LostWork(const step_request& step, const work_unit& unit, boot_time now);

/// Chooses victims that lose little work so that `shape` fits within `reach`. Returns nullopt if no choice of
/// victims makes enough room.
std::optional<preemption_choice> ChoosePreemption(const capacity_slots& slots, const unit_shape& shape,
                                                  const std::vector<preemption_victim>& victims,
                                                  placement_reach reach);

}  // namespace hickorystall::state::pool
