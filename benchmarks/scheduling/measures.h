#pragma once

#include "cluster_run.h"

namespace hickorystall::benchmark {

/// Measures of one run (design, 1.6).
struct run_measures {
  /// 99th percentile of the wait of urgent jobs, in seconds.
  double urgent_p99_s = 0;
  /// Mean time from submission to the end of finished jobs, in seconds.
  double mean_completion_s = 0;
  /// Free accelerators that the largest waiting gang cannot use, part of all, averaged over time.
  double fragmentation = 0;
  /// Longest wait of a gang over that of a single-accelerator job, worst workspace.
  double gang_wait_ratio = 0;
  /// Longest wait of any job in seconds.
  double longest_wait_s = 0;
  /// Jobs within a guarantee that started later than the bound for urgent work.
  int guarantees_late = 0;
  /// Jobs within a guarantee.
  int guaranteed = 0;
  /// Work lost to reclaim over work done.
  double lost = 0;
  /// Accelerators in use, part of all.
  double utilisation = 0;
  /// Finished jobs that missed their deadline, and jobs refused for it.
  int deadlines_missed = 0;
  /// Finished jobs.
  int finished = 0;
  /// Possible jobs that were refused.
  int refused = 0;
  /// Jobs that neither ended nor were refused.
  int unfinished = 0;
  /// Impossible jobs that were not refused.
  int impossible_not_refused = 0;
  /// Attempts that failed on a worker.
  int failures = 0;
  /// Jobs reclaimed.
  int reclaims = 0;
  /// Median and longest real time of a decision, in milliseconds.
  double decision_median_ms = 0;
  double decision_max_ms = 0;
};

/// Computes the measures of a run.
run_measures Measure(const run_result& run);

}  // namespace hickorystall::benchmark
