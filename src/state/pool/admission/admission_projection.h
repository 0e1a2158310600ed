#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "state/pool/job_request.h"
#include "state/pool/pool_time.h"

namespace hickorystall::state::pool::admission {

/// Amounts of work in resource-seconds.
struct work_amount {
  double core_s = 0;
  double accelerator_s = 0;

  work_amount& operator+=(const work_amount& other) {
    core_s += other.core_s;
    accelerator_s += other.accelerator_s;
    return *this;
  }
  friend bool operator==(const work_amount&, const work_amount&) = default;
};

/// Returns the work of `tasks` tasks that need `need` for `time` each.
work_amount WorkOf(const resources& need, std::chrono::milliseconds time, int tasks);

/// Work of one priority that waits.
struct queued_work {
  work_amount work;
  /// Sum of the expected run times of the waiting units, and their number.
  std::chrono::milliseconds total_time{0};
  int units = 0;
};

/// What the owner knows about the workers and the queue of one service.
struct service_load {
  /// Capacity of all usable workers.
  resources capacity;
  /// The largest amount of each resource that is free, or about to be, on one usable worker.
  resources largest_free;
  /// The same on all usable workers together.
  resources total_free;
  /// Work started per second, as measured over the last seconds.
  work_amount drain_rate;
  /// Waiting work by priority. It includes jobs that new ones overtake because they can no longer end in
  /// time: they were accepted and must end too.
  std::map<int, queued_work> queued;
};

/// Expected wait for the first start of a new job.
struct projected_wait {
  /// Applies to this priority and to less urgent ones up to the next entry.
  int priority = 0;
  /// Wait for cores.
  std::chrono::milliseconds core_wait{0};
  /// Wait for accelerators, which concerns only tasks that need some.
  std::chrono::milliseconds accelerator_wait{0};
  /// Mean expected run time of the waiting tasks of this priority.
  std::chrono::milliseconds typical_time{0};

  std::chrono::milliseconds LongestWait() const { return std::max(core_wait, accelerator_wait); }

  friend bool operator==(const projected_wait&, const projected_wait&) = default;
};

/// Projection of one service. See `service_load` for the free resources.
struct service_projection {
  std::string service;
  resources largest_free;
  resources total_free;
  /// Ordered by priority; not empty.
  std::vector<projected_wait> waits;

  /// Returns the entry for jobs of `priority`, or null if none of this priority or a more urgent one waits.
  const projected_wait* FindWait(int priority) const;
  friend bool operator==(const service_projection&, const service_projection&) = default;
};

/// What the owner expects for new jobs. Empty while nothing waits.
struct admission_projection {
  std::vector<service_projection> services;
  /// Workspaces whose open jobs of priority 0 need more than they are guaranteed. Jobs of priority 0 of other
  /// workspaces are never refused.
  std::vector<std::string> beyond_guarantee;

  const service_projection* FindService(const std::string& service) const;
  friend bool operator==(const admission_projection&, const admission_projection&) = default;
};

/// Share of its capacity at which a service is assumed to drain at least. The measured rate is low when
/// nothing could be started for a moment, which shows no overload.
inline constexpr double kMinDrainShare = 0.5;

/// Projects the waits of one service. Without usable workers there are none: then the service has failed, and
/// refusals would not help.
service_projection ProjectService(const std::string& service, const service_load& load);

}  // namespace hickorystall::state::pool::admission
