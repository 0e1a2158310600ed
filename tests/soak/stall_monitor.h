#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "soak/faulty_workers.h"
#include "state/pool/job_entry.h"
#include "state/pool/pool_time.h"

namespace hickorystall::tests {

/// A unit of a job whose turn has come.
struct ready_unit {
  std::string task;
  /// Accelerators that all its tasks need.
  int need = 0;
};

/// Returns the first unit of `submission` that is ready and not done according to the stored row `progress`,
/// or nullopt if there is none or the row cannot be read.
std::optional<ready_unit> FindReadyUnit(const state::pool::job_submission& submission,
                                        std::string_view progress);

/// Returns whether twice `need` is free on `workers` and under half of their capacity is in use.
bool HasAmpleCapacity(const std::vector<worker_view>& workers, int need);

/// Finds jobs that stand still: nothing of them runs, although a unit is ready and there is capacity.
class stall_monitor {
 public:
  /// `bound` is the time for which a job may stand still. Reports give times since `origin`.
  stall_monitor(std::chrono::milliseconds bound, state::pool::boot_time origin)
      : bound_(bound), origin_(origin) {}

  /// Records which jobs stand still at `now`, with a description of each. All others move on.
  void Update(const std::map<std::string, std::string>& standing, state::pool::boot_time now);
  /// Returns one line for each time at which a job stood still for longer than the bound.
  std::vector<std::string> Finish(state::pool::boot_time now);

 private:
  struct interval {
    state::pool::boot_time begin{};
    // What was seen when the bound was exceeded; empty before.
    std::string description;
  };

  void End(const std::string& job, const interval& entry, state::pool::boot_time now);

  const std::chrono::milliseconds bound_;
  const state::pool::boot_time origin_;
  std::map<std::string, interval> intervals_;
  std::vector<std::string> reports_;
};

}  // namespace hickorystall::tests
