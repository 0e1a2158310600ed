#pragma once

#include <string_view>

namespace hickorystall::state::pool {

/// Why no task of a job runs although one is ready.
enum class wait_cause {
  /// The owner plans nothing at the moment; it logs the reason of that separately.
  kPlanningPaused,
  /// An earlier owner recorded the task on a worker whose runs are not known yet.
  kUnresolvedWorker,
  /// An earlier owner may still repeat its start of the task.
  kFormerOwner,
  /// A run of the task that no unit accounts for has not ended yet.
  kUnaccountedRun,
  /// The start would use capacity that is kept free for more urgent work.
  kHeadroom,
  /// No worker in the required rack has room, and a remote placement is not allowed yet.
  kNoNearCapacity,
  /// No usable worker has room.
  kNoCapacity,
  /// Only workers of evacuated failure domains have the capacity that the start needs.
  kEvacuated,
  /// Capacity is reserved, but held by runs that are being stopped.
  kCapacityReserved,
  /// The start is planned, but its record is not stored or no worker has confirmed it.
  kStartUnconfirmed,
  /// The stop of the latest run is not confirmed.
  kStopUnconfirmed,
  /// The worker of the latest run does not reply, and its lease has not expired.
  kWorkerUnreachable,
  /// The store does not take the progress of the job.
  kProgressNotStored,
};

/// Number of enumerators of `wait_cause`.
inline constexpr int kWaitCauses = 13;

/// Returns the name of `cause` as used in log records and metrics.
std::string_view WaitCauseName(wait_cause cause);

}  // namespace hickorystall::state::pool
