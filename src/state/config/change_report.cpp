#include "state/config/change_report.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "state/config/guarantee_check.h"
#include "state/scheduling/decision.h"
#include "state/text.h"

namespace hickorystall::state {
namespace {

template <typename T>
std::set<std::string> NamesOf(const std::vector<T>& items) {
  std::set<std::string> names;
  for (const T& item : items) names.insert(item.name);
  return names;
}

std::vector<std::string> Difference(const std::set<std::string>& left, const std::set<std::string>& right) {
  std::vector<std::string> result;
  std::set_difference(left.begin(), left.end(), right.begin(), right.end(), std::back_inserter(result));
  return result;
}

std::set<std::string> DrainedNames(const cluster_config& config) {
  std::set<std::string> names;
  for (const vm_config& vm : config.vms) {
    if (vm.drained) names.insert(vm.name);
  }
  return names;
}

bool SameShape(const guaranteed_shape& left, const guaranteed_shape& right) {
  return left.members == right.members && left.accelerators == right.accelerators &&
         left.placement == right.placement;
}

// True when `before` has the guarantee and it fits there.
bool HeldBefore(const cluster_config& before, const std::vector<guarantee_ref>& lost_before,
                const std::string& workspace, const guaranteed_shape& shape) {
  for (std::size_t i = 0; i < before.workspaces.size(); ++i) {
    if (before.workspaces[i].name != workspace) continue;
    const std::vector<guaranteed_shape>& shapes = before.workspaces[i].guarantees;
    for (std::size_t j = 0; j < shapes.size(); ++j) {
      const bool lost =
          std::find(lost_before.begin(), lost_before.end(), guarantee_ref{i, j}) != lost_before.end();
      if (SameShape(shapes[j], shape) && !lost) return true;
    }
  }
  return false;
}

std::vector<lost_guarantee> FindLostGuarantees(const cluster_config& before, const cluster_config& after) {
  const std::vector<guarantee_ref> lost_before =
      FindUnplaceableGuarantees(before, capacity_scope::kUndrained);
  std::vector<lost_guarantee> result;
  for (const guarantee_ref& lost : FindUnplaceableGuarantees(after, capacity_scope::kUndrained)) {
    const workspace_config& workspace = after.workspaces[lost.workspace];
    const guaranteed_shape& shape = workspace.guarantees[lost.guarantee];
    result.push_back({workspace.name, shape, !HeldBefore(before, lost_before, workspace.name, shape)});
  }
  return result;
}

int WidestWorker(const cluster_config& config) {
  int widest = 0;
  for (const vm_config& vm : config.vms) {
    if (vm.kind == vm_kind::kWorker) widest = std::max(widest, vm.accelerators);
  }
  return widest;
}

std::vector<shrunk_shape> FindShrunkShapes(const cluster_config& before, const cluster_config& after) {
  const int widest = WidestWorker(before);
  std::set<int> widths;
  for (int width = 1; width <= widest; width *= 2) widths.insert(width);
  if (widest > 0) widths.insert(widest);
  std::vector<shrunk_shape> result;
  for (const int width : widths) {
    for (const adjacency placement : {adjacency::kNone, adjacency::kRack, adjacency::kFailureDomain}) {
      const shrunk_shape shape{width, placement,
                               LargestGang(before, width, placement, capacity_scope::kUndrained),
                               LargestGang(after, width, placement, capacity_scope::kUndrained)};
      if (shape.largest_after < shape.largest_before) result.push_back(shape);
    }
  }
  return result;
}

// Returns why the job can never run, or an empty string when it can.
std::string ImpossibilityReason(const cluster_config& config, const job_record& job) {
  const workspace_config* workspace = config.FindWorkspace(job.workspace);
  if (workspace == nullptr) return StrCat("there is no workspace \"", job.workspace, "\"");
  return ExplainImpossible(config, *workspace, job.spec);
}

}  // namespace

change_report ExplainChange(const cluster_config& before, const cluster_config& after) {
  change_report report;
  const std::set<std::string> old_vms = NamesOf(before.vms);
  const std::set<std::string> new_vms = NamesOf(after.vms);
  report.vms_added = Difference(new_vms, old_vms);
  report.vms_removed = Difference(old_vms, new_vms);
  report.vms_drained = Difference(DrainedNames(after), DrainedNames(before));
  for (const std::string& name : Difference(DrainedNames(before), DrainedNames(after))) {
    if (new_vms.contains(name)) report.vms_undrained.push_back(name);
  }
  report.workspaces_removed = Difference(NamesOf(before.workspaces), NamesOf(after.workspaces));
  report.kinds_removed = Difference(NamesOf(before.kinds), NamesOf(after.kinds));
  report.lost_guarantees = FindLostGuarantees(before, after);
  report.shrunk_shapes = FindShrunkShapes(before, after);
  return report;
}

std::vector<impossible_job> FindImpossibleJobs(const cluster_config& before, const cluster_config& after,
                                               const std::vector<job_record>& jobs) {
  std::vector<impossible_job> result;
  for (const job_record& job : jobs) {
    if (job.state != job_state::kQueued) continue;
    std::string reason = ImpossibilityReason(after, job);
    if (!reason.empty() && ImpossibilityReason(before, job).empty()) {
      result.push_back({job.id, job.workspace, std::move(reason)});
    }
  }
  return result;
}

}  // namespace hickorystall::state
