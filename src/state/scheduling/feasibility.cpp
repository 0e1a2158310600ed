#include <algorithm>
#include <cstdint>

#include "state/scheduling/decision.h"
#include "state/scheduling/placement.h"
#include "state/text.h"

namespace hickorystall::state {
namespace {

/// Returns why the numbers of `spec` are invalid, or an empty string.
std::string ExplainInvalid(const job_spec& spec) {
  if (spec.members < 1) return "a job needs at least one member";
  if (spec.accelerators < 0 || spec.processors < 0 || spec.memory_mib < 0)
    return "sizes must not be negative";
  if (spec.run_time.count() < 0 || spec.deadline.count() < 0) return "times must not be negative";
  return "";
}

}  // namespace

std::string ExplainImpossible(const cluster_config& config, const workspace_config& workspace,
                              const job_spec& spec) {
  if (std::string invalid = ExplainInvalid(spec); !invalid.empty()) return invalid;
  const std::int64_t accelerators = std::int64_t{spec.members} * spec.accelerators;
  if (workspace.max_accelerators > 0 && accelerators > workspace.max_accelerators) {
    return StrCat("needs ", accelerators, " accelerators, workspace ", workspace.name, " may use ",
                  workspace.max_accelerators);
  }
  const worker_topology topology(config);
  const capacity_view empty(topology);
  if (FindPlacement(empty, spec, kFirstFit)) return "";
  job_spec single = spec;
  single.members = 1;
  if (!FindPlacement(empty, single, kFirstFit)) return "no worker is large enough for one member";
  return StrCat("no rack or failure domain of the inventory has room for ", spec.members, " members");
}

}  // namespace hickorystall::state
