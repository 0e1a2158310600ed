#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "state/scheduling/capacity_view.h"

namespace hickorystall::state {

/// How good a worker is for a member: the lowest score is taken first; the index breaks ties.
using worker_score = std::int64_t (*)(const capacity_view& view, int worker, const job_spec& spec);
/// How good a rack or failure domain is for a gang that leaves room for `spare` further members in it.
using scope_score = std::int64_t (*)(int spare);

/// Way of choosing among places that fit.
struct placement_strategy {
  /// Order of the workers within a scope.
  worker_score score_worker;
  /// Order of the scopes.
  scope_score score_scope;
  /// True when the first place in the order of the inventory is taken, so that the search can stop there.
  bool take_first = false;
};

/// Takes the first place in the order of the inventory.
extern const placement_strategy kFirstFit;
/// Takes the place with the fewest free accelerators left on the worker.
extern const placement_strategy kBestFit;
/// Takes the place that leaves the longest free runs and the emptiest racks for later gangs.
extern const placement_strategy kLeastFragmentation;

/// Finds a place for all members of `spec` in `view`, on contiguous accelerators and within one scope of its
/// adjacency, or nothing.
std::optional<assignment> FindPlacement(const capacity_view& view, const job_spec& spec,
                                        const placement_strategy& strategy);

/// Converts places by index to places by name.
std::vector<member_placement> ToPlacement(const worker_topology& topology, const assignment& places);
/// Converts places by name to places by index; members on unknown workers are left out.
assignment ToAssignment(const worker_topology& topology, const std::vector<member_placement>& placement);

}  // namespace hickorystall::state
