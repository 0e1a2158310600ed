#include "state/pool/worker_lease.h"

#include <algorithm>
#include <cmath>

namespace hickorystall::state::pool {

using std::chrono::milliseconds;

milliseconds MaxElapsedTime(const pool_settings& settings, milliseconds time) {
  return milliseconds(
             std::llround(static_cast<double>(time.count()) * (1.0 + settings.worker_clock_tolerance))) +
         settings.lease_margin;
}

worker_time worker_lease::Grant(const pool_settings& settings, boot_time now) {
  granted_at_ = now;
  ExtendTo(now + MaxElapsedTime(settings, settings.worker_lease));
  // Assumes a slow clock, so that the lease does not outlast the bound.
  const auto since_reading = static_cast<double>((now - clock_read_at_).count());
  const auto progress = milliseconds(std::llround(since_reading * (1.0 - settings.worker_clock_tolerance)));
  return clock_ + progress + settings.worker_lease;
}

void worker_lease::HandleReply(const pool_settings& settings, worker_time deadline, worker_time clock,
                               boot_time now) {
  const milliseconds left = std::clamp(deadline - clock, milliseconds(0), settings.max_worker_lease);
  ExtendTo(now + MaxElapsedTime(settings, left));
}

void worker_lease::HandleNoReply(const pool_settings& settings, boot_time sent_at, bool has_restarted) {
  late_execution_end_ = std::max(late_execution_end_, sent_at + settings.max_order_delay);
  if (has_restarted) ExtendForLateExecution(settings);
}

void worker_lease::HandleRestart(const pool_settings& settings) {
  clock_read_at_ = {};
  if (late_execution_end_ != boot_time{}) ExtendForLateExecution(settings);
}

void worker_lease::ExtendForLateExecution(const pool_settings& settings) {
  ExtendTo(late_execution_end_ + MaxElapsedTime(settings, settings.max_worker_lease));
}

void worker_lease::HandleEnd() { *this = {}; }

void worker_lease::ReadClock(worker_time clock, boot_time now) {
  clock_ = clock;
  clock_read_at_ = now;
}

void worker_lease::ExtendTo(boot_time bound) { bound_ = std::max(bound_, bound); }

}  // namespace hickorystall::state::pool
