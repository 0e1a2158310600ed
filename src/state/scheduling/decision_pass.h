#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/scheduling/cluster_state.h"
#include "state/scheduling/feasibility_check.h"
#include "state/scheduling/guarantee_plan.h"
#include "state/scheduling/reclaim_choice.h"
#include "state/scheduling/reservation.h"

namespace hickorystall::state {

/// One pass over the queue, which makes one decision. Not thread-safe; Run may be called once.
class decision_pass {
 public:
  /// Prepares a decision under `policy`. The arguments must outlive the pass.
  decision_pass(const scheduling_policy& policy, const scheduling_snapshot& snapshot, wall_time now);

  /// Considers every queued job and returns the decision.
  scheduling_decision Run();

 private:
  /// Starts `entry`, refuses it or records why it waits.
  void Consider(const queued_job& entry);
  /// Returns why `entry` must wait regardless of free capacity, or an empty string.
  std::string ExplainIneligible(const queued_job& entry) const;
  /// Starts `entry` when it fits in the free capacity; returns whether it does.
  bool TryStart(const queued_job& entry);
  /// Returns a place for `entry` in `view` that leaves places for the unused guarantees, or nothing.
  std::optional<assignment> FindPlace(const capacity_view& view, const queued_job& entry) const;
  /// Chooses what to reclaim for a guaranteed or urgent job.
  std::optional<reclaim_choice> ChooseReclaimFor(const queued_job& entry) const;
  /// Allocates `places` and adds the command that starts `entry` there.
  void Start(const queued_job& entry, const assignment& places);
  /// Reclaims capacity for a guaranteed or urgent job, or lets it wait for capacity that is being freed.
  /// Returns false when neither is possible.
  bool TryReclaim(const queued_job& entry);
  /// Refuses `entry` when it can never run or can no longer meet its deadline; returns whether it does.
  bool TryRefuse(const queued_job& entry);
  /// Reserves capacity for `entry` when it is large and reservations remain, and moves other jobs out of its
  /// way where that saves enough waiting time.
  void TryReserve(const queued_job& entry);
  /// Moves the oldest large jobs before the other non-urgent jobs, so that they reserve capacity before
  /// smaller jobs start.
  void MoveOldestLargeJobsForward(std::vector<queued_job>& queue) const;
  /// Moves checkpointed jobs out of a place for `entry` when that lets it start well before `reserved`;
  /// returns whether it does.
  bool TryMove(const queued_job& entry, const reservation& reserved);
  /// Chooses checkpointed jobs to move so that `entry` can start once the other jobs in its place have ended,
  /// within `max_wait`. The response ratio of each moved job must be below that of `entry`.
  std::optional<reclaim_choice> ChooseMove(const queued_job& entry, std::chrono::milliseconds max_wait) const;
  /// Adds the commands that reclaim the victims of `choice`, and allocates its places to `entry`. The reason
  /// of each command is `reason` followed by the id of `entry`.
  void CommandMove(const queued_job& entry, const reclaim_choice& choice, std::string_view reason);
  /// True when all victims of `choice` fit elsewhere at once.
  bool FitsElsewhere(const queued_job& entry, const reclaim_choice& choice) const;
  /// True when `entry` could be reclaimed for a guarantee once it runs.
  bool IsReclaimable(const queued_job& entry) const;
  /// Returns `view` without the capacity that `entry` must leave to other jobs. When there is none it returns
  /// `view` itself, since a copy costs as much as a search, else the reduced copy in `copy`.
  const capacity_view& Restrict(const capacity_view& view, const queued_job& entry,
                                std::optional<capacity_view>& copy) const;
  /// Returns the jobs that `entry` may reclaim. Removes from `target`, which the result refers to, the
  /// capacity of reclaimable jobs that it may not.
  reclaim_request MakeReclaimRequest(const queued_job& entry, capacity_view& target) const;
  /// True when no further unused guarantee is left without a place after `places` are allocated to `entry`.
  bool KeepsGuarantees(const queued_job& entry, const assignment& places) const;
  /// Allocates `places` to `entry`, and plans the guarantees again when they are affected.
  void Allocate(const queued_job& entry, const assignment& places);
  /// Adds the command that reclaims the allocation at `index`.
  void Reclaim(int index, const std::string& reason);
  /// True when a job that needs no more than `entry` found no place in this pass.
  bool IsKnownNotToFit(const queued_job& entry) const;
  /// True when a job of the same workspace that needs no less than `entry` was found possible in this pass.
  bool IsKnownPossible(const queued_job& entry) const;

  const scheduling_policy& policy_;
  /// Time at which the decision is made.
  wall_time now_;
  cluster_state state_;
  /// Places for the unused guarantees beside the jobs that cannot be reclaimed.
  guarantee_plan plan_;
  /// Capacity reserved for large waiting jobs.
  std::vector<reservation> reservations_;
  /// Jobs that found no place in this pass. Since capacity only shrinks within a pass, jobs that need no less
  /// find none either.
  std::vector<queued_job> unplaced_;
  /// Jobs that the feasibility check accepted in this pass; jobs that need no more need no check.
  std::vector<queued_job> known_possible_;
  feasibility_check feasibility_;
  /// True once a job waits for capacity; under a strict order no later job starts then.
  bool blocked_ = false;
  /// Result of the pass.
  scheduling_decision decision_;
};

}  // namespace hickorystall::state
