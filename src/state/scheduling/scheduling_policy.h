#pragma once

#include "state/scheduling/decision.h"
#include "state/scheduling/placement.h"
#include "state/scheduling/queue_order.h"

namespace hickorystall::state {

/// The mechanisms of a decision. Baselines for benchmarks and tests with one mechanism switched off are other
/// values of the same parts.
struct scheduling_policy {
  /// Name in tables.
  std::string_view name;
  /// Order in which queued jobs are considered.
  queue_order order;
  /// Choice among places that fit.
  const placement_strategy* placement;
  /// True when no job overtakes one that waits for capacity.
  bool strict_order = false;
  /// Oldest waiting gangs that get a reservation.
  int reservations = 0;
  /// True when guarantees are kept free of work that cannot be reclaimed, and reclaimed for their owner.
  bool guarantees = false;
  /// True when urgent work may reclaim borrowed work that may wait.
  bool reclaim_for_urgent = false;
  /// True when the waiting gang with a reservation may move checkpointed work out of its way.
  bool defragment = false;
  /// True when learned run times replace declared ones.
  bool learned_run_times = false;
  /// True when jobs that cannot meet their deadline are refused.
  bool refuse_late = false;
  /// True when workers on probation are avoided.
  bool probation = false;
};

/// The scheduler's own policy.
extern const scheduling_policy kDefaultPolicy;
/// Baseline: first come first served with first fit.
extern const scheduling_policy kFirstComeFirstServed;
/// Baseline: best fit with backfill but no reservations.
extern const scheduling_policy kBestFitBackfill;

/// Decides by `policy`; see Decide.
scheduling_decision DecideBy(const scheduling_policy& policy, const scheduling_snapshot& snapshot,
                             wall_time now);

}  // namespace hickorystall::state
