#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "state/scheduling/capacity_view.h"

namespace hickorystall::state {

/// Scores a worker for a member. The lowest score is used first; ties are broken by index.
using worker_score = std::int64_t (*)(const capacity_view& view, int worker, const job_spec& spec);
/// Scores a rack or failure domain that has room for `spare` members besides those of the gang. The lowest
/// score is used.
using scope_score = std::int64_t (*)(int spare);

/// Strategy for choosing among places that fit.
struct placement_strategy {
  /// Orders the workers within a scope.
  worker_score score_worker;
  /// Orders the scopes, the groups of workers within which a gang must stay.
  scope_score score_scope;
  /// True when the first place in inventory order is used, so that the search can stop there.
  bool take_first = false;
};

/// Uses the first place in inventory order.
extern const placement_strategy kFirstFit;
/// Uses the workers with the fewest free accelerators.
extern const placement_strategy kBestFit;
/// Uses the place that leaves the longest free runs of accelerators and the emptiest racks for later gangs.
extern const placement_strategy kLeastFragmentation;

/// Returns a place in `view` for all members of `spec`, on contiguous accelerators and within one scope of
/// its adjacency, or nothing.
std::optional<assignment> FindPlacement(const capacity_view& view, const job_spec& spec,
                                        const placement_strategy& strategy);

/// Converts places by index to places by name.
std::vector<member_placement> ToPlacement(const worker_topology& topology, const assignment& places);
/// Converts places by name to places by index; members on unknown workers are omitted.
assignment ToAssignment(const worker_topology& topology, const std::vector<member_placement>& placement);

}  // namespace hickorystall::state
