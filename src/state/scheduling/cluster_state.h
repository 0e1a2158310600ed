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
  /// The job. Not null.
  const job_record* job = nullptr;
  /// Where its members run.
  assignment places;
  /// Index of its workspace in the configuration, or -1.
  int workspace = -1;
  /// True when it can be reclaimed: it may wait and lies outside of its workspace's guarantee, or was
  /// borrowed where another workspace's guarantee has its place.
  bool reclaimable = false;
  /// True when it is being reclaimed or cancelled, so that its workers come free.
  bool releasing = false;
  /// Estimate of the run time that it still needs.
  std::chrono::milliseconds remaining{0};
  /// Work that its reclaim would lose, in accelerator milliseconds.
  double lost_by_reclaim = 0;
};

/// A snapshot by index: workers, allocations, and the free capacity under three assumptions. It changes as a
/// decision starts and reclaims jobs. Not thread-safe.
class cluster_state {
 public:
  /// Indexes `snapshot`, which must outlive it.
  cluster_state(const scheduling_policy& policy, const scheduling_snapshot& snapshot, wall_time now);

  /// Queued jobs in the order in which the policy considers them.
  std::vector<queued_job> MakeQueue() const;
  /// True when the workspace of `entry` may use that many accelerators more.
  bool IsWithinQuota(const queued_job& entry) const;
  /// Takes `places` for `entry`, which starts now or once the capacity is free. A job that lies within
  /// the guarantee of its workspace uses it; returns whether it does.
  bool Allocate(const queued_job& entry, const assignment& places, bool reclaimable);
  /// Records that the allocation at `index` is being reclaimed.
  void Reclaim(int index);

  /// Workers by index.
  const worker_topology& topology() const { return topology_; }
  /// Jobs that hold workers.
  const std::vector<allocation>& allocations() const { return allocations_; }
  /// The empty cluster without the workers that must not get work.
  const capacity_view& usable() const { return usable_; }
  /// Capacity that no job holds.
  const capacity_view& free() const { return free_; }
  /// Capacity that is free once the leaving jobs have gone.
  const capacity_view& free_after_release() const { return free_after_release_; }
  /// Capacity that is free once all work that can be reclaimed has gone.
  const capacity_view& free_after_reclaim() const { return free_after_reclaim_; }
  /// Capacity without the firm work outside of the guarantees only.
  const capacity_view& available_to_guarantees() const { return available_to_guarantees_; }
  /// Use of the guarantees.
  const guarantee_ledger& ledger() const { return ledger_; }
  /// Places for all guarantees on the empty cluster. They depend on the inventory and the usable workers
  /// only, so that a guarantee whose jobs end finds its place again.
  const guarantee_plan& empty_cluster_plan() const { return empty_cluster_plan_; }

 private:
  /// Excludes workers that must not get work from `view`.
  void LimitWorkers(capacity_view& view) const;
  /// True when `entry` holds capacity that a guarantee of another workspace has its home on.
  bool OverlapsOtherGuarantee(const allocation& entry) const;
  /// Adds the jobs that hold workers, oldest first, so that the oldest lie within the guarantees.
  void AddAllocations();
  /// True when all that `jobs` of one workspace hold lies within its guarantee together, whatever their age.
  bool AllFitGuarantee(std::vector<const allocation*> jobs) const;
  /// Index of the workspace called `name`, or -1.
  int FindWorkspace(std::string_view name) const;
  /// Estimates the run time that `job` still needs.
  std::chrono::milliseconds Remaining(const job_record& job) const;

  /// Policy in force.
  const scheduling_policy& policy_;
  /// The snapshot.
  const scheduling_snapshot& snapshot_;
  /// Time of the decision.
  wall_time now_;
  /// Workers by index.
  worker_topology topology_;
  /// Workspace index by name.
  std::unordered_map<std::string_view, int> workspaces_;
  /// Accelerators in use by workspace.
  std::vector<int> used_;
  /// Use of the guarantees.
  guarantee_ledger ledger_;
  /// See usable().
  capacity_view usable_;
  /// See free().
  capacity_view free_;
  /// See soon().
  capacity_view free_after_release_;
  /// See firm().
  capacity_view free_after_reclaim_;
  /// See outside().
  capacity_view available_to_guarantees_;
  /// See homes().
  guarantee_plan empty_cluster_plan_;
  /// Jobs that hold workers.
  std::vector<allocation> allocations_;
};

}  // namespace hickorystall::state
