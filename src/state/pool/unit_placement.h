#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "state/pool/job_request.h"
#include "state/pool/worker_entry.h"

namespace hickorystall::state::pool {

/// A worker with the capacity that a decision may give away.
struct worker_slot {
  /// The worker. Not null.
  const worker_entry* worker = nullptr;
  /// Free capacity under the assumption of the view.
  resources free;
};

/// Workers of the pool under one assumption, such as "with what is being stopped already gone".
using capacity_slots = std::vector<worker_slot>;

/// What a unit needs of its places.
struct unit_shape {
  /// Step of the unit. Not null.
  const step_request* step = nullptr;
  /// Service whose workers may run it.
  std::string_view service;
  /// Number of tasks.
  int members = 1;
  /// Tasks of the step that are on a worker already, for the limit a worker.
  std::map<std::string, int> already_on;
  /// Workers that are used only when there is no other, since it failed there.
  std::set<std::string> avoided;
};

/// How far from its data or its other members a unit may be placed.
enum class placement_reach {
  /// On the rack of the data, and in one rack where the step asks for it.
  kNear,
  /// Anywhere; the tasks then take several times as long.
  kAnywhere,
};

/// True when a task of `shape` may run on `worker` at all.
bool IsEligible(const worker_entry& worker, const unit_shape& shape);
/// Number of members of `shape` that fit on `slot` now, at most `limit`.
int MembersThatFit(const worker_slot& slot, const unit_shape& shape, int limit);

/// Chooses a slot for each member of `shape`, or nothing when they do not all fit. Of the racks that can hold
/// it, the one with the least free accelerators is taken, and within it the fullest workers, so that whole
/// workers and racks stay free for large gangs.
std::optional<std::vector<int>> PlaceUnit(const capacity_slots& slots, const unit_shape& shape,
                                          placement_reach reach);

/// True when the workers, all empty, could hold `shape` near. Otherwise waiting for a near place is
/// pointless.
bool FitsNearWhenEmpty(const capacity_slots& slots, const unit_shape& shape);

/// Racks in which a unit with that reach must be placed whole, each as slot indices; one entry with all slots
/// when any will do.
std::vector<std::vector<int>> PlacementGroups(const capacity_slots& slots, const unit_shape& shape,
                                              placement_reach reach);

}  // namespace hickorystall::state::pool
