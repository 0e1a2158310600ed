#include "state/pool/pool_plan.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "state/pool/evacuation.h"
#include "state/pool/placement/early_move.h"
#include "state/pool/placement/run_outlook.h"
#include "state/pool/placement/unit_speed.h"
#include "state/pool/preemption.h"
#include "state/pool/unit_placement.h"
#include "state/pool/unit_queue.h"

namespace hickorystall::state::pool {

using std::chrono::milliseconds;

namespace {

// Time without a running task after which a job may use the headroom and, while much of its service is free,
// remote, reserved and avoided workers. A job must not be without any running task for 3 s while twice the
// capacity that it needs is free; the difference is left for planning, storing and ordering the start.
constexpr milliseconds kMaxIdleWait{2000};

// Share in use of the capacity of a service, below which the headroom is not kept free from a unit that
// leaves as much capacity as it takes.
constexpr double kLowUse = 0.5;
// Share in use up to which jobs that have been idle for `kMaxIdleWait` start at any worker. Clients expect a
// start below half; the rest covers runs that have ended and are not listed yet.
constexpr double kMediumUse = 0.65;

// Returns `part` as a share of `whole`; 0 if there is nothing of this kind.
double Share(std::int64_t part, std::int64_t whole) {
  return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

// Capacity of the workers of one service.
struct service_capacity {
  // Total and free capacity of the usable workers.
  resources usable;
  resources usable_free;
  // Total capacity and the part in use of all workers that reply, including those that are avoided.
  resources reachable;
  resources in_use;
  // Speeds of the usable workers.
  speed_range speeds;

  // Returns the share in use of the scarcer kind of capacity.
  double Use() const {
    return std::max(Share(in_use.accelerators, reachable.accelerators),
                    Share(in_use.cpu_millis, reachable.cpu_millis));
  }
};

// Makes one plan; used for a single call of `Run`.
class planning_pass {
 public:
  planning_pass(const pool_state& state, boot_time now, unix_time wall_now)
      : state_(state), now_(now), wall_now_(wall_now) {
    CollectWorkers();
    index_ = MakeRackIndex(free_);
    within_guarantee_ = WorkspacesWithinGuarantee(state);
    CollectUnits();
  }

  pool_plan Run() {
    StopLeavingAndStalledUnits();
    for (const waiting_step& step : MakeStepQueue(state_, within_guarantee_, now_, wall_now_)) {
      for (std::size_t i = 0; i < step.units.size(); ++i) {
        if (TryPlace(step, step.units[i])) continue;
        // Units of a step are identical, so if one cannot be placed, neither can the others.
        plan_.waiting += static_cast<int>(step.units.size() - i);
        break;
      }
    }
    // After the waiting units, which use free capacity without any loss of work.
    for (const running_unit& entry : running_) MoveIfLate(entry);
    return std::move(plan_);
  }

 private:
  struct running_unit {
    job_entry* job;
    int occurrence;
    int number;
    int index;
    const step_request* step;
    const work_unit* unit;
    int priority;

    unit_position Position() const { return {job->submission.id, occurrence, number, index}; }
    run_view View() const { return {job, step, unit}; }
  };

  // Fills the slots and `services_`.
  void CollectWorkers() {
    capacity_slots avoided;
    for (const auto& [id, worker] : state_.workers()) {
      const worker_condition condition = worker.Condition(now_);
      if (!worker.listed || !worker.reachable) continue;
      if (worker.evacuated) {
        evacuated_.push_back({&worker, {}});
        continue;
      }
      const resources free = worker.Free();
      service_capacity& service = services_[worker.registration.service];
      service.reachable += worker.registration.capacity;
      service.in_use += worker.registration.capacity;
      service.in_use -= free;
      if (condition == worker_condition::kAvoided) avoided.push_back({&worker, free});
      if (condition != worker_condition::kUsable) continue;
      service.usable += worker.registration.capacity;
      service.usable_free += free;
      if (state_.settings().learn_speeds) service.speeds.Add(worker.speed);
      slot_of_[&worker] = static_cast<int>(free_.size());
      free_.push_back({&worker, free});
    }
    free_after_stops_ = free_;
    unreserved_ = free_;
    unreserved_.insert(unreserved_.end(), avoided.begin(), avoided.end());
  }

  // Adds the capacity of runs that are being stopped to `free_after_stops_`, and collects the other active
  // units.
  void CollectUnits() {
    for (const auto& [id, job] : state_.open_jobs()) {
      const int priority = QueuePriority(state_, *job);
      for (const auto& [number, occurrence] : job->occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
          const auto& units = occurrence.steps[step].units;
          for (std::size_t unit = 0; unit < units.size(); ++unit) {
            if (units[unit].IsIdle()) continue;
            CollectUnit({job, number, static_cast<int>(step), static_cast<int>(unit),
                         &job->submission.request.steps[step], &units[unit], priority});
          }
        }
      }
    }
  }

  void CollectUnit(const running_unit& entry) {
    bool stopping = entry.unit->done;
    for (const unit_member& member : entry.unit->members) {
      if (!entry.unit->done) NoteActiveRun(entry.job, member);
      if (member.phase != run_phase::kStopping && !(entry.unit->done && member.phase != run_phase::kIdle))
        continue;
      stopping = true;
      const auto slot = slot_of_.find(member.host);
      if (slot != slot_of_.end()) free_after_stops_[slot->second].free += entry.step->need;
    }
    if (!stopping) running_.push_back(entry);
  }

  void NoteActiveRun(job_entry* job, const unit_member& member) {
    const bool is_running = member.phase == run_phase::kRunning;
    if (!is_running && member.phase != run_phase::kOrdered) return;
    if (!member.host->reachable) return;
    active_jobs_.insert(job);
    if (is_running && (plan_.running_jobs.empty() || plan_.running_jobs.back() != job))
      plan_.running_jobs.push_back(job);
  }

  // Stops units that cannot end before their worker leaves, and units that are stalled.
  void StopLeavingAndStalledUnits() {
    for (const running_unit& entry : running_) {
      planned_stop stop;
      for (const unit_member& member : entry.unit->members) {
        if (member.phase == run_phase::kIdle) continue;
        const worker_entry& worker = *member.host;
        if (MustLeave(entry, member, worker)) stop.reason = "worker leaves before the run ends";
        if (!IsStalled(entry, member, worker)) continue;
        stop.reason = "no progress beyond percent=" + std::to_string(member.percent);
        stop.stalled_on.push_back(member.worker);
      }
      if (stop.reason.empty()) continue;
      stop.position = entry.Position();
      plan_.stops.push_back(std::move(stop));
      stopped_.insert(entry.unit);
    }
  }

  bool MustLeave(const running_unit& entry, const unit_member& member, const worker_entry& worker) const {
    if (!worker.registration.draining || !worker.leaves_at) return false;
    return now_ + TimeToEnd(state_, entry.View(), member, now_) > *worker.leaves_at;
  }

  bool IsStalled(const running_unit& entry, const unit_member& member, const worker_entry& worker) const {
    // A gang member at 100 percent waits for the other members.
    return member.phase == run_phase::kRunning && worker.reachable && member.percent < 100 &&
           worker.lease.clock_read_at() - member.progress_at > StallTimeout(state_, entry.View(), worker);
  }

  // Stops a gang that is seen to end late on its workers and can be in time on faster ones that are free, and
  // reserves these in this pass. A later pass starts it, once its runs have ended.
  void MoveIfLate(const running_unit& entry) {
    if (entry.unit->members.size() < 2 || stopped_.contains(entry.unit)) return;
    const speed_range& speeds = services_[ServiceOf(*entry.job)].speeds;
    if (!speeds.differs) return;
    const auto need = NeedForMove(state_, entry.View(), TimePassed(entry), speeds, now_);
    if (!need) return;
    unit_shape shape;
    shape.step = entry.step;
    shape.service = ServiceOf(*entry.job);
    shape.members = static_cast<int>(entry.unit->members.size());
    shape.avoided = entry.unit->failed_on;
    shape.speed = *need;
    const auto places = PlaceUnit(free_, index_, shape, placement_reach::kAnywhere);
    if (!places) return;
    const start_speeds found = SlowestSpeed(free_, *places, *need);
    if (found.IsTooSlow()) return;
    planned_stop stop;
    stop.position = entry.Position();
    stop.reason = "moved to faster workers " + DescribeSpeeds(found);
    stop.is_move = true;
    plan_.stops.push_back(std::move(stop));
    stopped_.insert(entry.unit);
    Reserve(*entry.step, *places);
  }

  // Returns the time since the job of `entry` was accepted or due.
  milliseconds TimePassed(const running_unit& entry) const {
    const job_request& request = entry.job->submission.request;
    if (request.occurrences == 0) return now_ - entry.job->accepted_at;
    return wall_now_ - unix_time(request.first_due + entry.occurrence * request.interval);
  }

  unit_shape MakeShape(const waiting_step& entry, const work_unit& unit) const {
    unit_shape shape;
    shape.step = entry.request;
    shape.service = ServiceOf(*entry.job);
    shape.members = static_cast<int>(unit.members.size());
    shape.avoided = unit.failed_on;
    if (entry.request->max_per_worker == 0) return shape;
    for (const work_unit& other : entry.progress->units) {
      for (const unit_member& member : other.members) {
        if (member.phase != run_phase::kIdle) ++shape.already_on[member.worker];
      }
    }
    for (const auto& [step, worker] : placed_members_) {
      if (step == entry.progress) ++shape.already_on[worker];
    }
    return shape;
  }

  std::string_view ServiceOf(const job_entry& job) const {
    const queue_rules* rules = state_.RulesOf(job);
    return rules == nullptr ? job.submission.service : rules->service;
  }

  // Returns when `unit` became ready. A unit that depends on no other became ready when its job was accepted
  // or due, which may be before this owner learned of it.
  boot_time ReadySince(const waiting_step& entry, const work_unit& unit) const {
    if (!entry.request->after.empty()) return unit.ready_at;
    const job_request& request = entry.job->submission.request;
    if (request.occurrences == 0) return std::min(unit.ready_at, entry.job->accepted_at);
    const unix_time due(request.first_due + entry.occurrence * request.interval);
    return std::min(unit.ready_at, now_ - (wall_now_ - due));
  }

  // Returns whether the job of `entry` has had no running task for `kMaxIdleWait` although `unit` was ready.
  bool IsIdleForLong(const waiting_step& entry, const work_unit& unit) const {
    return now_ - std::max(ReadySince(entry, unit), entry.job->last_run_at) >= kMaxIdleWait &&
           !active_jobs_.contains(entry.job);
  }

  const service_capacity& CapacityFor(const waiting_step& entry) const {
    static const service_capacity none;
    const auto found = services_.find(ServiceOf(*entry.job));
    return found == services_.end() ? none : found->second;
  }

  // Units of lower priority than 0 leave some capacity free, so that units of priority 0 start without
  // waiting for a stop. They may use all of it once their job has little slack.
  bool MayUseHeadroom(const waiting_step& entry, const work_unit& unit) const {
    if (entry.priority == 0 || entry.has_little_slack || IsIdleForLong(entry, unit)) return true;
    const service_capacity& service = CapacityFor(entry);
    const resources& need = entry.request->need;
    const auto members = static_cast<std::int64_t>(unit.members.size());
    const std::int64_t accelerators = need.accelerators * members;
    const std::int64_t cpu_millis = need.cpu_millis * members;
    if (service.Use() < kLowUse && service.usable_free.accelerators >= 2 * accelerators &&
        service.usable_free.cpu_millis >= 2 * cpu_millis)
      return true;
    const double headroom = state_.settings().headroom;
    const auto leaves_headroom = [headroom](std::int64_t free, std::int64_t need, std::int64_t total) {
      return static_cast<double>(free - need) >= headroom * static_cast<double>(total);
    };
    return leaves_headroom(service.usable_free.accelerators, accelerators, service.usable.accelerators) &&
           leaves_headroom(service.usable_free.cpu_millis, cpu_millis, service.usable.cpu_millis);
  }

  // Places a unit of a job that has had nothing running for long while much of its service is free: on any
  // usable worker, even if its capacity is reserved, or else also on avoided workers. Later units of the job
  // wait for near room again, since a remote run takes `pool_settings::remote_run_factor` times as long.
  std::optional<std::vector<int>> PlaceStanding(const waiting_step& entry, const work_unit& unit,
                                                const unit_shape& shape) {
    if (!IsIdleForLong(entry, unit) || CapacityFor(entry).Use() >= kMediumUse) return std::nullopt;
    if (auto places = PlaceUnit(unreserved_, index_, shape, placement_reach::kAnywhere)) return places;
    if (unreserved_.size() == free_.size()) return std::nullopt;
    if (!unreserved_index_) unreserved_index_ = MakeRackIndex(unreserved_);
    return PlaceUnit(unreserved_, *unreserved_index_, shape, placement_reach::kAnywhere);
  }

  // Returns why `unit` finds no room on any usable worker.
  wait_cause CauseWithoutRoom(const waiting_step& entry, const work_unit& unit) const {
    if (evacuated_.empty()) return wait_cause::kNoCapacity;
    const unit_shape shape = MakeShape(entry, unit);
    const int missing = MissingOnEmptyWorkers(unreserved_, shape, shape.members);
    if (missing == 0) return wait_cause::kNoCapacity;
    return MissingOnEmptyWorkers(evacuated_, shape, missing) == 0 ? wait_cause::kEvacuated
                                                                  : wait_cause::kNoCapacity;
  }

  // Starts the unit `number` of `entry`, or reserves capacity for it that becomes free after stops. Returns
  // false if neither is possible.
  bool TryPlace(const waiting_step& entry, int number) {
    const work_unit& unit = entry.progress->units[number];
    if (!MayUseHeadroom(entry, unit)) {
      const std::int64_t need =
          entry.request->need.accelerators * static_cast<std::int64_t>(unit.members.size());
      const std::int64_t free = CapacityFor(entry).usable_free.accelerators;
      const bool has_room = free > 0 && free >= need;
      plan_.unplaced.push_back(
          {entry.Position(number), has_room ? wait_cause::kHeadroom : CauseWithoutRoom(entry, unit)});
      return false;
    }
    unit_shape shape = MakeShape(entry, unit);
    const placement_reach reach = ChooseReach(entry, unit, shape);
    shape.speed =
        NeededSpeed(state_, entry, now_, IsRemote(*entry.request, reach), CapacityFor(entry).speeds);
    if (const auto places = PlaceUnit(free_, index_, shape, reach)) {
      Start(entry, number, *places, reach, shape.speed);
      return true;
    }
    if (const auto places = PlaceStanding(entry, unit, shape)) {
      Start(entry, number, *places, placement_reach::kAnywhere, shape.speed);
      return true;
    }
    if (const auto places = PlaceUnit(free_after_stops_, index_, shape, reach)) {
      Reserve(*entry.request, *places);
      plan_.unplaced.push_back({entry.Position(number), wait_cause::kCapacityReserved});
      return true;
    }
    const bool preempts =
        entry.priority == 0 && entry.outlook != deadline_outlook::kMissed && Preempt(entry, shape, reach);
    const wait_cause cause = preempts                          ? wait_cause::kCapacityReserved
                             : reach == placement_reach::kNear ? wait_cause::kNoNearCapacity
                                                               : CauseWithoutRoom(entry, unit);
    plan_.unplaced.push_back({entry.Position(number), cause});
    return preempts;
  }

  // Returns whether the tasks of `step` are slower away from their data or spread over racks.
  static bool IsLocalitySensitive(const step_request& step) {
    return step.same_rack || !step.data_rack.empty();
  }

  static bool IsRemote(const step_request& step, placement_reach reach) {
    return reach == placement_reach::kAnywhere && IsLocalitySensitive(step);
  }

  // A remote placement is allowed if a near one is impossible even on empty workers, or once the unit has
  // waited longer than the extra time that a remote run takes.
  placement_reach ChooseReach(const waiting_step& entry, const work_unit& unit,
                              const unit_shape& shape) const {
    if (!IsLocalitySensitive(*entry.request)) return placement_reach::kAnywhere;
    if (!FitsNearWhenEmpty(free_, index_, shape)) return placement_reach::kAnywhere;
    const auto waited = now_ - unit.ready_at;
    const auto extra_time = static_cast<double>(state_.ExpectedTime(*entry.job, *entry.request).count()) *
                            (state_.settings().remote_run_factor - 1.0);
    return static_cast<double>(waited.count()) > extra_time ? placement_reach::kAnywhere
                                                            : placement_reach::kNear;
  }

  void Start(const waiting_step& entry, int number, const std::vector<int>& places, placement_reach reach,
             const speed_need& speed) {
    planned_start start{entry.Position(number),
                        {},
                        IsRemote(*entry.request, reach),
                        SlowestSpeed(unreserved_, places, speed)};
    const resources& need = entry.request->need;
    service_capacity& service = services_[ServiceOf(*entry.job)];
    for (const int place : places) {
      start.workers.push_back(unreserved_[place].worker->registration.id);
      if (entry.request->max_per_worker > 0)
        placed_members_.emplace_back(entry.progress, start.workers.back());
      unreserved_[place].free -= need;
      service.in_use += need;
      // The slots after these are avoided workers.
      if (place >= static_cast<int>(free_.size())) continue;
      free_[place].free -= need;
      free_after_stops_[place].free -= need;
      service.usable_free -= need;
    }
    active_jobs_.insert(entry.job);
    plan_.starts.push_back(std::move(start));
  }

  void Reserve(const step_request& step, const std::vector<int>& places) {
    for (const int place : places) {
      free_after_stops_[place].free -= step.need;
      // Keeps what is free now for the unit. Runs that are being stopped may still hold part of the reserved
      // capacity.
      resources& free = free_[place].free;
      free.cpu_millis =
          std::min(free.cpu_millis, std::max<std::int64_t>(0, free_after_stops_[place].free.cpu_millis));
      free.memory_mib =
          std::min(free.memory_mib, std::max<std::int64_t>(0, free_after_stops_[place].free.memory_mib));
      free.accelerators =
          std::min(free.accelerators, std::max<std::int64_t>(0, free_after_stops_[place].free.accelerators));
    }
  }

  bool IsVictim(const running_unit& running, const waiting_step& entry) const {
    if (running.job == entry.job || stopped_.contains(running.unit)) return false;
    if (running.priority > entry.priority) return true;
    return entry.is_guaranteed && !within_guarantee_.contains(running.job->submission.workspace);
  }

  // Lists all running units as candidates; their indices are those of `running_`.
  const preemption_candidates& Candidates() {
    if (candidates_) return *candidates_;
    candidates_.emplace();
    candidates_->victims.reserve(running_.size());
    for (const running_unit& running : running_) {
      preemption_victim victim{running.step, {}, LostWork(*running.step, *running.unit, now_)};
      for (const unit_member& member : running.unit->members) {
        const auto slot = slot_of_.find(member.host);
        if (member.phase != run_phase::kIdle && slot != slot_of_.end()) victim.slots.push_back(slot->second);
      }
      candidates_->victims.push_back(std::move(victim));
    }
    candidates_->IndexBySlot();
    return *candidates_;
  }

  // Returns the work of a unit of `entry`, in core-seconds.
  double ExpectedWork(const waiting_step& entry, const unit_shape& shape) const {
    const std::chrono::duration<double> time = state_.ExpectedTime(*entry.job, *entry.request);
    return WeightedCores(entry.request->need) * time.count() * shape.members;
  }

  bool Preempt(const waiting_step& entry, const unit_shape& shape, placement_reach reach) {
    const preemption_candidates& candidates = Candidates();
    const auto is_allowed = [&](int victim) { return IsVictim(running_[victim], entry); };
    std::optional<preemption_choice> choice =
        ChoosePreemption(free_after_stops_, index_, shape, candidates, is_allowed, reach);
    if (!choice && entry.is_guaranteed) {
      choice = ChoosePreemption(free_after_stops_, index_, shape, candidates, is_allowed,
                                placement_reach::kAnywhere);
    }
    if (!choice) return false;
    const double own_work = ExpectedWork(entry, shape);
    for (const int index : choice->victims) {
      const preemption_victim& victim = candidates.victims[index];
      planned_stop stop;
      stop.position = running_[index].Position();
      stop.reason = "preempted by " + entry.job->submission.id +
                    " lost_core_s=" + std::to_string(std::lround(victim.lost_work)) +
                    " own_core_s=" + std::to_string(std::lround(own_work));
      stop.is_preemption = true;
      plan_.stops.push_back(std::move(stop));
      stopped_.insert(running_[index].unit);
      for (const int slot : victim.slots) free_after_stops_[slot].free += victim.step->need;
    }
    Reserve(*entry.request, choice->places);
    return true;
  }

  const pool_state& state_;
  const boot_time now_;
  const unix_time wall_now_;
  // Slot index by worker; usable workers only.
  std::unordered_map<const worker_entry*, int> slot_of_;
  std::set<std::string> within_guarantee_;
  // Capacity that is free now, and that is free once all runs being stopped have ended.
  capacity_slots free_;
  capacity_slots free_after_stops_;
  // As `free_` without the reservations of this pass, followed by the avoided workers.
  capacity_slots unreserved_;
  // Workers of evacuated failure domains, without their free capacity.
  capacity_slots evacuated_;
  // Index of `free_`, and of `unreserved_` once it is needed.
  rack_index index_;
  std::optional<rack_index> unreserved_index_;
  std::unordered_map<std::string_view, service_capacity> services_;
  // Jobs with a task that runs or is ordered on a reachable worker, including those that this pass starts.
  std::unordered_set<const job_entry*> active_jobs_;
  // Active units that are not being stopped.
  std::vector<running_unit> running_;
  // Units that this pass has decided to stop.
  std::unordered_set<const work_unit*> stopped_;
  // Step and worker of each member that this pass starts, for the limit of tasks per worker.
  std::vector<std::pair<const step_progress*, std::string>> placed_members_;
  // Empty until the first unit needs a preemption.
  std::optional<preemption_candidates> candidates_;
  pool_plan plan_;
};

}  // namespace

pool_plan PlanPool(const pool_state& state, boot_time now, unix_time wall_now) {
  return planning_pass(state, now, wall_now).Run();
}

void ApplyPlan(const pool_plan& plan, pool_state& state, boot_time now) {
  for (job_entry* job : plan.running_jobs) job->last_run_at = now;
  for (const planned_stop& stop : plan.stops) {
    state.StopUnit(stop.position, stop.reason);
    if (stop.is_preemption) state.CountPreemption(stop.position);
    if (stop.is_move) state.FindUnit(stop.position)->is_moved = true;
    for (const std::string& worker : stop.stalled_on) state.AvoidWorker(worker, "stalled", now);
  }
  for (const planned_start& start : plan.starts)
    state.StartUnit(start.position, start.workers, now, start.is_remote, start.speeds);
}

}  // namespace hickorystall::state::pool
