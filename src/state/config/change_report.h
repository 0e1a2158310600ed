#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "state/config/cluster_config.h"
#include "state/scheduling/job.h"

namespace hickorystall::state {

/// A guarantee that cannot be held on the undrained workers.
struct lost_guarantee {
  /// Workspace that holds the guarantee.
  std::string workspace;
  /// The guaranteed shape.
  guaranteed_shape shape;
  /// True when the guarantee could not be held before the change either, or did not exist.
  bool was_lost = false;
};

/// A job shape that fits fewer members than before.
struct shrunk_shape {
  /// Accelerators per member.
  int accelerators = 0;
  /// Placement constraint.
  adjacency placement = adjacency::kNone;
  /// Largest gang on empty undrained workers before the change.
  int largest_before = 0;
  /// Largest gang after the change; 0 when no member fits any more.
  int largest_after = 0;
};

/// Effect of a change of configuration.
struct change_report {
  /// Names of VMs that are new.
  std::vector<std::string> vms_added;
  /// Names of VMs that are gone.
  std::vector<std::string> vms_removed;
  /// Names of VMs that become drained.
  std::vector<std::string> vms_drained;
  /// Names of VMs that are no longer drained.
  std::vector<std::string> vms_undrained;
  /// Names of workspaces that are gone; their jobs become impossible.
  std::vector<std::string> workspaces_removed;
  /// Names of kinds that are gone; work of these kinds is refused.
  std::vector<std::string> kinds_removed;
  /// Guarantees that do not fit the undrained workers after the change.
  std::vector<lost_guarantee> lost_guarantees;
  /// Shapes for which the largest possible gang shrinks, for widths that are powers of two or the widest
  /// worker.
  std::vector<shrunk_shape> shrunk_shapes;
};

/// A queued job that could run before a change and can never run after it.
struct impossible_job {
  /// Job id.
  std::string job_id;
  /// Workspace of the job.
  std::string workspace;
  /// Why it can never run, in one sentence.
  std::string reason;
};

/// Compares two configurations. `before` may be empty, for the first one.
change_report ExplainChange(const cluster_config& before, const cluster_config& after);

/// Returns the queued jobs among `jobs` that `before` allows and `after` does not, in the order of `jobs`.
std::vector<impossible_job> FindImpossibleJobs(const cluster_config& before, const cluster_config& after,
                                               const std::vector<job_record>& jobs);

}  // namespace hickorystall::state
