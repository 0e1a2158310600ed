// Part of pool_state: what registrations and workers' answers change.
#include <algorithm>
#include <cassert>
#include <cmath>

#include "state/pool/pool_state.h"

namespace hickorystall::state::pool {

using std::chrono::milliseconds;

namespace {

// A list of ends with this many entries may be only the first part.
constexpr std::size_t kEndsPerAnswer = 500;

}  // namespace

void pool_state::SetRegistration(const worker_registration& registration, boot_time now) {
  worker_entry& worker = workers_[registration.id];
  const bool was_listed = worker.listed;
  const bool was_draining = worker.registration.draining;
  if (worker.registration.incarnation != 0 && registration.incarnation > worker.registration.incarnation) {
    TakeRebirth(worker);
    AddEvent(pool_event_kind::kWorkerReborn, "", "", 0, registration.id, "");
    worker.synced = false;
    ResolveWorker(worker);
    worker.acknowledged_end = 0;
    worker.clock_read_at = {};
  }
  const std::int64_t incarnation = std::max(worker.registration.incarnation, registration.incarnation);
  worker.registration = registration;
  worker.registration.incarnation = incarnation;
  worker.listed = true;
  if (worker.clock_read_at == boot_time{}) UpdateWorkerClock(registration.id, registration.clock, now);
  if (!was_listed) AddEvent(pool_event_kind::kWorkerListed, "", "", 0, registration.id, "");
  if (registration.draining && !was_draining) {
    const milliseconds remaining = registration.remaining.value_or(milliseconds(0));
    if (registration.remaining) worker.leaves_at = now + remaining;
    AddEvent(pool_event_kind::kWorkerDraining, "", "", 0, registration.id,
             "remaining_ms=" + std::to_string(remaining.count()));
  }
}

void pool_state::RemoveRegistration(const std::string& id) {
  worker_entry* worker = FindWorker(id);
  if (worker == nullptr) return;
  worker->listed = false;
  AddEvent(pool_event_kind::kWorkerGone, "", "", 0, id, "");
}

void pool_state::AddFormerWorker(const std::string& id, const std::string& address, boot_time lease_bound) {
  worker_entry& worker = workers_[id];
  worker.recorded = true;
  worker.may_run_unknown = true;
  worker.lease_bound = std::max(worker.lease_bound, lease_bound);
  if (worker.listed) return;
  worker.registration.id = id;
  worker.registration.address = address;
}

void pool_state::MarkRecorded(const std::string& id) {
  worker_entry* worker = FindWorker(id);
  if (worker != nullptr) worker->recorded = true;
}

worker_time pool_state::GrantLease(const std::string& id, boot_time now) {
  worker_entry& worker = workers_.at(id);
  const milliseconds lease = settings_.worker_lease;
  const auto bound = milliseconds(std::llround(static_cast<double>(lease.count()) *
                                               (1.0 + settings_.worker_clock_tolerance))) +
                     settings_.lease_margin;
  worker.lease_bound = std::max(worker.lease_bound, now + bound);
  // The worker's clock may be slow, and a lease must not be longer than the bound assumes.
  const auto since_reading = static_cast<double>((now - worker.clock_read_at).count());
  const auto progress = milliseconds(std::llround(since_reading * (1.0 - settings_.worker_clock_tolerance)));
  return worker.clock + progress + lease;
}

void pool_state::UpdateWorkerClock(const std::string& id, worker_time clock, boot_time now) {
  worker_entry* worker = FindWorker(id);
  if (worker == nullptr) return;
  worker->clock = clock;
  worker->clock_read_at = now;
}

void pool_state::MarkUnreachable(const std::string& id, boot_time now) {
  worker_entry* worker = FindWorker(id);
  if (worker == nullptr) return;
  unmet_workers_.erase(id);
  if (!worker->reachable) return;
  worker->reachable = false;
  AddEvent(pool_event_kind::kWorkerUnreachable, "", "", 0, id,
           "lease_left_ms=" + std::to_string((worker->lease_bound - now).count()));
}

void pool_state::ExpireLeases(boot_time now, boot_time confirmed_at) {
  for (auto worker = workers_.begin(); worker != workers_.end();) {
    worker_entry& entry = worker->second;
    const bool over = !entry.reachable && confirmed_at >= entry.lease_bound;
    if (over) {
      LoseRuns(entry, "lease over, worker silent");
      entry.unaccounted.clear();
      ResolveWorker(entry);
    }
    if (!entry.listed && !entry.may_run_unknown) unmet_workers_.erase(worker->first);
    const bool forget = !entry.listed && !entry.may_run_unknown && entry.tasks.empty() &&
                        entry.unaccounted.empty() && now >= entry.lease_bound;
    worker = forget ? workers_.erase(worker) : std::next(worker);
  }
}

void pool_state::HandleIncarnationMismatch(const std::string& id) {
  worker_entry* worker = FindWorker(id);
  if (worker == nullptr) return;
  LoseRuns(*worker, "another life answers at its address");
  worker->unaccounted.clear();
  unmet_workers_.erase(id);
  worker->listed = false;
  worker->synced = true;
  worker->lease_bound = {};
  ResolveWorker(*worker);
}

void pool_state::HoldRecordedStarts(boot_time quiet_at) {
  for (const auto& [worker, units] : unresolved_units_) {
    for (const unit_position& position : units) {
      work_unit* unit = FindUnit(position);
      if (unit != nullptr) unit->repeated_until = quiet_at;
    }
  }
}

void pool_state::AwaitFirstReplies() {
  for (const auto& [id, worker] : workers_) unmet_workers_.insert(id);
}

std::set<std::string> pool_state::UnresolvedWorkers() const {
  std::set<std::string> workers;
  for (const auto& [worker, units] : unresolved_units_) workers.insert(worker);
  return workers;
}

void pool_state::ResolveWorker(worker_entry& worker) {
  worker.may_run_unknown = false;
  const auto found = unresolved_units_.find(worker.registration.id);
  if (found == unresolved_units_.end()) return;
  for (const unit_position& position : found->second) {
    work_unit* unit = FindUnit(position);
    if (unit != nullptr) unit->unresolved_workers.erase(worker.registration.id);
  }
  unresolved_units_.erase(found);
}

void pool_state::TakeRebirth(worker_entry& worker) {
  for (const std::string& task : worker.tasks) {
    const std::optional<task_place> place = FindTask(task);
    assert(place);
    AddEvent(pool_event_kind::kRunLost, place->position.job, task, place->unit->last_run,
             worker.registration.id, "worker restarted");
    OrderStop(*place);
  }
}

void pool_state::LoseRuns(worker_entry& worker, const std::string& reason) {
  const std::set<std::string> tasks = worker.tasks;
  for (const std::string& task : tasks) {
    const std::optional<task_place> place = FindTask(task);
    assert(place);
    AddEvent(pool_event_kind::kRunLost, place->position.job, task, place->unit->last_run,
             worker.registration.id, reason);
    Release(*place);
    if (!place->unit->done) StopOthers(*place);
  }
}

std::int64_t pool_state::ApplyWorkerLists(const std::string& id, const worker_lists& lists,
                                          std::int64_t order, boot_time now) {
  worker_entry* worker = FindWorker(id);
  if (worker == nullptr) return 0;
  if (lists.incarnation != 0 && worker->registration.incarnation != 0 &&
      lists.incarnation != worker->registration.incarnation) {
    TakeRebirth(*worker);
    worker->unaccounted.clear();
    worker->acknowledged_end = 0;
    AddEvent(pool_event_kind::kWorkerReborn, "", "", 0, id, "");
  }
  if (lists.incarnation != 0) worker->registration.incarnation = lists.incarnation;
  // Runs of the ends that did not fit into the answer would look as if they had never been.
  const bool is_whole = lists.finished.size() < kEndsPerAnswer;
  worker->synced = worker->synced || is_whole;
  worker->reachable = true;
  unmet_workers_.erase(id);
  UpdateWorkerClock(id, lists.clock, now);
  std::int64_t highest = worker->acknowledged_end;
  std::set<std::string> present;
  for (const listed_end& end : lists.finished) {
    if (end.number <= worker->acknowledged_end) continue;
    TakeEnd(*worker, end, now);
    highest = std::max(highest, end.number);
  }
  for (const listed_run& run : lists.running) {
    present.insert(run.task);
    TakeRunning(*worker, run, now);
  }
  std::erase_if(worker->unaccounted,
                [&present](const auto& entry) { return !present.contains(entry.first); });
  if (is_whole) {
    ReleaseAbsent(*worker, present, order);
    ResolveWorker(*worker);
  }
  return highest;
}

void pool_state::TakeRunning(worker_entry& worker, const listed_run& run, boot_time now) {
  const std::optional<task_place> place = FindTask(run.task);
  if (!place) return TakeForeignRun(worker, run);
  work_unit& unit = *place->unit;
  unit_member& member = *place->member;
  if (member.phase == run_phase::kIdle && !unit.done && !IsFinal(place->job->phase) &&
      (unit.IsIdle() ? run.run >= unit.last_run : run.run == unit.last_run) &&
      !unit.failed_runs.contains(run.run)) {
    // A run that an earlier owner started.
    unit.last_run = std::max(unit.last_run, run.run);
    unit.shows_run_time = false;
    unit.started_at = now;
    Occupy(*place, worker, run_phase::kRunning);
    member.confirmed = true;
    member.answered_order = NextCallNumber();
    member.progress_at = now;
    if (place->job->phase == job_phase::kQueued) {
      place->job->phase = job_phase::kRunning;
      MarkChanged(*place->job, false);
    }
  }
  if (member.worker != worker.registration.id || unit.last_run != run.run) return TakeForeignRun(worker, run);
  if (member.phase == run_phase::kOrdered) BeginRunning(*place, now);
  if (run.percent != member.percent) {
    member.percent = run.percent;
    member.progress_at = now;
  }
  if (!run.checkpoint.empty() && run.checkpoint != unit.checkpoint) {
    unit.checkpoint = run.checkpoint;
    unit.checkpoint_at = now;
  }
}

void pool_state::TakeForeignRun(worker_entry& worker, const listed_run& run) {
  const std::optional<task_place> place = FindTask(run.task);
  const resources need = place ? place->step->need : worker.registration.capacity;
  const bool is_new = worker.unaccounted.emplace(run.task, need).second;
  if (!is_new) return;
  AddEvent(pool_event_kind::kForeignRun, "", run.task, run.run, worker.registration.id, "stop");
  worker_order order;
  order.worker = worker.registration.id;
  order.task = run.task;
  order.run = run.run;
  orders_.push_back(std::move(order));
}

void pool_state::ReleaseAbsent(worker_entry& worker, const std::set<std::string>& present,
                               std::int64_t order) {
  const std::set<std::string> tasks = worker.tasks;
  for (const std::string& task : tasks) {
    if (present.contains(task)) continue;
    const std::optional<task_place> place = FindTask(task);
    assert(place);
    const unit_member& member = *place->member;
    const bool answered = member.phase == run_phase::kStopping ? member.stop_confirmed : member.confirmed;
    if (!answered || member.answered_order == 0 || member.answered_order > order) continue;
    AddEvent(pool_event_kind::kRunLost, place->position.job, task, place->unit->last_run,
             worker.registration.id, "not listed");
    Release(*place);
    if (!place->unit->done) StopOthers(*place);
  }
}

void pool_state::TakeEnd(worker_entry& worker, const listed_end& end, boot_time now) {
  const std::optional<task_place> place = FindTask(end.task);
  if (!place) return;
  work_unit& unit = *place->unit;
  unit_member& member = *place->member;
  const bool is_current =
      member.phase != run_phase::kIdle && member.worker == worker.registration.id && unit.last_run == end.run;
  if (is_current) Release(*place);
  const bool superseded = end.run < unit.last_run && !unit.IsIdle();
  unit.last_run = std::max(unit.last_run, end.run);
  if (unit.done || IsFinal(place->job->phase)) return;
  if (!end.checkpoint.empty() && !superseded) {
    unit.checkpoint = end.checkpoint;
    unit.checkpoint_at = now;
    MarkChanged(*place->job, false);
  }
  switch (end.kind) {
    case end_kind::kDone:
      worker.failures_in_row = 0;
      if (!superseded) TakeDone(*place, now);
      AddEvent(pool_event_kind::kRunDone, place->position.job, end.task, end.run, worker.registration.id,
               superseded ? "superseded" : "");
      break;
    case end_kind::kFailed:
      TakeFailure(*place, worker, end.run, now);
      break;
    default:
      AddEvent(pool_event_kind::kRunStopped, place->position.job, end.task, end.run, worker.registration.id,
               std::to_string(static_cast<int>(end.kind)));
  }
}

void pool_state::TakeDone(const task_place& place, boot_time now) {
  work_unit& unit = *place.unit;
  unit.done = true;
  if (unit.shows_run_time) {
    run_times_.Learn(place.job->submission.queue, place.step->estimate, now - unit.started_at);
    unit.shows_run_time = false;
  }
  job_entry& job = *place.job;
  const auto found = job.occurrences.find(place.position.occurrence);
  --found->second.steps[place.position.step].open_units;
  ReadySteps(job.submission.request, found->second, now);
  MarkChanged(job, true);
  if (!found->second.IsDone()) return;
  job.finished_occurrences.insert(place.position.occurrence);
  const int count = std::max(1, job.submission.request.occurrences);
  if (static_cast<int>(job.finished_occurrences.size()) == count) {
    FinishJob(job, job_phase::kCompleted, now);
  }
}

void pool_state::TakeFailure(const task_place& place, worker_entry& worker, std::int64_t run, boot_time now) {
  work_unit& unit = *place.unit;
  if (!unit.failed_runs.insert(run).second) return;
  unit.failed_on.insert(worker.registration.id);
  AddEvent(pool_event_kind::kRunFailed, place.position.job,
           TaskName(place.position.job, place.position.occurrence, place.position.step, unit.first_task), run,
           worker.registration.id, "failures=" + std::to_string(unit.failures()));
  ++worker.failures_in_row;
  if (worker.failures_in_row >= settings_.failures_before_avoiding) {
    const int doublings = std::min(worker.failures_in_row - settings_.failures_before_avoiding, 4);
    const milliseconds wait = std::min(settings_.avoid_time * (1 << doublings), settings_.longest_avoid_time);
    worker.avoided_until = now + wait;
    AddEvent(pool_event_kind::kWorkerAvoided, "", "", 0, worker.registration.id,
             "failures_in_row=" + std::to_string(worker.failures_in_row));
  }
  MarkChanged(*place.job, true);
  if (unit.failures() >= MaxAttempts(*place.job)) FinishJob(*place.job, job_phase::kFailed, now);
}

}  // namespace hickorystall::state::pool
