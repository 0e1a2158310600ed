#pragma once

#include <deque>

#include "state/pool/pool_time.h"

namespace hickorystall::transport {

/// Reads the clock that also counts suspended time (CLOCK_BOOTTIME).
state::pool::boot_time BootNow();
/// Reads the time of day.
state::pool::unix_time WallNow();

/// Time of day that does not follow a jump of some seconds: the median of the offsets between the time of day
/// and the time since boot over the last minute.
class smoothed_wall_clock {
 public:
  /// Takes a reading. Called about once a second.
  void Sample(state::pool::boot_time boot_now, state::pool::unix_time wall_now);
  /// Time of day at `boot_now`. At least one reading was taken.
  state::pool::unix_time At(state::pool::boot_time boot_now) const;

 private:
  std::deque<std::chrono::milliseconds> offsets_;
};

}  // namespace hickorystall::transport
