#include "state/pool/unit_queue.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <tuple>

namespace hickorystall::state::pool {

using std::chrono::milliseconds;

namespace {

// A late job earns credit up to this multiple of its objective.
constexpr int kLateObjectiveFactor = 3;

std::int64_t AcceleratorNeed(const job_entry& job) {
  std::int64_t need = 0;
  for (const step_request& step : job.submission.request.steps)
    need += step.need.accelerators * step.task_count;
  return need;
}

// Returns the length of the critical path of the whole job.
milliseconds CriticalPath(const pool_state& state, const job_entry& job) {
  const job_request& request = job.submission.request;
  std::vector<milliseconds> ends(request.steps.size());
  milliseconds longest{0};
  for (std::size_t i = 0; i < request.steps.size(); ++i) {
    milliseconds start{0};
    for (const int earlier : request.steps[i].after) start = std::max(start, ends[earlier]);
    ends[i] = start + state.ExpectedTime(job, request.steps[i]);
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

struct job_timing {
  boot_time due;
  deadline_outlook outlook;
  bool has_little_slack;
};

job_timing AssessTiming(const pool_state& state, const job_entry& job, int occurrence, boot_time now,
                        unix_time wall_now) {
  const job_submission& submission = job.submission;
  const job_request& request = submission.request;
  const auto critical_path = static_cast<double>(CriticalPath(state, job).count());
  const milliseconds objective =
      milliseconds(static_cast<std::int64_t>(critical_path * submission.stretch)) + submission.target_latency;
  boot_time begin = job.accepted_at;
  if (request.occurrences > 0) {
    begin = now - (wall_now - unix_time(request.first_due + occurrence * request.interval));
  }
  const boot_time end = now + RemainingCriticalPath(state, job, occurrence);
  job_timing timing{begin + objective, deadline_outlook::kInTime, false};
  const double slack = static_cast<double>((begin + objective - end).count());
  timing.has_little_slack = slack < state.settings().min_slack_share * static_cast<double>(objective.count());
  if (end > begin + objective) timing.outlook = deadline_outlook::kLate;
  if (end > begin + kLateObjectiveFactor * objective) timing.outlook = deadline_outlook::kMissed;
  return timing;
}

// Returns the units with a task that still runs although no unit accounts for the run, such as the other
// members of a gang that failed on one worker while the owner changed.
std::set<unit_position> UnitsWithUnaccountedRuns(const pool_state& state) {
  std::set<unit_position> units;
  for (const auto& [id, worker] : state.workers()) {
    for (const auto& [task, need] : worker.unaccounted) {
      const std::optional<task_name_parts> parts = ParseTaskName(task);
      if (!parts) continue;
      const auto job = state.jobs().find(parts->job);
      if (job == state.jobs().end()) continue;
      const auto& steps = job->second.submission.request.steps;
      if (parts->step >= static_cast<int>(steps.size())) continue;
      const int unit = steps[parts->step].gang ? 0 : parts->index;
      units.insert({parts->job, parts->occurrence, parts->step, unit});
    }
  }
  return units;
}

}  // namespace

int QueuePriority(const pool_state& state, const job_entry& job) {
  const queue_rules* rules = state.RulesOf(job);
  return rules == nullptr ? job.submission.priority : rules->priority;
}

std::set<std::string> WorkspacesWithinGuarantee(const pool_state& state) {
  std::map<std::string, std::int64_t> need;
  for (const auto& [id, job] : state.open_jobs()) {
    if (IsFinal(job->phase) || QueuePriority(state, *job) != 0) continue;
    need[job->submission.workspace] += AcceleratorNeed(*job);
  }
  std::set<std::string> within_guarantee;
  for (const auto& [workspace, accelerators] : need) {
    const workspace_rules* rules =
        state.config() == nullptr ? nullptr : state.config()->FindWorkspace(workspace);
    if (rules != nullptr && accelerators <= rules->guaranteed_accelerators)
      within_guarantee.insert(workspace);
  }
  return within_guarantee;
}

milliseconds RemainingCriticalPath(const pool_state& state, const job_entry& job, int occurrence) {
  const job_request& request = job.submission.request;
  const auto found = job.occurrences.find(occurrence);
  std::vector<milliseconds> ends(request.steps.size());
  milliseconds longest{0};
  for (std::size_t i = 0; i < request.steps.size(); ++i) {
    milliseconds start{0};
    for (const int earlier : request.steps[i].after) start = std::max(start, ends[earlier]);
    const bool open = found == job.occurrences.end() || found->second.steps[i].open_units > 0;
    ends[i] = start + (open ? state.ExpectedTime(job, request.steps[i]) : milliseconds(0));
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

namespace {

// Returns the indices of the units of `step` that may start now.
std::vector<int> StartableUnits(const step_progress& step, boot_time now) {
  std::vector<int> startable;
  if (!step.ready || step.open_units == 0) return startable;
  for (std::size_t i = 0; i < step.units.size(); ++i) {
    const work_unit& unit = step.units[i];
    if (unit.done || !unit.IsIdle() || !unit.unresolved_workers.empty() || now < unit.repeatable_until)
      continue;
    startable.push_back(static_cast<int>(i));
  }
  return startable;
}

}  // namespace

std::vector<waiting_step> MakeStepQueue(const pool_state& state,
                                        const std::set<std::string>& within_guarantee, boot_time now,
                                        unix_time wall_now) {
  std::vector<waiting_step> queue;
  const std::set<unit_position> units_with_unaccounted_runs = UnitsWithUnaccountedRuns(state);
  for (const auto& [id, job] : state.open_jobs()) {
    if (IsFinal(job->phase)) continue;
    const int priority = QueuePriority(state, *job);
    for (const auto& [number, occurrence] : job->occurrences) {
      std::optional<job_timing> timing;
      for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        waiting_step entry;
        entry.units = StartableUnits(occurrence.steps[step], now);
        entry.job = job;
        entry.occurrence = number;
        entry.number = static_cast<int>(step);
        if (!units_with_unaccounted_runs.empty()) {
          std::erase_if(entry.units,
                        [&](int unit) { return units_with_unaccounted_runs.contains(entry.Position(unit)); });
        }
        if (entry.units.empty()) continue;
        if (!timing) timing = AssessTiming(state, *job, number, now, wall_now);
        entry.request = &job->submission.request.steps[step];
        entry.progress = &occurrence.steps[step];
        entry.priority = priority;
        entry.is_guaranteed = priority == 0 && within_guarantee.contains(job->submission.workspace);
        entry.outlook = timing->outlook;
        entry.due = timing->due;
        entry.has_little_slack = timing->has_little_slack;
        queue.push_back(std::move(entry));
      }
    }
  }
  const auto key = [](const waiting_step& entry) {
    return std::tuple(!entry.is_guaranteed, entry.outlook == deadline_outlook::kMissed, entry.priority,
                      entry.outlook, entry.due, std::string_view(entry.job->submission.id), entry.occurrence,
                      entry.number);
  };
  std::sort(queue.begin(), queue.end(),
            [&key](const waiting_step& left, const waiting_step& right) { return key(left) < key(right); });
  return queue;
}

}  // namespace hickorystall::state::pool
