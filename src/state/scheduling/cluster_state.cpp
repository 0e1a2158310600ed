#include "state/scheduling/cluster_state.h"

#include <algorithm>
#include <cassert>
#include <tuple>

#include "state/scheduling/run_time_estimate.h"

namespace hickorystall::state {
namespace {

/// Returns the accelerators of all members together.
int AcceleratorsOf(const job_spec& spec) { return spec.members * spec.accelerators; }

}  // namespace

cluster_state::cluster_state(const scheduling_policy& policy, const scheduling_snapshot& snapshot,
                             wall_time now)
    : policy_(policy),
      snapshot_(snapshot),
      now_(now),
      topology_(*snapshot.config),
      used_(snapshot.config->workspaces.size()),
      ledger_(*snapshot.config, topology_),
      usable_(topology_),
      free_(topology_),
      free_after_release_(topology_),
      free_after_reclaim_(topology_),
      available_to_guarantees_(topology_) {
  for (std::size_t i = 0; i < snapshot.config->workspaces.size(); ++i) {
    workspaces_.emplace(snapshot.config->workspaces[i].name, static_cast<int>(i));
  }
  LimitWorkers(usable_);
  free_ = usable_;
  free_after_release_ = free_;
  free_after_reclaim_ = free_;
  available_to_guarantees_ = free_;
  if (policy.guarantees) empty_cluster_plan_ = PlanGuarantees(ledger_, usable_);
  AddAllocations();
}

void cluster_state::LimitWorkers(capacity_view& view) const {
  const std::vector<worker_entry>& workers = topology_.workers();
  for (int i = 0; i < static_cast<int>(workers.size()); ++i) {
    if (workers[i].vm->drained) view.LimitTasks(i, 0);
  }
  for (const auto& [name, status] : snapshot_.workers) {
    const int index = topology_.FindWorker(name);
    if (index < 0) continue;
    if (!status.available) view.LimitTasks(index, 0);
    if (!policy_.probation) continue;
    view.SetFailures(index, status.failures_in_row);
    if (now_ < status.probation_until) view.LimitTasks(index, 0);
    if (status.probation_until == wall_time{} || topology_.workers()[index].vm->drained) continue;
    if (status.available && now_ >= status.probation_until) {
      view.LimitTasks(index, 1);
      view.SetTrial(index);
    }
  }
}

bool cluster_state::OverlapsOtherGuarantee(const allocation& entry) const {
  return empty_cluster_plan_.OverlapsOtherWorkspaces(entry.places, entry.workspace, entry.job->spec,
                                                     topology_);
}

void cluster_state::AddAllocations() {
  for (const auto& [id, job] : snapshot_.jobs) {
    if (!HoldsWorkers(job.state)) continue;
    allocation entry{&job, ToAssignment(topology_, job.placement), FindWorkspace(job.workspace)};
    entry.releasing = job.state == job_state::kReclaiming || job.cancel_requested;
    entry.remaining = Remaining(job);
    allocations_.push_back(std::move(entry));
  }
  std::vector<allocation*> oldest_first;
  for (allocation& entry : allocations_) oldest_first.push_back(&entry);
  std::stable_sort(oldest_first.begin(), oldest_first.end(),
                   [](const auto* a, const auto* b) { return a->job->started_at < b->job->started_at; });
  std::vector<std::vector<const allocation*>> by_workspace(used_.size());
  for (const allocation* entry : oldest_first) {
    if (entry->workspace < 0 || entry->releasing || OverlapsOtherGuarantee(*entry)) continue;
    by_workspace[entry->workspace].push_back(entry);
  }
  std::vector<bool> all_within;
  all_within.reserve(by_workspace.size());
  for (auto& jobs : by_workspace)
    all_within.push_back(policy_.guarantees && AllFitGuarantee(std::move(jobs)));
  for (allocation* entry : oldest_first) {
    const job_spec& spec = entry->job->spec;
    if (entry->workspace >= 0) used_[entry->workspace] += AcceleratorsOf(spec);
    free_.Allocate(entry->places, spec);
    if (entry->releasing) continue;
    free_after_release_.Allocate(entry->places, spec);
    entry->lost_by_reclaim = WorkLostByReclaim(*entry->job, now_);
    const bool within =
        !OverlapsOtherGuarantee(*entry) &&
        ((entry->workspace >= 0 && all_within[entry->workspace]) || ledger_.Covers(entry->workspace, spec));
    entry->reclaimable = policy_.guarantees && spec.may_wait && !within;
    if (entry->reclaimable) continue;
    free_after_reclaim_.Allocate(entry->places, spec);
    if (within) {
      ledger_.Consume(entry->workspace, spec);
    } else {
      available_to_guarantees_.Allocate(entry->places, spec);
    }
  }
}

bool cluster_state::AllFitGuarantee(std::vector<const allocation*> jobs) const {
  if (jobs.empty()) return true;
  // Largest first packs best. In order of age alone, jobs that fit in another order may find no room.
  std::stable_sort(jobs.begin(), jobs.end(), [](const allocation* a, const allocation* b) {
    return std::pair(b->job->spec.accelerators, b->job->spec.members) <
           std::pair(a->job->spec.accelerators, a->job->spec.members);
  });
  guarantee_ledger ledger = ledger_.ForWorkspace(jobs.front()->workspace);
  return std::all_of(jobs.begin(), jobs.end(), [&](const allocation* entry) {
    return ledger.Consume(0, entry->job->spec) == entry->job->spec.members;
  });
}

std::vector<queued_job> cluster_state::MakeQueue() const {
  std::vector<queued_job> queue;
  for (const auto& [id, job] : snapshot_.jobs) {
    if (job.state != job_state::kQueued || job.cancel_requested) continue;
    queued_job entry{&job, FindWorkspace(job.workspace), false, Remaining(job)};
    entry.guaranteed = policy_.guarantees && ledger_.Covers(entry.workspace, job.spec);
    queue.push_back(entry);
  }
  policy_.order(queue, now_);
  return queue;
}

bool cluster_state::IsWithinQuota(const queued_job& entry) const {
  const int limit = snapshot_.config->workspaces[entry.workspace].max_accelerators;
  return limit == 0 || used_[entry.workspace] + AcceleratorsOf(entry.job->spec) <= limit;
}

bool cluster_state::Allocate(const queued_job& entry, const assignment& places, bool reclaimable) {
  const job_spec& spec = entry.job->spec;
  free_.Allocate(places, spec);
  free_after_release_.Allocate(places, spec);
  used_[entry.workspace] += AcceleratorsOf(spec);
  if (reclaimable) return false;
  free_after_reclaim_.Allocate(places, spec);
  if (ledger_.Covers(entry.workspace, spec)) return ledger_.Consume(entry.workspace, spec) > 0;
  available_to_guarantees_.Allocate(places, spec);
  return false;
}

void cluster_state::Reclaim(int index) {
  allocation& entry = allocations_[index];
  assert(entry.reclaimable && !entry.releasing);
  entry.releasing = true;
  free_after_release_.Release(entry.places, entry.job->spec);
}

int cluster_state::FindWorkspace(std::string_view name) const {
  const auto found = workspaces_.find(name);
  return found == workspaces_.end() ? -1 : found->second;
}

std::chrono::milliseconds cluster_state::Remaining(const job_record& job) const {
  return EstimateRemaining(job, EstimateRunTime(snapshot_, job, policy_.learned_run_times), now_);
}

}  // namespace hickorystall::state
