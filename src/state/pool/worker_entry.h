#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "state/pool/job_request.h"
#include "state/pool/learning/worker_speed.h"
#include "state/pool/pool_time.h"
#include "state/pool/worker_lease.h"

namespace hickorystall::state::pool {

/// Registration of a worker.
struct worker_registration {
  /// Later incarnations of the worker may have the same id.
  std::string id;
  /// "ip:port" to which orders are sent.
  std::string address;
  /// Service whose jobs the worker runs.
  std::string service;
  std::string failure_domain;
  /// Total capacity for tasks.
  resources capacity;
  /// Labels that jobs may require.
  std::vector<std::string> labels;
  /// Rack, one of the labels; empty when unknown.
  std::string rack;
  /// True if the worker accepts no more work and is going to leave.
  bool draining = false;
  /// While draining, the minimum time until the worker leaves; empty if it does not report that.
  std::optional<std::chrono::milliseconds> remaining;
  /// Identifies the incarnation: Unix time of the start of the process. 0 if unknown.
  std::int64_t incarnation = 0;
  /// The clock of the worker at some time before the registration was read.
  worker_time clock{};
};

/// A run that a worker lists as active.
struct listed_run {
  /// Task name, JOB.OCCURRENCE.STEP.INDEX.
  std::string task;
  /// Number of the run.
  std::int64_t run = 0;
  /// Latest checkpoint; empty for none.
  std::string checkpoint;
  /// Progress in percent, 0 to 100.
  int percent = 0;
};

/// How a run ended.
enum class end_kind {
  /// It completed its work.
  kDone,
  /// It failed, through a fault of the task or of the worker.
  kFailed,
  /// It was stopped by an order.
  kStopped,
  /// Its lease expired.
  kLeaseExpired,
  /// Another member of its gang ended before the gang was done.
  kGangMemberLost,
  /// Not all members of its gang started in time.
  kGangIncomplete,
};

/// The end of a run. A worker lists it until it is acknowledged.
struct listed_end {
  /// Sequence number of the end, starting at 1 in each incarnation of the worker.
  std::int64_t number = 0;
  /// Task name.
  std::string task;
  /// Number of the run.
  std::int64_t run = 0;
  end_kind kind = end_kind::kFailed;
  /// Latest checkpoint; empty for none.
  std::string checkpoint;
};

/// Active and ended runs of a worker, read in one call.
struct worker_lists {
  /// Incarnation that replied; see `worker_registration::incarnation`.
  std::int64_t incarnation = 0;
  /// The clock of the worker when it replied.
  worker_time clock{};
  std::vector<listed_run> running;
  /// Ends that are not acknowledged. May be only the first of them; see `pool_state::ApplyWorkerLists`.
  std::vector<listed_end> finished;
};

/// Whether new tasks may start on a worker, or the first reason why not.
enum class worker_condition {
  kUsable,
  /// It is not registered.
  kUnlisted,
  /// Its id is not stored yet.
  kNotRecorded,
  /// Its lists have not been read yet.
  kNotRead,
  kUnreachable,
  /// It may be stored as silent, so it gets no lease.
  kLeaseWithheld,
  kDraining,
  /// The operator has evacuated its failure domain.
  kEvacuated,
  /// It is avoided after failures.
  kAvoided,
};

/// Number of enumerators of `worker_condition`.
inline constexpr int kWorkerConditions = 9;

/// Returns the name of `condition` as used in log records and metrics.
std::string_view WorkerConditionName(worker_condition condition);

/// A start that had an attempt without a reply.
struct unanswered_start {
  /// Number of the run.
  std::int64_t run = 0;
  /// When the latest attempt without a reply ended.
  boot_time ended_at{};
};

/// A worker as known to the owner of the pool.
struct worker_entry {
  /// Latest registration. Only the id and address are set for a worker known only from an earlier owner.
  worker_registration registration;
  /// True while the worker is registered.
  bool listed = false;
  /// True while the stored list of workers names this one with its present address, so that a later owner
  /// asks it for its runs before it starts units that are recorded on it.
  bool recorded = false;
  /// True once this owner has applied the complete lists of the worker, or knows that the worker has ended.
  /// Reset when a registration shows a restart.
  bool lists_applied = false;
  /// True while the worker may have runs of an earlier owner that this owner has not seen listed. Units that
  /// are recorded as started on it are not started anywhere until its runs are known.
  bool may_have_unlisted_runs = false;
  /// False if the worker did not reply to the latest call.
  bool reachable = true;
  /// While it is not reachable, when the first call without a reply ended.
  boot_time unreachable_since{};
  /// True while the store may name the worker as silent, with the end of its leases. It must not get a lease
  /// then.
  bool lease_withheld = false;
  /// True while the failure domain of the worker is evacuated.
  bool evacuated = false;
  /// True if the connection of a call was closed in an orderly way, and no reply came since.
  bool closed_a_call = false;
  /// Capacity that runs of known units hold or may hold.
  resources used;
  /// Listed runs that are not the current run of any unit: task name and the capacity counted for it.
  std::map<std::string, resources> unaccounted;
  /// Names of the tasks whose current run is assigned to this worker.
  std::set<std::string> tasks;
  /// Leases granted by this owner and earlier ones.
  worker_lease lease;
  /// When the latest reply that names the current incarnation was received; zero if there is none.
  boot_time replied_at{};
  /// Earliest time at which the worker leaves, as it last reported when it began to drain; empty if it never
  /// reported a time. Counts only while the worker drains.
  std::optional<boot_time> leaves_at;
  /// Starts that the worker may still execute late, by task name. Older ones are kept until the next is
  /// added.
  std::map<std::string, unanswered_start> unanswered_starts;
  /// Runs to stop on the current incarnation, because a start that was sent to an earlier one may still reach
  /// it: numbers of the runs by task name.
  std::map<std::string, std::int64_t> runs_to_reject;
  /// Highest sequence number of an end that is stored and may be acknowledged.
  std::int64_t acknowledged_end = 0;
  /// Number of consecutive runs that ended with `kFailed`.
  int failures_in_row = 0;
  /// Learned speed of the current incarnation.
  learning::worker_speed speed;
  /// No new task is started on the worker before this time.
  boot_time avoided_until{};

  /// Returns the capacity that is neither used nor held by unaccounted runs.
  resources Free() const {
    resources free = registration.capacity;
    free -= used;
    for (const auto& [task, need] : unaccounted) free -= need;
    return free;
  }
  /// Returns whether new tasks may start on the worker at `now`.
  bool IsUsable(boot_time now) const { return Condition(now) == worker_condition::kUsable; }
  worker_condition Condition(boot_time now) const {
    if (!listed) return worker_condition::kUnlisted;
    if (!recorded) return worker_condition::kNotRecorded;
    if (!lists_applied) return worker_condition::kNotRead;
    if (!reachable) return worker_condition::kUnreachable;
    if (lease_withheld) return worker_condition::kLeaseWithheld;
    if (registration.draining) return worker_condition::kDraining;
    if (evacuated) return worker_condition::kEvacuated;
    return now < avoided_until ? worker_condition::kAvoided : worker_condition::kUsable;
  }
};

}  // namespace hickorystall::state::pool
