#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "state/config/cluster_config.h"
#include "state/scheduling/job.h"

namespace hickorystall::state {

/// A guarantee that does not fit on the undrained workers.
struct lost_guarantee {
  /// Name of the workspace that has the guarantee.
  std::string workspace;
  guaranteed_shape shape;
  /// True when the guarantee did not fit before the change either, or did not exist.
  bool was_lost = false;
};

/// A job shape whose largest possible gang has fewer members after a change.
struct shrunk_shape {
  /// Accelerators per member.
  int accelerators = 0;
  adjacency placement = adjacency::kNone;
  /// Members of the largest gang that fits on empty undrained workers before the change.
  int largest_before = 0;
  /// The same after the change; 0 when no member fits any more.
  int largest_after = 0;
};

/// Effects of a configuration change.
struct change_report {
  /// Names of VMs that only the new configuration has.
  std::vector<std::string> vms_added;
  /// Names of VMs that only the old configuration has.
  std::vector<std::string> vms_removed;
  /// Names of VMs that become drained; includes new VMs that are drained.
  std::vector<std::string> vms_drained;
  /// Names of VMs that are no longer drained; excludes removed VMs.
  std::vector<std::string> vms_undrained;
  /// Names of removed workspaces; their jobs can no longer run.
  std::vector<std::string> workspaces_removed;
  /// Names of removed kinds; work of these kinds is refused.
  std::vector<std::string> kinds_removed;
  /// Guarantees that do not fit on the undrained workers after the change.
  std::vector<lost_guarantee> lost_guarantees;
  /// Shapes whose largest possible gang shrinks. Only member widths are compared that are a power of two or
  /// the width of the widest worker.
  std::vector<shrunk_shape> shrunk_shapes;
};

/// A queued job that could run before a change and can never run after it.
struct impossible_job {
  std::string job_id;
  std::string workspace;
  /// Why the job can never run, in one sentence.
  std::string reason;
};

/// Compares two configurations. `before` is empty when `after` is the first configuration.
change_report ExplainChange(const cluster_config& before, const cluster_config& after);

/// Returns the queued jobs among `jobs` that can run under `before` but not under `after`, in the order of
/// `jobs`.
std::vector<impossible_job> FindImpossibleJobs(const cluster_config& before, const cluster_config& after,
                                               const std::vector<job_record>& jobs);

}  // namespace hickorystall::state
