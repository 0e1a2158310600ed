#include "state/pool/pool_state.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace hickorystall::state::pool {

using std::chrono::milliseconds;

namespace {

// Returns what determines the placement of `job`, for its first log record.
std::string DescribeJob(const job_entry& job) {
  std::string text = "phase=" + std::string(JobPhaseName(job.phase)) +
                     " priority=" + std::to_string(job.submission.priority) +
                     " workspace=" + job.submission.workspace;
  for (const step_request& step : job.submission.request.steps) {
    text += " step=" + std::to_string(step.task_count) + "x" + std::to_string(step.need.cpu_millis) + "m," +
            std::to_string(step.need.accelerators) + "a," + std::to_string(step.estimate.count()) + "ms";
    if (step.gang) text += ",gang";
    if (step.same_rack) text += ",one_rack";
    if (!step.data_rack.empty()) text += ",near=" + step.data_rack;
    if (!step.required_label.empty()) text += ",label=" + step.required_label;
    if (step.max_per_worker > 0) text += ",max=" + std::to_string(step.max_per_worker);
    if (step.checkpointable) text += ",checkpoints";
  }
  if (job.submission.request.occurrences > 0) {
    text += " occurrences=" + std::to_string(job.submission.request.occurrences);
  }
  return text;
}

}  // namespace

pool_state::pool_state(pool_settings settings, std::int64_t epoch) : settings_(settings), epoch_(epoch) {}

void pool_state::AddEvent(pool_event_kind kind, const std::string& job, const std::string& task,
                          std::int64_t run, const std::string& worker, std::string reason) {
  events_.push_back({kind, job, task, run, worker, std::move(reason)});
}

void pool_state::MarkChanged(const job_entry& job, bool urgent) {
  changed_.insert(job.submission.id);
  urgent_change_ = urgent_change_ || urgent;
}

worker_entry* pool_state::FindWorker(const std::string& id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

work_unit* pool_state::FindUnit(const unit_position& position) {
  const auto job = jobs_.find(position.job);
  if (job == jobs_.end()) return nullptr;
  const auto occurrence = job->second.occurrences.find(position.occurrence);
  if (occurrence == job->second.occurrences.end()) return nullptr;
  auto& steps = occurrence->second.steps;
  if (position.step >= static_cast<int>(steps.size())) return nullptr;
  auto& units = steps[position.step].units;
  return position.unit < static_cast<int>(units.size()) ? &units[position.unit] : nullptr;
}

std::optional<pool_state::task_location> pool_state::FindTask(const std::string& task) {
  const std::optional<task_name_parts> parts = ParseTaskName(task);
  if (!parts) return std::nullopt;
  const auto job = jobs_.find(parts->job);
  if (job == jobs_.end()) return std::nullopt;
  const auto& steps = job->second.submission.request.steps;
  if (parts->step >= static_cast<int>(steps.size())) return std::nullopt;
  const step_request& step = steps[parts->step];
  if (parts->index >= step.task_count) return std::nullopt;
  task_location location;
  location.job = &job->second;
  location.step = &step;
  location.position = {parts->job, parts->occurrence, parts->step, step.gang ? 0 : parts->index};
  location.unit = FindUnit(location.position);
  if (location.unit == nullptr) return std::nullopt;
  location.member = &location.unit->members[step.gang ? parts->index : 0];
  return location;
}

void pool_state::SetConfig(std::shared_ptr<const pool_config> config) {
  if (config == config_) return;
  config_ = std::move(config);
  rules_by_queue_.clear();
  if (config_ == nullptr) return;
  for (const queue_rules& rules : config_->queues) rules_by_queue_.emplace(rules.name, &rules);
}

const queue_rules* pool_state::RulesOf(const job_entry& job) const {
  const auto found = rules_by_queue_.find(job.submission.queue);
  return found == rules_by_queue_.end() ? nullptr : found->second;
}

int pool_state::MaxAttempts(const job_entry& job) const {
  const queue_rules* rules = RulesOf(job);
  return rules == nullptr ? job.submission.max_attempts : rules->max_attempts;
}

void pool_state::HoldUntilStored(const std::string& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  found->second.is_unstored = true;
  // The write that ends the hold.
  MarkChanged(found->second, false);
}

void pool_state::AddJob(job_entry job, boot_time now) {
  const std::string id = job.submission.id;
  const auto [found, is_new] = jobs_.emplace(id, std::move(job));
  if (!is_new) return;
  job_entry& entry = found->second;
  if (!IsFinal(entry.phase)) open_jobs_.emplace(found->first, &entry);
  for (auto& [number, occurrence] : entry.occurrences) {
    MarkReadySteps(entry.submission.request, occurrence, now);
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      const auto& units = occurrence.steps[step].units;
      for (std::size_t unit = 0; unit < units.size(); ++unit) {
        for (const std::string& worker : units[unit].unresolved_workers) {
          unresolved_units_[worker].push_back({id, number, static_cast<int>(step), static_cast<int>(unit)});
        }
      }
    }
  }
  if (IsFinal(entry.phase) && !entry.final_at) entry.final_at = now;
  AddEvent(pool_event_kind::kJobAdded, id, "", 0, "", DescribeJob(entry));
}

void pool_state::CancelJob(const std::string& id, boot_time now) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || IsFinal(found->second.phase)) return;
  FinishJob(found->second, job_phase::kCancelled, now);
}

void pool_state::FinishJob(job_entry& job, job_phase phase, boot_time now) {
  job.phase = phase;
  job.final_at = now;
  StopJob(job);
  speeds_.ForgetJob(job.submission.id);
  MarkChanged(job, true);
  const pool_event_kind kind = phase == job_phase::kCompleted ? pool_event_kind::kJobCompleted
                               : phase == job_phase::kFailed  ? pool_event_kind::kJobFailed
                                                              : pool_event_kind::kJobCancelled;
  const auto age = now - job.accepted_at;
  AddEvent(kind, job.submission.id, "", 0, "", "age_ms=" + std::to_string(age.count()));
}

void pool_state::StopJob(job_entry& job) {
  for (auto& [number, occurrence] : job.occurrences) {
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      for (std::size_t unit = 0; unit < occurrence.steps[step].units.size(); ++unit) {
        // The members of a gang that is done have all ended; only some of their ends are listed so far.
        const work_unit& entry = occurrence.steps[step].units[unit];
        if (entry.IsIdle() || entry.done) continue;
        const unit_position position{job.submission.id, number, static_cast<int>(step),
                                     static_cast<int>(unit)};
        StopUnit(position, "job ended");
      }
    }
  }
}

std::vector<std::string> pool_state::ForgetJobs(boot_time limit) {
  std::erase_if(open_jobs_, [](const auto& entry) {
    return IsFinal(entry.second->phase) && !entry.second->HasActiveUnits();
  });
  std::vector<std::string> forgotten;
  for (auto job = jobs_.begin(); job != jobs_.end();) {
    // A job with continuations still needs a write that removes them.
    const bool is_removable = !open_jobs_.contains(job->first) && job->second.extra_rows == 0;
    if (is_removable && job->second.final_at && *job->second.final_at < limit) {
      forgotten.push_back(job->first);
      job = jobs_.erase(job);
    } else {
      ++job;
    }
  }
  return forgotten;
}

void pool_state::MakeDueOccurrences(boot_time now, unix_time wall_now) {
  for (const auto& [id, job] : open_jobs_) {
    if (IsFinal(job->phase)) continue;
    const job_request& request = job->submission.request;
    const int count = std::max(1, request.occurrences);
    for (int k = 0; k < count; ++k) {
      if (job->finished_occurrences.contains(k) || job->occurrences.contains(k)) continue;
      const unix_time due{request.first_due + k * request.interval};
      if (request.occurrences > 0 && wall_now < due) break;
      occurrence_progress& occurrence = job->occurrences[k] = MakeOccurrence(request);
      MarkReadySteps(request, occurrence, now);
    }
  }
}

void pool_state::MarkReadySteps(const job_request& request, occurrence_progress& occurrence, boot_time now) {
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    step_progress& step = occurrence.steps[i];
    const auto& after = request.steps[i].after;
    const bool ready = std::all_of(after.begin(), after.end(), [&occurrence](int earlier) {
      return occurrence.steps[earlier].open_units == 0;
    });
    if (!ready || step.ready) continue;
    step.ready = true;
    for (work_unit& unit : step.units) unit.ready_at = now;
  }
}

std::vector<worker_order> pool_state::TakeOrders() { return std::exchange(orders_, {}); }
std::vector<pool_event> pool_state::TakeEvents() { return std::exchange(events_, {}); }
std::set<std::string> pool_state::TakeChangedJobs() {
  urgent_change_ = false;
  return std::exchange(changed_, {});
}

bool pool_state::IsOrderDue(const worker_order& order) const {
  const auto worker = workers_.find(order.worker);
  if (worker == workers_.end()) return false;
  if (!order.is_start && worker->second.unaccounted.contains(order.task)) return true;
  const auto rejected = worker->second.runs_to_reject.find(order.task);
  const bool is_rejection =
      !order.is_start && rejected != worker->second.runs_to_reject.end() && rejected->second == order.run;
  if (is_rejection) return true;
  const std::optional<task_location> location = const_cast<pool_state*>(this)->FindTask(order.task);
  if (!location || location->unit->last_run != order.run || location->member->worker != order.worker)
    return false;
  if (order.is_start) return location->member->phase == run_phase::kOrdered && !location->member->confirmed;
  return location->member->phase == run_phase::kStopping && !location->member->stop_confirmed;
}

void pool_state::Allocate(const task_location& location, worker_entry& worker, run_phase phase) {
  assert(location.member->phase == run_phase::kIdle);
  const std::string task =
      TaskName(location.position.job, location.position.occurrence, location.position.step,
               location.unit->first_task + static_cast<int>(location.member - location.unit->members.data()));
  *location.member = unit_member{};
  location.member->phase = phase;
  location.member->worker = worker.registration.id;
  location.member->host = &worker;
  worker.used += location.step->need;
  worker.tasks.insert(task);
}

void pool_state::Release(const task_location& location) {
  if (location.member->phase == run_phase::kIdle) return;
  const int index =
      location.unit->first_task + static_cast<int>(location.member - location.unit->members.data());
  worker_entry* worker = FindWorker(location.member->worker);
  assert(worker != nullptr);
  worker->used -= location.step->need;
  worker->tasks.erase(
      TaskName(location.position.job, location.position.occurrence, location.position.step, index));
  *location.member = unit_member{};
  // If the stored record still named the worker, a later owner would wait for its reply.
  MarkChanged(*location.job, false);
}

void pool_state::StartUnit(const unit_position& position, const std::vector<std::string>& workers,
                           boot_time now, bool is_remote, const start_speeds& speeds) {
  work_unit* unit = FindUnit(position);
  assert(unit != nullptr && unit->IsIdle() && !unit->done && workers.size() == unit->members.size());
  assert(unit->unresolved_workers.empty());
  job_entry& job = jobs_.at(position.job);
  const step_request& step = job.submission.request.steps[position.step];
  ++unit->last_run;
  unit->started_at = now;
  unit->is_run_time_sample = unit->checkpoint.empty() && !is_remote;
  unit->is_remote = is_remote;
  const std::string speed_fields = DescribeSpeeds(speeds);
  std::string reason = "wait_ms=" + std::to_string((now - unit->ready_at).count());
  if (!speed_fields.empty()) reason += " " + speed_fields;
  if (speeds.IsTooSlow())
    AddEvent(pool_event_kind::kStartTooSlow, position.job, "", unit->last_run, "", speed_fields);
  for (std::size_t i = 0; i < workers.size(); ++i) {
    worker_entry& worker = workers_.at(workers[i]);
    Allocate({&job, position, unit, &unit->members[i], &step}, worker, run_phase::kOrdered);
    unit->members[i].progress_at = now;
    unit->members[i].meter = learning::progress_meter(unit->checkpoint.empty());
    worker_order order;
    order.is_start = true;
    order.worker = workers[i];
    order.task =
        TaskName(position.job, position.occurrence, position.step, unit->first_task + static_cast<int>(i));
    order.run = unit->last_run;
    order.payload = job.submission.request.payload;
    order.checkpoint = unit->checkpoint;
    AddEvent(pool_event_kind::kStartOrdered, position.job, order.task, order.run, order.worker, reason);
    orders_.push_back(std::move(order));
  }
  // Urgent, because the orders are sent only once the start is stored.
  MarkChanged(job, true);
}

void pool_state::StopUnit(const unit_position& position, const std::string& reason) {
  work_unit* unit = FindUnit(position);
  if (unit == nullptr) return;
  job_entry& job = jobs_.at(position.job);
  const step_request& step = job.submission.request.steps[position.step];
  bool any = false;
  for (unit_member& member : unit->members) {
    if (member.phase == run_phase::kIdle || member.phase == run_phase::kStopping) continue;
    OrderStop({&job, position, unit, &member, &step});
    any = true;
  }
  if (any) AddEvent(pool_event_kind::kStopOrdered, position.job, "", unit->last_run, "", reason);
}

void pool_state::CountPreemption(const unit_position& position) {
  work_unit* unit = FindUnit(position);
  if (unit != nullptr) ++unit->preemptions;
}

void pool_state::OrderStop(const task_location& location) {
  location.member->phase = run_phase::kStopping;
  location.member->stop_confirmed = false;
  location.member->last_reply_call = 0;
  worker_order order;
  order.worker = location.member->worker;
  order.task =
      TaskName(location.position.job, location.position.occurrence, location.position.step,
               location.unit->first_task + static_cast<int>(location.member - location.unit->members.data()));
  order.run = location.unit->last_run;
  orders_.push_back(std::move(order));
}

void pool_state::StopOtherMembers(const task_location& location) {
  for (unit_member& member : location.unit->members) {
    if (member.phase == run_phase::kIdle || member.phase == run_phase::kStopping) continue;
    OrderStop({location.job, location.position, location.unit, &member, location.step});
  }
}

void pool_state::MarkBegun(job_entry& job) {
  if (job.phase != job_phase::kQueued) return;
  job.phase = job_phase::kRunning;
  MarkChanged(job, false);
}

void pool_state::MarkRunning(const task_location& location, boot_time now) {
  MarkBegun(*location.job);
  location.member->phase = run_phase::kRunning;
  location.member->confirmed = true;
  location.member->last_reply_call = NextCallNumber();
  // The order may have waited for the start to be stored.
  location.member->progress_at = now;
  location.unit->started_at = now;
}

void pool_state::MarkStartUnanswered(const std::string& id, const std::string& task, std::int64_t run,
                                     boot_time now) {
  const std::optional<task_location> location = FindTask(task);
  if (location && location->unit->last_run == run) location->member->may_start_late = true;
  worker_entry* worker = FindWorker(id);
  if (worker == nullptr) return;
  std::erase_if(worker->unanswered_starts, [this, now](const auto& entry) {
    return now - entry.second.ended_at > settings_.max_order_delay;
  });
  worker->unanswered_starts[task] = {run, now};
}

void pool_state::HandleStartReply(const std::string& task, std::int64_t run, start_reply reply,
                                  boot_time now) {
  const std::optional<task_location> location = FindTask(task);
  if (!location || location->unit->last_run != run || location->member->phase == run_phase::kIdle) return;
  const std::string worker_id = location->member->worker;
  if (reply == start_reply::kAccepted) {
    location->member->confirmed = true;
    if (location->member->phase == run_phase::kOrdered) MarkRunning(*location, now);
    return;
  }
  AddEvent(pool_event_kind::kStartRefused, location->position.job, task, run, worker_id,
           reply == start_reply::kNoReply       ? "no reply"
           : reply == start_reply::kNotRecorded ? "not recorded"
                                                : "refused");
  if (reply == start_reply::kNoReply) {
    if (location->member->phase == run_phase::kOrdered) StopOtherMembers(*location);
    return;
  }
  if (reply == start_reply::kWorkerUnhealthy) {
    worker_entry* worker = FindWorker(worker_id);
    if (worker != nullptr) worker->avoided_until = now + settings_.avoid_time;
  }
  // The reason for a refusal can persist on this worker, such as runs there that this owner does not know.
  if (reply != start_reply::kNotRecorded) location->unit->failed_on.insert(worker_id);
  Release(*location);
  StopOtherMembers(*location);
}

void pool_state::HandleStopReply(const std::string& worker, const std::string& task, std::int64_t run) {
  worker_entry* entry = FindWorker(worker);
  if (entry != nullptr) {
    std::erase_if(entry->runs_to_reject,
                  [&](const auto& rejected) { return rejected.first == task && rejected.second == run; });
  }
  const std::optional<task_location> location = FindTask(task);
  if (!location || location->unit->last_run != run || location->member->worker != worker) return;
  if (location->member->phase != run_phase::kStopping) return;
  location->member->stop_confirmed = true;
  location->member->last_reply_call = NextCallNumber();
}

}  // namespace hickorystall::state::pool
