#pragma once

#include <cstdint>
#include <limits>
#include <vector>

#include "state/scheduling/job.h"
#include "state/scheduling/worker_topology.h"

namespace hickorystall::state {

/// Most accelerators of one worker that are used, one bit of a mask each. Further ones stay idle.
inline constexpr int kMaxAcceleratorsPerWorker = 64;

/// A gang member with the worker and the accelerators that it is assigned to.
struct assigned_member {
  /// Index of the worker in the topology.
  int worker = 0;
  /// Mask of the assigned accelerators, one bit each.
  std::uint64_t accelerators = 0;
};

/// The places of all members of a gang, one entry per member.
using assignment = std::vector<assigned_member>;

/// Free capacity of one worker.
struct worker_capacity {
  /// Mask of the free accelerators, one bit each.
  std::uint64_t accelerators = 0;
  /// Free processor cores; negative when overcommitted.
  int processors = 0;
  /// Free memory in MiB; negative when overcommitted.
  std::int64_t memory_mib = 0;
  /// Further tasks that the worker may run; 0 when it is not usable.
  int tasks = std::numeric_limits<int>::max() / 2;
  /// Consecutive tasks that failed on the worker.
  int failures = 0;
  /// True when the worker runs only single, non-urgent tasks because earlier tasks failed on it.
  bool trial = false;
};

/// Free capacity of every worker under one assumption, such as "without the jobs that can be reclaimed".
class capacity_view {
 public:
  /// Starts with every worker of `topology` empty and usable. The topology must outlive the view.
  explicit capacity_view(const worker_topology& topology);

  /// Limits the further tasks of `worker`; 0 excludes it.
  void LimitTasks(int worker, int tasks) { workers_[worker].tasks = tasks; }
  /// Sets the number of consecutive failures on `worker`.
  void SetFailures(int worker, int failures) { workers_[worker].failures = failures; }
  /// Restricts `worker` to single, non-urgent tasks.
  void SetTrial(int worker) { workers_[worker].trial = true; }
  /// Subtracts the capacity that a job with sizes `spec` uses at `places`.
  void Allocate(const assignment& places, const job_spec& spec);
  /// Adds back the capacity that Allocate subtracted.
  void Release(const assignment& places, const job_spec& spec);
  /// Number of members of `spec` that fit on `worker`, at most `limit`.
  int MembersThatFit(int worker, const job_spec& spec, int limit) const;
  /// True when a job with sizes `spec` can be placed at exactly `places`.
  bool Allows(const assignment& places, const job_spec& spec) const;
  /// Keeps only the capacity that is also free in `other`, a view of the same topology.
  void IntersectWith(const capacity_view& other);
  /// Keeps only the accelerators of `places` free, and at most one task for each of its members.
  void KeepOnly(const assignment& places);
  /// Free capacity of `worker`.
  const worker_capacity& at(int worker) const { return workers_[worker]; }
  /// Free accelerators in the rack of `worker`.
  int FreeInRackOf(int worker) const { return rack_free_[topology_->workers()[worker].rack]; }
  const worker_topology& topology() const { return *topology_; }

 private:
  /// Not null.
  const worker_topology* topology_;
  /// Free capacity by worker index.
  std::vector<worker_capacity> workers_;
  /// Free accelerators by rack index.
  std::vector<int> rack_free_;
};

/// Returns the length of the longest run of adjacent set bits.
int LongestRun(std::uint64_t mask);
/// Returns the number of disjoint runs of `count` adjacent bits in `mask`, at most `limit`.
int CountRuns(std::uint64_t mask, int count, int limit);
/// Returns `count` adjacent bits of `free` from the shortest run that is long enough, aligned to `count`
/// where possible. Returns 0 when there is no such run or `count` is 0.
std::uint64_t FindRun(std::uint64_t free, int count);

}  // namespace hickorystall::state
