#pragma once

#include <cstdint>
#include <limits>
#include <vector>

#include "state/scheduling/job.h"
#include "state/scheduling/worker_topology.h"

namespace hickorystall::state {

/// Accelerators that are considered on one worker, one bit of a mask each. Further ones stay unused.
inline constexpr int kMaxAcceleratorsPerWorker = 64;

/// A member of a gang on a worker, by index.
struct assigned_member {
  /// Index of the worker in the topology.
  int worker = 0;
  /// Its accelerators, one bit each.
  std::uint64_t accelerators = 0;
};

/// Places of all members of a gang.
using assignment = std::vector<assigned_member>;

/// What is free on one worker.
struct worker_capacity {
  /// Free accelerators, one bit each.
  std::uint64_t accelerators = 0;
  /// Free processor cores; negative when overcommitted.
  int processors = 0;
  /// Free memory in MiB; negative when overcommitted.
  std::int64_t memory_mib = 0;
  /// Tasks that it may still take: 0 for one that is not usable.
  int tasks = std::numeric_limits<int>::max() / 2;
  /// Tasks that failed on it in a row.
  int failures = 0;
  /// True when it takes only single, non-urgent tasks, because earlier ones failed on it.
  bool trial = false;
};

/// Free capacity of every worker under one assumption, such as "without the jobs that can be reclaimed".
class capacity_view {
 public:
  /// Starts with every worker of `topology` empty and usable. The topology must outlive the view.
  explicit capacity_view(const worker_topology& topology);

  /// Limits the tasks that `worker` may take: 0 excludes it.
  void LimitTasks(int worker, int tasks) { workers_[worker].tasks = tasks; }
  /// Records failures in a row on `worker`.
  void SetFailures(int worker, int failures) { workers_[worker].failures = failures; }
  /// Restricts `worker` to single, non-urgent tasks.
  void SetTrial(int worker) { workers_[worker].trial = true; }
  /// Takes the capacity of a job with sizes `spec` placed at `places`.
  void Allocate(const assignment& places, const job_spec& spec);
  /// Gives back what Take took.
  void Release(const assignment& places, const job_spec& spec);
  /// Number of members of `spec` that fit on `worker`, at most `limit`.
  int MembersThatFit(int worker, const job_spec& spec, int limit) const;
  /// True when a job with sizes `spec` can be placed at exactly `places`.
  bool Allows(const assignment& places, const job_spec& spec) const;
  /// Leaves free only what is also free in `other`, a view of the same topology.
  void IntersectWith(const capacity_view& other);
  /// Leaves only `places` free.
  void KeepOnly(const assignment& places);
  /// What is free on `worker`.
  const worker_capacity& at(int worker) const { return workers_[worker]; }
  /// Free accelerators in the rack of `worker`.
  int FreeInRackOf(int worker) const { return rack_free_[topology_->workers()[worker].rack]; }
  /// Topology of the workers.
  const worker_topology& topology() const { return *topology_; }

 private:
  /// Topology of the workers.
  const worker_topology* topology_;
  /// Free capacity by worker.
  std::vector<worker_capacity> workers_;
  /// Free accelerators by rack.
  std::vector<int> rack_free_;
};

/// Length of the longest run of adjacent set bits.
int LongestRun(std::uint64_t mask);
/// Number of disjoint runs of `count` adjacent bits in `mask`, at most `limit`.
int CountRuns(std::uint64_t mask, int count, int limit);
/// Returns `count` adjacent bits of `free`, from the shortest run that has them and aligned to `count` where
/// possible; 0 when there is no such run or `count` is 0.
std::uint64_t FindRun(std::uint64_t free, int count);

}  // namespace hickorystall::state
