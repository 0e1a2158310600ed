#pragma once

#include <deque>

#include "state/pool/pool_time.h"

namespace hickorystall::transport {

/// Reads CLOCK_BOOTTIME, which is monotonic and includes the time that the machine is suspended.
state::pool::boot_time BootNow();
/// Reads the system's wall clock.
state::pool::unix_time WallNow();

/// Wall clock that ignores jumps of some seconds: the time since boot plus the median of its offsets to the
/// wall clock over the last minute.
class smoothed_wall_clock {
 public:
  /// Adds a pair of readings. Must be called about once a second.
  void Sample(state::pool::boot_time boot_now, state::pool::unix_time wall_now);
  /// Returns the wall-clock time at `boot_now`. Sample must have been called before.
  state::pool::unix_time At(state::pool::boot_time boot_now) const;

 private:
  std::deque<std::chrono::milliseconds> offsets_;
};

}  // namespace hickorystall::transport
