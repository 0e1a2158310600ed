#pragma once

#include <cstddef>
#include <vector>

#include "state/config/cluster_config.h"

namespace hickorystall::state {

/// Names one guaranteed shape of a configuration by its indices.
struct guarantee_ref {
  /// Index in cluster_config::workspaces.
  std::size_t workspace = 0;
  /// Index in workspace_config::guarantees.
  std::size_t guarantee = 0;

  friend bool operator==(const guarantee_ref&, const guarantee_ref&) = default;
};

/// Which VMs count as capacity.
enum class capacity_scope {
  /// Every worker of the inventory: a drain is temporary and must not make the document invalid.
  kInventory,
  /// Only workers that are not drained.
  kUndrained,
};

/// Places every guarantee of all workspaces at the same time on empty workers, each gang in one rack or
/// failure domain where its adjacency says so. Returns the guarantees that could not be placed; empty when
/// all were. The search is greedy with a bounded amount of backtracking, so the error is on one side only: an
/// empty result is proven by a placement, while a set that fits only in an unusual arrangement may be
/// reported.
std::vector<guarantee_ref> FindUnplaceableGuarantees(const cluster_config& config, capacity_scope scope);

/// Largest number of members of `accelerators` each that fit at the same time on empty workers under
/// `placement`. `accelerators` must be positive.
int LargestGang(const cluster_config& config, int accelerators, adjacency placement, capacity_scope scope);

}  // namespace hickorystall::state
