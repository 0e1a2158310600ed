#pragma once

#include <chrono>

namespace hickorystall::state::pool {

/// Tag type of the clock that also counts the time for which a VM is suspended. Leases and the authority of
/// an owner are measured with it: a steady clock would stop while the VM is suspended and the leases expire.
/// Decisions take the time as an argument; transport::BootNow reads the clock.
struct boot_clock {
  using rep = std::chrono::milliseconds::rep;
  using period = std::chrono::milliseconds::period;
  using duration = std::chrono::milliseconds;
  using time_point = std::chrono::time_point<boot_clock>;
};

/// Time since the boot of this VM.
using boot_time = boot_clock::time_point;

/// Tag type of a worker's own clock, which restarts with each incarnation of the worker.
struct worker_clock {
  using rep = std::chrono::milliseconds::rep;
  using period = std::chrono::milliseconds::period;
  using duration = std::chrono::milliseconds;
  using time_point = std::chrono::time_point<worker_clock>;
};
/// Time on the clock of a worker. Times of different incarnations are not comparable.
using worker_time = worker_clock::time_point;

/// Time of day, in milliseconds since the Unix epoch. Used only for due times of scheduled jobs.
using unix_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

}  // namespace hickorystall::state::pool
