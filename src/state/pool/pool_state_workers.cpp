// Part of pool_state: registrations and replies of workers.
#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>

#include "state/pool/pool_state.h"

namespace hickorystall::state::pool {

using std::chrono::milliseconds;

namespace {

// A worker lists at most this many ends at a time, so a list of this length may be incomplete.
constexpr std::size_t kMaxEndsPerReply = 500;

// Part of a lease that has passed when its worker may be counted as silent. Leases are renewed each second,
// so a worker that has missed a single call is not.
constexpr double kSilentLeaseShare = 1.0 / 3.0;
// Time without a reply after which a worker that this owner has never reached may be counted as silent. It
// allows for two calls.
constexpr milliseconds kFirstSilence{1000};

// Indexed by worker_condition.
constexpr std::array<std::string_view, kWorkerConditions> kConditionNames{
    "usable",         "unlisted", "not_recorded", "not_read", "unreachable",
    "lease_withheld", "draining", "evacuated",    "avoided"};

}  // namespace

std::string_view WorkerConditionName(worker_condition condition) {
  return kConditionNames[static_cast<std::size_t>(condition)];
}

void pool_state::SetRegistration(const worker_registration& registration, boot_time now) {
  worker_entry& worker = workers_[registration.id];
  const bool was_listed = worker.listed;
  const bool was_draining = worker.registration.draining;
  if (worker.registration.incarnation != 0 && registration.incarnation > worker.registration.incarnation) {
    HandleWorkerRestart(worker, now);
    AddEvent(pool_event_kind::kWorkerRestarted, "", "", 0, registration.id, "");
    worker.lists_applied = false;
    ResolveWorker(worker);
    worker.acknowledged_end = 0;
  }
  const std::int64_t incarnation = std::max(worker.registration.incarnation, registration.incarnation);
  worker.registration = registration;
  worker.registration.incarnation = incarnation;
  worker.listed = true;
  UpdateRecorded(worker);
  UpdateEvacuated(worker);
  worker.lease_withheld = withheld_leases_.contains(registration.id);
  if (worker.lease.clock_read_at() == boot_time{})
    UpdateWorkerClock(registration.id, registration.clock, now);
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

void pool_state::AddRecordedWorker(const std::string& id, const std::string& address, boot_time lease_bound) {
  worker_entry& worker = workers_[id];
  worker.may_have_unlisted_runs = true;
  worker.lease.ExtendTo(lease_bound);
  worker.lease_withheld = withheld_leases_.contains(id);
  if (worker.listed) return;
  worker.registration.id = id;
  worker.registration.address = address;
}

void pool_state::SetRecordedWorkers(std::map<std::string, std::string> addresses) {
  recorded_workers_ = std::move(addresses);
  for (auto& [id, worker] : workers_) UpdateRecorded(worker);
}

void pool_state::UpdateRecorded(worker_entry& worker) const {
  const auto found = recorded_workers_.find(worker.registration.id);
  worker.recorded = found != recorded_workers_.end() && found->second == worker.registration.address;
}

void pool_state::WithholdLeases(std::set<std::string> workers) {
  withheld_leases_ = std::move(workers);
  for (auto& [id, worker] : workers_) worker.lease_withheld = withheld_leases_.contains(id);
}

std::map<std::string, boot_time> pool_state::LeasesOfSilentWorkers(boot_time now) const {
  std::map<std::string, boot_time> leases;
  for (const auto& [id, worker] : workers_) {
    const bool may_have_runs = !worker.tasks.empty() || unresolved_units_.contains(id);
    if (worker.reachable || !may_have_runs) continue;
    const boot_time granted_at = worker.lease.granted_at();
    const boot_time silent_from =
        granted_at == boot_time{}
            ? worker.unreachable_since + kFirstSilence
            : granted_at + std::chrono::duration_cast<milliseconds>(MaxLeaseTime() * kSilentLeaseShare);
    if (now < silent_from) continue;
    leases[id] = worker.lease.bound();
  }
  return leases;
}

milliseconds pool_state::MaxLeaseTime() const { return MaxElapsedTime(settings_, settings_.worker_lease); }

bool pool_state::IsReplying(const std::string& id) const {
  const auto found = workers_.find(id);
  return found != workers_.end() && found->second.reachable && found->second.lists_applied;
}

worker_time pool_state::GrantLease(const std::string& id, boot_time now) {
  worker_entry& worker = workers_.at(id);
  assert(!worker.lease_withheld);
  return worker.lease.Grant(settings_, now);
}

void pool_state::UpdateWorkerClock(const std::string& id, worker_time clock, boot_time now) {
  worker_entry* worker = FindWorker(id);
  if (worker == nullptr) return;
  worker->lease.ReadClock(clock, now);
}

bool pool_state::HasRepliedSince(const std::string& id, boot_time time) const {
  const auto found = workers_.find(id);
  return found != workers_.end() && found->second.reachable && found->second.lists_applied &&
         found->second.replied_at != boot_time{} && found->second.replied_at >= time;
}

void pool_state::HandleIncarnationReply(const std::string& id, std::int64_t incarnation, worker_time clock,
                                        boot_time now) {
  worker_entry* worker = FindWorker(id);
  if (worker == nullptr) return;
  const std::int64_t known = worker->registration.incarnation;
  if (incarnation != 0 && known != 0 && incarnation != known) return;
  worker->lease.ReadClock(clock, now);
  worker->replied_at = now;
}

void pool_state::HandleGrantReply(const std::string& id, worker_time deadline, worker_time clock,
                                  boot_time now) {
  worker_entry* worker = FindWorker(id);
  if (worker != nullptr) worker->lease.HandleReply(settings_, deadline, clock, now);
}

void pool_state::HandleUnansweredGrant(const std::string& id, std::int64_t incarnation, boot_time sent_at) {
  worker_entry* worker = FindWorker(id);
  if (worker == nullptr) return;
  worker->lease.HandleNoReply(settings_, sent_at, worker->registration.incarnation != incarnation);
}

void pool_state::MarkUnreachable(const std::string& id, const std::string& reason, boot_time now) {
  worker_entry* worker = FindWorker(id);
  if (worker == nullptr) return;
  workers_awaiting_first_reply_.erase(id);
  if (!worker->reachable) return;
  worker->reachable = false;
  worker->unreachable_since = now;
  AddEvent(pool_event_kind::kWorkerUnreachable, "", "", 0, id,
           "lease_left_ms=" + std::to_string((worker->lease.bound() - now).count()) +
               " tasks=" + std::to_string(worker->tasks.size()) + " cause=" + reason);
}

void pool_state::ExpireLeases(boot_time now, boot_time confirmed_at) {
  for (auto worker = workers_.begin(); worker != workers_.end();) {
    worker_entry& entry = worker->second;
    const bool has_expired = !entry.reachable && confirmed_at >= entry.lease.bound();
    if (has_expired) {
      MarkRunsLost(entry, "lease expired, worker unreachable");
      entry.unaccounted.clear();
      ResolveWorker(entry);
    }
    if (!entry.listed && !entry.may_have_unlisted_runs) workers_awaiting_first_reply_.erase(worker->first);
    // The next incarnation may register only after this one has been removed from the registry.
    const bool may_start_late = std::any_of(
        entry.unanswered_starts.begin(), entry.unanswered_starts.end(),
        [this, now](const auto& start) { return now - start.second.ended_at <= settings_.max_order_delay; });
    const bool is_removable = !may_start_late && !entry.listed && !entry.may_have_unlisted_runs &&
                              entry.tasks.empty() && entry.unaccounted.empty() && now >= entry.lease.bound();
    if (is_removable) ForgetSpeed(entry);
    worker = is_removable ? workers_.erase(worker) : std::next(worker);
  }
}

void pool_state::HandleIncarnationMismatch(const std::string& id) {
  worker_entry* worker = FindWorker(id);
  if (worker == nullptr) return;
  MarkRunsLost(*worker, "another incarnation replied at its address");
  worker->unaccounted.clear();
  workers_awaiting_first_reply_.erase(id);
  worker->listed = false;
  worker->lists_applied = true;
  worker->lease.HandleEnd();
  ForgetSpeed(*worker);
  worker->replied_at = {};
  ResolveWorker(*worker);
}

void pool_state::HandleProcessEnd(const std::string& id) {
  worker_entry* worker = FindWorker(id);
  if (worker == nullptr || worker->reachable) return;
  ForgetSpeed(*worker);
  const std::set<std::string> tasks = worker->tasks;
  for (const std::string& task : tasks) {
    const std::optional<task_location> location = FindTask(task);
    assert(location);
    if (!location->member->confirmed || location->member->may_start_late) continue;
    AddEvent(pool_event_kind::kRunLost, location->position.job, task, location->unit->last_run, id,
             "process ended");
    Release(*location);
    if (!location->unit->done) StopOtherMembers(*location);
  }
}

void pool_state::HoldRecordedStarts(boot_time authority_end) {
  for (const auto& [worker, units] : unresolved_units_) {
    for (const unit_position& position : units) {
      work_unit* unit = FindUnit(position);
      if (unit != nullptr) unit->repeatable_until = authority_end;
    }
  }
}

void pool_state::AwaitFirstReplies() {
  for (const auto& [id, worker] : workers_) workers_awaiting_first_reply_.insert(id);
}

std::set<std::string> pool_state::UnresolvedWorkers() const {
  std::set<std::string> workers;
  for (const auto& [worker, units] : unresolved_units_) workers.insert(worker);
  return workers;
}

void pool_state::ResolveWorker(worker_entry& worker) {
  worker.may_have_unlisted_runs = false;
  const auto found = unresolved_units_.find(worker.registration.id);
  if (found == unresolved_units_.end()) return;
  for (const unit_position& position : found->second) {
    work_unit* unit = FindUnit(position);
    if (unit != nullptr) unit->unresolved_workers.erase(worker.registration.id);
  }
  unresolved_units_.erase(found);
}

void pool_state::RejectLateStarts(worker_entry& worker, boot_time now) {
  worker.runs_to_reject.clear();
  for (const auto& [task, start] : worker.unanswered_starts) {
    if (now - start.ended_at > settings_.max_order_delay) continue;
    worker.runs_to_reject[task] = start.run;
    worker_order order;
    order.worker = worker.registration.id;
    order.task = task;
    order.run = start.run;
    orders_.push_back(std::move(order));
  }
}

void pool_state::HandleWorkerRestart(worker_entry& worker, boot_time now) {
  worker.lease.HandleRestart(settings_);
  ForgetSpeed(worker);
  worker.replied_at = {};
  RejectLateStarts(worker, now);
  for (const std::string& task : worker.tasks) {
    const std::optional<task_location> location = FindTask(task);
    assert(location);
    AddEvent(pool_event_kind::kRunLost, location->position.job, task, location->unit->last_run,
             worker.registration.id, "worker restarted");
    OrderStop(*location);
  }
}

void pool_state::MarkRunsLost(worker_entry& worker, const std::string& reason) {
  const std::set<std::string> tasks = worker.tasks;
  for (const std::string& task : tasks) {
    const std::optional<task_location> location = FindTask(task);
    assert(location);
    AddEvent(pool_event_kind::kRunLost, location->position.job, task, location->unit->last_run,
             worker.registration.id, reason);
    Release(*location);
    if (!location->unit->done) StopOtherMembers(*location);
  }
}

std::int64_t pool_state::ApplyWorkerLists(const std::string& id, const worker_lists& lists,
                                          std::int64_t call_number, boot_time now) {
  worker_entry* worker = FindWorker(id);
  if (worker == nullptr) return 0;
  if (lists.incarnation != 0 && worker->registration.incarnation != 0 &&
      lists.incarnation != worker->registration.incarnation) {
    HandleWorkerRestart(*worker, now);
    worker->unaccounted.clear();
    worker->acknowledged_end = 0;
    AddEvent(pool_event_kind::kWorkerRestarted, "", "", 0, id, "");
  }
  if (lists.incarnation != 0) worker->registration.incarnation = lists.incarnation;
  // A run whose end was left out of an incomplete list would look as if it had never existed.
  const bool is_whole = lists.finished.size() < kMaxEndsPerReply;
  worker->lists_applied = worker->lists_applied || is_whole;
  worker->reachable = true;
  worker->replied_at = now;
  worker->closed_a_call = false;
  workers_awaiting_first_reply_.erase(id);
  UpdateWorkerClock(id, lists.clock, now);
  std::int64_t highest = worker->acknowledged_end;
  std::set<std::string> listed_tasks;
  for (const listed_end& end : lists.finished) {
    if (end.number <= worker->acknowledged_end) continue;
    ApplyEnd(*worker, end, now);
    highest = std::max(highest, end.number);
  }
  for (const listed_run& run : lists.running) {
    listed_tasks.insert(run.task);
    ApplyRunning(*worker, run, lists.clock, now);
  }
  NormalizeSpeeds(now);
  std::erase_if(worker->unaccounted,
                [&listed_tasks](const auto& entry) { return !listed_tasks.contains(entry.first); });
  if (is_whole) {
    ReleaseUnlistedRuns(*worker, listed_tasks, call_number);
    ResolveWorker(*worker);
  }
  return highest;
}

void pool_state::ApplyRunning(worker_entry& worker, const listed_run& run, worker_time clock, boot_time now) {
  const std::optional<task_location> location = FindTask(run.task);
  if (!location) return StopForeignRun(worker, run);
  work_unit& unit = *location->unit;
  unit_member& member = *location->member;
  if (member.phase == run_phase::kIdle && !unit.done && !IsFinal(location->job->phase) &&
      (unit.IsIdle() ? run.run >= unit.last_run : run.run == unit.last_run) &&
      !unit.failed_runs.contains(run.run)) {
    // A run that an earlier owner started.
    unit.last_run = std::max(unit.last_run, run.run);
    unit.is_run_time_sample = false;
    // Where it was placed is not known either.
    unit.is_remote = location->step->same_rack || !location->step->data_rack.empty();
    // The start is not known to this owner, so it is estimated from the progress.
    unit.started_at =
        now - ExpectedTime(*location->job, *location->step) * std::clamp(run.percent, 0, 100) / 100;
    Allocate(*location, worker, run_phase::kRunning);
    member.confirmed = true;
    member.may_start_late = true;
    member.last_reply_call = NextCallNumber();
    member.progress_at = now;
    MarkBegun(*location->job);
  }
  if (member.worker != worker.registration.id || unit.last_run != run.run) return StopForeignRun(worker, run);
  if (member.phase == run_phase::kOrdered) MarkRunning(*location, now);
  if (run.percent != member.percent) {
    member.percent = run.percent;
    member.progress_at = now;
  }
  const auto time = member.meter.Add(run.percent, clock, now - unit.started_at);
  if (time) LearnSpeed(*location, worker, *time, now);
  TakeCheckpoint(unit, run.checkpoint);
}

bool pool_state::TakeCheckpoint(work_unit& unit, const std::string& checkpoint) const {
  if (checkpoint.empty() || checkpoint.size() > settings_.MaxCheckpointBytes()) return false;
  unit.checkpoint = checkpoint;
  return true;
}

void pool_state::StopForeignRun(worker_entry& worker, const listed_run& run) {
  const std::optional<task_location> location = FindTask(run.task);
  const resources need = location ? location->step->need : worker.registration.capacity;
  const bool is_new = worker.unaccounted.emplace(run.task, need).second;
  if (!is_new) return;
  AddEvent(pool_event_kind::kForeignRun, "", run.task, run.run, worker.registration.id, "stop");
  worker_order order;
  order.worker = worker.registration.id;
  order.task = run.task;
  order.run = run.run;
  orders_.push_back(std::move(order));
}

void pool_state::ReleaseUnlistedRuns(worker_entry& worker, const std::set<std::string>& listed_tasks,
                                     std::int64_t call_number) {
  const std::set<std::string> tasks = worker.tasks;
  for (const std::string& task : tasks) {
    if (listed_tasks.contains(task)) continue;
    const std::optional<task_location> location = FindTask(task);
    assert(location);
    const unit_member& member = *location->member;
    const bool has_reply = member.phase == run_phase::kStopping ? member.stop_confirmed : member.confirmed;
    if (!has_reply || member.last_reply_call == 0 || member.last_reply_call > call_number) continue;
    AddEvent(pool_event_kind::kRunLost, location->position.job, task, location->unit->last_run,
             worker.registration.id, "not listed");
    Release(*location);
    if (!location->unit->done) StopOtherMembers(*location);
  }
}

void pool_state::ApplyEnd(worker_entry& worker, const listed_end& end, boot_time now) {
  const std::optional<task_location> location = FindTask(end.task);
  if (!location) return;
  work_unit& unit = *location->unit;
  unit_member& member = *location->member;
  const bool is_current =
      member.phase != run_phase::kIdle && member.worker == worker.registration.id && unit.last_run == end.run;
  if (is_current && end.kind == end_kind::kDone && unit.members.size() == 1) {
    const auto time = member.meter.End(now - unit.started_at);
    if (time) LearnSpeed(*location, worker, *time, now);
  }
  if (is_current && end.kind == end_kind::kDone) LearnRunTime(*location, now);
  if (is_current) Release(*location);
  const bool superseded = end.run < unit.last_run && !unit.IsIdle();
  unit.last_run = std::max(unit.last_run, end.run);
  MarkBegun(*location->job);
  if (unit.done || IsFinal(location->job->phase)) return;
  if (!superseded && TakeCheckpoint(unit, end.checkpoint)) MarkChanged(*location->job, false);
  switch (end.kind) {
    case end_kind::kDone:
      worker.failures_in_row = 0;
      if (!superseded) ApplyDone(*location, now);
      AddEvent(pool_event_kind::kRunDone, location->position.job, end.task, end.run, worker.registration.id,
               superseded ? "superseded" : "");
      break;
    case end_kind::kFailed:
      ApplyFailure(*location, worker, end.run, now);
      break;
    default:
      AddEvent(pool_event_kind::kRunStopped, location->position.job, end.task, end.run,
               worker.registration.id, std::to_string(static_cast<int>(end.kind)));
  }
}

void pool_state::ApplyDone(const task_location& location, boot_time now) {
  work_unit& unit = *location.unit;
  unit.done = true;
  job_entry& job = *location.job;
  const auto found = job.occurrences.find(location.position.occurrence);
  step_progress& step = found->second.steps[location.position.step];
  --step.open_units;
  if (step.open_units == 0) {
    speeds_.ForgetStep({location.position.job, location.position.occurrence, location.position.step});
  }
  MarkReadySteps(job.submission.request, found->second, now);
  MarkChanged(job, true);
  if (!found->second.IsDone()) return;
  job.finished_occurrences.insert(location.position.occurrence);
  const int count = std::max(1, job.submission.request.occurrences);
  if (static_cast<int>(job.finished_occurrences.size()) == count) {
    FinishJob(job, job_phase::kCompleted, now);
  }
}

void pool_state::LearnRunTime(const task_location& location, boot_time now) {
  work_unit& unit = *location.unit;
  if (unit.done || unit.is_remote || IsFinal(location.job->phase)) return;
  std::chrono::duration<double, std::milli> time{0};
  for (const unit_member& member : unit.members) {
    if (member.host == nullptr) continue;
    const double speed = member.host->speed.factor;
    if (unit.is_run_time_sample) {
      // A gang ends with its slowest member, so the time on the others says less.
      const std::chrono::duration<double, std::milli> ran = now - unit.started_at;
      time = time.count() == 0 ? ran * speed : std::min(time, ran * speed);
    } else if (const auto measured = member.meter.result()) {
      // A resumed run, or one of an earlier owner, counts by the part that was seen.
      time = std::max(time, std::chrono::duration<double, std::milli>(measured->time) * speed);
    }
  }
  unit.is_run_time_sample = false;
  if (time.count() <= 0) return;
  run_times_.Learn(GroupOf(*location.job, *location.step), location.step->estimate,
                   std::chrono::round<milliseconds>(time));
}

milliseconds pool_state::RemainingTime(const job_entry& job, const step_request& step,
                                       const worker_entry& worker, milliseconds ran) const {
  const double speed = worker.speed.factor;
  const auto work = std::chrono::round<milliseconds>(std::chrono::duration<double, std::milli>(ran) * speed);
  return learning::TimeAtSpeed(learning::RemainingTime(PredictTime(job, step), work), worker.speed);
}

void pool_state::LearnSpeed(const task_location& location, worker_entry& worker,
                            const learning::measured_time& time, boot_time now) {
  const unit_position& position = location.position;
  if (!settings_.learn_speeds || location.unit->is_remote || location.unit->done ||
      IsFinal(location.job->phase))
    return;
  learning::run_observation observation;
  observation.worker = worker.registration.id;
  observation.step = {position.job, position.occurrence, position.step};
  const learning::run_time_prediction prediction = PredictTime(*location.job, *location.step);
  observation.prior.time = prediction.median;
  observation.prior.log_error = prediction.log_spread;
  observation.time = time.time;
  observation.log_error = time.log_error;
  speeds_.Observe(observation, now);
  worker.speed = speeds_.Speed(worker.registration.id);
}

void pool_state::NormalizeSpeeds(boot_time now) {
  if (!speeds_.Normalize(now)) return;
  for (auto& [id, worker] : workers_) worker.speed = speeds_.Speed(id);
}

learning::learned_state pool_state::ExportLearned() const {
  learning::learned_state learned;
  learned.groups = run_times_.Export();
  bool is_mixed = false;
  for (learning::learned_worker& worker : speeds_.Export()) {
    const auto found = workers_.find(worker.id);
    if (found == workers_.end() || found->second.registration.incarnation == 0) continue;
    worker.incarnation = found->second.registration.incarnation;
    is_mixed = is_mixed || worker.grade != learning::speed_class::kNormal;
    learned.workers.push_back(std::move(worker));
  }
  if (!is_mixed) learned.workers.clear();
  return learned;
}

void pool_state::ImportLearned(const learning::learned_state& learned, boot_time now) {
  run_times_.Import(learned.groups);
  if (!settings_.learn_speeds) return;
  for (const learning::learned_worker& worker : learned.workers) {
    const auto found = workers_.find(worker.id);
    if (found == workers_.end() || found->second.registration.incarnation != worker.incarnation) continue;
    speeds_.Restore(worker, now);
  }
  NormalizeSpeeds(now);
}

void pool_state::ForgetSpeed(worker_entry& worker) {
  speeds_.ForgetWorker(worker.registration.id);
  worker.speed = {};
}

learning::speed_class pool_state::SpeedClass(const std::string& id) const {
  const auto found = workers_.find(id);
  return found == workers_.end() ? learning::speed_class::kNormal : found->second.speed.grade;
}

void pool_state::SetAvoided(worker_entry& worker, const std::string& reason, boot_time now) {
  const int doublings = std::clamp(worker.failures_in_row - settings_.failures_before_avoiding, 0, 4);
  const milliseconds wait = std::min(settings_.avoid_time * (1 << doublings), settings_.max_avoid_time);
  worker.avoided_until = now + wait;
  AddEvent(pool_event_kind::kWorkerAvoided, "", "", 0, worker.registration.id,
           reason + " failures_in_row=" + std::to_string(worker.failures_in_row) +
               " wait_ms=" + std::to_string(wait.count()));
}

void pool_state::AvoidWorker(const std::string& id, const std::string& reason, boot_time now) {
  worker_entry* worker = FindWorker(id);
  // All tasks on a stalled worker are stopped in one pass, which counts once.
  if (worker == nullptr || now < worker->avoided_until) return;
  // Unlike a failure, a stall is not the fault of the task.
  worker->failures_in_row = std::max(worker->failures_in_row + 1, settings_.failures_before_avoiding);
  SetAvoided(*worker, reason, now);
}

void pool_state::ApplyFailure(const task_location& location, worker_entry& worker, std::int64_t run,
                              boot_time now) {
  work_unit& unit = *location.unit;
  if (!unit.failed_runs.insert(run).second) return;
  unit.failed_on.insert(worker.registration.id);
  AddEvent(
      pool_event_kind::kRunFailed, location.position.job,
      TaskName(location.position.job, location.position.occurrence, location.position.step, unit.first_task),
      run, worker.registration.id, "failures=" + std::to_string(unit.failures()));
  ++worker.failures_in_row;
  if (worker.failures_in_row >= settings_.failures_before_avoiding) SetAvoided(worker, "failures", now);
  MarkChanged(*location.job, true);
  if (unit.failures() >= MaxAttempts(*location.job)) FinishJob(*location.job, job_phase::kFailed, now);
}

}  // namespace hickorystall::state::pool
