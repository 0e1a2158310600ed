#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "state/pool/job_request.h"
#include "state/pool/placement/speed_need.h"
#include "state/pool/worker_entry.h"

namespace hickorystall::state::pool {

/// A worker with the capacity that is available to a placement decision.
struct worker_slot {
  /// Not null.
  const worker_entry* worker = nullptr;
  /// Free capacity under the assumption made by the `capacity_slots` that contain this slot.
  resources free;
};

/// Workers of the pool with their free capacity under one assumption, such as "all runs being stopped have
/// ended".
using capacity_slots = std::vector<worker_slot>;

/// Indices of the slots by rack, and of all slots. Computed once for each planning pass.
struct rack_index {
  std::map<std::string_view, std::vector<int>> racks;
  std::vector<int> all;
  /// Free accelerators in the rack of each slot at the beginning of the pass.
  std::vector<std::int64_t> rack_free;
};

/// Returns the index of `slots`. It refers to the rack names of the workers.
rack_index MakeRackIndex(const capacity_slots& slots);

/// Placement requirements of a unit.
struct unit_shape {
  /// Step of the unit. Not null.
  const step_request* step = nullptr;
  /// Service whose workers may run it.
  std::string_view service;
  /// Number of tasks in the unit.
  int members = 1;
  /// Number of tasks of the step by worker, counted against `step_request::max_per_worker`. Used only if
  /// the step has such a limit.
  std::map<std::string, int> already_on;
  /// Workers on which the unit has failed or was refused; used only if the others do not suffice.
  std::set<std::string> avoided;
  /// Speed that it needs. By default the speeds of the workers have no effect.
  speed_need speed;
};

/// How far a member of a unit may be from its data and from the other members.
enum class placement_reach {
  /// On the rack of the data, and within one rack if the step asks for that.
  kNear,
  /// On any worker; tasks that are sensitive to locality then take several times as long.
  kAnywhere,
};

/// Returns whether the service and labels of `worker` allow it to run tasks of `shape`.
bool IsEligible(const worker_entry& worker, const unit_shape& shape);
/// Returns the number of members of `shape` that fit on `slot`, at most `limit`.
int MembersThatFit(const worker_slot& slot, const unit_shape& shape, int limit);

/// Chooses a slot for each member of `shape`. Returns nullopt if they do not all fit. Of the placement groups
/// that can hold the unit, the one is used in which the fewest members are placed on avoided workers, of
/// these the one with the best tier of speed (`SpeedTier`), and of these the one with the fewest free
/// accelerators. Within it, workers on which the unit failed come last. Workers that are fast enough come
/// before those that are too slow, and one tier of speed that holds the whole unit before a mix of them: the
/// slowest member determines when a gang ends, so the others would occupy faster workers without need. Within
/// a tier, workers with more consecutive failures come last; the remaining order is the fullest rack and in
/// it the fullest worker first, so that whole racks and workers stay free for large gangs.
std::optional<std::vector<int>> PlaceUnit(const capacity_slots& slots, const rack_index& index,
                                          const unit_shape& shape, placement_reach reach);

/// Returns the needed speed and that of the slowest of `places`; both 0 if `need` is not by speed.
start_speeds SlowestSpeed(const capacity_slots& slots, const std::vector<int>& places,
                          const speed_need& need);

/// Returns whether `shape` could be placed near if all workers were empty. Otherwise it makes no sense to
/// wait for a near placement.
bool FitsNearWhenEmpty(const capacity_slots& slots, const rack_index& index, const unit_shape& shape);

/// Returns the groups of slots, as indices, each of which may hold the whole unit. This is one group per rack
/// if the members must share a rack, and otherwise a single group with all slots within `reach`. The pointers
/// refer to `index`.
std::vector<const std::vector<int>*> PlacementGroups(const rack_index& index, const unit_shape& shape,
                                                     placement_reach reach);

}  // namespace hickorystall::state::pool
