#pragma once

#include "cluster_run.h"

namespace hickorystall::benchmark {

/// Measures of one run.
struct run_measures {
  /// 99th percentile of the time that urgent jobs wait for their start, in seconds.
  double urgent_p99_s = 0;
  /// Mean time from submission to end over the finished jobs, in seconds.
  double mean_completion_s = 0;
  /// Free accelerators that the largest waiting gang cannot use, as a fraction of all, averaged over time.
  double fragmentation = 0;
  /// Longest time in the queue of a gang over that of a single-accelerator job, in the worst workspace.
  double gang_wait_ratio = 0;
  /// Longest time in the queue of any job, in seconds.
  double longest_wait_s = 0;
  /// Jobs within a guarantee that started later than the bound for urgent jobs.
  int guarantees_late = 0;
  /// Jobs within a guarantee.
  int guaranteed = 0;
  /// Work lost to reclaim over work done.
  double lost = 0;
  /// Accelerators in use as a fraction of all, averaged over time.
  double utilisation = 0;
  /// Finished jobs that missed their deadline, and refused jobs that had one.
  int deadlines_missed = 0;
  /// Finished jobs.
  int finished = 0;
  /// Possible jobs that were refused.
  int refused = 0;
  /// Jobs that neither ended nor were refused.
  int unfinished = 0;
  /// Impossible jobs that were not refused.
  int impossible_not_refused = 0;
  /// Number of attempts that failed on a worker.
  int failures = 0;
  /// Number of reclaims.
  int reclaims = 0;
  /// Median and longest real time of a decision, in milliseconds.
  double decision_median_ms = 0;
  double decision_max_ms = 0;
};

/// Computes the measures of a run.
run_measures Measure(const run_result& run);

}  // namespace hickorystall::benchmark
