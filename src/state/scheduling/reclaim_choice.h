#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "state/scheduling/cluster_state.h"

namespace hickorystall::state {

/// A place for a gang, with the jobs to reclaim for it.
struct reclaim_choice {
  /// Places of the gang once the victims have been reclaimed.
  assignment places;
  /// Indices of the allocations to reclaim, ascending.
  std::vector<int> victims;
  /// Work lost by reclaiming the victims, in accelerator milliseconds.
  double lost = 0;
};

/// A gang that needs a place, and the jobs that may be reclaimed for it.
struct reclaim_request {
  /// Sizes of the gang. Not null.
  const job_spec* spec = nullptr;
  /// Capacity that the gang can use once all eligible jobs have been reclaimed. Not null.
  const capacity_view* target = nullptr;
  /// Whether each allocation may be reclaimed, by index. Capacity that the other ones hold is not in
  /// `target`.
  std::vector<bool> eligible;
};

/// Returns the place in `request.target` whose reclaim loses the least work, or nothing when there is no
/// place.
std::optional<reclaim_choice> ChooseReclaim(const cluster_state& state, const reclaim_request& request);

}  // namespace hickorystall::state
