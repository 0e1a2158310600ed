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

/// One pass over the queue. Not thread-safe; used once.
class decision_pass {
 public:
  /// Prepares a decision by `policy`. The arguments must outlive it.
  decision_pass(const scheduling_policy& policy, const scheduling_snapshot& snapshot, wall_time now);

  /// Considers every queued job and returns what to do.
  scheduling_decision Run();

 private:
  /// Starts, refuses or leaves waiting one job.
  void Consider(const queued_job& entry);
  /// Why `entry` waits whatever is free, or an empty string.
  std::string ExplainIneligible(const queued_job& entry) const;
  /// Starts `entry` if it fits now.
  bool TryStart(const queued_job& entry);
  /// Returns a place for `entry` in `view` after which the guarantees still have places, or nothing.
  std::optional<assignment> FindPlace(const capacity_view& view, const queued_job& entry) const;
  /// Chooses what to reclaim for a guaranteed or urgent job.
  std::optional<reclaim_choice> ChooseReclaimFor(const queued_job& entry) const;
  /// Takes `places` and commands the start of `entry` there.
  void Start(const queued_job& entry, const assignment& places);
  /// Frees capacity for a guaranteed or urgent job, or waits for capacity that is coming free.
  bool TryReclaim(const queued_job& entry);
  /// Refuses `entry` when it can never run.
  bool TryRefuse(const queued_job& entry);
  /// Sets capacity aside for the first jobs that wait for it, and moves work out of the way where it pays.
  void TryReserve(const queued_job& entry);
  /// Moves the oldest large jobs to the front of the non-urgent ones, so that they reserve before smaller
  /// jobs start.
  void MoveOldestLargeJobsForward(std::vector<queued_job>& queue) const;
  /// Moves checkpointed work away from a place for `entry` when that lets it start well before `reserved`.
  bool TryMove(const queued_job& entry, const reservation& reserved);
  /// Chooses checkpointed work to move so that `entry` can start once the rest in the way has ended, within
  /// `drain`. The response ratio of what moves must be below that of `entry`.
  std::optional<reclaim_choice> ChooseMove(const queued_job& entry, std::chrono::milliseconds max_wait) const;
  /// Commands the reclaim of what `choice` names and holds its place for `entry`.
  void CommandMove(const queued_job& entry, const reclaim_choice& choice, std::string_view reason);
  /// True when all that `choice` reclaims fits elsewhere at once.
  bool FitsElsewhere(const queued_job& entry, const reclaim_choice& choice) const;
  /// True when `job` counts as work that can be taken back for a guarantee.
  bool IsReclaimable(const queued_job& entry) const;
  /// Returns `view` without what `entry` must leave to others: `view` itself when that is nothing, since a
  /// copy costs as much as a search, else a copy in `copy`.
  const capacity_view& Restrict(const capacity_view& view, const queued_job& entry,
                                std::optional<capacity_view>& copy) const;
  /// Returns the jobs that `entry` may reclaim, with the capacity that is free without them.
  reclaim_request MakeReclaimRequest(const queued_job& entry, capacity_view& target) const;
  /// True when the unused guarantees still have places after `entry` has taken `places`.
  bool KeepsGuarantees(const queued_job& entry, const assignment& places) const;
  /// Takes `places` for `entry` and renews the plan of the guarantees when they are touched.
  void Allocate(const queued_job& entry, const assignment& places);
  /// Commands the reclaim of the allocation at `index`.
  void Reclaim(int index, const std::string& reason);
  /// True when a job that needs no more has found no place in this pass.
  bool IsKnownNotToFit(const queued_job& entry) const;
  /// True when a job of the workspace that needs no less was found possible in this pass.
  bool IsKnownPossible(const queued_job& entry) const;

  /// Policy in force.
  const scheduling_policy& policy_;
  /// Time of the decision.
  wall_time now_;
  /// Workers, jobs and capacity.
  cluster_state state_;
  /// Places for the unused guarantees, around the firm work that runs now.
  guarantee_plan plan_;
  /// Capacity set aside for waiting gangs.
  std::vector<reservation> reservations_;
  /// Jobs that found no place in this pass. Capacity only shrinks within a pass.
  std::vector<queued_job> unplaced_;
  /// Jobs that were found possible in this pass.
  std::vector<queued_job> known_possible_;
  /// Tells which jobs can never run.
  feasibility_check feasibility_;
  /// True once a job waits for capacity.
  bool blocked_ = false;
  /// What to do.
  scheduling_decision decision_;
};

}  // namespace hickorystall::state
