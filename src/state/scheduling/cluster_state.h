#pragma once

#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/scheduling/guarantee_plan.h"
#include "state/scheduling/placement.h"
#include "state/scheduling/queue_order.h"
#include "state/scheduling/scheduling_policy.h"

namespace hickorystall::state {

/// A job that holds workers.
struct allocation {
  /// Not null.
  const job_record* job = nullptr;
  /// Places of the members on known workers.
  assignment places;
  /// Index of its workspace in the configuration, or -1.
  int workspace = -1;
  /// True when the job can be reclaimed: it may wait, and it is outside its workspace's guarantee or runs on
  /// capacity that is planned for another workspace's guarantee.
  bool reclaimable = false;
  /// True when the job is being reclaimed or cancelled, so that its workers become free.
  bool releasing = false;
  /// Estimated remaining run time.
  std::chrono::milliseconds remaining{0};
  /// Work that a reclaim would lose, in accelerator milliseconds.
  double lost_by_reclaim = 0;
};

/// A snapshot with workers and allocations by index, and the free capacity under several assumptions. A
/// decision updates it as it starts and reclaims jobs. Not thread-safe.
class cluster_state {
 public:
  /// Indexes `snapshot`, which must outlive it.
  cluster_state(const scheduling_policy& policy, const scheduling_snapshot& snapshot, wall_time now);

  /// Returns the queued jobs in the order of the policy.
  std::vector<queued_job> MakeQueue() const;
  /// True when the workspace of `entry` stays within its max_accelerators after `entry` starts.
  bool IsWithinQuota(const queued_job& entry) const;
  /// Allocates `places` to `entry`, which starts now or once the capacity is free. A job within the guarantee
  /// of its workspace uses that guarantee; returns whether it does.
  bool Allocate(const queued_job& entry, const assignment& places, bool reclaimable);
  /// Marks the allocation at `index` as being reclaimed. It must be reclaimable and not yet releasing.
  void Reclaim(int index);

  const worker_topology& topology() const { return topology_; }
  /// Jobs that hold workers, ordered by id.
  const std::vector<allocation>& allocations() const { return allocations_; }
  /// Capacity of an empty cluster, without the workers that must not get work.
  const capacity_view& usable() const { return usable_; }
  /// Capacity that no job holds.
  const capacity_view& free() const { return free_; }
  /// Capacity that is free once the releasing jobs have stopped.
  const capacity_view& free_after_release() const { return free_after_release_; }
  /// Capacity that is free once all reclaimable jobs have been reclaimed.
  const capacity_view& free_after_reclaim() const { return free_after_reclaim_; }
  /// Capacity that the guarantees can use: all but what non-reclaimable jobs outside any guarantee hold.
  const capacity_view& available_to_guarantees() const { return available_to_guarantees_; }
  /// Used and unused parts of the guarantees.
  const guarantee_ledger& ledger() const { return ledger_; }
  /// Places for all guarantees on the empty cluster. They depend only on the inventory and the usable
  /// workers, so that the place of a guarantee is still reserved for it after its jobs end.
  const guarantee_plan& empty_cluster_plan() const { return empty_cluster_plan_; }

 private:
  /// Excludes the workers that must not get work from `view` and restricts those on probation.
  void LimitWorkers(capacity_view& view) const;
  /// True when `entry` holds capacity that empty_cluster_plan() assigns to another workspace's guarantee.
  bool OverlapsOtherGuarantee(const allocation& entry) const;
  /// Adds the jobs that hold workers. The oldest use the guarantees first.
  void AddAllocations();
  /// True when `jobs`, all of one workspace, fit in its guarantee together, regardless of their age.
  bool AllFitGuarantee(std::vector<const allocation*> jobs) const;
  /// Returns the index of the workspace called `name`, or -1.
  int FindWorkspace(std::string_view name) const;
  /// Estimates the remaining run time of `job`.
  std::chrono::milliseconds Remaining(const job_record& job) const;

  const scheduling_policy& policy_;
  const scheduling_snapshot& snapshot_;
  /// Time at which the decision is made.
  wall_time now_;
  worker_topology topology_;
  /// Workspace index by name.
  std::unordered_map<std::string_view, int> workspaces_;
  /// Accelerators in use by workspace index.
  std::vector<int> used_;
  guarantee_ledger ledger_;
  capacity_view usable_;
  capacity_view free_;
  capacity_view free_after_release_;
  capacity_view free_after_reclaim_;
  capacity_view available_to_guarantees_;
  guarantee_plan empty_cluster_plan_;
  std::vector<allocation> allocations_;
};

}  // namespace hickorystall::state
