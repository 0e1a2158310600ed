#pragma once

#include <vector>

#include "state/scheduling/guarantee_ledger.h"
#include "state/scheduling/placement.h"

namespace hickorystall::state {

/// An unused guaranteed shape with a place that can be made free for it.
struct planned_shape {
  /// The shape.
  unused_shape shape;
  /// Where it would run.
  assignment places;
};

/// A member of a planned shape.
struct planned_member {
  /// Where it is planned.
  assigned_member place;
  /// Index of the workspace that it is planned for.
  int workspace = 0;
  /// Processor cores that it needs.
  int processors = 0;
  /// Memory that it needs, in MiB.
  std::int64_t memory_mib = 0;
};

/// Places for all unused guaranteed shapes at once. Work that cannot be reclaimed stays off them.
struct guarantee_plan {
  /// Shapes that have a place.
  std::vector<planned_shape> shapes;
  /// Whole shapes that have none, because workers are lost or because the guarantees do not fit.
  int missing = 0;

  /// Accelerators of the planned shapes by worker, ascending, with the workspace that they are planned for.
  std::vector<planned_member> members;

  /// Takes the planned places of every workspace but `except` from `view`.
  void AllocateIn(capacity_view& view, int except = -1) const;
  /// Returns the planned place of a shape of `workspace` that `spec` fills exactly, or null.
  const assignment* FindExactPlace(int workspace, const job_spec& spec) const;
  /// True when a job of `workspace` with `spec` at `places` takes an accelerator of a shape that is planned
  /// for another workspace, or cores or memory of its worker that those shapes need.
  bool OverlapsOtherWorkspaces(const assignment& places, int workspace, const job_spec& spec,
                               const worker_topology& topology) const;
  /// Returns the planned places of each shape of `workspace`, smallest shape first, then of all together.
  std::vector<assignment> PlacesOf(int workspace) const;
  /// True when `places` share an accelerator or worker with a planned shape.
  bool SharesWorkers(const assignment& places) const;
};

/// Plans the unused shapes of `ledger` on `firm`, what is free without the work that can be reclaimed.
guarantee_plan PlanGuarantees(const guarantee_ledger& ledger, const capacity_view& available);

}  // namespace hickorystall::state
