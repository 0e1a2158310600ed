#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorystall::state::pool {

/// Kind of a change made by a decision or by a worker's report. Each event becomes one log record.
enum class pool_event_kind {
  kJobAdded,
  kJobCompleted,
  kJobFailed,
  kJobCancelled,
  kStartOrdered,
  kStartRefused,
  kRunDone,
  kRunFailed,
  kRunStopped,
  kRunLost,
  kStopOrdered,
  kWorkerListed,
  kWorkerDraining,
  kWorkerGone,
  kWorkerRestarted,
  kWorkerUnreachable,
  kWorkerAvoided,
  kForeignRun,
  /// A unit is started on workers that are too slow for it to end in time.
  kStartTooSlow,
  kEvacuationBegun,
  kEvacuationEnded,
};

/// Returns the name of `kind` as used in log records.
std::string_view PoolEventName(pool_event_kind kind);

/// One change, with the ids that an operator would search the log for.
struct pool_event {
  pool_event_kind kind = pool_event_kind::kJobAdded;
  /// Job id; empty if the event concerns only a worker.
  std::string job;
  /// Task name; empty if the event concerns no single task.
  std::string task;
  /// Number of the run; 0 if there is none.
  std::int64_t run = 0;
  /// Worker id; empty if there is none.
  std::string worker;
  /// Short reason or details, such as "age_ms=120"; may be empty.
  std::string reason;
};

}  // namespace hickorystall::state::pool
