#include "state/pool/wait_monitor.h"

#include <algorithm>
#include <optional>

namespace hickorystall::state::pool {

using std::chrono::milliseconds;

namespace {

// Interval at which the same job is reported again.
constexpr milliseconds kReportInterval{4000};

// Indexed by wait_cause.
constexpr std::array<std::string_view, kWaitCauses> kCauseNames{
    "planning_paused",  "unresolved_worker",  "former_owner",       "unaccounted_run",   "headroom",
    "no_near_capacity", "no_capacity",        "evacuated",          "capacity_reserved", "start_unconfirmed",
    "stop_unconfirmed", "worker_unreachable", "progress_not_stored"};

struct unit_wait {
  wait_cause cause;
  std::string worker;
};

// Returns why a member of an active unit does not run; nullopt if it does.
std::optional<unit_wait> WaitOfMember(const unit_member& member) {
  if (member.phase == run_phase::kOrdered) return unit_wait{wait_cause::kStartUnconfirmed, member.worker};
  if (member.phase == run_phase::kStopping) return unit_wait{wait_cause::kStopUnconfirmed, member.worker};
  if (!member.host->reachable) return unit_wait{wait_cause::kWorkerUnreachable, member.worker};
  return std::nullopt;
}

unit_wait WaitOfIdleUnit(const job_entry& job, const unit_position& position, const work_unit& unit,
                         const std::vector<unplaced_step>* unplaced, boot_time now) {
  if (job.is_unstored) return {wait_cause::kProgressNotStored, ""};
  if (!unit.unresolved_workers.empty())
    return {wait_cause::kUnresolvedWorker, *unit.unresolved_workers.begin()};
  if (now < unit.repeatable_until) return {wait_cause::kFormerOwner, ""};
  if (unplaced == nullptr) return {wait_cause::kPlanningPaused, ""};
  const auto found = std::find_if(unplaced->begin(), unplaced->end(), [&](const unplaced_step& entry) {
    return entry.position.job == position.job && entry.position.occurrence == position.occurrence &&
           entry.position.step == position.step;
  });
  return {found == unplaced->end() ? wait_cause::kUnaccountedRun : found->cause, ""};
}

// Returns the first ready task of `job` with the reason why it does not run; nullopt if any task of the job
// runs or none is ready.
std::optional<waiting_job> FindWait(const job_entry& job, const std::vector<unplaced_step>* unplaced,
                                    boot_time now) {
  std::optional<waiting_job> first;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const step_progress& step = occurrence.steps[i];
      if (!step.ready || step.open_units == 0) continue;
      for (std::size_t index = 0; index < step.units.size(); ++index) {
        const work_unit& unit = step.units[index];
        if (unit.done) continue;
        std::optional<unit_wait> wait;
        for (const unit_member& member : unit.members) {
          if (member.phase == run_phase::kIdle) continue;
          wait = WaitOfMember(member);
          if (!wait) return std::nullopt;
        }
        if (first) continue;
        const unit_position position{job.submission.id, number, static_cast<int>(i), static_cast<int>(index)};
        if (!wait) wait = WaitOfIdleUnit(job, position, unit, unplaced, now);
        first = waiting_job{position.job, TaskName(position.job, number, position.step, unit.first_task),
                            wait->cause, wait->worker, milliseconds(0)};
      }
    }
  }
  return first;
}

}  // namespace

std::string_view WaitCauseName(wait_cause cause) { return kCauseNames[static_cast<std::size_t>(cause)]; }

std::vector<waiting_job> wait_monitor::Update(const pool_state& state,
                                              const std::vector<unplaced_step>* unplaced, boot_time now,
                                              std::size_t limit) {
  std::map<std::string, wait_state> waits;
  std::vector<waiting_job> due;
  jobs_by_cause_ = {};
  for (const auto& [id, job] : state.open_jobs()) {
    if (IsFinal(job->phase)) continue;
    std::optional<waiting_job> wait = FindWait(*job, unplaced, now);
    if (!wait) continue;
    const auto known = waits_.find(wait->id);
    const wait_state& entry = waits[wait->id] = known == waits_.end() ? wait_state{now, {}} : known->second;
    wait->waited = now - entry.since;
    if (wait->waited < kReportedWait) continue;
    ++jobs_by_cause_[static_cast<std::size_t>(wait->cause)];
    if (entry.reported_at == boot_time{} || now - entry.reported_at >= kReportInterval)
      due.push_back(*std::move(wait));
  }
  waits_ = std::move(waits);
  std::stable_sort(due.begin(), due.end(), [](const waiting_job& left, const waiting_job& right) {
    return left.waited > right.waited;
  });
  if (due.size() > limit) due.resize(limit);
  for (const waiting_job& job : due) waits_[job.id].reported_at = now;
  return due;
}

}  // namespace hickorystall::state::pool
