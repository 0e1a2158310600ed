#pragma once

#include "state/scheduling/decision.h"
#include "state/scheduling/placement.h"
#include "state/scheduling/queue_order.h"

namespace hickorystall::state {

/// Selects the mechanisms of a decision. Benchmarks and tests use other policies as baselines or to switch
/// off single mechanisms.
struct scheduling_policy {
  /// Name in the tables of benchmarks.
  std::string_view name;
  /// Order in which queued jobs are considered.
  queue_order order;
  /// Choice among places that fit. Not null.
  const placement_strategy* placement;
  /// True when no job overtakes one that waits for capacity.
  bool strict_order = false;
  /// Maximum number of large waiting jobs that get a reservation, oldest first.
  int reservations = 0;
  /// True when non-reclaimable jobs are kept off guaranteed capacity, and other jobs are reclaimed from it
  /// for its workspace.
  bool guarantees = false;
  /// True when urgent jobs may reclaim non-urgent jobs that may wait and are outside their guarantee.
  bool reclaim_for_urgent = false;
  /// True when checkpointed jobs may be moved to let a large waiting job start before its reservation.
  bool defragment = false;
  /// True when declared run times are corrected by learned ratios.
  bool learned_run_times = false;
  /// True when jobs that cannot meet their deadline are refused.
  bool refuse_late = false;
  /// True when workers that failed tasks are avoided, and those on probation get no new work.
  bool probation = false;
};

/// Policy of the scheduler.
extern const scheduling_policy kDefaultPolicy;
/// Baseline: first come first served with first fit.
extern const scheduling_policy kFirstComeFirstServed;
/// Baseline: best fit with backfill and without reservations.
extern const scheduling_policy kBestFitBackfill;

/// Decides under `policy`; see Decide.
scheduling_decision DecideBy(const scheduling_policy& policy, const scheduling_snapshot& snapshot,
                             wall_time now);

}  // namespace hickorystall::state
