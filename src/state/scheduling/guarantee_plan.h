#pragma once

#include <vector>

#include "state/scheduling/guarantee_ledger.h"
#include "state/scheduling/placement.h"

namespace hickorystall::state {

/// An unused guaranteed shape with the place planned for it.
struct planned_shape {
  unused_shape shape;
  /// One entry per member.
  assignment places;
};

/// A member of a planned shape.
struct planned_member {
  assigned_member place;
  /// Index of the workspace whose guarantee it belongs to.
  int workspace = 0;
  /// Processor cores of the member.
  int processors = 0;
  /// Memory of the member in MiB.
  std::int64_t memory_mib = 0;
};

/// Places for all unused guaranteed shapes at once. Jobs that cannot be reclaimed must not use them.
struct guarantee_plan {
  /// Shapes that have a place.
  std::vector<planned_shape> shapes;
  /// Number of whole shapes without a place, because workers are lost or the guarantees do not fit.
  int missing = 0;

  /// Members of all planned shapes, sorted by worker index.
  std::vector<planned_member> members;

  /// Subtracts the planned places of every workspace but `except` from `view`.
  void AllocateIn(capacity_view& view, int except = -1) const;
  /// Returns the places of a planned shape of `workspace` that `spec` fills exactly, or null.
  const assignment* FindExactPlace(int workspace, const job_spec& spec) const;
  /// True when a job of `workspace` with `spec` at `places` uses an accelerator that is planned for another
  /// workspace, or leaves too few cores or too little memory on a worker for such shapes.
  bool OverlapsOtherWorkspaces(const assignment& places, int workspace, const job_spec& spec,
                               const worker_topology& topology) const;
  /// Returns the planned places of each shape of `workspace`, smallest shape first, and last those of all
  /// shapes together.
  std::vector<assignment> PlacesOf(int workspace) const;
  /// True when `places` and a planned shape have a worker in common.
  bool SharesWorkers(const assignment& places) const;
};

/// Plans the unused shapes of `ledger` in `available`, the capacity that is free without reclaimable jobs.
guarantee_plan PlanGuarantees(const guarantee_ledger& ledger, const capacity_view& available);

}  // namespace hickorystall::state
