#include "state/scheduling/feasibility_check.h"

#include <cstdint>

#include "state/scheduling/decision.h"
#include "state/text.h"

namespace hickorystall::state {
namespace {

/// Returns the reason why a number in `spec` is invalid, or an empty string.
std::string ExplainInvalid(const job_spec& spec) {
  if (spec.members < 1) return "a job needs at least one member";
  if (spec.accelerators < 0 || spec.processors < 0 || spec.memory_mib < 0)
    return "sizes must not be negative";
  if (spec.run_time.count() < 0 || spec.deadline.count() < 0) return "times must not be negative";
  return "";
}

}  // namespace

feasibility_check::feasibility_check(const cluster_config& config, const worker_topology& topology)
    : config_(config), empty_(topology) {}

std::string feasibility_check::Explain(int workspace, const job_spec& spec) {
  if (std::string invalid = ExplainInvalid(spec); !invalid.empty()) return invalid;
  const workspace_config& owner = config_.workspaces[workspace];
  const std::int64_t accelerators = std::int64_t{spec.members} * spec.accelerators;
  if (owner.max_accelerators > 0 && accelerators > owner.max_accelerators) {
    return StrCat("needs ", accelerators, " accelerators, workspace ", owner.name, " may use ",
                  owner.max_accelerators);
  }
  if (FindPlacement(empty_, spec, kFirstFit)) {
    if (spec.may_wait || FitsBesideGuarantees(workspace, spec)) return "";
    return "may not wait, is not within the guarantee of its workspace and does not fit beside the "
           "guarantees";
  }
  job_spec single = spec;
  single.members = 1;
  if (!FindPlacement(empty_, single, kFirstFit)) return "no worker is large enough for one member";
  return StrCat("no rack or failure domain of the inventory has room for ", spec.members, " members");
}

bool feasibility_check::FitsBesideGuarantees(int workspace, const job_spec& spec) {
  if (!ledger_) ledger_.emplace(config_, empty_.topology());
  if (ledger_->Covers(workspace, spec)) return true;
  if (!beside_guarantees_) {
    beside_guarantees_ = empty_;
    PlanGuarantees(*ledger_, empty_).AllocateIn(*beside_guarantees_);
  }
  return FindPlacement(*beside_guarantees_, spec, kFirstFit).has_value();
}

std::string ExplainImpossible(const cluster_config& config, const workspace_config& workspace,
                              const job_spec& spec) {
  for (std::size_t i = 0; i < config.workspaces.size(); ++i) {
    if (config.workspaces[i].name != workspace.name) continue;
    const worker_topology topology(config);
    return feasibility_check(config, topology).Explain(static_cast<int>(i), spec);
  }
  return StrCat("workspace ", workspace.name, " is not in the configuration");
}

}  // namespace hickorystall::state
