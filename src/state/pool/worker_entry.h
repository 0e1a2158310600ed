#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "state/pool/job_request.h"
#include "state/pool/pool_time.h"

namespace hickorystall::state::pool {

/// What a worker's registration says.
struct worker_registration {
  /// Identifier of the worker; a later life may have the same.
  std::string id;
  /// "ip:port" that takes orders.
  std::string address;
  /// Service whose jobs it runs.
  std::string service;
  /// Failure domain.
  std::string failure_domain;
  /// Capacity for tasks.
  resources capacity;
  /// Labels that jobs may require.
  std::vector<std::string> labels;
  /// Rack, one of the labels; empty when unknown.
  std::string rack;
  /// True when it takes no more work and leaves.
  bool draining = false;
  /// While draining: least time until it leaves; empty when it does not say.
  std::optional<std::chrono::milliseconds> remaining;
  /// Unix time of the start of this life of the worker.
  std::int64_t incarnation = 0;
  /// Its clock at some moment before the registration was read.
  worker_time clock{};
};

/// A run that a worker lists as running.
struct listed_run {
  /// Task name, JOB.OCCURRENCE.STEP.INDEX.
  std::string task;
  /// Number of the start.
  std::int64_t run = 0;
  /// Latest checkpoint; empty for none.
  std::string checkpoint;
  /// Progress in percent.
  int percent = 0;
};

/// How a run ended.
enum class end_kind {
  /// The work is done.
  kDone,
  /// It failed, through its own fault or the worker's.
  kFailed,
  /// It was told to stop.
  kStopped,
  /// The worker's lease ran out.
  kLeaseExpired,
  /// Another member of its gang ended.
  kGangMemberLost,
  /// The other members of its gang did not start in time.
  kGangIncomplete,
};

/// An end that a worker lists until it is acknowledged.
struct listed_end {
  /// Number of the end, from 1 in each life of the worker.
  std::int64_t number = 0;
  /// Task name.
  std::string task;
  /// Number of the start.
  std::int64_t run = 0;
  /// How it ended.
  end_kind kind = end_kind::kFailed;
  /// Latest checkpoint; empty for none.
  std::string checkpoint;
};

/// Both lists of a worker, read in one call.
struct worker_lists {
  /// Unix time of the start of the life that answered.
  std::int64_t incarnation = 0;
  /// The worker's clock when it answered.
  worker_time clock{};
  /// What runs.
  std::vector<listed_run> running;
  /// What ended and is not acknowledged.
  std::vector<listed_end> finished;
};

/// A worker as the owner of the pool knows it.
struct worker_entry {
  /// Newest registration.
  worker_registration registration;
  /// True while the registration stands.
  bool listed = false;
  /// True once its id is stored, so that a later owner asks it before it starts anything.
  bool recorded = false;
  /// True once its lists were read under this ownership.
  bool synced = false;
  /// True while an earlier owner's runs may be on it that nobody has listed to this owner. What is recorded
  /// as started there may start nowhere before that is known.
  bool may_run_unknown = false;
  /// True while its last call was answered.
  bool reachable = true;
  /// Capacity that runs hold or may hold on it.
  resources used;
  /// Task names of runs that no job accounts for, with the capacity that each holds.
  std::map<std::string, resources> unaccounted;
  /// Runs by task name that the owner believes to be on it.
  std::set<std::string> tasks;
  /// Lower bound of its clock at `clock_read_at`.
  worker_time clock{};
  /// When `clock` was read.
  boot_time clock_read_at{};
  /// After this time nothing that this owner or an earlier one ordered runs on it any more, unless it is
  /// ordered again.
  boot_time lease_bound{};
  /// When the worker must have left, if it drains.
  std::optional<boot_time> leaves_at;
  /// Highest end that is stored and may be acknowledged.
  std::int64_t acknowledged_end = 0;
  /// Ends `kFailed` in a row.
  int failures_in_row = 0;
  /// It gets no new task before this time.
  boot_time avoided_until{};

  /// What is free of its capacity.
  resources Free() const {
    resources free = registration.capacity;
    free -= used;
    for (const auto& [task, need] : unaccounted) free -= need;
    return free;
  }
  /// True when new tasks may start on it at `now`.
  bool IsUsable(boot_time now) const {
    return listed && recorded && synced && reachable && !registration.draining && now >= avoided_until;
  }
};

}  // namespace hickorystall::state::pool
