#pragma once

#include <chrono>

namespace hickorystall::state::pool {

/// Tag of the clock that also counts the time in which a VM is suspended. Leases and the authority of an
/// owner are measured with it: a steady clock would stand still while the VM sleeps and the leases run out.
/// Decisions get its time passed in; transport::BootNow reads it.
struct boot_clock {
  using rep = std::chrono::milliseconds::rep;
  using period = std::chrono::milliseconds::period;
  using duration = std::chrono::milliseconds;
  using time_point = std::chrono::time_point<boot_clock>;
};

/// A moment on the clock of this VM since its boot.
using boot_time = boot_clock::time_point;

/// A moment on a worker's own clock, which starts anew with each life of the worker.
struct worker_clock {
  using rep = std::chrono::milliseconds::rep;
  using period = std::chrono::milliseconds::period;
  using duration = std::chrono::milliseconds;
  using time_point = std::chrono::time_point<worker_clock>;
};
using worker_time = worker_clock::time_point;

/// Time of day, in milliseconds since 1970. Used only for due times of scheduled jobs.
using unix_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

}  // namespace hickorystall::state::pool
