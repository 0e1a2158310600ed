#pragma once

#include <optional>
#include <string>

#include "state/scheduling/guarantee_plan.h"

namespace hickorystall::state {

/// Tells which jobs can never run under a configuration, even on an empty cluster with every worker up. Not
/// thread-safe.
class feasibility_check {
 public:
  /// Checks against `config`, whose workers are `topology`. Both must outlive the check.
  feasibility_check(const cluster_config& config, const worker_topology& topology);

  /// Returns why `spec` of the workspace at index `workspace` can never run, or an empty string when it can.
  /// A job that may not wait must fit beside the unused guarantees, since it cannot be reclaimed for them.
  std::string Explain(int workspace, const job_spec& spec);

 private:
  /// True when a job that cannot be reclaimed fits beside the guarantees.
  bool FitsBesideGuarantees(int workspace, const job_spec& spec);

  /// The configuration.
  const cluster_config& config_;
  /// The empty cluster.
  capacity_view empty_;
  /// Unused guarantees; made when first needed.
  std::optional<guarantee_ledger> ledger_;
  /// The empty cluster without room for the guarantees; made when first needed.
  std::optional<capacity_view> beside_guarantees_;
};

}  // namespace hickorystall::state
