#pragma once

#include <cstddef>
#include <vector>

#include "state/config/cluster_config.h"

namespace hickorystall::state {

/// Identifies one guaranteed shape of a configuration by its indices.
struct guarantee_ref {
  /// Index in cluster_config::workspaces.
  std::size_t workspace = 0;
  /// Index in workspace_config::guarantees.
  std::size_t guarantee = 0;

  friend bool operator==(const guarantee_ref&, const guarantee_ref&) = default;
};

/// Workers that count as capacity.
enum class capacity_scope {
  /// Every worker of the inventory, because a drain is temporary and must not make the document invalid.
  kInventory,
  /// Only workers that are not drained.
  kUndrained,
};

/// Places the guarantees of all workspaces together on empty workers, subject to their placement constraints.
/// Returns the guarantees that could not be placed; empty when all fit. The search is greedy with a bounded
/// amount of backtracking, so it errs on one side only: an empty result is proven by a placement, but a set
/// that fits only in an unusual arrangement may be reported as unplaceable.
std::vector<guarantee_ref> FindUnplaceableGuarantees(const cluster_config& config, capacity_scope scope);

/// Returns the largest number of members with `accelerators` accelerators each that fit together on empty
/// workers under `placement`. `accelerators` must be positive.
int LargestGang(const cluster_config& config, int accelerators, adjacency placement, capacity_scope scope);

}  // namespace hickorystall::state
