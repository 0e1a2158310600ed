#pragma once

#include <array>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "state/pool/pool_plan.h"
#include "state/pool/pool_state.h"

namespace hickorystall::state::pool {

/// A job without a running task although one of its tasks is ready.
struct waiting_job {
  std::string id;
  /// Name of the first ready task.
  std::string task;
  wait_cause cause = wait_cause::kPlanningPaused;
  /// Worker that the cause concerns; empty if there is none.
  std::string worker;
  /// Time since the job was first found without a running task.
  std::chrono::milliseconds waited{0};
};

/// Finds the jobs that wait, and why, so that the log and the metrics explain work that is not started.
class wait_monitor {
 public:
  /// Examines the open jobs at `now`. `unplaced` is the result of the latest planning pass; null if none was
  /// made. Returns the jobs that are due for a log record, longest wait first, at most `limit` of them.
  std::vector<waiting_job> Update(const pool_state& state, const std::vector<unplaced_step>* unplaced,
                                  boot_time now, std::size_t limit);

  /// Number of jobs that waited for longer than `kReportedWait` at the latest update, by `wait_cause`.
  const std::array<int, kWaitCauses>& jobs_by_cause() const { return jobs_by_cause_; }

  /// A job that waits for less time is not reported: a start takes some tens of milliseconds, and a full pool
  /// makes jobs wait for seconds.
  static constexpr std::chrono::milliseconds kReportedWait{2000};

 private:
  struct wait_state {
    boot_time since{};
    boot_time reported_at{};
  };
  // Waiting jobs by id.
  std::map<std::string, wait_state> waits_;
  std::array<int, kWaitCauses> jobs_by_cause_{};
};

}  // namespace hickorystall::state::pool
