#include "state/scheduling/decision.h"

#include <algorithm>
#include <cassert>
#include <tuple>

#include "state/scheduling/placement.h"
#include "state/text.h"

namespace hickorystall::state {
namespace {

/// Excludes workers that must not get work.
void LimitWorkers(const scheduling_snapshot& snapshot, wall_time now, capacity_view& view) {
  const std::vector<worker_entry>& workers = view.topology().workers();
  for (int i = 0; i < static_cast<int>(workers.size()); ++i) {
    if (workers[i].vm->drained) view.LimitTasks(i, 0);
    const auto status = snapshot.workers.find(workers[i].vm->name);
    if (status == snapshot.workers.end()) continue;
    view.SetFailures(i, status->second.failures_in_row);
    if (!status->second.available) view.LimitTasks(i, 0);
    if (status->second.available && now < status->second.probation_until) view.LimitTasks(i, 1);
  }
}

/// Accelerators that a job uses in all.
int AcceleratorsOf(const job_spec& spec) { return spec.members * spec.accelerators; }

/// Queued jobs, urgent ones first, then by age.
std::vector<const job_record*> QueueOf(const scheduling_snapshot& snapshot) {
  std::vector<const job_record*> queue;
  for (const auto& [id, job] : snapshot.jobs) {
    if (job.state == job_state::kQueued && !job.cancel_requested) queue.push_back(&job);
  }
  std::stable_sort(queue.begin(), queue.end(), [](const job_record* a, const job_record* b) {
    return std::tuple(!a->spec.urgent, a->submitted_at) < std::tuple(!b->spec.urgent, b->submitted_at);
  });
  return queue;
}

}  // namespace

scheduling_decision Decide(const scheduling_snapshot& snapshot, wall_time now) {
  assert(snapshot.config != nullptr);
  const worker_topology topology(*snapshot.config);
  capacity_view free(topology);
  LimitWorkers(snapshot, now, free);
  std::map<std::string_view, int> used;
  for (const auto& [id, job] : snapshot.jobs) {
    if (!HoldsWorkers(job.state)) continue;
    free.Take(ToAssignment(topology, job.placement), job.spec);
    used[job.workspace] += AcceleratorsOf(job.spec);
  }
  scheduling_decision decision;
  for (const job_record* job : QueueOf(snapshot)) {
    const workspace_config* workspace = snapshot.config->FindWorkspace(job->workspace);
    const int needed = AcceleratorsOf(job->spec);
    if (workspace == nullptr) {
      decision.waiting[job->id] = "its workspace is not in the configuration";
    } else if (workspace->max_accelerators > 0 &&
               used[job->workspace] + needed > workspace->max_accelerators) {
      decision.waiting[job->id] = "its workspace uses its max_accelerators";
    } else if (const auto places = FindPlacement(free, job->spec, kLeastLeftOver)) {
      free.Take(*places, job->spec);
      used[job->workspace] += needed;
      decision.commands.push_back(
          {command_kind::kStart, job->id, ToPlacement(topology, *places), "capacity is free"});
    } else if (std::string why = ExplainImpossible(*snapshot.config, *workspace, job->spec); !why.empty()) {
      decision.commands.push_back({command_kind::kRefuse, job->id, {}, std::move(why)});
    } else {
      decision.waiting[job->id] = "not enough free workers";
    }
  }
  return decision;
}

}  // namespace hickorystall::state
