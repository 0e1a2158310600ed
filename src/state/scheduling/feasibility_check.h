#pragma once

#include <optional>
#include <string>

#include "state/scheduling/guarantee_plan.h"

namespace hickorystall::state {

/// Finds jobs that can never run under a configuration, even on an empty cluster with every worker up. Not
/// thread-safe.
class feasibility_check {
 public:
  /// Checks against `config`, whose workers are `topology`. Both must outlive this object.
  feasibility_check(const cluster_config& config, const worker_topology& topology);

  /// Returns the reason why `spec` of the workspace at index `workspace` can never run, or an empty string
  /// when it can. A job that may not wait cannot be reclaimed, so it must fit in its workspace's guarantee or
  /// beside all guarantees.
  std::string Explain(int workspace, const job_spec& spec);

 private:
  /// True when a job that cannot be reclaimed is within the guarantee of its workspace or fits beside all
  /// guarantees.
  bool FitsBesideGuarantees(int workspace, const job_spec& spec);

  const cluster_config& config_;
  /// Capacity of an empty cluster.
  capacity_view empty_;
  /// All guarantees unused; created on first use.
  std::optional<guarantee_ledger> ledger_;
  /// Capacity of an empty cluster without the places of all guarantees; created on first use.
  std::optional<capacity_view> beside_guarantees_;
};

}  // namespace hickorystall::state
