#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "state/pool/pool_state.h"

namespace hickorystall::state::pool {

/// How much of a job's credit can still be had.
enum class job_prospect {
  /// It can end within its objective.
  kInTime,
  /// It can end within three times its objective, which still counts.
  kLate,
  /// It is later than that whatever is done. It must still end.
  kHopeless,
};

/// A unit that is ready to start.
struct waiting_unit {
  /// Where it stands.
  unit_position position;
  /// Its job. Not null.
  const job_entry* job = nullptr;
  /// Its step. Not null.
  const step_request* step = nullptr;
  /// The unit. Not null.
  const work_unit* unit = nullptr;
  /// Rank of its queue; 0 goes first.
  int priority = 0;
  /// True when all work of priority 0 of its workspace lies within the workspace's guarantee.
  bool is_guaranteed = false;
  /// What can still be had.
  job_prospect prospect = job_prospect::kInTime;
  /// True when little time is left to start it so that its job ends in time.
  bool is_pressed = false;
  /// Latest time at which the job must end to be in time.
  boot_time due{};
};

/// Rank of the job's queue: the rules in force, else those at its submission.
int QueuePriority(const pool_state& state, const job_entry& job);

/// Workspaces whose open work of priority 0 needs no more accelerators than they are guaranteed.
std::set<std::string> WorkspacesWithinGuarantee(const pool_state& state);

/// Time that the longest chain of the job's open steps still takes with enough capacity.
std::chrono::milliseconds OpenChain(const pool_state& state, const job_entry& job, int occurrence);

/// Returns the units that may start now, in the order in which they are considered. Guaranteed work goes
/// first, then what can be in time by rank of its queue and by due time; late work follows within its rank;
/// hopeless work comes last, so that it never delays work that can still be met.
std::vector<waiting_unit> MakeUnitQueue(const pool_state& state, boot_time now, unix_time wall_now);

}  // namespace hickorystall::state::pool
