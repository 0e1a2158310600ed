#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "state/pool/admission/admission_settings.h"

namespace hickorystall::state::pool {

/// Parameters of the pool's decisions. The first group is set from the limits of the platform.
struct pool_settings {
  /// Lease that each order and each renewal grants to the runs on a worker.
  std::chrono::milliseconds worker_lease{6000};
  /// Longest lease that a worker accepts. It shortens longer ones to this.
  std::chrono::milliseconds max_worker_lease{6000};
  /// Factor by which a task takes longer outside its rack or away from its data.
  double remote_run_factor = 3.0;
  /// Time within which all members of a gang must have started.
  std::chrono::milliseconds gang_timeout{3000};

  /// Maximum size of the value of a row of the store, in bytes.
  std::size_t max_row_bytes = 65'536;

  /// Maximum age of the known jobs and registrations with which units are started. Older knowledge may miss
  /// the cancellation of a job or the notice that a worker leaves.
  std::chrono::milliseconds max_feed_age{1500};

  /// Maximum age of the known evacuations with which units are started; 0 where the platform sets no bound
  /// for evacuations.
  std::chrono::milliseconds max_evacuation_age{0};

  admission::admission_settings admission;

  /// Share of the accelerators, and of the CPU, of its service that must stay free when a unit of lower
  /// priority than 0 starts. It does not apply if the unit's job has little slack or has had nothing running
  /// for some time, or if under half of the service is in use and the unit leaves as much free as it takes. A
  /// smaller share makes units of priority 0 wait for stops, and a larger
  /// one delays the other units. Shares from 0.25 to 0.4 serve both loads of docs/worst-load.md best.
  double headroom = 0.35;
  /// Share of its objective that a job must have left as slack. With less, its units may use the headroom.
  double min_slack_share = 0.25;

  /// Relative error assumed for a worker's clock: the platform allows it to run 2% slow, and 1% covers the
  /// error of estimating it between readings.
  double worker_clock_tolerance = 0.03;
  /// Added to the bound of a lease for delays in reading the clocks: ten scheduling delays of a busy VM.
  std::chrono::milliseconds lease_margin{200};
  /// Time after the sending of an order without a reply within which a worker may still execute it. The
  /// platform says "seconds later", and its bench delays orders by up to 12 s.
  std::chrono::milliseconds max_order_delay{12'000};
  /// Number of consecutive failures after which a worker is avoided. A single one may be the fault of the
  /// task.
  int failures_before_avoiding = 2;
  /// How long such a worker is avoided at first. Doubles with each further failure.
  std::chrono::milliseconds avoid_time{1500};
  /// Maximum time for which a worker is avoided, after which a repaired one is used again.
  std::chrono::milliseconds max_avoid_time{6000};

  /// Whether the speeds of workers are learned from their runs. Without it all workers count as equally fast.
  bool learn_speeds = true;

  /// Maximum size of the stored progress of one job over all its rows, in bytes. All rows are written in one
  /// transaction.
  std::size_t MaxProgressBytes() const { return std::min(kMaxProgressRows * max_row_bytes, kMaxWriteBytes); }
  /// Maximum size of a checkpoint, in bytes. Longer ones are dropped.
  std::size_t MaxCheckpointBytes() const { return max_row_bytes; }

  /// A transaction of the store holds up to 100 rows. Those of one job leave space for conditions and for the
  /// removal of finished jobs.
  static constexpr std::size_t kMaxProgressRows = 60;
  /// A call to the store holds up to 1 MB, in base64 and with the names of the rows.
  static constexpr std::size_t kMaxWriteBytes = 524'288;
};

}  // namespace hickorystall::state::pool
