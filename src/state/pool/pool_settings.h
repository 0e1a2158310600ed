#pragma once

#include <chrono>

namespace hickorystall::state::pool {

/// Figures of the pool's decisions. The adapter fills the first group from the platform's bounds.
struct pool_settings {
  /// Lease that each order and renewal gives what runs on a worker.
  std::chrono::milliseconds worker_lease{6000};
  /// How many times longer a task runs away from its rack.
  double far_factor = 3.0;
  /// Time in which all members of a gang must be present.
  std::chrono::milliseconds gang_timeout{3000};

  /// Share of the pool's capacity that patient work leaves free for urgent work while it is not pressed
  /// itself. Of 0, 0.1, 0.25, 0.4 and 0.6, shares from 0.25 to 0.4 served both sites best
  /// (docs/worst-load.md).
  double headroom = 0.35;
  /// Share of its objective at which patient work counts as pressed: less than that is left to spare.
  double pressed_share = 0.25;

  /// A worker's clock may be 2% slow (the platform's statement); 1% more for what the estimate adds.
  double worker_clock_tolerance = 0.03;
  /// Added to the bound of a lease for reading the clocks. Ten scheduling delays of a busy VM.
  std::chrono::milliseconds lease_margin{200};
  /// Failures in a row after which a worker gets no work for a while. One may be the task's own fault.
  int failures_before_avoiding = 2;
  /// First time that such a worker is avoided; doubles with each further failure.
  std::chrono::milliseconds avoid_time{1500};
  /// Longest such time: a repaired worker is in use again after it.
  std::chrono::milliseconds longest_avoid_time{6000};
};

}  // namespace hickorystall::state::pool
