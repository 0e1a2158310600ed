#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "state/scheduling/cluster_state.h"

namespace hickorystall::state {

/// Jobs to reclaim so that a gang can be placed.
struct reclaim_choice {
  /// Where the gang runs once they have gone.
  assignment places;
  /// Indices of the allocations to reclaim, ascending.
  std::vector<int> victims;
  /// Work that their reclaim loses, in accelerator milliseconds.
  double lost = 0;
};

/// What may be reclaimed, and around what.
struct reclaim_request {
  /// Sizes of the gang.
  const job_spec* spec = nullptr;
  /// Capacity without the jobs that may be reclaimed and without what others hold.
  const capacity_view* target = nullptr;
  /// For each allocation, whether it may be reclaimed. Capacity of the others is not in `target`.
  std::vector<bool> eligible;
};

/// Chooses the place in `request.target` whose reclaim loses the least work, or nothing when there is no
/// place.
std::optional<reclaim_choice> ChooseReclaim(const cluster_state& state, const reclaim_request& request);

}  // namespace hickorystall::state
