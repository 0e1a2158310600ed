#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorystall::state::pool {

/// What a decision or a worker's report changed; one log record each.
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
  kWorkerReborn,
  kWorkerUnreachable,
  kWorkerAvoided,
  kForeignRun,
};

/// Returns the name of `kind` in log records.
std::string_view PoolEventName(pool_event_kind kind);

/// One change with the ids that an operator would search for.
struct pool_event {
  pool_event_kind kind = pool_event_kind::kJobAdded;
  /// Job; empty when the event is about a worker only.
  std::string job;
  /// Task name or empty.
  std::string task;
  /// Number of the start or 0.
  std::int64_t run = 0;
  /// Worker or empty.
  std::string worker;
  /// Why, in a few words.
  std::string reason;
};

}  // namespace hickorystall::state::pool
