#pragma once

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "state/pool/pool_state.h"
#include "state/pool/unit_placement.h"

namespace hickorystall::state::pool {

/// A unit whose runs may be stopped in favor of a more urgent unit.
struct preemption_victim {
  /// Step of the unit. Not null.
  const step_request* step = nullptr;
  /// Index into the capacity slots, for each member of the unit that is on a usable worker.
  std::vector<int> slots;
  /// Work lost if the unit is stopped, in core-seconds; see `LostWork`.
  double lost_work = 0;
};

/// All running units that could be stopped. Built once for a planning pass, which may preempt for many units.
struct preemption_candidates {
  std::vector<preemption_victim> victims;
  /// Indices of the victims on each slot, by increasing lost work.
  std::unordered_map<int, std::vector<int>> by_slot;

  /// Fills `by_slot` from `victims`.
  void IndexBySlot();
};

/// Units to stop, and the placement that this allows.
struct preemption_choice {
  /// Indices into the victims of the candidates.
  std::vector<int> victims;
  /// Index into the capacity slots, for each member of the placed unit.
  std::vector<int> places;
  /// Total work lost by the victims, in core-seconds.
  double lost_work = 0;
};

/// Returns the number of cores in `need`, where an accelerator counts as eight.
double WeightedCores(const resources& need);

/// Returns the work that is lost if `unit` is stopped at `now`, in core-seconds: what it has done since its
/// start, or the time to resume if it saves its progress. An accelerator counts as eight cores. Each earlier
/// preemption of the unit adds the same amount, so that one job is not stopped again and again.
double LostWork(const step_request& step, const work_unit& unit, boot_time now);

/// Chooses victims that lose little work so that `shape` fits within `reach`. Only the victims with an index
/// for which `is_allowed` returns true are considered. Returns nullopt if no choice of them makes enough
/// room.
std::optional<preemption_choice> ChoosePreemption(const capacity_slots& slots, const rack_index& index,
                                                  const unit_shape& shape,
                                                  const preemption_candidates& candidates,
                                                  const std::function<bool(int)>& is_allowed,
                                                  placement_reach reach);

}  // namespace hickorystall::state::pool
