#include "state/pool/admission/admission_projection.h"

#include <algorithm>

namespace hickorystall::state::pool::admission {

using std::chrono::milliseconds;

namespace {

constexpr double kMillisPerCore = 1000.0;
// Upper bound of a projected wait. Longer ones are refused in the same way.
constexpr double kMaxWaitSeconds = 600;

// Returns how long, at most `kMaxWaitSeconds`, `ahead` takes with `capacity`, of which at least a share works
// on it. A resource that the service does not have does not limit it.
milliseconds DrainTime(double ahead, double rate, double capacity) {
  if (capacity <= 0) return milliseconds(0);
  const double seconds = std::min(kMaxWaitSeconds, ahead / std::max(rate, kMinDrainShare * capacity));
  return std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(seconds));
}

}  // namespace

work_amount WorkOf(const resources& need, milliseconds time, int tasks) {
  const double task_seconds = std::chrono::duration<double>(time).count() * tasks;
  return {static_cast<double>(need.cpu_millis) / kMillisPerCore * task_seconds,
          static_cast<double>(need.accelerators) * task_seconds};
}

const projected_wait* service_projection::FindWait(int priority) const {
  const projected_wait* found = nullptr;
  for (const projected_wait& entry : waits) {
    if (entry.priority <= priority) found = &entry;
  }
  return found;
}

const service_projection* admission_projection::FindService(const std::string& service) const {
  const auto found = std::find_if(services.begin(), services.end(),
                                  [&](const auto& entry) { return entry.service == service; });
  return found == services.end() ? nullptr : &*found;
}

service_projection ProjectService(const std::string& service, const service_load& load) {
  service_projection projection;
  projection.service = service;
  projection.largest_free = load.largest_free;
  projection.total_free = load.total_free;
  if (load.capacity.cpu_millis <= 0 && load.capacity.accelerators <= 0) return projection;
  work_amount ahead;
  for (const auto& [priority, queued] : load.queued) {
    if (queued.units == 0) continue;
    ahead += queued.work;
    const double cores = static_cast<double>(load.capacity.cpu_millis) / kMillisPerCore;
    const auto accelerators = static_cast<double>(load.capacity.accelerators);
    projected_wait entry;
    entry.priority = priority;
    entry.core_wait = DrainTime(ahead.core_s, load.drain_rate.core_s, cores);
    entry.accelerator_wait = DrainTime(ahead.accelerator_s, load.drain_rate.accelerator_s, accelerators);
    entry.typical_time = queued.total_time / queued.units;
    projection.waits.push_back(entry);
  }
  return projection;
}

}  // namespace hickorystall::state::pool::admission
