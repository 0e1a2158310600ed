#include "state/pool/admission/pool_admission.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "state/pool/evacuation.h"
#include "state/pool/unit_queue.h"

namespace hickorystall::state::pool::admission {

using std::chrono::milliseconds;

namespace {

// Capacity of runs that are expected to end within this time counts as free: a submission takes as long to be
// stored, read and planned.
constexpr milliseconds kAboutToBeFree{500};

const std::string& ServiceOf(const pool_state& state, const job_entry& job) {
  const queue_rules* rules = state.RulesOf(job);
  return rules == nullptr ? job.submission.service : rules->service;
}

// Returns whether the run of `member` is about to end. One that has exceeded its expected time is judged by
// its progress only.
bool IsAboutToEnd(const pool_state& state, const job_entry& job, const step_request& step,
                  const work_unit& unit, const unit_member& member, boot_time now) {
  const milliseconds ran = now - unit.started_at;
  if (member.percent > 0) return ran * (100 - member.percent) / member.percent <= kAboutToBeFree;
  const milliseconds left = state.ExpectedTime(job, step, *member.host) - ran;
  return left > milliseconds(0) && left <= kAboutToBeFree;
}

// Returns the capacity that is about to be free on each worker.
std::map<std::string, resources> SoonFree(const pool_state& state, boot_time now) {
  std::map<std::string, resources> soon;
  for (const auto& [id, job] : state.open_jobs()) {
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        const step_request& step = job->submission.request.steps[i];
        for (const work_unit& unit : occurrence.steps[i].units) {
          if (unit.done) continue;
          for (const unit_member& member : unit.members) {
            const bool is_ending =
                member.phase == run_phase::kStopping ||
                (member.phase == run_phase::kRunning && IsAboutToEnd(state, *job, step, unit, member, now));
            if (is_ending) soon[member.worker] += step.need;
          }
        }
      }
    }
  }
  return soon;
}

void AddWorker(const worker_entry& worker, const resources& soon_free, service_load& load) {
  resources free = worker.Free();
  free += soon_free;
  load.capacity += worker.registration.capacity;
  load.total_free += free;
  load.largest_free.cpu_millis = std::max(load.largest_free.cpu_millis, free.cpu_millis);
  load.largest_free.memory_mib = std::max(load.largest_free.memory_mib, free.memory_mib);
  load.largest_free.accelerators = std::max(load.largest_free.accelerators, free.accelerators);
}

// Finds out which steps could start on the usable workers if these were all empty. Others wait for workers,
// not for capacity, so they delay no job that can start.
class placeable_steps {
 public:
  placeable_steps(const pool_state& state, boot_time now) : state_(state) {
    for (const auto& [id, worker] : state.workers()) {
      if (worker.IsUsable(now)) slots_[worker.registration.service].push_back({&worker, {}});
    }
  }

  bool Contains(const waiting_step& entry) {
    const step_request& step = *entry.request;
    const std::string& service = ServiceOf(state_, *entry.job);
    const auto members = static_cast<int>(entry.progress->units[entry.units.front()].members.size());
    const resources& need = step.need;
    // Many jobs have steps of the same shape, and one that fits nowhere is compared with all workers.
    const auto [known, is_new] =
        known_.try_emplace(shape_key{service, step.required_label, need.cpu_millis, need.memory_mib,
                                     need.accelerators, members, step.max_per_worker},
                           false);
    if (is_new) {
      unit_shape shape;
      shape.step = &step;
      shape.service = service;
      shape.members = members;
      known->second = FitsOnEmptyWorkers(slots_[service], shape);
    }
    return known->second;
  }

 private:
  using shape_key = std::tuple<std::string, std::string, std::int64_t, std::int64_t, std::int64_t, int, int>;
  const pool_state& state_;
  std::map<std::string, capacity_slots> slots_;
  std::map<shape_key, bool> known_;
};

std::vector<std::string> BeyondGuarantee(const pool_state& state,
                                         const std::set<std::string>& within_guarantee) {
  std::set<std::string> beyond;
  for (const auto& [id, job] : state.open_jobs()) {
    const std::string& workspace = job->submission.workspace;
    if (!IsFinal(job->phase) && QueuePriority(state, *job) == 0 && !within_guarantee.contains(workspace))
      beyond.insert(workspace);
  }
  return {beyond.begin(), beyond.end()};
}

}  // namespace

void drain_meter::AddStarts(const pool_plan& plan, const pool_state& state, boot_time now) {
  for (const planned_start& start : plan.starts) {
    const auto found = state.jobs().find(start.position.job);
    if (found == state.jobs().end()) continue;
    const job_entry& job = found->second;
    const step_request& step = job.submission.request.steps[start.position.step];
    const work_amount work =
        WorkOf(step.need, state.ExpectedTime(job, step), static_cast<int>(start.workers.size()));
    service_rates& rates = services_[ServiceOf(state, job)];
    rates.cores.Add(work.core_s, now);
    rates.accelerators.Add(work.accelerator_s, now);
  }
}

work_amount drain_meter::RateOf(const std::string& service, boot_time now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return {};
  return {found->second.cores.PerSecond(now), found->second.accelerators.PerSecond(now)};
}

admission_projection ProjectAdmission(const pool_state& state, const drain_meter& drained, boot_time now,
                                      unix_time wall_now) {
  admission_projection projection;
  const std::set<std::string> within_guarantee = WorkspacesWithinGuarantee(state);
  std::map<std::string, service_load> loads;
  std::map<std::string, resources> waiting_need;
  placeable_steps placeable(state, now);
  for (const waiting_step& entry : MakeStepQueue(state, within_guarantee, now, wall_now)) {
    if (!placeable.Contains(entry)) continue;
    queued_work& queued = loads[ServiceOf(state, *entry.job)].queued[entry.priority];
    const milliseconds time = state.ExpectedTime(*entry.job, *entry.request);
    for (const int unit : entry.units) {
      const auto members = static_cast<int>(entry.progress->units[unit].members.size());
      for (int i = 0; i < members; ++i) waiting_need[ServiceOf(state, *entry.job)] += entry.request->need;
      queued.work += WorkOf(entry.request->need, time, members);
      queued.total_time += time;
      ++queued.units;
    }
  }
  if (loads.empty()) return projection;
  const std::map<std::string, resources> soon_free = SoonFree(state, now);
  std::map<std::string, resources> service_soon_free;
  for (const auto& [id, free] : soon_free) {
    const auto worker = state.workers().find(id);
    if (worker != state.workers().end()) service_soon_free[worker->second.registration.service] += free;
  }
  for (const auto& [id, worker] : state.workers()) {
    const std::string& service = worker.registration.service;
    const auto load = loads.find(service);
    if (load == loads.end() || !worker.IsUsable(now)) continue;
    // Capacity that is about to be free is for the work that waits, unless there is more of it.
    const auto soon = soon_free.find(id);
    const bool is_claimed = waiting_need[service].Covers(service_soon_free[service]);
    AddWorker(worker, soon == soon_free.end() || is_claimed ? resources{} : soon->second, load->second);
  }
  for (auto& [service, load] : loads) {
    load.drain_rate = drained.RateOf(service, now);
    service_projection entry = ProjectService(service, load);
    if (!entry.waits.empty()) projection.services.push_back(std::move(entry));
  }
  if (!projection.services.empty()) projection.beyond_guarantee = BeyondGuarantee(state, within_guarantee);
  return projection;
}

}  // namespace hickorystall::state::pool::admission
