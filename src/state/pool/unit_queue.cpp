#include "state/pool/unit_queue.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <string_view>
#include <tuple>

namespace hickorystall::state::pool {

using std::chrono::milliseconds;

namespace {

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
  milliseconds critical_path;
  milliseconds objective;
  boot_time due;
  deadline_outlook outlook;
  bool has_little_slack;
};

job_timing AssessTiming(const pool_state& state, const job_entry& job, int occurrence, boot_time now,
                        unix_time wall_now) {
  const job_submission& submission = job.submission;
  const job_request& request = submission.request;
  const milliseconds critical_path = CriticalPath(state, job);
  const milliseconds objective = milliseconds(static_cast<std::int64_t>(
                                     static_cast<double>(critical_path.count()) * submission.stretch)) +
                                 submission.target_latency;
  boot_time begin = job.accepted_at;
  if (request.occurrences > 0) {
    begin = now - (wall_now - unix_time(request.first_due + occurrence * request.interval));
  }
  const boot_time end = now + RemainingCriticalPath(state, job, occurrence);
  job_timing timing{critical_path, objective, begin + objective, deadline_outlook::kInTime, false};
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

// Sizes of the parts of a stored unit that has begun and is not done, in bytes. They follow EncodeUnit in
// coordination/pool/pool_codec.cpp.
constexpr std::size_t kUnitBytes = 32;
constexpr std::size_t kWorkersBytes = 13;
constexpr std::size_t kWorkerBytes = 3;
constexpr std::size_t kCheckpointBytes = 16;
constexpr std::size_t kFailuresBytes = 17;
constexpr std::size_t kFailureBytes = 12;
// A unit that has not begun, or is done.
constexpr std::size_t kPlainUnitBytes = 2;
// Fields of the job, and of an occurrence that is not finished; the number of a finished one.
constexpr std::size_t kJobBytes = 200;
constexpr std::size_t kOccurrenceBytes = 16;
constexpr std::size_t kFinishedOccurrenceBytes = 5;
// Expected size of a checkpoint before the job has one, and the maximum that is reserved for one. A longer
// one is left out of the stored progress if necessary, rather than that few units of the job run at once.
constexpr std::size_t kExpectedCheckpoint = 24;
constexpr std::size_t kMaxReservedCheckpoint = 512;
// Share of the stored progress that starts may fill. The rest is for failed runs and checkpoints that grow.
constexpr double kShareForStarts = 0.875;

// Returns the size of `text` in JSON.
std::size_t EscapedSize(std::string_view text) {
  constexpr std::size_t kUnicodeEscape = 6;
  std::size_t size = 0;
  for (const char character : text) {
    const bool is_control = static_cast<unsigned char>(character) < ' ';
    size += is_control ? kUnicodeEscape : character == '"' || character == '\\' ? 2 : 1;
  }
  return size;
}

std::size_t LongestWorkerId(const pool_state& state) {
  std::size_t longest = 0;
  for (const auto& [id, worker] : state.workers()) longest = std::max(longest, EscapedSize(id));
  return longest;
}

// Bounds the units of one job that have begun and are not done, so that the progress of the job without its
// checkpoints fits into the rows that the store allows for it. The other units start as these end.
class progress_budget {
 public:
  progress_budget(const pool_state& state, const job_entry& job, std::size_t longest_worker_id)
      : longest_worker_id_(longest_worker_id), worker_count_(state.workers().size()), job_(job) {
    for (const auto& [number, occurrence] : job.occurrences) {
      for (const step_progress& step : occurrence.steps) {
        for (const work_unit& unit : step.units)
          largest_checkpoint_ = std::max(largest_checkpoint_, EscapedSize(unit.checkpoint));
      }
    }
    const std::size_t fixed = kJobBytes + EscapedSize(job.submission.queue) +
                              EscapedSize(job.submission.workspace) +
                              kFinishedOccurrenceBytes * job.finished_occurrences.size();
    std::size_t reserved = fixed;
    std::size_t stored = fixed;
    for (const auto& [number, occurrence] : job.occurrences) {
      if (job.finished_occurrences.contains(number) || !HasBegun(occurrence)) continue;
      for (std::size_t step = 0; step < occurrence.steps.size(); ++step)
        AddBegunUnits(occurrence.steps[step], job.submission.request.steps[step], reserved, stored);
      reserved += PlainSize(occurrence);
      stored += PlainSize(occurrence);
    }
    const std::size_t limit = state.settings().MaxProgressBytes();
    const auto limit_for_starts = static_cast<std::size_t>(static_cast<double>(limit) * kShareForStarts);
    left_ = limit_for_starts > reserved ? limit_for_starts - reserved : 0;
    left_for_repeats_ = limit > stored ? limit - stored : 0;
  }

  // Removes the units that may not start now from the steps of `job`. The steps share what is left for first
  // starts: a step that finds no worker takes nothing from the others.
  void Restrict(std::vector<waiting_step>& steps) const {
    std::size_t beginning = 0;
    for (const waiting_step& step : steps) beginning += CountNew(step) > 0 ? 1 : 0;
    const std::size_t share = beginning == 0 ? 0 : left_ / beginning;
    std::size_t left_for_repeats = left_for_repeats_;
    for (waiting_step& step : steps) {
      // A job with nothing active starts something, whatever its size.
      bool is_forced = !is_active_;
      std::size_t left = share;
      const auto& occurrence = job_.occurrences.at(step.occurrence);
      const std::size_t occurrence_bytes = HasBegun(occurrence) ? 0 : PlainSize(occurrence);
      left = left > occurrence_bytes ? left - occurrence_bytes : 0;
      std::erase_if(step.units, [&](int index) {
        const work_unit& unit = step.progress->units[index];
        const bool is_new = unit.last_run == 0;
        const std::size_t size =
            is_new ? BegunSize(unit) + CheckpointSize(step.request->checkpointable) : WorkersSize(unit);
        std::size_t& available = is_new ? left : left_for_repeats;
        const bool is_allowed = is_forced || size <= available;
        if (is_allowed) available -= std::min(size, available);
        is_forced = false;
        return !is_allowed;
      });
    }
    std::erase_if(steps, [](const waiting_step& step) { return step.units.empty(); });
  }

 private:
  static bool HasBegun(const occurrence_progress& occurrence) {
    return std::any_of(occurrence.steps.begin(), occurrence.steps.end(), [](const step_progress& step) {
      return std::any_of(step.units.begin(), step.units.end(),
                         [](const work_unit& unit) { return unit.done || unit.last_run > 0; });
    });
  }

  static std::size_t CountNew(const waiting_step& step) {
    return std::count_if(step.units.begin(), step.units.end(),
                         [&](int unit) { return step.progress->units[unit].last_run == 0; });
  }

  // Returns the size of an occurrence without what its units take when they have begun.
  static std::size_t PlainSize(const occurrence_progress& occurrence) {
    std::size_t size = kOccurrenceBytes;
    for (const step_progress& step : occurrence.steps) size += kPlainUnitBytes * step.units.size();
    return size;
  }

  // Adds what the units in progress of a step take. `reserved` includes an allowance for checkpoints and, for
  // idle units, for the workers of the next run.
  void AddBegunUnits(const step_progress& step, const step_request& request, std::size_t& reserved,
                     std::size_t& stored) {
    for (const work_unit& unit : step.units) {
      if (unit.last_run == 0 || unit.done) continue;
      const bool is_idle = unit.IsIdle() && unit.unresolved_workers.empty();
      is_active_ = is_active_ || !is_idle;
      reserved += BegunSize(unit) + CheckpointSize(request.checkpointable);
      stored += is_idle ? BegunSize(unit) - WorkersSize(unit) : BegunSize(unit);
    }
  }

  // Returns what `unit` takes once it has begun, without its checkpoint.
  std::size_t BegunSize(const work_unit& unit) const {
    const std::size_t failures =
        unit.failed_runs.empty() ? 0 : kFailuresBytes + kFailureBytes * unit.failed_runs.size();
    return kUnitBytes + WorkersSize(unit) + failures;
  }

  // Returns what the ids of the workers of `unit` take. Members of a gang may share a worker.
  std::size_t WorkersSize(const work_unit& unit) const {
    const std::size_t workers = std::min(unit.members.size() + unit.unresolved_workers.size(), worker_count_);
    return kWorkersBytes + workers * (longest_worker_id_ + kWorkerBytes);
  }

  std::size_t CheckpointSize(bool checkpointable) const {
    if (!checkpointable) return 0;
    return kCheckpointBytes + std::clamp(largest_checkpoint_, kExpectedCheckpoint, kMaxReservedCheckpoint);
  }

  const std::size_t longest_worker_id_;
  const std::size_t worker_count_;
  const job_entry& job_;
  std::size_t largest_checkpoint_ = 0;
  // True if a unit runs or may run.
  bool is_active_ = false;
  // Bytes that may be taken by units that have not begun, and by units that start again.
  std::size_t left_ = 0;
  std::size_t left_for_repeats_ = 0;
};

}  // namespace

std::vector<waiting_step> MakeStepQueue(const pool_state& state,
                                        const std::set<std::string>& within_guarantee, boot_time now,
                                        unix_time wall_now) {
  std::vector<waiting_step> queue;
  const std::set<unit_position> units_with_unaccounted_runs = UnitsWithUnaccountedRuns(state);
  const std::size_t longest_worker_id = LongestWorkerId(state);
  for (const auto& [id, job] : state.open_jobs()) {
    if (IsFinal(job->phase) || job->is_unstored) continue;
    const int priority = QueuePriority(state, *job);
    std::vector<waiting_step> steps;
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
        entry.critical_path = timing->critical_path;
        entry.objective = timing->objective;
        entry.due = timing->due;
        entry.has_little_slack = timing->has_little_slack;
        steps.push_back(std::move(entry));
      }
    }
    if (steps.empty()) continue;
    progress_budget(state, *job, longest_worker_id).Restrict(steps);
    std::move(steps.begin(), steps.end(), std::back_inserter(queue));
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
